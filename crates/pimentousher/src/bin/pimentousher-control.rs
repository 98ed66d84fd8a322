//! Runs a control node.

use std::{env, process};

use pimentousher::{daemon, error};

const PURPOSE: &str = "Runs a control node: consensus, configuration, claims, orders and grants.";

fn main() -> process::ExitCode {
    match run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("pimentousher-control: {report}");
            let error = report.downcast_ref::<error::CommandError>();
            process::ExitCode::from(error.map_or(1, error::CommandError::exit_code))
        }
    }
}

fn run() -> eyre::Result<()> {
    let arguments = env::args_os().skip(1);
    match daemon::parse_daemon_args("pimentousher-control", PURPOSE, arguments)? {
        daemon::DaemonArgs::Print(text) => print!("{text}"),
        daemon::DaemonArgs::Run(settings) => {
            let runtime = tokio::runtime::Runtime::new()?;
            runtime.block_on(daemon::run_control(&settings))?;
        }
    }
    Ok(())
}
