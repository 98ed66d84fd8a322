//! Admission control: accepts or refuses a call before it is sent to a target. Not for: choosing
//! the target.

use std::time;

use rand::{Rng as _, SeedableRng as _};
use usher_types::WorkClass;

use crate::{lease, request, route, settings, share};

/// Largest share of the slack before the deadline that the expected wait for the first token may
/// use; a call above it is refused. Above a half, the queue already grows during the lag of the
/// load reports until calls are late, so the limit is only slightly higher.
pub(crate) const MAX_PRESSURE: f64 = 0.6;
/// Exponent by which the allowed pressure falls for accounts above their fair share, which leaves
/// room for accounts below theirs.
const SHARE_STEEPNESS: i32 = 20;
/// Lower and upper bound of the level: the usage relative to the fair share above which the allowed
/// pressure of an account begins to fall.
const LEVEL_BOUNDS: (f64, f64) = (0.6, 1.4);
/// Pressure that the level is adjusted towards: batches are full, and accounts below their share
/// are still admitted under `MAX_PRESSURE`.
const TARGET_PRESSURE: f64 = 0.25;
/// Change of the level per second and unit of pressure. It falls faster than it rises because
/// demand can rise within seconds.
const LEVEL_UP_GAIN: f64 = 0.075;
const LEVEL_DOWN_GAIN: f64 = 0.3;
/// Longest time between two calls that is used when the level is adjusted.
const MAX_LEVEL_STEP: time::Duration = time::Duration::from_millis(500);
/// Longest wait for the first token of a call without a deadline, as a multiple of the first-token
/// goal, and the further factor for long work.
const MAX_WAIT_GOALS: f64 = 10.0;
const LONG_WAIT_FACTOR: f64 = 5.0;
/// Longest wait for the first token of short work with a deadline, as a multiple of the
/// first-token goal. It applies however much slack the call has, because the first token has an
/// objective of its own.
const SHORT_WAIT_GOALS: f64 = 1.5;
/// Time to first token of a call without a prompt on an idle engine, as a share of the first-token
/// goal.
const IDLE_FIRST_TOKEN_SHARE: f64 = 0.1;
/// Longest Retry-After value before jitter.
const RETRY_AFTER_MAX: time::Duration = time::Duration::from_secs(30);
/// Shortest Retry-After value before jitter.
const RETRY_AFTER_MIN: time::Duration = time::Duration::from_secs(1);

usher_types::value_type! {
    /// Reason for refusing a call. No part of a refused call has run.
    pub enum RefusalReason {
        /// No target can take the call.
        NoTarget,
        /// The call would not finish before its deadline.
        Deadline,
        /// The firm or team uses more than its fair share while capacity is short.
        FairShare,
        /// The entry has used up its leased share of the capacity.
        Capacity,
    }
}

usher_types::value_type! {
    /// Result of admission control for one call.
    #[derive(Copy)]
    pub struct AdmissionDecision {
        /// Reason for the refusal; `None` when the call is accepted.
        pub refused: Option<RefusalReason>,
        /// Time after which the caller may retry, with jitter; zero when the call is accepted.
        pub retry_after: time::Duration,
    }
}

impl AdmissionDecision {
    /// Returns whether the call is accepted.
    pub fn is_accepted(&self) -> bool {
        self.refused.is_none()
    }
}

/// Admission by deadline, fair share and the capacity share leased from the control node.
#[derive(Clone, Debug)]
pub struct AdmissionPolicy {
    random: rand_chacha::ChaCha8Rng,
    shares: share::FairShare,
    lease: lease::CapacityLease,
    /// Usage relative to the fair share above which an account is limited.
    level: f64,
    level_at: Option<time::Instant>,
}

