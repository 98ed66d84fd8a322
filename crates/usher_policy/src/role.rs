//! Sets how many engines prefill, decode or do both. Not for: which engine, or the order to it.

use std::time;

use usher_types::EngineRole;

/// Time over which the demand is averaged; longer than bursts, shorter than a shift of the mix.
const DEMAND_MEMORY: time::Duration = time::Duration::from_secs(8);
/// A change must look better for this long before it is made.
const HOLD: time::Duration = time::Duration::from_secs(6);
/// Pause after a change, in which its effect shows.
const PAUSE: time::Duration = time::Duration::from_secs(8);
/// Changes allowed within `CHANGE_WINDOW`, so that an unsteady mix can't keep engines away.
const CHANGES: usize = 2;
const CHANGE_WINDOW: time::Duration = time::Duration::from_secs(45);
/// Time over which a change must pay back the seconds that an engine is away.
const HORIZON: time::Duration = time::Duration::from_secs(60);
/// Gain below which a change is noise.
const MIN_GAIN: f64 = 0.08;
/// Utilisation above which queues grow without bound.
const FULL: f64 = 0.98;
/// Shares of the work that may go the way of separate prefill and decode.
const PATH_STEPS: u32 = 20;

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

    fn moved(mut self, from: EngineRole, to: EngineRole) -> Option<Self> {
        let left = self.of_role(from).checked_sub(1)?;
        *self.of_role(from) = left;
        *self.of_role(to) += 1;
        Some(self)
    }
}

usher_types::value_type! {
    /// Least and most engines of each role, from the sheet.
    #[derive(Copy, Eq)]
    pub struct RoleLimits {
        /// Fewest of each role.
        pub least: RoleCounts,
        /// Most of each role.
        pub most: RoleCounts,
    }
}

usher_types::value_type! {
    /// What an engine does in each role.
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
        /// Inter-token time that is aimed at, in seconds.
        pub token_goal: f64,
        /// Seconds that an engine is away for a change.
        pub change: f64,
    }
}

usher_types::value_type! {
    /// A change of one engine.
    #[derive(Copy, Eq)]
    pub struct RoleChange {
        /// Role of an engine that changes.
        pub from: EngineRole,
        /// Role that it gets.
        pub to: EngineRole,
    }
}

/// Chooses role changes from the demand for prefill and decode.
#[derive(Clone, Debug)]
pub struct RolePolicy {
    limits: RoleLimits,
    rates: RoleRates,
    /// Prompt and output tokens per second.
    demand: Option<(f64, f64)>,
    observed_at: Option<time::Instant>,
    wanted: Option<(Vec<RoleChange>, time::Instant)>,
    /// Changes of the plan that haven't been made yet.
    pending: Vec<RoleChange>,
    changed: Vec<time::Instant>,
}

impl RolePolicy {
    /// Makes a policy within the limits of the sheet.
    pub fn new(limits: RoleLimits, rates: RoleRates) -> Self {
        Self {
            limits,
            rates,
            demand: None,
            observed_at: None,
            wanted: None,
            pending: Vec::new(),
            changed: Vec::new(),
        }
    }

    /// Takes the prompt and output tokens per second that were asked for since the last time.
    pub fn observe(&mut self, prompt: f64, output: f64, now: time::Instant) {
        let since = self.observed_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let gain = 1.0 - (-elapsed / DEMAND_MEMORY.as_secs_f64()).exp();
        let (old_prompt, old_output) = self.demand.unwrap_or((prompt, output));
        self.demand = Some((
            old_prompt + gain * (prompt - old_prompt),
            old_output + gain * (output - old_output),
        ));
    }

    /// Returns the next change to make, if any; one engine at a time.
    pub fn decide(&mut self, now: time::Instant, counts: RoleCounts) -> Option<RoleChange> {
        self.changed
            .retain(|at| now.saturating_duration_since(*at) < CHANGE_WINDOW);
        if let Some(change) = self.pending.pop() {
            self.changed.push(now);
            return Some(change);
        }
        let last = self.changed.last();
        if last.is_some_and(|at| now.saturating_duration_since(*at) < PAUSE) {
            return None;
        }
        let plan = self.best_plan(counts);
        let Some(plan) = plan.filter(|plan| self.changed.len() + plan.len() <= CHANGES) else {
            self.wanted = None;
            return None;
        };
        let since = match &self.wanted {
            Some((wanted, since)) if *wanted == plan => *since,
            _ => now,
        };
        if now.saturating_duration_since(since) < HOLD {
            self.wanted = Some((plan, since));
            return None;
        }
        self.wanted = None;
        self.pending = plan;
        let change = self.pending.pop();
        self.changed.push(now);
        change
    }

