//! Settings in INI and the planners' sheet in CSV, checked as a whole.
//!
//! For: reading, checking, comparing and writing both files. Not for: acting on them.

mod sheet;

pub use sheet::{
    CellChange, CountRange, FleetSheet, ParseCountError, RowChange, SheetDifference, SheetError,
    SheetErrors, SheetRow, MAX_SHEET_BYTES, SHEET_COLUMNS,
};
