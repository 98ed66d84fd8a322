//! Formats the measured figures as a table and as JSON.

use std::fmt;

use crate::scale::line_fit;

/// One figure at several sizes, and the value of its fitted line at the target size.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ScaleRow {
    /// Daemon that bears the cost: entry, control, gateway or registrar.
    pub role: &'static str,
    /// Name of the measured figure.
    pub figure: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Unit of the size.
    pub size_unit: &'static str,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
    /// Line fitted to the points.
    pub fit: line_fit::LineFit,
    /// Target size.
    pub target_size: f64,
    /// Value of the line at the target size.
    pub at_target: f64,
}

impl ScaleRow {
    /// Creates a row and fits the line to its points.
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

/// Results of one run.
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
    /// Fails if a value can't be serialized.
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
