//! What an entry knows of one target: own work exactly, the work of others from late reports.
//! Not for: decisions.

use std::{collections, time};

use usher_types::{TokenCount, WorkClass};

use crate::target;

/// How long own load is remembered, so that a late report can be compared with it. Reports that
/// are older than this are compared with the oldest remembered load.
const HISTORY: time::Duration = time::Duration::from_secs(4);

/// Prompt tokens of others' short work that may wait; it has the higher priority, so what waits
/// beyond about one short call is long work.
const SHORT_WAITING: f64 = 256.0;

/// Own load points closer together than this are merged.
const HISTORY_STEP: time::Duration = time::Duration::from_millis(20);

/// Time over which the pace of output is averaged; many streams see the same steps, so counting
/// observations would let one step with prefill decide.
const TOKEN_MEMORY: time::Duration = time::Duration::from_secs(2);

/// Bounds of the pace, so that one odd observation doesn't make a target unusable.
pub(crate) const PACE_MIN: f64 = 0.2;
pub(crate) const PACE_MAX: f64 = 10.0;

usher_types::value_type! {
    /// Work on a target at some moment.
    #[derive(Copy, Default)]
    pub struct TargetLoad {
        /// Prompt tokens of short work that wait for prefill.
        pub short_prefill: f64,
        /// Prompt tokens of long work that wait for prefill.
        pub long_prefill: f64,
        /// Calls that haven't finished.
        pub calls: f64,
        /// Pieces of memory in use or promised.
        pub pieces: f64,
    }
}

impl TargetLoad {
    /// Returns all prompt tokens that wait.
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

/// Weight of an attempt in the share of failed ones, and the time over which it fades.
const FAILURE_GAIN: f64 = 0.2;
const FAILURE_MEMORY: time::Duration = time::Duration::from_secs(10);

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TargetStanding {
    Live,
    Suspect,
    Gone,
}

/// One target as one entry sees it.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub(crate) info: target::TargetInfo,
    pub(crate) standing: TargetStanding,
    own: TargetLoad,
    history: collections::VecDeque<(time::Instant, TargetLoad)>,
    others: TargetLoad,
    reported_at: Option<time::Instant>,
    /// Observed prefill time relative to the expected one.
    pub(crate) prefill_pace: f64,
    /// Observed time per token relative to the expected one.
    pub(crate) decode_pace: f64,
    pub(crate) last_progress: Option<time::Instant>,
    /// Sum and number of the ratios since `token_at`.
    token_ratios: (f64, u32),
    token_at: Option<time::Instant>,
    /// Own calls that run far beyond their estimated output.
    pub(crate) stragglers: u32,
    /// Failures in a row without a success.
    pub(crate) failures: u32,
    pub(crate) failed_at: Option<time::Instant>,
    /// Share of the recent attempts that failed, as of `failed_at`.
    failure_share: f64,
    /// Weight from the detector of slow targets.
    pub(crate) weight: f64,
    /// Calls of others for each own call, over all targets of the service.
    pub(crate) others_ratio: f64,
    /// Part of the others' calls that is taken from own calls instead of reports.
    pub(crate) own_share: f64,
    /// Factor on its times while it is judged slow, else 1.
    pub(crate) slowness: f64,
    /// Whether long work is welcome.
    pub(crate) for_long: bool,
}

impl TargetState {
    pub(crate) fn new(info: target::TargetInfo) -> Self {
        Self {
            info,
            standing: TargetStanding::Live,
            own: TargetLoad::default(),
            history: collections::VecDeque::new(),
            others: TargetLoad::default(),
            reported_at: None,
            prefill_pace: 1.0,
            decode_pace: 1.0,
            last_progress: None,
            token_ratios: (0.0, 0),
            token_at: None,
            stragglers: 0,
            failures: 0,
            failed_at: None,
            failure_share: 0.0,
            weight: 1.0,
            others_ratio: 0.0,
            own_share: 0.0,
            slowness: 1.0,
            for_long: false,
        }
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.standing == TargetStanding::Live && !self.info.leaving
    }

