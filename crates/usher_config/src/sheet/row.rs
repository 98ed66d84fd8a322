//! One row of the sheet. Not for: reading it.

use crate::sheet::count;

usher_types::value_type! {
    /// What the planners ask of a service in a region.
    pub struct SheetRow {
        /// Service that callers ask for.
        pub service: usher_types::ServiceName,
        /// What its targets are.
        pub kind: usher_types::TargetKind,
        /// Region of the targets.
        pub region: usher_types::RegionName,
        /// Model of the engines; none for plain services.
        pub model: Option<usher_types::ModelName>,
        /// Version of the model; none for plain services.
        pub version: Option<usher_types::VersionName>,
        /// Adapters on top of the model, in order.
        pub adapters: Vec<usher_types::AdapterName>,
        /// Engines that only do prefill.
        pub prefill: count::CountRange,
        /// Engines that only do decode.
        pub decode: count::CountRange,
        /// Engines that do both, or plain targets.
        pub mixed: count::CountRange,
        /// Targets that planned changes must leave in service.
        pub floor: u32,
    }
}

impl SheetRow {
    /// Returns what a row is found by.
    pub fn key(&self) -> (&usher_types::ServiceName, &usher_types::RegionName) {
        (&self.service, &self.region)
    }

    /// Returns the most targets that the row allows.
    pub fn max_targets(&self) -> u32 {
        self.prefill.max + self.decode.max + self.mixed.max
    }

    /// Returns the least targets that the row allows.
    pub fn min_targets(&self) -> u32 {
        self.prefill.min + self.decode.min + self.mixed.min
    }

    /// Returns the range of a role.
    pub fn range(&self, role: usher_types::EngineRole) -> count::CountRange {
        match role {
            usher_types::EngineRole::Mixed => self.mixed,
            usher_types::EngineRole::Prefill => self.prefill,
            usher_types::EngineRole::Decode => self.decode,
        }
    }

    /// Returns the cells in the order of the columns.
    pub(crate) fn cells(&self) -> [String; super::SHEET_COLUMNS.len()] {
        let adapters: Vec<_> = self.adapters.iter().map(|name| name.as_str()).collect();
        [
            self.service.to_string(),
            self.kind.to_string(),
            self.region.to_string(),
            self.model
                .as_ref()
                .map_or_else(String::new, |name| name.to_string()),
            self.version
                .as_ref()
                .map_or_else(String::new, |name| name.to_string()),
            adapters.join(" "),
            self.prefill.to_string(),
            self.decode.to_string(),
            self.mixed.to_string(),
            self.floor.to_string(),
        ]
    }

    pub(crate) fn to_line(&self) -> String {
        let mut line = self.cells().map(|cell| quote(&cell)).join(",");
        line.push('\n');
        line
    }
}

/// Quotes a cell where the reader needs it.
fn quote(cell: &str) -> String {
    if cell.contains([',', '"', ';', '\n', '\r']) {
        format!("\"{}\"", cell.replace('"', "\"\""))
    } else {
        cell.to_owned()
    }
}
