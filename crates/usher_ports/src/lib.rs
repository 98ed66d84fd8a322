//! Reserves TCP ports for processes that tests and scenarios start.
//!
//! For: addresses that must be known before their process listens on them, or that stay the same over
//! its restarts. Not for: listeners of the test itself, which bind port 0, and not part of the product.

mod reserved_port;

pub use reserved_port::{reserve_address, ReservedPort};
