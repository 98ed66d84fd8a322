//! Accounts an attempt of a call to its target.
//!
//! Not for: sending and receiving bytes.

use std::{net, sync};

use usher_policy::{AttemptId, CallRequest, FailureKind, TargetSlot};

use crate::{core, policy::DecisionPolicy as _, types};

/// An attempt accounted to a target until it ends; dropping the guard cancels the attempt.
pub(crate) struct AttemptGuard<P>
where
    P: types::EntryTypes,
{
    core: sync::Arc<core::EntryCore<P>>,
    id: AttemptId,
    pub(crate) name: usher_types::TargetName,
    pub(crate) region: usher_types::RegionName,
    pub(crate) address: net::SocketAddr,
    pub(crate) incarnation: usher_types::IncarnationId,
    // Request id on the engine; `None` for plain targets.
    engine_id: Option<usher_types::RequestId>,
    open: bool,
}

impl<P> AttemptGuard<P>
where
    P: types::EntryTypes,
{
    /// Accounts a call to a target; returns `None` if the target has just been removed.
    pub(crate) fn begin(
        core: &sync::Arc<core::EntryCore<P>>,
        request: &CallRequest,
        slot: TargetSlot,
        engine_id: Option<usher_types::RequestId>,
    ) -> Option<Self> {
        let now = core.now();
        let mut routing = core.routing();
        let (name, target) = routing.target(slot)?;
        let (address, incarnation) = (target.address, target.incarnation);
        let region = routing.policy.target(slot)?.region.clone();
        let id = routing.policy.on_sent(request, slot, now);
        drop(routing);
        Some(Self {
            core: core.clone(),
            id,
            name,
            region,
            address,
            incarnation,
            engine_id,
            open: true,
        })
    }

    /// Returns the state of the entry.
    pub(crate) fn core(&self) -> &core::EntryCore<P> {
        &self.core
    }

    /// Records what the head of an answer says of the target.
    pub(crate) fn record_head<B>(&self, answer: &http::Response<B>) {
        self.core.record_head(&self.name, self.incarnation, answer);
    }

    pub(crate) fn first_token(&self) {
        let now = self.core.now();
        self.core.routing().policy.on_first_token(self.id, now);
    }

    pub(crate) fn progress(&self, total: u64) {
        let now = self.core.now();
        self.core.routing().policy.on_progress(self.id, total, now);
    }

    /// Ends the attempt after its complete answer.
    pub(crate) fn finish(mut self) {
        self.open = false;
        let now = self.core.now();
        self.core.routing().policy.on_finished(self.id, now);
    }

    /// Ends the attempt because another target continues the call.
    pub(crate) fn hand_over(mut self) {
        self.open = false;
        let now = self.core.now();
        self.core.routing().policy.on_finished(self.id, now);
        self.cancel_on_engine();
    }

    /// Ends the attempt without a complete answer.
    pub(crate) fn fail(mut self, kind: FailureKind) {
        self.close(kind);
    }

    fn close(&mut self, kind: FailureKind) {
        if !std::mem::take(&mut self.open) {
            return;
        }
        let now = self.core.now();
        self.core.routing().fail(self.id, kind, now);
        if matches!(kind, FailureKind::Broken | FailureKind::Cancelled) {
            self.cancel_on_engine();
        }
    }

    /// Cancels the request on the engine, as its answer is no longer needed.
    fn cancel_on_engine(&mut self) {
        if self.core.options.disabled.cancel {
            return;
        }
        let Some(engine_id) = self.engine_id.take() else {
            return;
        };
        let (client, address) = (self.core.client.clone(), self.address);
        // Without a runtime the process is exiting, which closes its connections.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { client.cancel(address, &engine_id).await });
        }
    }
}

impl<P> Drop for AttemptGuard<P>
where
    P: types::EntryTypes,
{
    fn drop(&mut self) {
        self.close(FailureKind::Cancelled);
    }
}
