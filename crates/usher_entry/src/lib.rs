//! Library of the entry daemon: serves callers, routes calls to targets, resumes broken streams.
//!
//! It covers everything between a caller's request and a target's answer, and the control
//! connection.
//!
//! Not for: routing decisions, which are made in `usher_policy`, nor for reading settings.

mod accounts;
mod announce;
mod attempt;
mod body;
mod builder;
mod cache_events;
mod call_record;
mod client;
mod config;
mod connection_pool;
mod core;
mod error;
mod explain;
mod health;
mod heartbeat;
mod identity;
mod link;
mod metrics;
mod model;
mod node;
mod notice;
mod options;
mod outcome;
mod plain;
mod policy;
mod refusal;
mod right;
mod routing;
mod server;
mod types;

pub use accounts::AccountDirectory;
pub use announce::{AnnounceReply, AnnouncedLoad, Announcement};
pub use builder::EntryBuilder;
pub use config::{ConfigState, ConfigStore};
pub use explain::{DecisionRecord, RecordRing, MAX_RECORDS};
pub use link::{ControlLink, LinkError, MemoryControl, MemoryLink, WireLink};
pub use metrics::EntryMetrics;
pub use node::{EntryNode, EntryStatus};
pub use options::EntryOptions;
pub use outcome::{NullOutcomes, OutcomeCause, OutcomeEvent, OutcomeSink};
pub use policy::DecisionPolicy;
pub use right::RoutingRight;
pub use types::{EntryTypes, TypeSet};
