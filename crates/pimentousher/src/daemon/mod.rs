//! The daemons: settings to options to node, until a signal. Not for: what nodes do.

mod control;
mod entry;
mod logging;
mod metrics;
mod program;
mod recorder;
mod signal;

pub use control::{control_options, run_control};
pub use entry::{control_addresses, entry_options, entry_policy, run_entry};
pub use logging::start_log;
pub use metrics::metric_client;
pub use program::{daemon_arguments, DaemonArgs};
pub use recorder::{BurnRecorder, BurnSink};
pub use signal::wait_for_stop;