impl AdmissionPolicy {
    /// Creates a policy with a seed for the jitter, which draws from a random stream of its own.
    pub fn new(seed: u64) -> Self {
        Self {
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ 0xAD31),
            shares: share::FairShare::new(),
            lease: lease::CapacityLease::new(),
            level: LEVEL_BOUNDS.1,
            level_at: None,
        }
    }

    /// Decides whether to accept a call that has the given routing decision.
    pub fn admit(
        &mut self,
        request: &request::CallRequest,
        decision: &route::RouteDecision,
        settings: &settings::RouteSettings,
        now: time::Instant,
    ) -> AdmissionDecision {
        let work = estimate_work(request, settings);
        self.shares
            .on_demand(&request.firm, &request.team, work, now);
        self.lease.on_demand(work, now);
        let verdict = self.decide(request, decision, settings, work, now);
        let accepted = verdict.is_accepted();
        self.shares.record_class(request.class, work, accepted, now);
        verdict
    }

    fn decide(
        &mut self,
        request: &request::CallRequest,
        decision: &route::RouteDecision,
        settings: &settings::RouteSettings,
        work: f64,
        now: time::Instant,
    ) -> AdmissionDecision {
        if decision.target.is_err() {
            let refusal = self.refuse(RefusalReason::NoTarget, RETRY_AFTER_MIN);
            // Nobody may be told to return before the first pause ends.
            let pause = decision.pause.unwrap_or_default();
            return AdmissionDecision {
                retry_after: pause + refusal.retry_after,
                ..refusal
            };
        }
        let first = decision.first_token.as_secs_f64();
        let output = decision.finish.as_secs_f64() - first;
        let pressure = pressure(request, first, output, settings, now);
        if pressure > MAX_PRESSURE {
            return self.refuse(RefusalReason::Deadline, decision.first_token);
        }
        let overuse = self.shares.overuse(&request.firm, &request.team, now);
        // An account far below its share may use it for either class of work.
        let overuse = overuse * self.shares.class_overuse(request.class);
        self.adjust_level(pressure, now);
        let allowed = (self.level / overuse.max(self.level)).powi(SHARE_STEEPNESS);
        if pressure > MAX_PRESSURE * allowed {
            return self.refuse(RefusalReason::FairShare, decision.first_token);
        }
        if !self.lease.try_take(work, now) {
            return self.refuse(RefusalReason::Capacity, RETRY_AFTER_MIN);
        }
        self.shares
            .on_accepted(&request.firm, &request.team, work, now);
        AdmissionDecision {
            refused: None,
            retry_after: time::Duration::ZERO,
        }
    }

    /// Adjusts the level so that the pressure stays near `TARGET_PRESSURE` while demand exceeds
    /// capacity.
    fn adjust_level(&mut self, pressure: f64, now: time::Instant) {
        let since = self.level_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).min(MAX_LEVEL_STEP);
        let distance = TARGET_PRESSURE - pressure.min(1.0);
        let gain = if distance > 0.0 {
            LEVEL_UP_GAIN
        } else {
            LEVEL_DOWN_GAIN
        };
        let level = self.level + gain * distance * elapsed.as_secs_f64();
        self.level = level.clamp(LEVEL_BOUNDS.0, LEVEL_BOUNDS.1);
    }

    /// Returns the fair shares, for setting weights and for reports.
    pub fn shares_mut(&mut self) -> &mut share::FairShare {
        &mut self.shares
    }

    /// Returns the capacity lease of the entry.
    pub fn lease_mut(&mut self) -> &mut lease::CapacityLease {
        &mut self.lease
    }

    fn refuse(&mut self, reason: RefusalReason, wait: time::Duration) -> AdmissionDecision {
        let base = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        // The jitter keeps callers that were refused together from retrying together.
        let jitter = 0.5 + self.random.random::<f64>();
        AdmissionDecision {
            refused: Some(reason),
            retry_after: base.mul_f64(jitter),
        }
    }
}

/// Estimates the work of a call in engine-seconds.
pub fn estimate_work(request: &request::CallRequest, settings: &settings::RouteSettings) -> f64 {
    let prefill = request.prompt.get() as f64 / settings.prefill_rate;
    // A step of a full batch takes a little more than twice as long as that of a single call.
    let token = 2.3 * settings.token_time.as_secs_f64() / f64::from(settings.batch_limit.max(1));
    prefill + request.remaining().get() as f64 * token
}

/// Returns the share of the slack before the deadline that the expected wait for the first token
/// uses. Above 1 the call would be late. Without a deadline, the slack is a multiple of the
/// first-token goal.
pub(crate) fn pressure(
    request: &request::CallRequest,
    first: f64,
    output: f64,
    settings: &settings::RouteSettings,
    now: time::Instant,
) -> f64 {
    let goal = settings.first_token_goal.as_secs_f64();
    let slack = match (request.deadline, request.class) {
        (Some(deadline), _) => {
            let left = deadline.saturating_duration_since(now).as_secs_f64();
            let slack = left - output * route::DEADLINE_MARGIN;
            match request.class {
                WorkClass::Short => slack.min(goal * SHORT_WAIT_GOALS),
                WorkClass::Long => slack,
            }
        }
        // Without a deadline no call is late, but a longer queue would help no caller.
        (None, WorkClass::Short) => goal * MAX_WAIT_GOALS,
        (None, WorkClass::Long) => goal * MAX_WAIT_GOALS * LONG_WAIT_FACTOR,
    };
    // The time that the call takes on an idle engine does not count as waiting.
    let idle_time =
        request.prompt.get() as f64 / settings.prefill_rate + IDLE_FIRST_TOKEN_SHARE * goal;
    if slack <= idle_time {
        return f64::INFINITY;
    }
    (first - idle_time).max(0.0) / (slack - idle_time)
}
