//! Calls of models: from the caller's body to the engine's stream and back. Not for: plain services.

mod call;
mod chunk;
mod collector;
mod dispatch;
mod handler;
mod handover;
mod list;
mod prompt;
mod relay;
mod sse;
mod stream;

pub(crate) use handler::{chat, complete};
pub(crate) use list::list;
