//! Compares ways to enforce one limit in many daemons. Not for: routing.

/// Figures of one way at one number of daemons.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct LimitRow {
    /// Way.
    pub method: String,
    /// Number of daemons.
    pub daemons: usize,
    /// Accepted beyond the limit, as a share of the limit.
    pub overshoot: f64,
    /// Refused although the limit had room, as a share of what should have been accepted.
    pub wrongful: f64,
    /// Bytes each daemon sends and receives per second.
    pub bytes_per_second: f64,
}

pub(crate) fn table(rows: &[LimitRow]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.set_header([
        "method",
        "daemons",
        "overshoot %",
        "wrongful refusals %",
        "B/s each",
    ]);
    for row in rows {
        table.add_row([
            row.method.clone(),
            row.daemons.to_string(),
            format!("{:.2}", row.overshoot * 100.0),
            format!("{:.2}", row.wrongful * 100.0),
            format!("{:.0}", row.bytes_per_second),
        ]);
    }
    table
}
