//! State of one target in an entry: its own load exactly, the load of other daemons from late
//! reports. Not for: decisions.

use std::{collections, time};

use usher_types::{TokenCount, WorkClass};

use crate::target;

/// How long the history of own load is kept, for comparison with late reports. Older reports are
/// compared with the oldest kept load.
const HISTORY_SPAN: time::Duration = time::Duration::from_secs(4);

/// Waiting prompt tokens of other daemons that are attributed to short work. Short work has the
/// higher priority, so what waits in excess of about one short call is long work.
const SHORT_WAITING_TOKENS: f64 = 256.0;

/// Points of the own load history that are closer together than this are merged, and so are
/// observations of the time per token.
const HISTORY_STEP: time::Duration = time::Duration::from_millis(20);

/// Time constant over which the time per token is averaged. Many streams see the same steps, so
/// averaging by observation would give one step with prefill too much weight.
const DECODE_TIME_CONSTANT: time::Duration = time::Duration::from_secs(2);

/// Bounds of the time ratios, so that one outlier does not make a target unusable.
pub(crate) const RATIO_MIN: f64 = 0.2;
pub(crate) const RATIO_MAX: f64 = 10.0;

usher_types::value_type! {
    /// Load of a target at a point in time.
    #[derive(Copy, Default)]
    pub struct TargetLoad {
        /// Prompt tokens of short work waiting for prefill.
        pub short_prefill: f64,
        /// Prompt tokens of long work waiting for prefill.
        pub long_prefill: f64,
        /// Unfinished calls.
        pub calls: f64,
        /// Pieces of KV cache memory in use or reserved.
        pub pieces: f64,
    }
}

impl TargetLoad {
    /// Returns all prompt tokens waiting for prefill.
    pub fn prefill(&self) -> f64 {
        self.short_prefill + self.long_prefill
    }

    fn add(&mut self, other: &Self, sign: f64) {
        self.short_prefill = (self.short_prefill + sign * other.short_prefill).max(0.0);
        self.long_prefill = (self.long_prefill + sign * other.long_prefill).max(0.0);
        self.calls = (self.calls + sign * other.calls).max(0.0);
        self.pieces = (self.pieces + sign * other.pieces).max(0.0);
    }
}

/// Weight of an attempt in the share of failed ones, and the time constant of its decay.
const FAILURE_GAIN: f64 = 0.2;
const FAILURE_TIME_CONSTANT: time::Duration = time::Duration::from_secs(10);

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TargetStatus {
    Live,
    Suspect,
    Gone,
}

/// State of one target as one entry sees it.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub(crate) info: target::TargetInfo,
    pub(crate) status: TargetStatus,
    own: TargetLoad,
    history: collections::VecDeque<(time::Instant, TargetLoad)>,
    others: TargetLoad,
    reported_at: Option<time::Instant>,
    /// Observed time to first token relative to the expected one.
    pub(crate) prefill_ratio: f64,
    /// Observed time per token relative to the expected one.
    pub(crate) decode_ratio: f64,
    pub(crate) last_progress: Option<time::Instant>,
    /// Sum and count of the ratios since `token_at`.
    token_ratios: (f64, u32),
    token_at: Option<time::Instant>,
    /// Own calls whose output far exceeds the estimate.
    pub(crate) stragglers: u32,
    /// Consecutive failures.
    pub(crate) failures: u32,
    pub(crate) failed_at: Option<time::Instant>,
    /// End of the pause that the target asked for.
    pause_until: Option<time::Instant>,
    /// Share of the recent attempts that failed, as of `failed_at`.
    failure_share: f64,
    /// Weight from the detector of slow targets.
    pub(crate) weight: f64,
    /// Calls of other daemons per own call, over all targets of the service.
    pub(crate) others_per_own_call: f64,
    /// Share of the other daemons' calls that is extrapolated from own calls instead of reports.
    pub(crate) extrapolated_share: f64,
    /// Factor on the expected time to first token while the target is judged slow, else 1.
    pub(crate) slowness: f64,
    /// Whether the target accepts long work without a penalty.
    pub(crate) accepts_long: bool,
}

impl TargetState {
    pub(crate) fn new(info: target::TargetInfo) -> Self {
        Self {
            info,
            status: TargetStatus::Live,
            own: TargetLoad::default(),
            history: collections::VecDeque::new(),
            others: TargetLoad::default(),
            reported_at: None,
            prefill_ratio: 1.0,
            decode_ratio: 1.0,
            last_progress: None,
            token_ratios: (0.0, 0),
            token_at: None,
            stragglers: 0,
            failures: 0,
            failed_at: None,
            pause_until: None,
            failure_share: 0.0,
            weight: 1.0,
            others_per_own_call: 0.0,
            extrapolated_share: 0.0,
            slowness: 1.0,
            accepts_long: false,
        }
    }

