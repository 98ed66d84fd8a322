//! Service-level burn report and explanations, from bounded records.
//!
//! Counts requests by cause, keeps the counts across restarts, and computes how fast they use the
//! error budgets of the objectives. Not for: deciding the outcome of a request, nor for metrics.

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
