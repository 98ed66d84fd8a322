//! The daemons: settings to options to node, until a signal. Not for: what nodes do.

mod control;
mod entry;
mod logging;
mod metrics;
mod program;
mod signal;

pub use control::{control_options, run_control};
pub use entry::run_entry;
pub use logging::start_log;
pub use metrics::metric_client;
pub use program::{daemon_arguments, DaemonArgs};
pub use signal::wait_for_stop;
