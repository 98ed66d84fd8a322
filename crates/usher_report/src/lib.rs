//! Service-level burn report and explanations from bounded records.
//!
//! For: counting requests by cause, keeping the counts across restarts, and computing how fast
//! they use up the objectives. Not for: deciding what became of a request, nor for metrics.

mod bucket;
mod burn;
mod chart;
mod counts;
mod error;
mod explain;
mod html;
mod objective;
mod store;
mod table;
mod window;

pub use bucket::{BurnCause, CountBucket, FIRST_TOKEN_BOUNDS_MS};
pub use burn::{
    AlertState, BurnReport, CauseShare, ObjectiveBurn, RateSample, SeriesBurn, WindowBurn,
};
pub use counts::{BurnCounts, BurnEvent, SeriesKey, MAX_SERIES};
pub use error::ReportError;
pub use explain::explain_text;
pub use html::burn_html;
pub use objective::{ObjectiveKind, ObjectiveSet};
pub use store::{BurnStore, LoadedCounts, RECORDS_FILE};
pub use table::burn_table;
pub use window::{AlertLevel, AlertRule, BurnWindow};
