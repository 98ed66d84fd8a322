//! Accepts or refuses a call before anything is sent. Not for: choosing the target.

use std::time;

use rand::{Rng as _, SeedableRng as _};
use usher_types::WorkClass;

use crate::{lease, request, route, settings, share};

/// Share of the slack to the deadline beyond which the system counts as congested.
const CONGESTED_SHARE: f64 = 0.5;
/// Longest Retry-After before jitter.
const RETRY_LONGEST: time::Duration = time::Duration::from_secs(30);
/// Shortest Retry-After before jitter.
const RETRY_SHORTEST: time::Duration = time::Duration::from_secs(1);

usher_types::value_type! {
    /// Why a call is refused; nothing of it was run.
    pub enum RefuseReason {
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
    pub struct AdmitDecision {
        /// None when the call is accepted.
        pub refused: Option<RefuseReason>,
        /// When the caller may try again, with jitter; zero when the call is accepted.
        pub retry_after: time::Duration,
    }
}

impl AdmitDecision {
    /// Returns whether the call is accepted.
    pub fn is_accepted(&self) -> bool {
        self.refused.is_none()
    }
}

/// Deadline admission, fair shares and the capacity share leased from control.
#[derive(Clone, Debug)]
pub struct AdmitPolicy {
    random: rand_chacha::ChaCha8Rng,
    shares: share::FairShare,
    lease: lease::CapacityLease,
}

impl AdmitPolicy {
    /// Makes a policy with a seed for its jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ 0xAD31),
            shares: share::FairShare::new(),
            lease: lease::CapacityLease::new(),
        }
    }

    /// Decides on a call for which `decision` was made.
    pub fn admit(
        &mut self,
        request: &request::CallRequest,
        decision: &route::RouteDecision,
        settings: &settings::RouteSettings,
        now: time::Instant,
    ) -> AdmitDecision {
        let work = work_of(request, settings);
        self.shares
            .on_asked(&request.firm, &request.team, work, now);
        self.lease.on_asked(work, now);
        if decision.target.is_err() {
            return self.refuse(RefuseReason::NoTarget, RETRY_SHORTEST);
        }
        let (late_by, congestion) = pressure(request, decision, settings, now);
        if late_by > time::Duration::ZERO {
            return self.refuse(RefuseReason::Deadline, late_by);
        }
        let congested = congestion > CONGESTED_SHARE;
        if congested && self.shares.is_over(&request.firm, &request.team, now) {
            return self.refuse(RefuseReason::FairShare, decision.first_token);
        }
        if !self.lease.take(work, now) {
            return self.refuse(RefuseReason::Capacity, RETRY_SHORTEST);
        }
        self.shares
            .on_accepted(&request.firm, &request.team, work, now);
        AdmitDecision {
            refused: None,
            retry_after: time::Duration::ZERO,
        }
    }

    /// Returns the fair shares, for weights and reports.
    pub fn shares_mut(&mut self) -> &mut share::FairShare {
        &mut self.shares
    }

    /// Returns the capacity share leased from control.
    pub fn lease_mut(&mut self) -> &mut lease::CapacityLease {
        &mut self.lease
    }

    fn refuse(&mut self, reason: RefuseReason, wait: time::Duration) -> AdmitDecision {
        let base = wait.clamp(RETRY_SHORTEST, RETRY_LONGEST);
        // Callers refused together must not come back together.
        let jitter = 0.5 + self.random.random::<f64>();
        AdmitDecision {
            refused: Some(reason),
            retry_after: base.mul_f64(jitter),
        }
    }
}

/// Returns the work of a call in engine-seconds.
pub fn work_of(request: &request::CallRequest, settings: &settings::RouteSettings) -> f64 {
    let prefill = request.prompt.get() as f64 / settings.prefill_rate;
    let token = settings.token_time.as_secs_f64() / f64::from(settings.batch_limit.max(1));
    prefill + request.remaining().get() as f64 * token * 2.0
}

/// Returns by how much the call would be late, and how much of its slack waiting takes.
fn pressure(
    request: &request::CallRequest,
    decision: &route::RouteDecision,
    settings: &settings::RouteSettings,
    now: time::Instant,
) -> (time::Duration, f64) {
    let first = decision.first_token.as_secs_f64();
    let goal = settings.first_token_goal.as_secs_f64();
    let Some(deadline) = request.deadline else {
        let congestion = if request.class == WorkClass::Short {
            first / goal
        } else {
            first / (goal * 10.0)
        };
        return (time::Duration::ZERO, congestion);
    };
    let left = deadline.saturating_duration_since(now);
    let finish = decision.finish.as_secs_f64() * route::DEADLINE_MARGIN;
    let late = finish - left.as_secs_f64();
    let late_by = time::Duration::try_from_secs_f64(late.max(0.0)).unwrap_or(time::Duration::MAX);
    let output = decision.finish.saturating_sub(decision.first_token);
    let slack = left.saturating_sub(output).as_secs_f64().max(0.001);
    (late_by, first / slack)
}
