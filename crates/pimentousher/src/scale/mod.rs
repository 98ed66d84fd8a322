//! Slopes of state, messages and processor time, for the page on capacity. Not for: experiments
//! of the policies, which run in virtual time.
//!
//! Every part measures a figure at four or more sizes, fits a line, and reads the line at the
//! target size. Figures depend on the machine and on what else runs on it.

mod control_cost;
mod entry_cost;
mod line_fit;
mod policy_cost;
mod report;
mod resident_memory;
mod state_cost;

use std::io;

pub use line_fit::LineFit;
pub use report::{ScaleReport, ScaleRow};

/// Measures all parts; takes about two minutes.
///
/// # Errors
///
/// Fails when a part can't start on loopback.
pub fn measure_scale() -> io::Result<ScaleReport> {
    // What is measured stays in memory until the end: rows that grow in memory freed by earlier
    // ones would read too little.
    let mut policies = policy_cost::PolicyStates::new();
    let mut states = state_cost::FleetStates::new();
    let mut rows = policies.measure();
    rows.extend(states.measure());
    rows.extend(control_cost::measure()?);
    rows.extend(entry_cost::measure()?);
    Ok(ScaleReport { rows })
}
