//! Outcomes of requests, for the service-level burn report.
//!
//! Not for: metrics.

use std::time;

usher_types::value_type! {
    /// The reason why a request succeeded or failed.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum OutcomeCause {
        /// The complete answer arrived in time.
        Ok,
        /// The request was refused before anything ran.
        Refused,
        /// The complete answer arrived after the deadline, or the deadline ended the request.
        Late,
        /// A slow or stalled target delayed or ended the request.
        SlowTarget,
        /// The request was refused or ended because this entry is stopping.
        Drain,
        /// The request was refused because this entry holds no routing right.
        Region,
        /// The request ended without a complete answer.
        Failed,
        /// The caller disconnected.
        Cancelled,
    }
}

usher_types::value_type! {
    /// The outcome of one request.
    pub struct OutcomeEvent {
        /// Request id.
        pub request: usher_types::RequestId,
        /// Service.
        pub service: usher_types::ServiceName,
        /// Team that the request is accounted to.
        pub team: usher_types::TeamName,
        /// Firm of the team.
        pub firm: usher_types::FirmName,
        /// Whether the work is short or long.
        pub class: usher_types::WorkClass,
        /// Cause.
        pub cause: OutcomeCause,
        /// Wall-clock time of arrival.
        pub at: time::SystemTime,
        /// Time from arrival to the first token or byte.
        pub first_token: Option<time::Duration>,
        /// Time from arrival to the end of the request.
        pub total: time::Duration,
        /// Number of tokens delivered.
        pub tokens: u64,
        /// Number of attempts after the first, including resumes.
        pub retries: u32,
        /// Whether a hedge was sent.
        pub hedged: bool,
        /// Target that sent the end of the answer.
        pub target: Option<usher_types::TargetName>,
        /// Region of that target.
        pub region: Option<usher_types::RegionName>,
    }
}

/// Receives the outcomes of requests; must not block.
pub trait OutcomeSink: Send + Sync + 'static {
    /// Records one outcome.
    fn record(&self, event: OutcomeEvent);
}

/// A sink that discards all outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullOutcomes;

impl OutcomeSink for NullOutcomes {
    fn record(&self, _event: OutcomeEvent) {}
}

impl<F> OutcomeSink for F
where
    F: Fn(OutcomeEvent) + Send + Sync + 'static,
{
    fn record(&self, event: OutcomeEvent) {
        self(event);
    }
}
