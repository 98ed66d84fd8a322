//! The steps of a script. Not for: reading them from text.

use std::{fmt, time};

/// Names a process of a scenario, such as `control-1`, or a part played, such as `leader`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProcessName(String);

impl ProcessName {
    /// Makes a name.
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
    /// What kind of calls a load sends.
    pub enum LoadKind {
        /// Streams from an engine; idempotent.
        Chat,
        /// Plain calls with an idempotency key, each sent twice through different entries.
        Order,
    }
}

usher_types::value_type! {
    /// Which program a process runs.
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
    /// Returns the first part of the names of such processes.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Entry => "entry",
            Self::Engine => "engine",
            Self::Plain => "plain",
        }
    }
}

/// One thing that a script does or expects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ScriptStep {
    /// Starts `count` processes of a kind.
    Start {
        /// Which program.
        kind: ProcessKind,
        /// How many.
        count: u16,
    },
    /// Starts calls in the background, spread over all entries.
    Load {
        /// Kind of calls.
        kind: LoadKind,
        /// How many calls.
        count: u32,
    },
    /// Sends a sheet of `targets` rows as a configuration change and waits for its acceptance.
    Apply {
        /// Operator of the change.
        operator: String,
        /// Request id of the change; the same id again is a resend.
        request: String,
    },
    /// Sends two different sheets on the same base version through two nodes at once.
    Race,
    /// Ends a process with SIGKILL.
    Kill(ProcessName),
    /// Stops a process with SIGTERM and expects exit code 0.
    Stop(ProcessName),
    /// Starts a process again that was killed or stopped.
    Restart(ProcessName),
    /// Suspends a process with SIGSTOP.
    Freeze(ProcessName),
    /// Resumes a process with SIGCONT.
    Thaw(ProcessName),
    /// Empties the data folder of a process that doesn't run.
    Wipe(ProcessName),
    /// Holds all bytes between two processes, or between one and all others, without a reset.
    Cut {
        /// One side.
        from: ProcessName,
        /// Other side; `None` means all.
        to: Option<ProcessName>,
    },
    /// Holds what one process sends to another, while the answers pass.
    CutOneWay {
        /// Sending side.
        from: ProcessName,
        /// Receiving side.
        to: ProcessName,
    },
    /// Delays what passes from and to a process.
    Delay {
        /// The process.
        name: ProcessName,
        /// Delay of each piece.
        delay: time::Duration,
    },
    /// Resets the open connections from and to a process.
    Reset(ProcessName),
    /// Lets all held bytes go on, without delay.
    Heal,
    /// Waits a fixed time, to let a fault last.
    Pause(time::Duration),
    /// Waits until all entries are ready.
    AwaitReady(time::Duration),
    /// Waits until the loads have ended.
    AwaitLoad(time::Duration),
    /// Expects that every accepted call was answered whole.
    ExpectWhole,
    /// Expects that no non-idempotent call ran twice.
    ExpectOnce,
    /// Expects exactly one accepted and one conflicting change of the last race.
    ExpectOneWinner,
    /// Expects that all entries act on the newest accepted configuration.
    ExpectConfig(time::Duration),
    /// Expects that the leader calls the newest accepted configuration in force everywhere.
    ExpectInForce(time::Duration),
    /// Expects that at least this share of calls, in percent, was accepted.
    ExpectAccepted(u8),
}

/// A step and where it stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScriptLine {
    /// Number of the line, from 1.
    pub line: usize,
    /// The step.
    pub step: ScriptStep,
}
