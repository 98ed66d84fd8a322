//! A running entry.
//!
//! Not for: building it.

use std::{io, net, sync, sync::atomic, time};

use axum::routing;

use crate::{
    announce, cache_events, core, explain, health, heartbeat, model, plain,
    policy::DecisionPolicy as _, server, types,
};

/// Interval at which a draining entry checks whether its calls have finished.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// The status of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryStatus {
    /// Whether the load balancer should send callers to this entry.
    pub ready: bool,
    /// Whether the entry holds the routing right.
    pub right: bool,
    /// Version of the configuration in use.
    pub config: usher_types::ConfigVersion,
    /// Number of running calls.
    pub running: usize,
    /// Number of attempts accounted to targets.
    pub outstanding: usize,
    /// Number of registered targets.
    pub targets: usize,
    /// Retries and hedges as a fraction of calls.
    pub extra_share: f64,
}

/// An entry that serves callers.
pub struct EntryNode<P>
where
    P: types::EntryTypes,
{
    core: sync::Arc<core::EntryCore<P>>,
    address: net::SocketAddr,
}

impl<P> Clone for EntryNode<P>
where
    P: types::EntryTypes,
{
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            address: self.address,
        }
    }
}

impl<P> EntryNode<P>
where
    P: types::EntryTypes,
{
    pub(crate) async fn start(core: core::EntryCore<P>) -> io::Result<Self> {
        let listener = usher_kernel::open_listener(core.options.bind).await?;
        let address = listener.local_addr()?;
        let core = sync::Arc::new(core);
        let limits = server::ServerLimits {
            max_head: core.options.max_head,
            write_timeout: (!core.options.disabled.caller_timeout)
                .then_some(core.options.caller_timeout),
        };
        tokio::spawn(server::serve(
            listener,
            router(core.clone()),
            limits,
            core.memory.clone(),
            core.stop.clone(),
        ));
        tokio::spawn(heartbeat::run_heartbeats(core.clone()));
        tokio::spawn(cache_events::poll_cache_events(core.clone()));
        tokio::spawn(record_drain_start(core.clone()));
        tracing::info!(%address, node = %core.options.name, "entry is listening");
        Ok(Self { core, address })
    }

    /// Returns the address that the entry listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the current status.
    pub fn status(&self) -> EntryStatus {
        let routing = self.core.routing();
        let outstanding = routing.policy.outstanding();
        let targets = routing.records().count();
        let extra_share = routing.policy.extra_share();
        drop(routing);
        EntryStatus {
            ready: self.core.is_ready(),
            right: self.core.has_right(),
            config: self.core.config.current().version,
            running: self.core.running.load(atomic::Ordering::SeqCst),
            outstanding,
            targets,
            extra_share,
        }
    }

    /// Waits until a drain has started and all calls have finished; the process may then stop.
    pub async fn finished(&self) {
        self.core.stop.draining().await;
        tokio::time::sleep(self.core.options.unready_notice).await;
        while self.core.running.load(atomic::Ordering::SeqCst) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Records the start time of a drain.
async fn record_drain_start<P>(core: sync::Arc<core::EntryCore<P>>)
where
    P: types::EntryTypes,
{
    core.stop.draining().await;
    tracing::info!("entry is draining");
    let _ = core.drain_started_at.set(core.now());
}

fn router<P>(core: sync::Arc<core::EntryCore<P>>) -> axum::Router
where
    P: types::EntryTypes,
{
    let announce = routing::post(announce::announce::<P>);
    axum::Router::new()
        .route("/v1/chat/completions", routing::post(model::chat::<P>))
        .route("/v1/completions", routing::post(model::complete::<P>))
        .route("/v1/models", routing::get(model::list::<P>))
        .route("/v1/targets/announce", announce)
        .route("/v1/explain/{request}", routing::get(explain::explain::<P>))
        .route("/svc/{service}", routing::any(plain::handle::<P>))
        .route("/svc/{service}/{*path}", routing::any(plain::handle::<P>))
        .route("/healthz", routing::get(health::healthz))
        .route("/readyz", routing::get(health::readyz::<P>))
        .fallback(unknown_path)
        .with_state(core)
}

async fn unknown_path(uri: http::Uri) -> axum::response::Response {
    use axum::response::IntoResponse as _;
    let message = format!("path {} does not exist", uri.path());
    crate::error::CallError::not_found(message).into_response()
}
