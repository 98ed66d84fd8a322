//! Runs scenario scripts against the real daemons, for tests only.
//!
//! Contains a small language of faults and expectations, a generator of random scripts, a relay
//! that injects network faults, and the processes that a script controls. Not for: simulating
//! hosts or networks.

mod caller;
mod error;
mod link_table;
mod load;
mod managed_process;
mod parser;
mod relay;
mod runner;
mod settings_file;
mod soak;
mod step;

pub use error::{ParseScriptError, ScenarioError};
pub use link_table::LinkTable;
pub use parser::parse_script;
pub use relay::LinkRelay;
pub use runner::ScenarioRunner;
pub use soak::soak_script;
pub use step::{LoadKind, ProcessKind, ProcessName, ScriptLine, ScriptStep};