    pub(crate) fn accepts_work(&self) -> bool {
        self.status == TargetStatus::Live && !self.info.leaving
    }

    /// Records that the target wants no request for a time; never shortens its pause.
    pub(crate) fn request_pause(&mut self, length: time::Duration, now: time::Instant) {
        let until = now + length;
        let known = self.pause_until.unwrap_or(until);
        self.pause_until = Some(known.max(until));
    }

    /// Returns how long the target wants no request from now on.
    pub(crate) fn pause_left(&self, now: time::Instant) -> Option<time::Duration> {
        let left = self.pause_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the current own load plus the load of other daemons as last reported.
    pub(crate) fn load(&self) -> TargetLoad {
        let mut load = self.own;
        load.add(&self.others, 1.0);
        // Reports are late, and daemons that all follow them react in step. Own calls are known at
        // once and are a sample of all calls, so a part of the others' calls is extrapolated from
        // them.
        let implied = self.own.calls * self.others_per_own_call;
        load.calls += self.extrapolated_share * (implied - self.others.calls);
        load
    }

    pub(crate) fn others(&self) -> &TargetLoad {
        &self.others
    }

    pub(crate) fn own(&self) -> &TargetLoad {
        &self.own
    }

    pub(crate) fn change_own(&mut self, change: &TargetLoad, sign: f64, now: time::Instant) {
        self.record_history(now);
        self.own.add(change, sign);
    }

    fn record_history(&mut self, now: time::Instant) {
        let merged = self
            .history
            .back()
            .is_some_and(|(at, _)| now.duration_since(*at) < HISTORY_STEP);
        if !merged {
            self.history.push_back((now, self.own));
        }
        while self
            .history
            .front()
            .is_some_and(|(at, _)| now.duration_since(*at) > HISTORY_SPAN)
        {
            self.history.pop_front();
        }
    }

    /// Records the outcome of an attempt.
    pub(crate) fn record_outcome(&mut self, failed: bool, now: time::Instant) {
        let share = self.failure_share(now);
        self.failure_share = share + FAILURE_GAIN * (f64::from(u8::from(failed)) - share);
        if failed {
            self.failures += 1;
        } else {
            self.failures = 0;
        }
        self.failed_at = Some(now);
    }

    /// Returns the share of the recent attempts that failed. It decays, so that the target is
    /// tried again.
    pub(crate) fn failure_share(&self, now: time::Instant) -> f64 {
        let since = self.failed_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        self.failure_share * (-elapsed / FAILURE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Records a time per token relative to that of a step without prefill.
    pub(crate) fn record_token_time(&mut self, ratio: f64, now: time::Instant) {
        self.token_ratios.0 += ratio;
        self.token_ratios.1 += 1;
        let since = *self.token_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(since);
        if elapsed < HISTORY_STEP {
            return;
        }
        let mean = self.token_ratios.0 / f64::from(self.token_ratios.1);
        let gain = 1.0 - (-elapsed.as_secs_f64() / DECODE_TIME_CONSTANT.as_secs_f64()).exp();
        let decode_ratio = self.decode_ratio + gain * (mean - self.decode_ratio);
        self.decode_ratio = decode_ratio.clamp(RATIO_MIN, RATIO_MAX);
        self.token_ratios = (0.0, 0);
        self.token_at = Some(now);
    }

    /// Returns the own load at an earlier time.
    fn own_load_at(&self, at: time::Instant) -> TargetLoad {
        // Each point holds the load before the change at its time.
        let next = self.history.iter().find(|(changed, _)| *changed > at);
        next.map_or(self.own, |(_, load)| *load)
    }

    /// Applies a late report: reported load in excess of the own load at that time belongs to
    /// other daemons.
    pub(crate) fn apply_report(&mut self, report: &target::LoadReport) {
        if self.reported_at.is_some_and(|at| at > report.taken_at) {
            return;
        }
        self.reported_at = Some(report.taken_at);
        let own = self.own_load_at(report.taken_at);
        let prefill = (report.prefill_waiting.get() as f64 - own.prefill()).max(0.0);
        let short_prefill = prefill.min(SHORT_WAITING_TOKENS);
        self.others = TargetLoad {
            short_prefill,
            long_prefill: prefill - short_prefill,
            calls: (f64::from(report.running) + f64::from(report.waiting) - own.calls).max(0.0),
            pieces: (report.pieces_used.get() as f64 - own.pieces).max(0.0),
        };
    }
}

/// Returns the load that one call adds.
pub(crate) fn load_of(class: WorkClass, prefill: f64, total: TokenCount) -> TargetLoad {
    let short = class == WorkClass::Short;
    TargetLoad {
        short_prefill: if short { prefill } else { 0.0 },
        long_prefill: if short { 0.0 } else { prefill },
        calls: 1.0,
        pieces: total.pieces().get() as f64,
    }
}
