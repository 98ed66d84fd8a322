//! Starts and stops a gateway. Not for: reading settings.

use std::{convert, io, net, sync, time};

use tokio::{sync::mpsc, task};

use crate::{
    call, core, dialect, health, load_exchange, options, registrar_watch, route_follower, server,
    stop_step,
};

/// Interval at which idle connections to targets are checked.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time before the end of the grace period at which a gateway that is stopping gives up waiting.
const END_MARGIN: time::Duration = time::Duration::from_millis(300);

/// A gateway before it is started.
#[derive(Debug)]
pub struct GatewayNode<D, C> {
    core: core::GatewayCore<D, C>,
}

/// A running gateway; its background tasks end when it is dropped.
#[derive(Debug)]
pub struct RunningGateway {
    open: server::OpenConnections,
    /// Maximum time that calls have after the start of a stop.
    limit: time::Duration,
    seeds: mpsc::Sender<Vec<net::SocketAddr>>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl<D, C> GatewayNode<D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    /// Makes a gateway with a dialect.
    pub fn new(options: options::GatewayOptions, dialect: D, clock: C) -> Self {
        Self {
            core: core::GatewayCore::new(options, dialect, clock),
        }
    }

    /// Starts to watch registrars and to serve callers.
    ///
    /// # Errors
    ///
    /// Fails when it can't listen on an address.
    pub async fn start(self, stop: usher_kernel::StopSignal) -> io::Result<RunningGateway> {
        let core = sync::Arc::new(self.core);
        let callers = usher_kernel::open_listener(core.options.callers).await?;
        let checks = usher_kernel::open_listener(core.options.health).await?;
        let open = server::OpenConnections::new();
        let served = core.clone();
        let service = move |request, memory| {
            let core = served.clone();
            async move { Ok::<_, convert::Infallible>(call::serve(core, request, memory).await) }
        };
        let (checked, signal) = (core.clone(), stop.clone());
        let health = move |request, memory| {
            let (core, signal) = (checked.clone(), signal.clone());
            async move {
                Ok::<_, convert::Infallible>(health::serve(&core, &signal, request, memory).await)
            }
        };
        let limited = core.clone();
        let limits = move || {
            let limits = limited.connection_limits();
            limits.unwrap_or(server::DEFAULT_LIMITS)
        };
        let identity = usher_wire::WireIdentity {
            cluster: core.options.cluster.clone(),
            node: core.options.node.clone(),
            incarnation: usher_types::IncarnationSource::random(),
        };
        let (group, updates) = usher_watch::WatchGroup::new(
            identity,
            usher_watch::WatcherKind::Gateway,
            None,
            core.options.seeds.clone(),
        );
        let (seeds, new_seeds) = mpsc::channel(1);
        let offers = route_follower::RouteOffers::default();
        let limit = core.options.grace.saturating_sub(END_MARGIN);
        let tasks = vec![
            tokio::spawn(server::serve(
                callers,
                service,
                limits,
                core.memory.clone(),
                open.clone(),
                stop.clone(),
            )),
            tokio::spawn(server::serve(
                checks,
                health,
                || server::DEFAULT_LIMITS,
                core.check_memory.clone(),
                server::OpenConnections::new(),
                stop.clone(),
            )),
            tokio::spawn(registrar_watch::run(
                core.clone(),
                group,
                updates,
                new_seeds,
                offers.clone(),
            )),
            tokio::spawn(route_follower::run(core.clone(), offers)),
            tokio::spawn(load_exchange::run(core.clone())),
            tokio::spawn(stop_step::run(stop, limit, core.stop_step.clone())),
            tokio::spawn(prune(core)),
        ];
        Ok(RunningGateway {
            open,
            limit,
            seeds,
            tasks,
        })
    }
}

async fn prune<D, C>(core: sync::Arc<core::GatewayCore<D, C>>)
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        core.pool.prune(|_| true);
    }
}

impl RunningGateway {
    /// Replaces the seed registrars, from which the others are discovered.
    pub async fn set_seeds(&self, seeds: Vec<net::SocketAddr>) {
        // The receiver lives as long as the task that watches registrars.
        let _ = self.seeds.send(seeds).await;
    }

    /// Waits after the start of a stop until all calls have ended, or the grace period is nearly
    /// over; returns whether all have ended.
    pub async fn finished(&self) -> bool {
        let all_ended = async {
            if let Some(task) = self.tasks.first() {
                while !task.is_finished() {
                    tokio::time::sleep(time::Duration::from_millis(20)).await;
                }
            }
            self.open.all_closed().await;
        };
        tokio::time::timeout(self.limit, all_ended).await.is_ok()
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
