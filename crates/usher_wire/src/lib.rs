//! Messages and framing between the system's own processes.
//!
//! Covers the messages, connections with a versioned hello, calls and replies, and how a large
//! message that resembles the one before is sent by what differs. Not for: the meaning of messages,
//! nor for HTTP.

mod call;
mod codec;
mod delta;
mod error;
mod server;
mod stream;

/// Generated message types; written by `cargo run -p wire_gen`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod message {
    include!("generated/usher.rs");
}

pub use call::CallClient;
pub use codec::{EnvelopeCodec, MAX_FRAME_BYTES};
pub use error::{CallError, WireError};
pub use server::{serve, CallHandler};
pub use stream::{accept, connect, WireIdentity, WireStream, PROTOCOL_VERSION, TCP_USER_TIMEOUT};
