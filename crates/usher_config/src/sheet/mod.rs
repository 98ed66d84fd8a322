//! The planners' CSV sheet, which sets the number of targets per service and region. Not for:
//! the settings of a process.

mod count;
mod difference;
mod error;
mod reader;
mod row;
mod rules;

pub use count::{CountRange, ParseCountError};
pub use difference::{CellChange, RowChange, SheetDifference};
pub use error::{SheetError, SheetErrors};
pub use row::SheetRow;

/// The columns of the sheet, in the order of the canonical form.
pub const SHEET_COLUMNS: [&str; 10] = [
    "service", "kind", "region", "model", "version", "adapters", "prefill", "decode", "mixed",
    "floor",
];

/// Size limit of a sheet; a fleet of 760 engines needs less than a tenth of it.
pub const MAX_SHEET_BYTES: usize = 1024 * 1024;

/// A validated sheet with one row per service and region, sorted by both.
///
/// ```
/// use usher_config::FleetSheet;
/// let text = "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n\
///             assist,engine,south-a,gum-8b,3,,0,0,4,2\n";
/// let sheet = FleetSheet::parse(text).unwrap();
/// assert_eq!(sheet.rows()[0].mixed.max, 4);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSheet {
    rows: Vec<SheetRow>,
}

impl FleetSheet {
    /// Parses and validates a sheet. An empty text gives the empty sheet, which is configuration
    /// version 0.
    ///
    /// # Errors
    ///
    /// Returns all errors of the sheet, sorted by line.
    pub fn parse(text: &str) -> Result<Self, SheetErrors> {
        let mut rows = reader::read_rows(text)?;
        rows.sort_by(|a, b| a.key().cmp(&b.key()));
        Ok(Self { rows })
    }

    /// Parses and validates a sheet from the bytes of a file.
    ///
    /// # Errors
    ///
    /// Returns all errors of the sheet; bytes that aren't valid UTF-8 are an error.
    pub fn parse_bytes(bytes: &[u8]) -> Result<Self, SheetErrors> {
        let text = reader::decode(bytes)?;
        Self::parse(text)
    }

    /// Returns the rows, sorted by service and region.
    pub fn rows(&self) -> &[SheetRow] {
        &self.rows
    }

    /// Returns whether the sheet has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the row of a service in a region.
    pub fn row(
        &self,
        service: &usher_types::ServiceName,
        region: &usher_types::RegionName,
    ) -> Option<&SheetRow> {
        let found = self
            .rows
            .binary_search_by(|row| row.key().cmp(&(service, region)))
            .ok()?;
        self.rows.get(found)
    }

    /// Returns an iterator over the rows of a service, one per region.
    pub fn service_rows<'a>(
        &'a self,
        service: &'a usher_types::ServiceName,
    ) -> impl Iterator<Item = &'a SheetRow> {
        self.rows.iter().filter(move |row| &row.service == service)
    }

    /// Returns the distinct services in sorted order.
    pub fn services(&self) -> Vec<&usher_types::ServiceName> {
        let mut names: Vec<_> = self.rows.iter().map(|row| &row.service).collect();
        names.dedup();
        names
    }

    /// Returns the changes from `old` to this sheet.
    pub fn difference(&self, old: &Self) -> SheetDifference {
        difference::compare(old, self)
    }

    /// Formats the sheet in its canonical form, in which equal sheets have equal text.
    pub fn to_csv(&self) -> String {
        let mut text = SHEET_COLUMNS.join(",");
        text.push('\n');
        for row in &self.rows {
            text.push_str(&row.to_line());
        }
        text
    }
}
