//! Decides how many engines run prefill, decode or both. Not for: selecting the engine or ordering
//! it to change.

use std::time;

use usher_types::EngineRole;

/// Time constant over which the demand is averaged: longer than bursts, shorter than a shift of
/// the mix.
const DEMAND_TIME_CONSTANT: time::Duration = time::Duration::from_secs(8);
/// How long a plan must stay the best before it is carried out.
const HOLD_TIME: time::Duration = time::Duration::from_secs(6);
/// Pause after a change until its effect is visible.
const COOLDOWN: time::Duration = time::Duration::from_secs(8);
/// Largest number of changes within `CHANGE_WINDOW`, so that an unstable mix does not keep engines
/// unavailable.
const MAX_CHANGES: usize = 2;
const CHANGE_WINDOW: time::Duration = time::Duration::from_secs(45);
/// Time within which a change must pay back the seconds that an engine is unavailable.
const PAYBACK_TIME: time::Duration = time::Duration::from_secs(60);
/// Gain below which a change is attributed to noise.
const MIN_GAIN: f64 = 0.08;
/// Utilisation above which queues grow without bound.
const MAX_UTILISATION: f64 = 0.98;
/// Number of steps in which the share of the work that uses separate prefill and decode engines is
/// tried.
const SPLIT_STEPS: u32 = 20;

usher_types::value_type! {
    /// Numbers of engines by role.
    #[derive(Copy, Default, Eq)]
    pub struct RoleCounts {
        /// Engines that only prefill.
        pub prefill: u32,
        /// Engines that only decode.
        pub decode: u32,
        /// Engines that do both.
        pub mixed: u32,
    }
}

impl RoleCounts {
    /// Counts roles.
    pub fn of<R>(roles: R) -> Self
    where
        R: IntoIterator<Item = EngineRole>,
    {
        let mut counts = Self::default();
        for role in roles {
            *counts.of_role(role) += 1;
        }
        counts
    }

    fn of_role(&mut self, role: EngineRole) -> &mut u32 {
        match role {
            EngineRole::Prefill => &mut self.prefill,
            EngineRole::Decode => &mut self.decode,
            EngineRole::Mixed => &mut self.mixed,
        }
    }

    fn with_change(mut self, from: EngineRole, to: EngineRole) -> Option<Self> {
        let left = self.of_role(from).checked_sub(1)?;
        *self.of_role(from) = left;
        *self.of_role(to) += 1;
        Some(self)
    }
}

usher_types::value_type! {
    /// Lower and upper bounds of the number of engines of each role, from the sheet.
    #[derive(Copy, Eq)]
    pub struct RoleLimits {
        /// Fewest engines of each role.
        pub min: RoleCounts,
        /// Most engines of each role.
        pub max: RoleCounts,
    }
}

usher_types::value_type! {
    /// Throughput and timing of an engine in each role.
    #[derive(Copy)]
    pub struct RoleRates {
        /// Prompt tokens per second of an engine that only prefills.
        pub prefill_alone: f64,
        /// Prompt tokens per second of step time on a mixed engine.
        pub prefill_mixed: f64,
        /// Output tokens per second of a full batch without prefill.
        pub decode: f64,
        /// Seconds per token in a full batch without prefill.
        pub token_time: f64,
        /// Goal for the inter-token time, in seconds.
        pub token_goal: f64,
        /// Seconds that an engine is unavailable during a role change.
        pub change_seconds: f64,
    }
}

usher_types::value_type! {
    /// Role change of one engine.
    #[derive(Copy, Eq)]
    pub struct RoleChange {
        /// Role of the engine before the change.
        pub from: EngineRole,
        /// Role of the engine after the change.
        pub to: EngineRole,
    }
}

/// Plans role changes from the demand for prefill and decode.
#[derive(Clone, Debug)]
pub struct RolePolicy {
    limits: RoleLimits,
    rates: RoleRates,
    /// Averaged prompt and output tokens per second.
    demand: Option<(f64, f64)>,
    observed_at: Option<time::Instant>,
    candidate: Option<(Vec<RoleChange>, time::Instant)>,
    /// Changes of the current plan that have not been made yet.
    pending: Vec<RoleChange>,
    changed_at: Vec<time::Instant>,
}

impl RolePolicy {
    /// Creates a policy within the limits of the sheet.
    pub fn new(limits: RoleLimits, rates: RoleRates) -> Self {
        Self {
            limits,
            rates,
            demand: None,
            observed_at: None,
            candidate: None,
            pending: Vec::new(),
            changed_at: Vec::new(),
        }
    }

