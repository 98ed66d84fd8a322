//! Runs the real programs as processes on free ports.
#![allow(dead_code)] // Each test file uses only some of the helpers.

use std::{
    fs, io, net, path, process, thread,
    time::{Duration, Instant},
};

/// Time limit of a wait for something that normally takes seconds; after it, the test fails as
/// hanging.
pub(crate) const HANG_LIMIT: Duration = Duration::from_secs(60);

pub(crate) use usher_ports::reserve_address as free_address;

/// Folder that is removed on drop.
pub(crate) struct TempFolder(pub(crate) path::PathBuf);

impl TempFolder {
    pub(crate) fn new(name: &str) -> Self {
        let name = format!("{name}-{}", process::id());
        let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }

    pub(crate) fn write(&self, name: &str, text: &str) -> path::PathBuf {
        let file = self.0.join(name);
        fs::write(&file, text).unwrap();
        file
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Process that is killed on drop.
pub(crate) struct Daemon {
    child: process::Child,
}

impl Daemon {
    pub(crate) fn start(program: &str, arguments: &[&str], log: &path::Path) -> Self {
        let mut command = process::Command::new(program);
        command.args(arguments).env_remove("PIMENTOUSHER_SETTINGS");
        Self::spawn(command, log)
    }

    pub(crate) fn spawn(mut command: process::Command, log: &path::Path) -> Self {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let child = command
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Self { child }
    }

    pub(crate) fn signal(&self, signal: nix::sys::signal::Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        nix::sys::signal::kill(nix::unistd::Pid::from_raw(id), signal).unwrap();
    }

    /// Sends SIGTERM and returns the exit code.
    pub(crate) fn terminate(&mut self) -> Option<i32> {
        self.signal(nix::sys::signal::Signal::SIGTERM);
        self.wait()
    }

    pub(crate) fn wait(&mut self) -> Option<i32> {
        until("the process to end", || self.child.try_wait().unwrap()).code()
    }

    pub(crate) fn cost(&self) -> usher_crowd::ProcessCost {
        usher_crowd::ProcessCost::of(&self.child)
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Calls `poll` until it returns a value.
pub(crate) fn until<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + HANG_LIMIT;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(Instant::now() < deadline, "waiting for {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Exit code and output of the command-line program.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: Option<i32>,
    pub(crate) out: String,
    pub(crate) errors: String,
}

impl Run {
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("no JSON: {self:?}"))
    }
}

pub(crate) fn pimentousher(arguments: &[&str]) -> Run {
    let output = process::Command::new(env!("CARGO_BIN_EXE_pimentousher"))
        .args(arguments)
        .env_remove("PIMENTOUSHER_SETTINGS")
        .output()
        .unwrap();
    Run {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).unwrap(),
        errors: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Returns the status of `GET path`, or `None` if there is no response.
pub(crate) fn get_status(address: net::SocketAddr, path: &str) -> Option<u16> {
    use io::{Read as _, Write as _};
    let mut socket = net::TcpStream::connect(address).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    socket.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}
