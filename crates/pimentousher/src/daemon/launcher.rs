//! Shared `main` of the gateway and registrar daemons: finds the settings file, runs the daemon and
//! maps its result to an exit code.

use std::{env, ffi, future, path, process};

use crate::error;

/// Runs a daemon on a single thread, with the settings file given by the first argument or else by
/// the environment variable `variable`.
///
/// The daemon gets only a fraction of a CPU on its hosts, where more threads would only add context
/// switches.
pub fn run_daemon<R, F>(program: &str, variable: &str, run: R) -> process::ExitCode
where
    R: FnOnce(path::PathBuf) -> F,
    F: future::Future<Output = Result<(), error::CommandError>>,
{
    let settings_path: Option<ffi::OsString> =
        env::args_os().nth(1).or_else(|| env::var_os(variable));
    let Some(settings) = settings_path else {
        eprintln!("{program}: no settings: give a file, or set {variable}");
        return process::ExitCode::from(2);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(settings.into())),
        Err(error) => Err(error::CommandError::failed(error)),
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            process::ExitCode::from(error.exit_code())
        }
    }
}
