//! Micro-kernel of a daemon: a service registry by name, and graceful shutdown.
//!
//! Used to wire a daemon at startup and to stop it gracefully. Not for: the request path;
//! services keep the handles that they looked up at startup.

mod error;
mod listener;
mod registry;
mod stop;

pub use error::KernelError;
pub use listener::open_listener;
pub use registry::{ServiceHandle, ServiceRegistry};
pub use stop::{StopSignal, StopSource};
