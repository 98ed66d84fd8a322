//! Why a program ends without success. Not for: errors of single requests.

/// Tells why a command or daemon failed, and with which exit code it ends.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line or a settings file is wrong; nothing was done. Exit code 2.
    #[error("{0}")]
    Usage(String),
    /// The command did not succeed. Exit code 1.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    /// Makes an error of the command line that points to the help.
    pub fn usage(command: &str, message: impl std::fmt::Display) -> Self {
        let space = if command.is_empty() { "" } else { " " };
        Self::Usage(format!(
            "{message}\nrun `pimentousher{space}{command} --help` for the options"
        ))
    }

    /// Makes an error of a command that was understood.
    pub fn failed(message: impl std::fmt::Display) -> Self {
        Self::Failed(message.to_string())
    }

    /// Returns the exit code of the process.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Failed(_) => 1,
        }
    }
}
