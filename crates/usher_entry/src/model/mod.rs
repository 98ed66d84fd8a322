//! Serves model calls: parses the caller's body, sends it to an engine and relays the stream back.
//!
//! Not for: plain services.

mod call;
mod chunk;
mod collector;
mod dispatch;
mod handler;
mod handover;
mod list;
mod prompt;
mod quarantine;
mod relay;
mod sse;
mod stream;

pub(crate) use handler::{chat, complete};
pub(crate) use list::list;
