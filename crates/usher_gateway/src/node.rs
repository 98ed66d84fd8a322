//! Starts and stops a gateway. Not for: reading settings.

use std::{convert, io, net, sync, time};

use tokio::{sync::mpsc, task};

use crate::{call, core, dialect, follow, front, health, options, uses};

/// How often idle connections to targets are checked.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Time before the end of the grace at which a gateway that stops ends in any case.
const END_MARGIN: time::Duration = time::Duration::from_millis(300);

/// A gateway before it is started.
#[derive(Debug)]
pub struct GatewayNode<D, C> {
    core: core::GatewayCore<D, C>,
}

/// A gateway that runs; its background work ends when it is dropped.
#[derive(Debug)]
pub struct RunningGateway {
    open: front::OpenConnections,
    grace: time::Duration,
    seeds: mpsc::Sender<Vec<net::SocketAddr>>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl<D, C> GatewayNode<D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    /// Makes a gateway that speaks a dialect.
    pub fn new(options: options::GatewayOptions, dialect: D, clock: C) -> Self {
        Self {
            core: core::GatewayCore::new(options, dialect, clock),
        }
    }

    /// Starts to follow registrars and to serve callers.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on.
    pub async fn start(self, stop: usher_kernel::StopSignal) -> io::Result<RunningGateway> {
        let core = sync::Arc::new(self.core);
        let callers = listen(core.options.callers)?;
        let checks = listen(core.options.health)?;
        let open = front::OpenConnections::new();
        let served = core.clone();
        let service = move |request| {
            let core = served.clone();
            async move { Ok::<_, convert::Infallible>(call::serve(core, request).await) }
        };
        let (checked, signal) = (core.clone(), stop.clone());
        let health = move |request: http::Request<hyper::body::Incoming>| {
            let answer = health::answer(&checked, &signal, request.uri().path());
            async move { answer }
        };
        let limited = core.clone();
        let idle_timeout = move || {
            limited
                .idle_timeout()
                .unwrap_or(front::DEFAULT_IDLE_TIMEOUT)
        };
        let identity = usher_wire::WireIdentity {
            cluster: core.options.cluster.clone(),
            node: core.options.node.clone(),
            incarnation: usher_types::IncarnationSource::random(),
        };
        let (group, news) = usher_watch::WatchGroup::new(
            identity,
            usher_watch::WatcherKind::Gateway,
            None,
            core.options.seeds.clone(),
        );
        let (seeds, new_seeds) = mpsc::channel(1);
        let grace = core.options.grace;
        let tasks = vec![
            tokio::spawn(front::serve(
                callers,
                service,
                idle_timeout,
                open.clone(),
                stop.clone(),
            )),
            tokio::spawn(front::serve(
                checks,
                health,
                || front::DEFAULT_IDLE_TIMEOUT,
                front::OpenConnections::new(),
                stop,
            )),
            tokio::spawn(follow::run(core.clone(), group, news, new_seeds)),
            tokio::spawn(uses::run(core.clone())),
            tokio::spawn(prune(core)),
        ];
        Ok(RunningGateway {
            open,
            grace,
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
    /// Replaces the registrars from which the others are learned.
    pub async fn set_seeds(&self, seeds: Vec<net::SocketAddr>) {
        // The receiver lives as long as the task that follows registrars.
        let _ = self.seeds.send(seeds).await;
    }

    /// Waits after the stop began until all calls are done, or the grace is nearly over; returns
    /// whether all are done.
    pub async fn finished(&self) -> bool {
        let accepting = async {
            if let Some(task) = self.tasks.first() {
                while !task.is_finished() {
                    tokio::time::sleep(time::Duration::from_millis(20)).await;
                }
            }
            self.open.closed().await;
        };
        let limit = self.grace.saturating_sub(END_MARGIN);
        tokio::time::timeout(limit, accepting).await.is_ok()
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn listen(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = match address {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    // A restarted process takes its address back while old connections are closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
