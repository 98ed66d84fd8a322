//! What a gateway knows of the load of one target. Not for: lists of targets.

use std::{ops, time};

use crate::urgency;

/// Age at which a report of a target says nothing more about its queue: most prompts are read in
/// less, and what gateways tell each other is younger.
const REPORT_LIFE: time::Duration = time::Duration::from_millis(400);

/// Age at which a third of a reported slowness is still expected: work of neighbours on the machine
/// of a target comes and goes within some 600 ms.
const SLOWNESS_LIFE: time::Duration = time::Duration::from_millis(300);

/// Tokens that an engine still has to read of a prompt that it has begun, which more urgent calls
/// don't interrupt: about half of the longest usual prompts.
const PROMPT_REST: u64 = 8_000;

/// First pause after a target failed; doubles with each failure in a row.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Longest pause after failures, so that a target that recovered is found again soon.
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(4);

/// How many other gateways must tell that a target fails: one alone may itself be cut off.
const LEAST_WITNESSES: u32 = 2;

/// How long an answer to this gateway counts more than what others tell.
const ANSWER_LIFE: time::Duration = time::Duration::from_millis(500);

usher_types::value_type! {
    /// What a target said of its load in an answer.
    #[derive(Copy)]
    pub struct LoadReport {
        /// Calls that run.
        pub running: u32,
        /// Calls that wait.
        pub waiting: u32,
        /// Calls that can run at once.
        pub slots: u32,
        /// How long work takes at this moment, in percent of the usual time.
        pub slowness: u32,
    }
}

usher_types::value_type! {
    /// How a target failed a call.
    pub enum TargetFailure {
        /// It refused the call: it may be full for this gateway's calls only.
        Refused,
        /// It couldn't be reached, or the connection broke.
        Lost,
    }
}

/// Prompt tokens by class of urgency.
pub type ClassTokens = [u64; urgency::URGENCY_CLASSES];

/// The load of one target as this gateway knows it.
#[derive(Clone, Debug, Default)]
pub struct TargetLoad {
    /// Own calls that are sent and not answered.
    pub running: u32,
    /// Prompt tokens of own calls that the target has still to read, by class of urgency.
    pub prefill_tokens: ClassTokens,
    /// Calls of the other gateways, as they told.
    pub others_running: u32,
    /// Prompt tokens of calls of the other gateways that the target has still to read.
    pub others_prefill_tokens: ClassTokens,
    /// Other gateways that have lost the target lately.
    pub others_failing: u32,
    report: Option<(LoadReport, time::Instant)>,
    succeeded_at: Option<time::Instant>,
    failures: u32,
    /// Whether the last failure was a lost connection.
    is_lost: bool,
    avoid_until: Option<time::Instant>,
}

impl TargetLoad {
    /// Takes a report.
    pub fn take_report(&mut self, report: LoadReport, now: time::Instant) {
        self.report = Some((report, now));
    }

    /// Returns the last report, unless it is too old.
    pub fn report(&self, now: time::Instant) -> Option<LoadReport> {
        let (report, at) = self.report?;
        (now.saturating_duration_since(at) < REPORT_LIFE).then_some(report)
    }

    /// Returns the calls that probably wait or run at the target, own ones included.
    pub fn expected_calls(&self, now: time::Instant) -> u32 {
        let reported = self.report(now).map_or(0, |r| r.running + r.waiting);
        reported.max(self.running + self.others_running)
    }

    /// Returns the prompt tokens that the target probably reads before those of a new call: all of
    /// calls that are as urgent, and the rest of a prompt of a less urgent one that it is reading.
    pub fn tokens_before(&self, urgency: urgency::SendUrgency) -> u64 {
        let count = |classes: ops::Range<usize>| -> u64 {
            let classes = classes.filter_map(|class| {
                let own = self.prefill_tokens.get(class)?;
                Some(own + self.others_prefill_tokens.get(class)?)
            });
            classes.sum()
        };
        let behind = urgency.class() + 1;
        count(0..behind) + count(behind..urgency::URGENCY_CLASSES).min(PROMPT_REST)
    }

    /// Returns by which factor work probably takes longer than usual.
    pub fn slowness(&self, now: time::Instant) -> f64 {
        let Some((report, at)) = self.report else {
            return 1.0;
        };
        let reported = (f64::from(report.slowness) / 100.0).clamp(0.5, 20.0);
        let age = now.saturating_duration_since(at).as_secs_f64();
        1.0 + (reported - 1.0) * (-age / SLOWNESS_LIFE.as_secs_f64()).exp()
    }

    /// Notes that the target answered.
    pub fn succeeded(&mut self, now: time::Instant) {
        self.succeeded_at = Some(now);
        self.failures = 0;
        self.avoid_until = None;
    }

    /// Notes that the target failed a call, so that it is avoided for a while.
    pub fn failed(&mut self, now: time::Instant, how: TargetFailure) {
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(3));
        self.failures += 1;
        self.avoid_until = Some(now + pause.min(LONGEST_PAUSE));
        self.is_lost = how == TargetFailure::Lost;
    }

    /// Returns whether a call of this gateway failed there lately.
    fn has_failed(&self, now: time::Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns whether this gateway has lost the target lately, which others should know.
    pub fn is_lost(&self, now: time::Instant) -> bool {
        self.is_lost && self.has_failed(now)
    }

    /// Returns whether the target is avoided: a call failed there, or other gateways tell so and it
    /// has not just answered this one.
    pub fn is_avoided(&self, now: time::Instant) -> bool {
        let answered = self
            .succeeded_at
            .is_some_and(|at| now.saturating_duration_since(at) < ANSWER_LIFE);
        self.has_failed(now) || (self.others_failing >= LEAST_WITNESSES && !answered)
    }
}
