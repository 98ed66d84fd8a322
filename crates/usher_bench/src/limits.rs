//! Results of the comparison of methods that enforce one limit in many daemons. Not for: routing.

/// Results of one method with a number of daemons.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct LimitRow {
    /// Name of the method.
    pub method: String,
    /// Number of daemons.
    pub daemons: usize,
    /// Calls accepted in excess of those that the method accepts with exact knowledge of all
    /// daemons, as a share of the latter.
    pub overshoot: f64,
    /// Calls refused although the method accepts them with exact knowledge of all daemons, as a
    /// share of the calls that it then accepts.
    pub wrongful: f64,
    /// Bytes that each daemon sends and receives per second.
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
