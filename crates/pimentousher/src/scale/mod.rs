//! Slopes of state, messages and processor time, for the page on capacity. Not for: experiments
//! of the policies, which run in virtual time.
//!
//! Every part measures a figure at four or more sizes, fits a line, and reads the line at the
//! target size. Figures depend on the machine and on what else runs on it.

mod control_part;
mod entry_part;
mod fit;
mod policy_part;
mod report;
mod resident;
mod state_part;

use std::io;

pub use fit::LineFit;
pub use report::{ScaleReport, ScaleRow};

/// Measures all parts; takes about two minutes.
///
/// # Errors
///
/// Fails when a part can't start on loopback.
pub fn measure_scale() -> io::Result<ScaleReport> {
    let mut rows = policy_part::measure();
    rows.extend(state_part::measure());
    rows.extend(control_part::measure()?);
    rows.extend(entry_part::measure()?);
    Ok(ScaleReport { rows })
}