    /// Returns the cost of a split for the demand: waiting that grows with the utilisation, and
    /// the inter-token time relative to its goal.
    pub fn cost(&self, counts: RoleCounts) -> f64 {
        let Some((prompt, output)) = self.demand else {
            return 0.0;
        };
        let steps = 0..=PATH_STEPS;
        let costs = steps.map(|step| {
            let apart = f64::from(step) / f64::from(PATH_STEPS);
            self.cost_of_path(counts, prompt, output, apart)
        });
        costs.fold(f64::INFINITY, f64::min)
    }

    fn cost_of_path(&self, counts: RoleCounts, prompt: f64, output: f64, apart: f64) -> f64 {
        let rates = &self.rates;
        let share = |work: f64, engines: u32| {
            if work <= 0.0 {
                0.0
            } else {
                work / f64::from(engines)
            }
        };
        let prefill = share(apart * prompt / rates.prefill_alone, counts.prefill);
        let decode = share(apart * output / rates.decode, counts.decode);
        let together = 1.0 - apart;
        let chunks = share(together * prompt / rates.prefill_mixed, counts.mixed);
        let mixed = chunks + share(together * output / rates.decode, counts.mixed);
        let wait = |use_: f64| {
            let over = (use_ - FULL).max(0.0);
            let use_ = use_.min(FULL);
            use_ * use_ / (1.0 - use_) + 200.0 * over
        };
        let slowed = rates.token_time / (1.0 - chunks.min(0.9));
        let token = apart * rates.token_time + together * slowed;
        let waits = wait(prefill).max(wait(decode)).max(wait(mixed));
        0.1 * waits + token / rates.token_goal
    }

    fn best_plan(&self, counts: RoleCounts) -> Option<Vec<RoleChange>> {
        let now = self.cost(counts);
        let engines = f64::from(counts.prefill + counts.decode + counts.mixed).max(1.0);
        let mut best: Option<(Vec<RoleChange>, f64)> = None;
        for (plan, after) in self.plans(counts) {
            // Each engine that is away makes the others carry its part for a while.
            let away = self.rates.change * plan.len() as f64 / engines;
            let price = MIN_GAIN * plan.len() as f64 + now * away / HORIZON.as_secs_f64();
            let gain = now - self.cost(after) - price;
            if gain > 0.0 && best.as_ref().is_none_or(|(_, known)| gain > *known) {
                best = Some((plan, gain));
            }
        }
        best.map(|(plan, _)| plan)
    }

    /// Lists plans of one or two changes that stay within the limits.
    fn plans(&self, counts: RoleCounts) -> Vec<(Vec<RoleChange>, RoleCounts)> {
        let singles = moves();
        let mut plans = Vec::new();
        for first in &singles {
            let Some(once) = counts.moved(first.from, first.to) else {
                continue;
            };
            plans.push((vec![*first], once));
            for second in &singles {
                if let Some(twice) = once.moved(second.from, second.to) {
                    plans.push((vec![*second, *first], twice));
                }
            }
        }
        plans.retain(|(_, after)| self.allows(*after));
        plans
    }

    /// Returns whether the limits allow a split; one-sided splits are useless as well.
    pub fn allows(&self, counts: RoleCounts) -> bool {
        let within = |count: u32, least: u32, most: u32| (least..=most).contains(&count);
        let RoleLimits { least, most } = self.limits;
        let apart = (counts.prefill == 0) == (counts.decode == 0);
        apart
            && within(counts.prefill, least.prefill, most.prefill)
            && within(counts.decode, least.decode, most.decode)
            && within(counts.mixed, least.mixed, most.mixed)
    }
}

fn moves() -> Vec<RoleChange> {
    let roles = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed];
    let pairs = roles
        .into_iter()
        .flat_map(|from| roles.map(|to| RoleChange { from, to }));
    pairs.filter(|change| change.from != change.to).collect()
}
