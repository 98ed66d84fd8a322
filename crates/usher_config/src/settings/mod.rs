//! The INI settings file of a process. Not for: the planners' sheet.

mod accounts;
mod control;
mod error;
mod fake;
mod gateway;
mod limits;
mod links;
mod node;
mod objectives;
mod orders;
mod output;
mod outside;
mod process;
mod reader;
mod routing;
mod value;

pub use accounts::{AccountSettings, TeamAccount};
pub use control::{ControlGroup, ControlMember};
pub use error::{SettingsError, SettingsErrors};
pub use fake::{FakeEngineSettings, FakeSettings};
pub use gateway::{GatewaySettings, RegistrarSettings, SeedSettings};
pub use limits::LimitSettings;
pub use links::LinkSettings;
pub use node::NodeSettings;
pub use objectives::ObjectiveSettings;
pub use orders::OrderSettings;
pub use output::{LogSettings, MetricSettings};
pub use outside::{DutyKind, OutsideSettings, UsageSettings};
pub use process::{
    setting_keys, ControlSettings, EntrySettings, OperatorSettings, ProcessSettings, SettingKey,
};
pub use routing::RoutingSettings;
pub use value::{ControlPart, LogFormat, ShareValue};
