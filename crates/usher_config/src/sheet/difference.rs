//! Differences between two sheets. Not for: the orders that result from them.

use std::fmt;

use crate::sheet;

usher_types::value_type! {
    /// A cell whose value changed.
    pub struct CellChange {
        /// Name of the column.
        pub column: &'static str,
        /// Old value.
        pub old: String,
        /// New value.
        pub new: String,
    }
}

/// A row that was added, removed or changed.
#[derive(Clone, Debug, PartialEq)]
pub enum RowChange {
    /// The row was added.
    Added(sheet::SheetRow),
    /// The row was removed.
    Removed(sheet::SheetRow),
    /// Some cells of the row have new values.
    Changed {
        /// Old row.
        old: Box<sheet::SheetRow>,
        /// New row.
        new: Box<sheet::SheetRow>,
    },
}

impl RowChange {
    /// Returns the row, in its new version if it was changed.
    pub fn row(&self) -> &sheet::SheetRow {
        match self {
            Self::Added(row) | Self::Removed(row) => row,
            Self::Changed { new, .. } => new,
        }
    }

    /// Returns the changed cells; empty for added and removed rows.
    pub fn cells(&self) -> Vec<CellChange> {
        let Self::Changed { old, new } = self else {
            return Vec::new();
        };
        sheet::SHEET_COLUMNS
            .into_iter()
            .zip(old.cells().into_iter().zip(new.cells()))
            .filter(|(_, (old, new))| old != new)
            .map(|(column, (old, new))| CellChange { column, old, new })
            .collect()
    }
}

impl fmt::Display for RowChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = self.row();
        let location = format!("{} in {}", row.service, row.region);
        match self {
            Self::Added(row) => write!(f, "+ {location}: {}", row.to_line().trim_end()),
            Self::Removed(row) => write!(f, "- {location}: {}", row.to_line().trim_end()),
            Self::Changed { .. } => {
                write!(f, "~ {location}:")?;
                for (index, cell) in self.cells().iter().enumerate() {
                    let comma = if index == 0 { "" } else { "," };
                    let CellChange { column, old, new } = cell;
                    write!(f, "{comma} {column} {old:?} -> {new:?}")?;
                }
                Ok(())
            }
        }
    }
}

usher_types::value_type! {
    /// All rows that differ between two sheets, sorted by service and region.
    #[derive(Default)]
    pub struct SheetDifference {
        /// Changed rows.
        pub changes: Vec<RowChange>,
    }
}

impl SheetDifference {
    /// Returns whether the sheets are equal.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for SheetDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return f.write_str("no difference\n");
        }
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        Ok(())
    }
}

pub(crate) fn compare(old: &sheet::FleetSheet, new: &sheet::FleetSheet) -> SheetDifference {
    let removed = old
        .rows()
        .iter()
        .filter(|row| new.row(&row.service, &row.region).is_none())
        .map(|row| RowChange::Removed(row.clone()));
    let added_or_changed =
        new.rows()
            .iter()
            .filter_map(|row| match old.row(&row.service, &row.region) {
                None => Some(RowChange::Added(row.clone())),
                Some(before) if before == row => None,
                Some(before) => Some(RowChange::Changed {
                    old: Box::new(before.clone()),
                    new: Box::new(row.clone()),
                }),
            });
    let mut changes: Vec<_> = removed.chain(added_or_changed).collect();
    changes.sort_by(|a, b| a.row().key().cmp(&b.row().key()));
    SheetDifference { changes }
}
