//! A row of the sheet. Not for: parsing it.

use crate::sheet::count;

usher_types::value_type! {
    /// The targets that the planners request for a service in a region.
    pub struct SheetRow {
        /// Service name that callers use.
        pub service: usher_types::ServiceName,
        /// Kind of its targets.
        pub kind: usher_types::TargetKind,
        /// Region of the targets.
        pub region: usher_types::RegionName,
        /// Model of the engines; `None` for plain services.
        pub model: Option<usher_types::ModelName>,
        /// Version of the model; `None` for plain services.
        pub version: Option<usher_types::VersionName>,
        /// Adapters loaded with the model, sorted by name.
        pub adapters: Vec<usher_types::AdapterName>,
        /// Number of engines that only do prefill.
        pub prefill: count::CountRange,
        /// Number of engines that only do decode.
        pub decode: count::CountRange,
        /// Number of engines that do both, or of plain targets.
        pub mixed: count::CountRange,
        /// Minimum number of targets that planned changes must leave in service.
        pub floor: u32,
    }
}

impl SheetRow {
    /// Returns the service and region, which identify the row.
    pub fn key(&self) -> (&usher_types::ServiceName, &usher_types::RegionName) {
        (&self.service, &self.region)
    }

    /// Returns the maximum number of targets over all roles.
    pub fn max_targets(&self) -> u32 {
        self.prefill.max + self.decode.max + self.mixed.max
    }

    /// Returns the minimum number of targets over all roles.
    pub fn min_targets(&self) -> u32 {
        self.prefill.min + self.decode.min + self.mixed.min
    }

    /// Returns the count range of a role.
    pub fn range(&self, role: usher_types::EngineRole) -> count::CountRange {
        match role {
            usher_types::EngineRole::Mixed => self.mixed,
            usher_types::EngineRole::Prefill => self.prefill,
            usher_types::EngineRole::Decode => self.decode,
        }
    }

    /// Returns the cells in the order of `SHEET_COLUMNS`.
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

/// Quotes a cell if it contains a separator, a quote or a line break.
fn quote(cell: &str) -> String {
    if cell.contains([',', '"', ';', '\n', '\r']) {
        format!("\"{}\"", cell.replace('"', "\"\""))
    } else {
        cell.to_owned()
    }
}
