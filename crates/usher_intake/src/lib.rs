//! Takes connections and request bodies of callers within a budget of memory.
//!
//! For: counting what sockets and bodies hold, and their time limits. Not for: the decision who is
//! refused, which is in `usher_memory`, nor for the answers.

mod acceptor;
mod body_reader;
mod call_memory;
mod caller_memory;
mod held_body;
mod memory_metrics;
mod metered_socket;
mod request_head;
mod router_server;

pub use acceptor::{accept, begins};
pub use body_reader::{BodyFault, BodyReader};
pub use call_memory::CallMemory;
pub use caller_memory::{CallerMemory, ConnectionMemory, EndReason};
pub use held_body::HeldBody;
pub use memory_metrics::MemoryMetrics;
pub use metered_socket::{ConnectionLimits, MeteredSocket};
pub use request_head::head_shape;
pub use router_server::serve_router;
