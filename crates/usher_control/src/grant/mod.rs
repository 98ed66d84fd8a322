//! Routing rights, capacity shares, the registry of targets, and the relay between control nodes.
//! Not for: orders.

mod expiry_task;
mod leader_state;
mod relay_task;
mod served_entries;
mod sync_service;

pub(crate) use expiry_task::run_expiry;
pub(crate) use leader_state::{answer_relay, lock as lock_leader, LeaderState};
pub(crate) use relay_task::{run_relay, RelayContext};
pub(crate) use served_entries::ServedEntries;
pub(crate) use sync_service::SyncService;
