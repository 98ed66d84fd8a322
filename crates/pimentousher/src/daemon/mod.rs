//! Runs the daemons: reads settings, builds the options of a node and runs it until a stop signal.
//! Not for: the behaviour of the nodes themselves.

mod burn_recorder;
mod control;
mod daemon_args;
mod entry;
mod gateway;
mod launcher;
mod logging;
mod metrics;
mod process_limits;
mod registrar;
mod settings_watch;
mod signal;

pub use burn_recorder::{BurnRecorder, BurnSink};
pub use control::{control_options, run_control};
pub use daemon_args::{parse_daemon_args, DaemonArgs};
pub use entry::{control_addresses, entry_options, entry_policy, run_entry};
pub use gateway::{gateway_options, run_gateway};
pub use launcher::run_daemon;
pub use logging::{start_log, start_output_log};
pub use metrics::metric_client;
pub use registrar::{registrar_options, run_registrar};
pub use signal::{ReloadSignal, StopListener};
