//! Decides whether a call leaves its failure domain. Not for: choosing a target within a domain.
//!
//! Answers loads that differ between domains: one peaks or loses targets while others have room.
//! All gateways of a domain decide alike on reports of the same age, so only a share of the calls
//! leaves, which grows with the queue of the domain.

use std::{fmt, time};

use crate::work;

/// Share of the time left in which the own domain has to serve a call. The rest is for the error of
/// an estimate from loads that are a report old.
const STAY_SHARE: f64 = 0.5;

/// Share of the time left in which another domain has to serve a call that leaves. Its own callers
/// leave it from [`STAY_SHARE`] on, so that it takes no more calls of others than it can serve.
const ROOM_SHARE: f64 = 0.75;

/// Engine time taken from other calls that a stay is worth, as a share of the time left.
const EXTRA_WORK_SHARE: f64 = 0.1;

/// Difference of the times at which all calls leave, in ages of the loads. A queue that is controlled
/// on reports of an age oscillates when the gain times the age exceeds π/2; with this span the product
/// stays at 1 up to a load of 1.2 of the capacity.
const SPAN_AGES: f64 = 1.2;

/// The best plan for a call with the targets of some domains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DomainPlan {
    /// Expected time until the call is served, network path included.
    pub time: time::Duration,
    /// Engine time that the plan takes from other calls.
    pub extra_work: time::Duration,
}

/// The call that stays or leaves.
#[derive(Clone, Copy, Debug)]
pub struct SpillCall {
    /// Differs between calls, and is the same when a call is placed again.
    pub key: u64,
    /// Time left until the call is late.
    pub time_left: time::Duration,
    /// Age of the loads that the plans are made from.
    pub load_age: time::Duration,
}

usher_types::value_type! {
    /// Why a call leaves its failure domain.
    pub enum SpillReason {
        /// No target of the domain can serve the call.
        NoTarget,
        /// The queue of the domain is too long.
        Queue,
        /// The domain would read a shared prefix again.
        SharedPrefix,
        /// No domain serves the call on time, and another one serves it sooner.
        Late,
    }
}

impl fmt::Display for SpillReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoTarget => "no-target",
            Self::Queue => "queue",
            Self::SharedPrefix => "shared-prefix",
            Self::Late => "late",
        })
    }
}

impl SpillCall {
    /// Returns whether a plan of the own domain is good enough that no other is needed.
    ///
    /// ```
    /// use std::time::Duration;
    /// let call = usher_place::SpillCall {
    ///     key: 1,
    ///     time_left: Duration::from_millis(600),
    ///     load_age: Duration::from_millis(200),
    /// };
    /// let plan = |ms| usher_place::DomainPlan {
    ///     time: Duration::from_millis(ms),
    ///     extra_work: Duration::ZERO,
    /// };
    /// assert!(call.is_served_by(&plan(250)));
    /// assert!(!call.is_served_by(&plan(350)));
    /// ```
    pub fn is_served_by(&self, here: &DomainPlan) -> bool {
        here.time <= self.time_left.mul_f64(STAY_SHARE) && !self.takes_too_much(here)
    }

    /// Decides between the best plan of the own domain and the best plan elsewhere; `None` when the
    /// call stays.
    pub fn decide(&self, here: Option<&DomainPlan>, there: &DomainPlan) -> Option<SpillReason> {
        let Some(here) = here else {
            return Some(SpillReason::NoTarget);
        };
        let saves_work = self.takes_too_much(here) && !self.takes_too_much(there);
        if saves_work && there.time <= here.time.max(self.time_left.mul_f64(ROOM_SHARE)) {
            return Some(SpillReason::SharedPrefix);
        }
        let share = self
            .excess(here.time, there.time)
            .min(self.room(there.time));
        self.is_in(share).then_some(SpillReason::Queue)
    }

    /// Decides for a call that no domain serves on time. It has the lowest urgency, so that it takes
    /// only what the callers of the other domain leave over, and needs no room there.
    pub fn decide_late(&self, here: &DomainPlan, there: &DomainPlan) -> Option<SpillReason> {
        self.is_in(self.excess(here.time, there.time))
            .then_some(SpillReason::Late)
    }

    /// Returns the share of calls that leave a queue; it falls to zero where both domains take the
    /// same time.
    fn excess(&self, here: time::Duration, there: time::Duration) -> f64 {
        let stay = self.time_left.as_secs_f64() * STAY_SHARE;
        let span = stay.max(self.load_age.as_secs_f64() * SPAN_AGES);
        (here.as_secs_f64() - there.as_secs_f64().max(stay)) / span.max(f64::MIN_POSITIVE)
    }

    /// Returns the share of calls for which another domain has room; it falls to zero as the time
    /// there approaches [`ROOM_SHARE`].
    fn room(&self, there: time::Duration) -> f64 {
        let left = self.time_left.as_secs_f64();
        let taper = left * (1.0 - ROOM_SHARE);
        (left * ROOM_SHARE - there.as_secs_f64()) / taper.max(f64::MIN_POSITIVE)
    }

    fn is_in(&self, share: f64) -> bool {
        unit_interval(self.key) < share
    }

    fn takes_too_much(&self, plan: &DomainPlan) -> bool {
        plan.extra_work > self.time_left.mul_f64(EXTRA_WORK_SHARE)
    }
}

/// Maps a key to a number from 0 to 1.
fn unit_interval(key: u64) -> f64 {
    work::mix(work::FNV_OFFSET, key) as f64 / u64::MAX as f64
}
