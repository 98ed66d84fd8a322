//! Settings in INI and the planners' sheet in CSV, checked as a whole.
//!
//! For: reading, checking, comparing and writing both files. Not for: acting on them.

mod installation;
mod settings;
mod sheet;

pub use installation::{check_installation, CheckedFile, FileContent};
pub use settings::{
    setting_keys, AccountSettings, ControlGroup, ControlMember, ControlPart, ControlSettings,
    EntrySettings, FakeEngineSettings, FakeSettings, GatewaySettings, LimitSettings, LinkSettings,
    LogFormat, LogSettings, MetricSettings, NodeSettings, ObjectiveSettings, OperatorSettings,
    OrderSettings, ProcessSettings, RegistrarSettings, RoutingSettings, SeedSettings, SettingKey,
    SettingsError, SettingsErrors, ShareValue, TeamAccount,
};
pub use sheet::{
    CellChange, CountRange, FleetSheet, ParseCountError, RowChange, SheetDifference, SheetError,
    SheetErrors, SheetRow, MAX_SHEET_BYTES, SHEET_COLUMNS,
};
