//! Argument parsing and options that several commands share. Not for: the options of a single
//! command (`command`).

use std::{ffi, net, path, str, time};

use lexopt::ValueExt as _;

use crate::{error, file};

/// Environment variable with the settings file to use if `--settings` isn't given.
pub const SETTINGS_VARIABLE: &str = "PIMENTOUSHER_SETTINGS";

/// Default time limit for finding the leader; an election takes 1 to 3 s.
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Output format of a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// Tables for terminals.
    #[default]
    Table,
    /// One JSON object.
    Json,
    /// One HTML page.
    Html,
}

impl str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            "html" => Ok(Self::Html),
            _ => Err("expected table, json or html".to_owned()),
        }
    }
}

/// Options of commands that send requests to control.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlArgs {
    /// Settings file that lists the control VMs.
    pub settings: Option<path::PathBuf>,
    /// Addresses given on the command line, which replace those of the settings.
    pub control: Vec<net::SocketAddr>,
    /// Time limit for finding the leader.
    pub timeout: time::Duration,
    /// Output format.
    pub format: OutputFormat,
}

/// Help text of the options in [`ControlArgs`].
pub const CONTROL_HELP: &str = "\
  --settings FILE    settings that name the control VMs (default: $PIMENTOUSHER_SETTINGS)
  --control IP:PORT  operators' address of a control VM, in place of settings; may be repeated
  --timeout TIME     how long to look for the leader (default: 15s)
  --format FORMAT    table or json (default: table)
  --help             print this help";

impl Default for ControlArgs {
    fn default() -> Self {
        Self {
            settings: std::env::var_os(SETTINGS_VARIABLE).map(path::PathBuf::from),
            control: Vec::new(),
            timeout: DEFAULT_TIMEOUT,
            format: OutputFormat::Table,
        }
    }
}

impl ControlArgs {
    /// Parses `argument` if it is one of these options; returns whether it was.
    pub(crate) fn parse_option(
        &mut self,
        argument: &OwnedArg,
        parser: &mut ArgReader<'_>,
    ) -> Result<bool, error::CommandError> {
        match argument {
            OwnedArg::Long(name) => match name.as_str() {
                "settings" => self.settings = Some(parser.value()?.into()),
                "control" => self.control.push(parser.parse("IP:PORT")?),
                "timeout" => self.timeout = parser.duration()?,
                "format" => self.format = parser.parse("table or json")?,
                _ => return Ok(false),
            },
            OwnedArg::Value(_) => return Ok(false),
        }
        Ok(true)
    }

    /// Returns the operator addresses of the control VMs.
    ///
    /// # Errors
    ///
    /// Fails if neither addresses nor settings are given, or the settings list no control VMs.
    pub fn addresses(&self) -> Result<Vec<net::SocketAddr>, error::CommandError> {
        if !self.control.is_empty() {
            return Ok(self.control.clone());
        }
        let Some(settings) = &self.settings else {
            return Err(error::CommandError::Usage(format!(
                "no control VM is named: give --settings FILE or --control IP:PORT, or set \
                 {SETTINGS_VARIABLE}"
            )));
        };
        match file::read_settings(settings)? {
            usher_config::ProcessSettings::Operator(settings) => {
                Ok(settings.control.operator_addresses())
            }
            usher_config::ProcessSettings::Entry(settings) => {
                Ok(settings.control.operator_addresses())
            }
            usher_config::ProcessSettings::Control(settings) => {
                Ok(settings.control.operator_addresses())
            }
            usher_config::ProcessSettings::Fake(_)
            | usher_config::ProcessSettings::Gateway(_)
            | usher_config::ProcessSettings::Registrar(_) => {
                Err(error::CommandError::Usage(format!(
                    "{} names no control VMs: give a file with [process] kind = operator",
                    settings.display()
                )))
            }
        }
    }
}

/// Argument that doesn't borrow from the parser.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum OwnedArg {
    /// Option `--name`; the short forms `-h` and `-V` are stored under their long names.
    Long(String),
    /// Positional value.
    Value(ffi::OsString),
}

/// Reads the arguments of one command and creates the errors that point to its help.
pub(crate) struct ArgReader<'a> {
    command: &'a str,
    parser: lexopt::Parser,
    last_option: String,
}

impl<'a> ArgReader<'a> {
    pub(crate) fn new(command: &'a str, parser: lexopt::Parser) -> Self {
        Self {
            command,
            parser,
            last_option: String::new(),
        }
    }

    /// Returns the next argument.
    pub(crate) fn next(&mut self) -> Result<Option<OwnedArg>, error::CommandError> {
        let argument = match self.parser.next() {
            Ok(argument) => argument,
            Err(error) => return Err(error::CommandError::usage(self.command, error)),
        };
        let owned = argument.map(|argument| match argument {
            lexopt::Arg::Short('h') => OwnedArg::Long("help".to_owned()),
            lexopt::Arg::Short('V') => OwnedArg::Long("version".to_owned()),
            lexopt::Arg::Short(letter) => OwnedArg::Long(letter.to_string()),
            lexopt::Arg::Long(name) => OwnedArg::Long(name.to_owned()),
            lexopt::Arg::Value(value) => OwnedArg::Value(value),
        });
        if let Some(OwnedArg::Long(name)) = &owned {
            self.last_option.clone_from(name);
        }
        Ok(owned)
    }

    /// Returns the value of the last option.
    pub(crate) fn value(&mut self) -> Result<ffi::OsString, error::CommandError> {
        self.parser
            .value()
            .map_err(|error| error::CommandError::usage(self.command, error))
    }

    /// Parses the value of the last option; `accepted` describes the valid values in errors.
    pub(crate) fn parse<T>(&mut self, accepted: &str) -> Result<T, error::CommandError>
    where
        T: str::FromStr,
    {
        let value = self.value()?;
        let text = value.string().unwrap_or_default();
        text.parse()
            .map_err(|_| self.invalid_value(&text, accepted))
    }

    /// Parses the value of the last option as a duration such as `15s`.
    pub(crate) fn duration(&mut self) -> Result<time::Duration, error::CommandError> {
        let value = self.value()?;
        let text = value.string().unwrap_or_default();
        humantime::parse_duration(&text)
            .map_err(|_| self.invalid_value(&text, "a duration such as 500ms or 15s"))
    }

    fn invalid_value(&self, text: &str, accepted: &str) -> error::CommandError {
        let message = format!("--{} {text}: expected {accepted}", self.last_option);
        error::CommandError::usage(self.command, message)
    }

    /// Creates a usage error from `reason`, such as the parse error of a value.
    pub(crate) fn usage_error(&self, reason: impl std::fmt::Display) -> error::CommandError {
        error::CommandError::usage(self.command, reason)
    }

    /// Creates an error for an argument that the command doesn't accept.
    pub(crate) fn unexpected_argument(&self, argument: &OwnedArg) -> error::CommandError {
        let shown = match argument {
            OwnedArg::Long(name) => format!("--{name}"),
            OwnedArg::Value(value) => format!("{value:?}"),
        };
        error::CommandError::usage(self.command, format!("argument {shown} is not expected"))
    }

    /// Creates an error for a required argument that is missing.
    pub(crate) fn missing_argument(&self, what: &str) -> error::CommandError {
        error::CommandError::usage(self.command, format!("{what} is missing"))
    }
}
