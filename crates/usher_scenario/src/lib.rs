//! Scenario scripts against the real daemons, for tests only.
//!
//! For: a small language of faults and expectations, the relay that cuts links, and the set of
//! processes that a script controls. Not for: a model of hosts or networks.

mod error;
mod parser;
mod relay;
mod step;

pub use error::{ParseScriptError, ScenarioError};
pub use parser::parse_script;
pub use relay::{LinkRelay, LinkState};
pub use step::{LoadKind, ProcessKind, ProcessName, ScriptLine, ScriptStep};