    /// Returns the load: own work as it is now, plus the work of others as last reported.
    pub(crate) fn load(&self) -> TargetLoad {
        let mut load = self.own;
        load.add(&self.others, 1.0);
        // Reports are late, and daemons that all follow them move together. Own calls are known
        // at once and are a sample of all calls, so they stand for a part of the others'.
        let implied = self.own.calls * self.others_ratio;
        load.calls += self.own_share * (implied - self.others.calls);
        load
    }

    pub(crate) fn others(&self) -> &TargetLoad {
        &self.others
    }

    pub(crate) fn own(&self) -> &TargetLoad {
        &self.own
    }

    pub(crate) fn change_own(&mut self, change: &TargetLoad, sign: f64, now: time::Instant) {
        self.remember(now);
        self.own.add(change, sign);
    }

    fn remember(&mut self, now: time::Instant) {
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
            .is_some_and(|(at, _)| now.duration_since(*at) > HISTORY)
        {
            self.history.pop_front();
        }
    }

    /// Notes how an attempt ended.
    pub(crate) fn note_end(&mut self, failed: bool, now: time::Instant) {
        let share = self.failure_share(now);
        self.failure_share = share + FAILURE_GAIN * (f64::from(u8::from(failed)) - share);
        if failed {
            self.failures += 1;
        } else {
            self.failures = 0;
        }
        self.failed_at = Some(now);
    }

    /// Returns the share of the recent attempts that failed; it fades, so that the target is tried
    /// again.
    pub(crate) fn failure_share(&self, now: time::Instant) -> f64 {
        let since = self.failed_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        self.failure_share * (-elapsed / FAILURE_MEMORY.as_secs_f64()).exp()
    }

    /// Takes a time per token relative to that of a step without prefill.
    pub(crate) fn learn_token(&mut self, ratio: f64, now: time::Instant) {
        self.token_ratios.0 += ratio;
        self.token_ratios.1 += 1;
        let since = *self.token_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(since);
        if elapsed < HISTORY_STEP {
            return;
        }
        let mean = self.token_ratios.0 / f64::from(self.token_ratios.1);
        let gain = 1.0 - (-elapsed.as_secs_f64() / TOKEN_MEMORY.as_secs_f64()).exp();
        let pace = self.decode_pace + gain * (mean - self.decode_pace);
        self.decode_pace = pace.clamp(PACE_MIN, PACE_MAX);
        self.token_ratios = (0.0, 0);
        self.token_at = Some(now);
    }

    /// Returns own load as it was at `at`.
    fn own_at(&self, at: time::Instant) -> TargetLoad {
        // Each point holds the load before the change at its time.
        let next = self.history.iter().find(|(changed, _)| *changed > at);
        next.map_or(self.own, |(_, load)| *load)
    }

    /// Takes a late report: what it shows beyond own load at that time is the work of others.
    pub(crate) fn take_report(&mut self, report: &target::LoadReport) {
        if self.reported_at.is_some_and(|at| at > report.taken_at) {
            return;
        }
        self.reported_at = Some(report.taken_at);
        let own = self.own_at(report.taken_at);
        let prefill = (report.prefill_waiting.get() as f64 - own.prefill()).max(0.0);
        let short_prefill = prefill.min(SHORT_WAITING);
        self.others = TargetLoad {
            short_prefill,
            long_prefill: prefill - short_prefill,
            calls: (f64::from(report.running) + f64::from(report.waiting) - own.calls).max(0.0),
            pieces: (report.pieces_used.get() as f64 - own.pieces).max(0.0),
        };
    }
}

/// Makes the load of one call.
pub(crate) fn load_of(class: WorkClass, prefill: f64, total: TokenCount) -> TargetLoad {
    let short = class == WorkClass::Short;
    TargetLoad {
        short_prefill: if short { prefill } else { 0.0 },
        long_prefill: if short { 0.0 } else { prefill },
        calls: 1.0,
        pieces: total.pieces().get() as f64,
    }
}
