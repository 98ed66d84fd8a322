//! State shared by all components of a running entry.
//!
//! Not for: the request path itself.

use std::{sync, sync::atomic, time};

use axum::extract;
use usher_types::ClockSource as _;

use crate::{
    announce, client, config, connection_pool, error, explain, identity, metrics, options, outcome,
    right, routing, types,
};

/// The axum state extractor of the handlers.
pub(crate) type CoreState<P> = extract::State<sync::Arc<EntryCore<P>>>;

/// Options, components and state of one entry.
pub(crate) struct EntryCore<P>
where
    P: types::EntryTypes,
{
    pub(crate) options: options::EntryOptions,
    pub(crate) clock: P::Clock,
    pub(crate) link: P::Link,
    pub(crate) outcomes: P::Outcomes,
    pub(crate) metrics: metrics::EntryMetrics,
    /// What the connections of callers and targets hold.
    pub(crate) memory: usher_intake::CallerMemory,
    pub(crate) routing: sync::Mutex<routing::RoutingState<P::Policy>>,
    pub(crate) right: right::RoutingRight,
    pub(crate) config: config::ConfigStore,
    pub(crate) client: client::TargetClient,
    pub(crate) connections: connection_pool::ConnectionPool,
    pub(crate) records: explain::RecordRing,
    pub(crate) ids: identity::IdSource,
    pub(crate) stop: usher_kernel::StopSignal,
    pub(crate) drain_started_at: sync::OnceLock<time::Instant>,
    pub(crate) running: atomic::AtomicUsize,
    pub(crate) quarantine: sync::Mutex<usher_quarantine::PartQuarantine>,
}

impl<P> EntryCore<P>
where
    P: types::EntryTypes,
{
    pub(crate) fn now(&self) -> time::Instant {
        self.clock.now()
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        let since = self.clock.wall().duration_since(time::UNIX_EPOCH);
        u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn routing(&self) -> sync::MutexGuard<'_, routing::RoutingState<P::Policy>> {
        self.routing
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns whether new work may be sent to targets, including resumes and retries.
    pub(crate) fn has_right(&self) -> bool {
        self.options.disabled.right || self.right.holds(self.now())
    }

    /// Returns whether the load balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stop.is_draining() && self.config.is_known() && self.has_right()
    }

    fn refuses_new_work(&self) -> bool {
        let notice = self.options.unready_notice;
        let now = self.now();
        self.stop.is_draining()
            && self
                .drain_started_at
                .get()
                .is_some_and(|at| now.saturating_duration_since(*at) >= notice)
    }

    /// Returns an error if the entry doesn't accept new work: it is draining, doesn't know the
    /// newest configuration or holds no routing right.
    pub(crate) fn check_accepting(&self) -> Result<(), (error::CallError, outcome::OutcomeCause)> {
        if self.refuses_new_work() {
            let error = error::CallError::unavailable("draining", "this entry is stopping");
            return Err((error, outcome::OutcomeCause::Drain));
        }
        if !self.config.is_known() {
            let message = "this entry has not received the newest configuration yet";
            let error = error::CallError::unavailable("starting", message);
            return Err((error, outcome::OutcomeCause::Region));
        }
        self.check_right()
    }

    pub(crate) fn check_right(&self) -> Result<(), (error::CallError, outcome::OutcomeCause)> {
        if self.has_right() {
            return Ok(());
        }
        let message = "this entry holds no routing right from control and may not start new work";
        let error = error::CallError::unavailable("no_routing_right", message);
        Err((error, outcome::OutcomeCause::Region))
    }

    pub(crate) fn apply_announcement(&self, announcement: announce::Announcement) {
        let (wall, now) = (self.wall_ms(), self.now());
        self.routing().apply_announcement(&announcement, wall, now);
    }

    /// Returns the identity of this entry in messages to control.
    pub(crate) fn node_identity(&self) -> usher_wire::message::NodeIdentity {
        usher_wire::message::NodeIdentity {
            name: self.options.name.to_string(),
            incarnation: self.options.incarnation.get(),
        }
    }
}

/// Counts a call as running until the guard is dropped.
pub(crate) struct RunningGuard<P>
where
    P: types::EntryTypes,
{
    core: sync::Arc<EntryCore<P>>,
}

impl<P> RunningGuard<P>
where
    P: types::EntryTypes,
{
    pub(crate) fn new(core: sync::Arc<EntryCore<P>>) -> Self {
        core.running.fetch_add(1, atomic::Ordering::SeqCst);
        Self { core }
    }
}

impl<P> Drop for RunningGuard<P>
where
    P: types::EntryTypes,
{
    fn drop(&mut self) {
        self.core.running.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
