//! Accepts or refuses a call before anything is sent. Not for: choosing the target.

use std::time;

use rand::{Rng as _, SeedableRng as _};
use usher_types::WorkClass;

use crate::{lease, request, route, settings, share};

/// Share of the slack to the deadline that waiting for the first token may take. Above a half, the
/// queue grows during the lag of the reports until calls are late.
pub(crate) const MAX_PRESSURE: f64 = 0.6;
/// How steeply the allowed pressure falls for accounts above their fair share, so that there is
/// room left for those below.
const SHARE_STEEPNESS: i32 = 20;
/// Bounds of the part of its fair share above which an account's allowed pressure begins to fall.
const LEVEL: (f64, f64) = (0.6, 1.4);
/// Pressure that the level steers at: batches are full, and accounts below their share still find
/// room under the largest pressure.
const TARGET_PRESSURE: f64 = 0.25;
/// Change of the level per second and unit of pressure; down faster than up, because a rise of the
/// demand comes within seconds.
const LEVEL_UP: f64 = 0.075;
const LEVEL_DOWN: f64 = 0.3;
/// Longest time between two calls that counts for the level.
const LEVEL_STEP: time::Duration = time::Duration::from_millis(500);
/// Goals for the first token that a call without a deadline may wait, and how many times longer
/// long work may.
const PATIENCE: f64 = 10.0;
const LONG_PATIENCE: f64 = 5.0;
/// Goals for the first token that short work with a deadline may wait at most, however much slack
/// it has: the first token is promised as well as the last.
const SHORT_PATIENCE: f64 = 1.5;
/// Part of the goal for the first token that a call without a prompt takes on an idle engine.
const IDLE_FIRST: f64 = 0.1;
/// Longest Retry-After before jitter.
const RETRY_LONGEST: time::Duration = time::Duration::from_secs(30);
/// Shortest Retry-After before jitter.
const RETRY_SHORTEST: time::Duration = time::Duration::from_secs(1);

usher_types::value_type! {
    /// Why a call is refused; nothing of it was run.
    pub enum RefusalReason {
        /// No target takes it.
        NoTarget,
        /// It wouldn't finish before its deadline.
        Deadline,
        /// Its firm or team uses more than its fair share while capacity is short.
        FairShare,
        /// The entry's share of the capacity is used up.
        Capacity,
    }
}

usher_types::value_type! {
    /// Whether a call is accepted.
    #[derive(Copy)]
    pub struct AdmissionDecision {
        /// None when the call is accepted.
        pub refused: Option<RefusalReason>,
        /// When the caller may try again, with jitter; zero when the call is accepted.
        pub retry_after: time::Duration,
    }
}

impl AdmissionDecision {
    /// Returns whether the call is accepted.
    pub fn is_accepted(&self) -> bool {
        self.refused.is_none()
    }
}

/// Deadline admission, fair shares and the capacity share leased from control.
#[derive(Clone, Debug)]
pub struct AdmissionPolicy {
    random: rand_chacha::ChaCha8Rng,
    shares: share::FairShare,
    lease: lease::CapacityLease,
    /// Part of its fair share above which an account is held back.
    level: f64,
    level_at: Option<time::Instant>,
}

impl AdmissionPolicy {
    /// Makes a policy with a seed for its jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ 0xAD31),
            shares: share::FairShare::new(),
            lease: lease::CapacityLease::new(),
            level: LEVEL.1,
            level_at: None,
        }
    }

    /// Decides on a call for which `decision` was made.
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
        let verdict = self.judge(request, decision, settings, work, now);
        let accepted = verdict.is_accepted();
        self.shares.on_class(request.class, work, accepted, now);
        verdict
    }

    fn judge(
        &mut self,
        request: &request::CallRequest,
        decision: &route::RouteDecision,
        settings: &settings::RouteSettings,
        work: f64,
        now: time::Instant,
    ) -> AdmissionDecision {
        if decision.target.is_err() {
            return self.refuse(RefusalReason::NoTarget, RETRY_SHORTEST);
        }
        let first = decision.first_token.as_secs_f64();
        let output = decision.finish.as_secs_f64() - first;
        let pressure = pressure(request, first, output, settings, now);
        if pressure > MAX_PRESSURE {
            return self.refuse(RefusalReason::Deadline, decision.first_token);
        }
        let over = self.shares.overuse(&request.firm, &request.team, now);
        // An account far below its share may use it for either class.
        let over = over * self.shares.class_overuse(request.class);
        self.steer(pressure, now);
        let allowed = (self.level / over.max(self.level)).powi(SHARE_STEEPNESS);
        if pressure > MAX_PRESSURE * allowed {
            return self.refuse(RefusalReason::FairShare, decision.first_token);
        }
        if !self.lease.take(work, now) {
            return self.refuse(RefusalReason::Capacity, RETRY_SHORTEST);
        }
        self.shares
            .on_accepted(&request.firm, &request.team, work, now);
        AdmissionDecision {
            refused: None,
            retry_after: time::Duration::ZERO,
        }
    }

    /// Moves the level so that the pressure stays at its target while demand exceeds capacity.
    fn steer(&mut self, pressure: f64, now: time::Instant) {
        let since = self.level_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).min(LEVEL_STEP);
        let distance = TARGET_PRESSURE - pressure.min(1.0);
        let gain = if distance > 0.0 { LEVEL_UP } else { LEVEL_DOWN };
        let level = self.level + gain * distance * elapsed.as_secs_f64();
        self.level = level.clamp(LEVEL.0, LEVEL.1);
    }

    /// Returns the fair shares, for weights and reports.
    pub fn shares_mut(&mut self) -> &mut share::FairShare {
        &mut self.shares
    }

    /// Returns the capacity share leased from control.
    pub fn lease_mut(&mut self) -> &mut lease::CapacityLease {
        &mut self.lease
    }

    fn refuse(&mut self, reason: RefusalReason, wait: time::Duration) -> AdmissionDecision {
        let base = wait.clamp(RETRY_SHORTEST, RETRY_LONGEST);
        // Callers refused together must not come back together.
        let jitter = 0.5 + self.random.random::<f64>();
        AdmissionDecision {
            refused: Some(reason),
            retry_after: base.mul_f64(jitter),
        }
    }
}

/// Returns the work of a call in engine-seconds.
pub fn estimate_work(request: &request::CallRequest, settings: &settings::RouteSettings) -> f64 {
    let prefill = request.prompt.get() as f64 / settings.prefill_rate;
    // In a full batch, the step is a little more than twice that of a call alone.
    let token = 2.3 * settings.token_time.as_secs_f64() / f64::from(settings.batch_limit.max(1));
    prefill + request.remaining().get() as f64 * token
}

/// Returns the part of the slack to the deadline that waiting for the first token takes; above 1
/// the call would be late. Without a deadline the slack is the goal for the first token.
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
                WorkClass::Short => slack.min(goal * SHORT_PATIENCE),
                WorkClass::Long => slack,
            }
        }
        // Without a deadline nothing is late, but a queue this long helps nobody.
        (None, WorkClass::Short) => goal * PATIENCE,
        (None, WorkClass::Long) => goal * PATIENCE * LONG_PATIENCE,
    };
    // What the call takes on an idle engine isn't waiting.
    let own = request.prompt.get() as f64 / settings.prefill_rate + IDLE_FIRST * goal;
    if slack <= own {
        return f64::INFINITY;
    }
    (first - own).max(0.0) / (slack - own)
}
