//! State shared between the driver, which changes it, and the handles, which read it. Not for:
//! commands.

use std::sync;

use tokio::sync::watch;

use crate::status;

/// The replicated state machine and its applied index.
#[derive(Debug)]
pub(crate) struct AppliedState<M> {
    pub(crate) machine: M,
    pub(crate) index: u64,
}

#[derive(Debug)]
pub(crate) struct SharedState<M> {
    pub(crate) state: sync::RwLock<AppliedState<M>>,
    pub(crate) status: sync::RwLock<status::ReplicaStatus>,
    pub(crate) applied: watch::Sender<usher_types::LogIndex>,
    /// Reason why the driver stopped, `None` while it runs; empty after a regular stop.
    pub(crate) stopped: watch::Sender<Option<String>>,
}

impl<M> SharedState<M> {
    pub(crate) fn read_state(&self) -> sync::RwLockReadGuard<'_, AppliedState<M>> {
        self.state
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub(crate) fn write_state(&self) -> sync::RwLockWriteGuard<'_, AppliedState<M>> {
        self.state
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub(crate) fn read_status(&self) -> sync::RwLockReadGuard<'_, status::ReplicaStatus> {
        self.status
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub(crate) fn write_status(&self) -> sync::RwLockWriteGuard<'_, status::ReplicaStatus> {
        self.status
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
