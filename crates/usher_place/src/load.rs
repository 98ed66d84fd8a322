//! The load of one target as a gateway knows it. Not for: lists of targets.

use std::time;

use crate::urgency;

/// Age after which a load report of a target is ignored: most prompts are read in less time, and
/// the reports that gateways exchange are more recent.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(400);

/// Time constant of the decay of a reported slowness: a third of it is still expected at this age.
/// Other load on the host of a target (a noisy neighbour) comes and goes within about 600 ms.
const SLOWNESS_DECAY: time::Duration = time::Duration::from_millis(300);

/// Maximum number of tokens that are assumed to remain of a less urgent prompt whose prefill has
/// started, which more urgent calls don't preempt: about half of the longest usual prompts.
const MAX_STARTED_PREFILL_TOKENS: u64 = 8_000;

/// Backoff after the first failure of a target; doubles with each consecutive failure.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(500);

/// Maximum backoff, so that a target that recovered is soon used again.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(4);

/// Number of other gateways that must report a lost target before it is avoided: a single one may
/// itself be partitioned.
const MIN_FAILING_GATEWAYS: u32 = 2;

/// Time for which a success at this gateway overrides the failures that other gateways report.
const SUCCESS_LIFETIME: time::Duration = time::Duration::from_millis(500);

usher_types::value_type! {
    /// The load that a target reported in an answer.
    #[derive(Copy)]
    pub struct LoadReport {
        /// Running calls.
        pub running: u32,
        /// Queued calls.
        pub waiting: u32,
        /// Calls that can run at once.
        pub slots: u32,
        /// Current duration of work, in percent of the usual time.
        pub slowness: u32,
    }
}

usher_types::value_type! {
    /// How a target failed a call.
    pub enum TargetFailure {
        /// It refused the call; it may be full only for the calls of this gateway.
        Refused,
        /// It couldn't be reached, or the connection broke.
        Lost,
    }
}

usher_types::value_type! {
    /// A pause that a target asked for.
    #[derive(Copy)]
    struct TargetPause {
        until: time::Instant,
        /// Start of the process that asked, in ms since 1970; 0 when not stated.
        born_ms: u64,
    }
}

/// Prompt tokens by urgency class.
pub type ClassTokens = [u64; urgency::URGENCY_CLASSES];

/// The load of one target as this gateway knows it.
#[derive(Clone, Debug, Default)]
pub struct TargetLoad {
    /// Unanswered calls of this gateway.
    pub running: u32,
    /// Prompt tokens of this gateway's calls that the target has yet to read, by urgency class.
    pub prefill_tokens: ClassTokens,
    /// Calls of the other gateways, as they reported them.
    pub others_running: u32,
    /// Prompt tokens of the other gateways' calls that the target has yet to read.
    pub others_prefill_tokens: ClassTokens,
    /// Number of other gateways that lost the connection to the target recently.
    pub others_failing: u32,
    report: Option<(LoadReport, time::Instant)>,
    last_success: Option<time::Instant>,
    failures: u32,
    /// Whether the last failure was a lost connection.
    is_lost: bool,
    avoid_until: Option<time::Instant>,
    pause: Option<TargetPause>,
}

impl TargetLoad {
    /// Replaces the load report.
    pub fn set_report(&mut self, report: LoadReport, now: time::Instant) {
        self.report = Some((report, now));
    }

    /// Returns the last report, unless it is too old.
    pub fn report(&self, now: time::Instant) -> Option<LoadReport> {
        let (report, at) = self.report?;
        (now.saturating_duration_since(at) < MAX_REPORT_AGE).then_some(report)
    }

    /// Returns the expected number of calls that are queued or running at the target, those of this
    /// gateway included.
    pub fn expected_calls(&self, now: time::Instant) -> u32 {
        // The numbers come from targets and from other processes.
        let report = self.report(now);
        let reported = report.map_or(0, |report| report.running.saturating_add(report.waiting));
        reported.max(self.running.saturating_add(self.others_running))
    }

    /// Returns the prompt tokens that the target is expected to read before those of a new call:
    /// all tokens of calls that are at least as urgent, and the rest of a less urgent prompt whose
    /// prefill has started.
    pub fn tokens_ahead(&self, urgency: urgency::SendUrgency) -> u64 {
        let count = |waits: bool| -> u64 {
            let classes = 0..urgency::URGENCY_CLASSES;
            let classes = classes.filter(|class| urgency.waits_for(*class) == waits);
            let tokens = classes.filter_map(|class| {
                let own = self.prefill_tokens.get(class)?;
                Some(own + self.others_prefill_tokens.get(class)?)
            });
            tokens.sum()
        };
        count(true) + count(false).min(MAX_STARTED_PREFILL_TOKENS)
    }

    /// Returns the factor by which work is expected to take longer than usual.
    pub fn slowness(&self, now: time::Instant) -> f64 {
        let Some((report, at)) = self.report else {
            return 1.0;
        };
        let reported = (f64::from(report.slowness) / 100.0).clamp(0.5, 20.0);
        let age = now.saturating_duration_since(at).as_secs_f64();
        1.0 + (reported - 1.0) * (-age / SLOWNESS_DECAY.as_secs_f64()).exp()
    }

    /// Records that the target answered.
    pub fn record_success(&mut self, now: time::Instant) {
        self.last_success = Some(now);
        self.failures = 0;
        self.avoid_until = None;
    }

    /// Records that the target failed a call, and starts its backoff.
    pub fn record_failure(&mut self, now: time::Instant, failure: TargetFailure) {
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(3));
        self.failures += 1;
        self.avoid_until = Some(now + backoff.min(MAX_BACKOFF));
        self.is_lost = failure == TargetFailure::Lost;
    }

    /// Records that the process of the target that began at `born_ms` wants no request of this
    /// gateway for a time. A later request of the same process never shortens the pause.
    pub fn request_pause(&mut self, length: time::Duration, born_ms: u64, now: time::Instant) {
        let until = now + length;
        let known = self.pause.filter(|pause| pause.born_ms == born_ms);
        let until = known.map_or(until, |pause| pause.until.max(until));
        self.pause = Some(TargetPause { until, born_ms });
    }

    /// Returns the end of the pause that a target wants at present. In contrast to a target that is
    /// avoided after a failure, one that wants a pause gets nothing even if all others fail.
    pub fn pause_end(
        &self,
        target: &usher_roster::TargetEntry,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let pause = self.pause?;
        (now < pause.until && target.is_process(pause.born_ms)).then_some(pause.until)
    }

    /// Returns whether the target is in backoff after a failure at this gateway.
    fn is_in_backoff(&self, now: time::Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns whether this gateway lost the connection to the target recently, which is reported
    /// to the other gateways.
    pub fn is_lost(&self, now: time::Instant) -> bool {
        self.is_lost && self.is_in_backoff(now)
    }

    /// Returns whether the target is avoided: it is in backoff, or enough other gateways have lost
    /// the connection to it and it has not just answered this one.
    pub fn is_avoided(&self, now: time::Instant) -> bool {
        let answered = self
            .last_success
            .is_some_and(|at| now.saturating_duration_since(at) < SUCCESS_LIFETIME);
        self.is_in_backoff(now) || (self.others_failing >= MIN_FAILING_GATEWAYS && !answered)
    }
}
