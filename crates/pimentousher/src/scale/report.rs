//! The measured slopes as a table and as JSON. Not for: measuring.

use std::fmt;

use crate::scale::line_fit;

/// One figure at several sizes, and what the line gives at the target size.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ScaleRow {
    /// Process whose cost it is: entry or control.
    pub role: &'static str,
    /// What is measured.
    pub figure: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// What the size counts.
    pub size_unit: &'static str,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
    /// Line through the points.
    pub fit: line_fit::LineFit,
    /// Size that the target asks for.
    pub target_size: f64,
    /// Value of the line at the target size.
    pub at_target: f64,
}

impl ScaleRow {
    /// Makes a row from its points.
    pub(crate) fn new(
        role: &'static str,
        figure: &'static str,
        unit: &'static str,
        size_unit: &'static str,
        points: Vec<(f64, f64)>,
        target_size: f64,
    ) -> Self {
        let fit = line_fit::LineFit::from_points(&points);
        Self {
            role,
            figure,
            unit,
            size_unit,
            points,
            fit,
            target_size,
            at_target: fit.at(target_size),
        }
    }
}

/// All rows of one run.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ScaleReport {
    /// Rows in the order of measurement.
    pub rows: Vec<ScaleRow>,
}

impl ScaleReport {
    /// Returns the report as one JSON object.
    ///
    /// # Errors
    ///
    /// Fails when a value can't be written as JSON.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }
}

impl fmt::Display for ScaleReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = comfy_table::Table::new();
        table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
        table.set_header([
            "role",
            "figure",
            "points",
            "slope",
            "residual",
            "target size",
            "at target",
        ]);
        for row in &self.rows {
            let points = row
                .points
                .iter()
                .map(|(size, value)| format!("{size}: {value:.3}"))
                .collect::<Vec<_>>()
                .join(", ");
            table.add_row([
                row.role.to_owned(),
                format!("{} ({})", row.figure, row.unit),
                points,
                format!("{:.4} per {}", row.fit.slope, row.size_unit),
                format!("{:.0}%", row.fit.residual * 100.0),
                format!("{} {}", row.target_size, row.size_unit),
                format!("{:.3} {}", row.at_target, row.unit),
            ]);
        }
        writeln!(f, "{table}")
    }
}
