//! Command-line tool for operators.

use std::{env, io, io::Write as _, process};

fn main() -> process::ExitCode {
    match run() {
        Ok(code) => code,
        Err(report) => {
            eprintln!("pimentousher: {report}");
            let error = report.downcast_ref::<pimentousher::error::CommandError>();
            process::ExitCode::from(error.map_or(1, pimentousher::error::CommandError::exit_code))
        }
    }
}

fn run() -> eyre::Result<process::ExitCode> {
    let output = pimentousher::command::run(env::args_os().skip(1))?;
    match io::stdout().write_all(output.text.as_bytes()) {
        // A reader such as `head` may close the pipe early; that is not an error.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => {}
        written => written?,
    }
    Ok(process::ExitCode::from(u8::from(output.failed)))
}
