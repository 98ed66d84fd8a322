//! A running entry. Not for: putting it together.

use std::{io, net, sync, sync::atomic, time};

use axum::{extract, routing};
use tokio::net as tokio_net;

use crate::{
    announce, cache_events, core, explain, health, heartbeat, model, plain,
    policy::DecisionPolicy as _, server, types,
};

/// How often a stopping entry looks whether its calls are done.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// What an entry tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryStatus {
    /// Whether the load balancer should send callers here.
    pub ready: bool,
    /// Whether it holds the routing right.
    pub right: bool,
    /// Configuration that it acts on.
    pub config: usher_types::ConfigVersion,
    /// Calls that run.
    pub running: usize,
    /// Attempts that are accounted to targets.
    pub outstanding: usize,
    /// Targets that it knows.
    pub targets: usize,
    /// Retries and hedges as a share of calls.
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
        let listener = tokio_net::TcpListener::bind(core.options.bind).await?;
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
            core.stop.clone(),
        ));
        tokio::spawn(heartbeat::run_heartbeats(core.clone()));
        tokio::spawn(cache_events::poll_cache_events(core.clone()));
        tokio::spawn(record_drain_start(core.clone()));
        tracing::info!(%address, node = %core.options.name, "entry is listening");
        Ok(Self { core, address })
    }

    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns its state.
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

    /// Waits until a drain has begun and all its calls are done; the process may then stop.
    pub async fn finished(&self) {
        self.core.stop.draining().await;
        tokio::time::sleep(self.core.options.unready_notice).await;
        while self.core.running.load(atomic::Ordering::SeqCst) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Remembers when the drain began.
async fn record_drain_start<P>(core: sync::Arc<core::EntryCore<P>>)
where
    P: types::EntryTypes,
{
    core.stop.draining().await;
    tracing::info!("entry is draining");
    let _ = core.drained_at.set(core.now());
}

fn router<P>(core: sync::Arc<core::EntryCore<P>>) -> axum::Router
where
    P: types::EntryTypes,
{
    let announce = routing::post(announce::announce::<P>).layer(extract::DefaultBodyLimit::max(
        announce::MAX_ANNOUNCEMENT_BYTES,
    ));
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
