//! Measures how memory, messages and CPU time grow with the size of an installation, for
//! docs/CAPACITY.md. Not for: experiments on policies in virtual time (`usher_bench`).
//!
//! Each figure is measured at four or more sizes, and a line fitted through them is evaluated at
//! the target size: an installation with 760 targets, 340 entries, 8 control nodes, 11,000 teams
//! with a route each, and 4,900 requests per second. The figures depend on the machine and its
//! other load.

mod control_cost;
mod entry_cost;
mod line_fit;
mod policy_cost;
mod report;
mod resident_memory;
mod route_cost;
mod state_cost;

use std::io;

pub use line_fit::LineFit;
pub use report::{ScaleReport, ScaleRow};

/// Measures all figures; takes about two minutes.
///
/// # Errors
///
/// Fails if a node can't start on loopback, a call fails, or `/proc` can't be read.
pub fn measure_scale() -> io::Result<ScaleReport> {
    // The measured structures are kept until the end: a structure that grew into memory freed by an
    // earlier one would appear too small.
    let mut policies = policy_cost::PolicyStates::new();
    let mut states = state_cost::FleetStates::new();
    let mut rows = policies.measure();
    rows.extend(states.measure());
    rows.extend(route_cost::measure());
    rows.extend(control_cost::measure()?);
    rows.extend(entry_cost::measure()?);
    Ok(ScaleReport { rows })
}