    /// Records the prompt and output tokens per second that were requested since the previous
    /// call.
    pub fn observe(&mut self, prompt: f64, output: f64, now: time::Instant) {
        let since = self.observed_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let gain = 1.0 - (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        let (old_prompt, old_output) = self.demand.unwrap_or((prompt, output));
        self.demand = Some((
            old_prompt + gain * (prompt - old_prompt),
            old_output + gain * (output - old_output),
        ));
    }

    /// Returns the next change to make, if any; changes are made one engine at a time.
    pub fn decide(&mut self, now: time::Instant, counts: RoleCounts) -> Option<RoleChange> {
        self.changed_at
            .retain(|at| now.saturating_duration_since(*at) < CHANGE_WINDOW);
        if let Some(change) = self.pending.pop() {
            self.changed_at.push(now);
            return Some(change);
        }
        let last = self.changed_at.last();
        if last.is_some_and(|at| now.saturating_duration_since(*at) < COOLDOWN) {
            return None;
        }
        let plan = self.best_plan(counts);
        let Some(plan) = plan.filter(|plan| self.changed_at.len() + plan.len() <= MAX_CHANGES)
        else {
            self.candidate = None;
            return None;
        };
        let since = match &self.candidate {
            Some((candidate, since)) if *candidate == plan => *since,
            _ => now,
        };
        if now.saturating_duration_since(since) < HOLD_TIME {
            self.candidate = Some((plan, since));
            return None;
        }
        self.candidate = None;
        self.pending = plan;
        let change = self.pending.pop();
        self.changed_at.push(now);
        change
    }

    /// Returns the cost of a distribution of roles under the current demand: waiting, which grows
    /// with the utilisation, plus the inter-token time relative to its goal.
    pub fn cost(&self, counts: RoleCounts) -> f64 {
        let Some((prompt, output)) = self.demand else {
            return 0.0;
        };
        let steps = 0..=SPLIT_STEPS;
        let costs = steps.map(|step| {
            let separate_share = f64::from(step) / f64::from(SPLIT_STEPS);
            self.cost_of_split(counts, prompt, output, separate_share)
        });
        costs.fold(f64::INFINITY, f64::min)
    }

    fn cost_of_split(
        &self,
        counts: RoleCounts,
        prompt: f64,
        output: f64,
        separate_share: f64,
    ) -> f64 {
        let rates = &self.rates;
        let utilisation_of = |work: f64, engines: u32| {
            if work <= 0.0 {
                0.0
            } else {
                work / f64::from(engines)
            }
        };
        let prefill = utilisation_of(
            separate_share * prompt / rates.prefill_alone,
            counts.prefill,
        );
        let decode = utilisation_of(separate_share * output / rates.decode, counts.decode);
        let mixed_share = 1.0 - separate_share;
        let chunks = utilisation_of(mixed_share * prompt / rates.prefill_mixed, counts.mixed);
        let mixed = chunks + utilisation_of(mixed_share * output / rates.decode, counts.mixed);
        // Length of an M/M/1 queue up to `MAX_UTILISATION`, and a steep linear penalty above it.
        let wait = |utilisation: f64| {
            let excess = (utilisation - MAX_UTILISATION).max(0.0);
            let utilisation = utilisation.min(MAX_UTILISATION);
            utilisation * utilisation / (1.0 - utilisation) + 200.0 * excess
        };
        let mixed_token_time = rates.token_time / (1.0 - chunks.min(0.9));
        let token = separate_share * rates.token_time + mixed_share * mixed_token_time;
        let waits = wait(prefill).max(wait(decode)).max(wait(mixed));
        0.1 * waits + token / rates.token_goal
    }

    fn best_plan(&self, counts: RoleCounts) -> Option<Vec<RoleChange>> {
        let now = self.cost(counts);
        let engines = f64::from(counts.prefill + counts.decode + counts.mixed).max(1.0);
        let mut best: Option<(Vec<RoleChange>, f64)> = None;
        for (plan, after) in self.plans(counts) {
            // The other engines carry the load of an engine that is unavailable.
            let away_share = self.rates.change_seconds * plan.len() as f64 / engines;
            let threshold =
                MIN_GAIN * plan.len() as f64 + now * away_share / PAYBACK_TIME.as_secs_f64();
            let gain = now - self.cost(after) - threshold;
            if gain > 0.0 && best.as_ref().is_none_or(|(_, known)| gain > *known) {
                best = Some((plan, gain));
            }
        }
        best.map(|(plan, _)| plan)
    }

    /// Lists plans of one or two changes that stay within the limits.
    fn plans(&self, counts: RoleCounts) -> Vec<(Vec<RoleChange>, RoleCounts)> {
        let changes = all_changes();
        let mut plans = Vec::new();
        for first in &changes {
            let Some(after_first) = counts.with_change(first.from, first.to) else {
                continue;
            };
            plans.push((vec![*first], after_first));
            for second in &changes {
                if let Some(after_second) = after_first.with_change(second.from, second.to) {
                    // The changes are popped from the end, so the first one comes last.
                    plans.push((vec![*second, *first], after_second));
                }
            }
        }
        plans.retain(|(_, after)| self.allows(*after));
        plans
    }

    /// Returns whether the limits allow a distribution of roles. Prefill engines without decode
    /// engines, or the reverse, are useless and not allowed.
    pub fn allows(&self, counts: RoleCounts) -> bool {
        let within = |count: u32, min: u32, max: u32| (min..=max).contains(&count);
        let RoleLimits { min, max } = self.limits;
        let paired = (counts.prefill == 0) == (counts.decode == 0);
        paired
            && within(counts.prefill, min.prefill, max.prefill)
            && within(counts.decode, min.decode, max.decode)
            && within(counts.mixed, min.mixed, max.mixed)
    }
}

fn all_changes() -> Vec<RoleChange> {
    let roles = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed];
    let pairs = roles
        .into_iter()
        .flat_map(|from| roles.map(|to| RoleChange { from, to }));
    pairs.filter(|change| change.from != change.to).collect()
}
