//! What became of each request, for the service-level burn report. Not for: metrics.

use std::time;

usher_types::value_type! {
    /// Why a request was good or bad.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum OutcomeCause {
        /// The whole answer arrived in time.
        Ok,
        /// It was refused before anything ran.
        Refused,
        /// The whole answer arrived after the deadline, or the deadline ended it.
        Late,
        /// It was delayed or ended by a slow or stalled target.
        SlowTarget,
        /// It was refused or ended because this entry is stopping.
        Drain,
        /// It was refused because this entry has no routing right.
        Region,
        /// It ended without its whole answer.
        Failed,
        /// Its caller went away.
        Cancelled,
    }
}

usher_types::value_type! {
    /// What became of one request.
    pub struct OutcomeEvent {
        /// Id of the request.
        pub request: usher_types::RequestId,
        /// Service.
        pub service: usher_types::ServiceName,
        /// Team that it is accounted to.
        pub team: usher_types::TeamName,
        /// Firm that the team belongs to.
        pub firm: usher_types::FirmName,
        /// Short or long work.
        pub class: usher_types::WorkClass,
        /// Cause.
        pub cause: OutcomeCause,
        /// When it arrived, by the wall clock.
        pub at: time::SystemTime,
        /// Time from its arrival to the first token or byte.
        pub first_token: Option<time::Duration>,
        /// Time from its arrival to its end.
        pub total: time::Duration,
        /// Tokens delivered.
        pub tokens: u64,
        /// Attempts beyond the first, resumes included.
        pub retries: u32,
        /// Whether a hedge was sent.
        pub hedged: bool,
        /// Target that gave the end of the answer.
        pub target: Option<usher_types::TargetName>,
        /// Region of that target.
        pub region: Option<usher_types::RegionName>,
    }
}

/// Takes the outcomes of requests; must not block.
pub trait OutcomeSink: Send + Sync + 'static {
    /// Takes one outcome.
    fn record(&self, event: OutcomeEvent);
}

/// Drops all outcomes.
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
