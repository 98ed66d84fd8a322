//! Simulated engines and plain services, for tests and the demo only.
//!
//! They are real HTTP servers on loopback that announce themselves to entries, simulate
//! processing times and inject faults on demand. Not for: experiments in virtual time, and not
//! part of the product.

mod announce;
mod batch;
mod cache;
mod engine;
mod engine_http;
mod engine_options;
mod faults;
mod macros;
mod notice;
mod order;
mod prompt;
mod run;
mod server;
mod service;
mod service_options;
mod sse;
mod tokens;

pub use announce::{Announcement, LoadSnapshot};
pub use cache::{CacheEvent, CacheEventKind, CacheEventPage};
pub use engine::FakeEngine;
pub use engine_options::EngineOptions;
pub use faults::{EngineFaults, FaultRequest};
pub use order::{EngineShape, OrderRecord, OrderRequest, OrderState};
pub use prompt::{count_tokens, prefix_hashes, prompt_text, BYTES_PER_TOKEN};
pub use run::{run_fake_engine, run_fake_service};
pub use service::{CallCounts, FakeService};
pub use service_options::{ServiceBehaviour, ServiceOptions};
pub use tokens::{reply_text, token_text};
