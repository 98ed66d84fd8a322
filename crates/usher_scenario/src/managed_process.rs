//! A process of a scenario, which is started, signalled and ended by its id.

use std::{fs, io, path, process, time};

use nix::{sys::signal, unistd};

/// Timeout for the exit of a process after SIGTERM.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Interval at which the exit of a process is checked.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// A program with its arguments and, while it runs, its process.
pub(crate) struct ManagedProcess {
    program: path::PathBuf,
    arguments: Vec<String>,
    log: path::PathBuf,
    child: Option<process::Child>,
}

impl ManagedProcess {
    /// Starts a program and appends its output to the file `log`.
    pub(crate) fn start(
        program: path::PathBuf,
        arguments: Vec<String>,
        log: path::PathBuf,
    ) -> io::Result<Self> {
        let mut managed = Self {
            program,
            arguments,
            log,
            child: None,
        };
        managed.restart()?;
        Ok(managed)
    }

    /// Starts the program unless it is already running.
    pub(crate) fn restart(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = process::Command::new(&self.program)
            .args(&self.arguments)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns whether the script has started the process and not ended it.
    pub(crate) fn should_run(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the process exited although the script has not ended it.
    pub(crate) fn has_exited(&mut self) -> bool {
        let ended = self.child.as_mut().map(process::Child::try_wait);
        matches!(ended, Some(Ok(Some(_)) | Err(_)))
    }

    /// Sends a signal to the process; fails if the script has ended it.
    pub(crate) fn signal(&self, signal: signal::Signal) -> io::Result<()> {
        let Some(child) = &self.child else {
            return Err(io::Error::other("the process is not running"));
        };
        let id = i32::try_from(child.id()).map_err(io::Error::other)?;
        Ok(signal::kill(unistd::Pid::from_raw(id), signal)?)
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Ends the process with SIGTERM and returns its exit code, or `None` if it had to be killed.
    pub(crate) async fn stop(&mut self) -> io::Result<Option<i32>> {
        self.signal(signal::Signal::SIGTERM)?;
        let Some(mut child) = self.child.take() else {
            return Ok(None);
        };
        let start = time::Instant::now();
        while start.elapsed() < STOP_TIMEOUT {
            if let Some(status) = child.try_wait()? {
                return Ok(status.code());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        child.kill()?;
        child.wait()?;
        Ok(None)
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        // SIGKILL also ends a suspended process.
        let _ = self.kill();
    }
}
