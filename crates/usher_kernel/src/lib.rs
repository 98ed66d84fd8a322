//! Micro-kernel: services find each other by name, and stop in order.
//!
//! For: wiring a daemon at its start and stopping it gracefully. Not for: the request path;
//! services keep the handles that they looked up once.

mod error;
mod registry;
mod stop;

pub use error::KernelError;
pub use registry::{ServiceHandle, ServiceRegistry};
pub use stop::{StopSignal, StopSource};
