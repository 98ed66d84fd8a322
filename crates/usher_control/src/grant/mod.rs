//! Grants, the registry and the relay between control nodes. Not for: orders.

mod leader_desk;
mod relay_task;
mod served_entries;
mod sync_service;
mod upkeep_task;

pub(crate) use leader_desk::{answer_relay, lock as lock_desk, LeaderDesk};
pub(crate) use relay_task::{run_relay, RelayParts};
pub(crate) use served_entries::ServedEntries;
pub(crate) use sync_service::SyncService;
pub(crate) use upkeep_task::run_upkeep;
