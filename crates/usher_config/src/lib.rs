//! Reads and checks the INI settings of each process and the planners' CSV sheet of the fleet.
//!
//! All errors of a file are reported at once. Sheets can also be compared and written.
//! Not for: acting on either file.

mod installation;
mod settings;
mod sheet;

pub use installation::{check_installation, CheckedFile, FileContent};
pub use settings::{
    setting_keys, AccountSettings, ControlGroup, ControlMember, ControlPart, ControlSettings,
    DutyKind, EntrySettings, FakeEngineSettings, FakeSettings, GatewaySettings, LimitSettings,
    LinkSettings, LogFormat, LogSettings, MetricSettings, NodeSettings, ObjectiveSettings,
    OperatorSettings, OrderSettings, OutsideSettings, ProcessSettings, RegistrarSettings,
    RoutingSettings, SeedSettings, SettingKey, SettingsError, SettingsErrors, ShareValue,
    TeamAccount, UsageSettings,
};
pub use sheet::{
    CellChange, CountRange, FleetSheet, ParseCountError, RowChange, SheetDifference, SheetError,
    SheetErrors, SheetRow, MAX_SHEET_BYTES, SHEET_COLUMNS,
};
