//! Crowds of callers that send more than they may, stop before the end of their requests or don't
//! read their answers, and what they cost a process.
//!
//! For: tests of real processes on loopback. Not for: load tests.

mod crowd;
mod process_cost;
mod request;

pub use crowd::{Crowd, CrowdRequest};
pub use process_cost::ProcessCost;
pub use request::RequestHead;
