//! The steps of a script. Not for: parsing them.

use std::{fmt, time};

/// The name of a process in a scenario, such as `control-1`, or of a role, such as `leader`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProcessName(String);

impl ProcessName {
    /// Creates a name.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ProcessName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

usher_types::value_type! {
    /// The kind of calls that a load sends.
    pub enum LoadKind {
        /// Streaming calls to an engine; idempotent.
        Chat,
        /// Plain calls with an idempotency key; retries go through different entries.
        Order,
    }
}

usher_types::value_type! {
    /// The program that a process runs.
    pub enum ProcessKind {
        /// `pimentousher-control`.
        Control,
        /// `pimentousher-entry`.
        Entry,
        /// `fake-engine`.
        Engine,
        /// `fake-service`.
        Plain,
    }
}

impl ProcessKind {
    /// Returns the prefix of the names of such processes.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Entry => "entry",
            Self::Engine => "engine",
            Self::Plain => "plain",
        }
    }
}

/// An action or expectation of a script.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ScriptStep {
    /// Starts a number of processes of a kind.
    Start {
        /// Program to start.
        kind: ProcessKind,
        /// Number of processes.
        count: u16,
    },
    /// Starts calls in the background, distributed over all entries.
    Load {
        /// Kind of calls.
        kind: LoadKind,
        /// Number of calls.
        count: u32,
    },
    /// Sends a new sheet as a configuration change and waits until it is accepted.
    Apply {
        /// Operator that requests the change.
        operator: String,
        /// Request id of the change; repeating an id resends that request.
        request: String,
    },
    /// Sends two different sheets with the same base version through two nodes concurrently.
    Race,
    /// Kills a process with SIGKILL.
    Kill(ProcessName),
    /// Stops a process with SIGTERM and expects exit code 0.
    Stop(ProcessName),
    /// Restarts a process that was killed or stopped.
    Restart(ProcessName),
    /// Suspends a process with SIGSTOP.
    Freeze(ProcessName),
    /// Resumes a process with SIGCONT.
    Thaw(ProcessName),
    /// Deletes the data folder of a process that is not running.
    Wipe(ProcessName),
    /// Partitions two processes, or one from all others: bytes are held back without a reset.
    Cut {
        /// First process.
        from: ProcessName,
        /// Second process; `None` means all others.
        to: Option<ProcessName>,
    },
    /// Holds back the bytes from one process to another; the opposite direction stays open.
    CutOneWay {
        /// Sending process.
        from: ProcessName,
        /// Receiving process.
        to: ProcessName,
    },
    /// Delays the traffic from and to a process.
    Delay {
        /// The process.
        name: ProcessName,
        /// Delay of each chunk of bytes.
        delay: time::Duration,
    },
    /// Resets the open connections from and to a process.
    Reset(ProcessName),
    /// Removes all cuts and delays, so that held bytes are delivered.
    Heal,
    /// Waits for a fixed time, for example while a fault persists.
    Pause(time::Duration),
    /// Waits until all entries are ready.
    AwaitReady(time::Duration),
    /// Waits until all loads have finished.
    AwaitLoad(time::Duration),
    /// Expects that no call got an incomplete or wrong answer.
    ExpectWhole,
    /// Expects that no non-idempotent call was executed twice.
    ExpectOnce,
    /// Expects exactly one accepted and one conflicting change in the last race.
    ExpectOneWinner,
    /// Expects that all entries use the newest accepted configuration.
    ExpectConfig(time::Duration),
    /// Expects that the leader reports the newest accepted configuration as in force everywhere.
    ExpectInForce(time::Duration),
    /// Expects that each call was answered completely, or told that its outcome is unknown and that
    /// it is never run again.
    ExpectSettled,
    /// Expects that at least this percentage of calls was answered completely.
    ExpectAccepted(u8),
}

/// A step with its line number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScriptLine {
    /// Line number, starting at 1.
    pub line: usize,
    /// The step.
    pub step: ScriptStep,
}
