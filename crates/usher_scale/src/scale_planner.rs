//! Plans the orders of engines of one service. Not for: sending them.

use std::{collections, time};

use crate::{
    engine_mix::EngineMix,
    engine_order::{EngineKind, EngineOrder, OrderAnswer},
    scaling_rule::ScalingRule,
};

/// Pause of a kind in a domain after an order that was not accepted.
const RETRY_PAUSE: time::Duration = time::Duration::from_secs(2);

/// Divisor of the usual number of all domains that gives the shortage that is borne. Single engines
/// that are missing at the start of a holder cause no orders.
const SHORTAGE_DIVISOR: u32 = 20;

/// Divisor of the usual number that gives the most engines that are given up in a boot time while
/// calls run: those that remain have to read the shared prompt parts of the others.
const STEP_DIVISOR: u32 = 4;

usher_types::value_type! {
    /// The engines of a service in one domain.
    #[derive(Copy, Default, Eq)]
    pub struct DomainEngines {
        /// Lasting engines that haven't left, also silent ones.
        pub lasting: u32,
        /// Reclaimable engines that haven't left, also silent ones.
        pub reclaimable: u32,
        /// Reclaimable engines that take work.
        pub reclaimable_ready: u32,
    }
}

/// What the planner knows of a domain.
#[derive(Clone, Debug, Default)]
struct DomainPlan {
    /// Number of engines that the domain has had, without the surplus for a loss.
    usual: u32,
    seen: DomainEngines,
    lasting: KindPlan,
    reclaimable: KindPlan,
    /// Since when there are more lasting engines than needed.
    surplus_since: Option<time::Instant>,
}

/// The orders of one kind.
#[derive(Clone, Debug, Default)]
struct KindPlan {
    ordered: Option<u32>,
    accepted_at: Option<time::Instant>,
    paused_until: Option<time::Instant>,
}

impl KindPlan {
    fn is_paused(&self, now: time::Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}

/// Plans the orders of engines of one service.
///
/// A new holder starts with a new planner, which takes over the engines that it finds.
#[derive(Clone, Debug, Default)]
pub struct ScalePlanner {
    domains: collections::BTreeMap<usher_types::DomainName, DomainPlan>,
}

impl ScalePlanner {
    /// Returns the orders that should be sent now. `has_calls` tells whether calls run.
    ///
    /// The first call must come when the heartbeats of all engines have arrived.
    pub fn plan(
        &mut self,
        rule: &ScalingRule,
        engines: &collections::BTreeMap<usher_types::DomainName, DomainEngines>,
        has_calls: bool,
        now: time::Instant,
    ) -> Vec<EngineOrder> {
        self.observe(rule, engines);
        let count = u32::try_from(self.domains.len()).unwrap_or(u32::MAX);
        let plans = self.domains.values();
        let usual: u32 = plans.clone().map(|plan| plan.usual).sum();
        let present: u32 = plans.map(DomainPlan::present).sum();
        let shortage = usual.saturating_sub(present);
        let mut missing = if shortage > usual / SHORTAGE_DIVISOR {
            shortage
        } else {
            0
        };
        let mut spare = present.saturating_sub(usual);
        // Domains that lack the most come first.
        let mut plans: Vec<_> = self.domains.iter_mut().collect();
        plans.sort_by_key(|(_, plan)| std::cmp::Reverse(plan.usual.saturating_sub(plan.present())));
        let mut orders = Vec::new();
        for (domain, plan) in plans {
            let mix = EngineMix::cheapest(plan.usual, count, rule);
            let held = plan.held_lasting();
            let lasting = if missing > 0 {
                plan.raise_lasting(missing, rule, now)
            } else {
                plan.lower_lasting(mix, spare, has_calls, rule, now)
            };
            let next = lasting.unwrap_or(held);
            missing = missing.saturating_sub(next.saturating_sub(held));
            spare = spare.saturating_sub(held.saturating_sub(next));
            let reclaimable = plan.plan_reclaimable(rule, mix, next, now);
            let kinds = [
                (EngineKind::Lasting, lasting),
                (EngineKind::Reclaimable, reclaimable),
            ];
            orders.extend(kinds.into_iter().filter_map(|(kind, engines)| {
                Some(EngineOrder {
                    domain: domain.clone(),
                    kind,
                    engines: engines?,
                })
            }));
        }
        orders
    }

    /// Takes over the present engines, and the usual numbers before the first order.
    fn observe(
        &mut self,
        rule: &ScalingRule,
        engines: &collections::BTreeMap<usher_types::DomainName, DomainEngines>,
    ) {
        let count = u32::try_from(engines.len()).unwrap_or(u32::MAX);
        for plan in self.domains.values_mut() {
            plan.seen = DomainEngines::default();
        }
        for (domain, seen) in engines {
            let mix = EngineMix {
                lasting: seen.lasting,
                reclaimable: seen.reclaimable,
            };
            let plan = self.domains.entry(domain.clone()).or_default();
            plan.seen = *seen;
            if plan.lasting.ordered.is_none() && plan.reclaimable.ordered.is_none() {
                plan.usual = plan.usual.max(mix.usual(count, rule));
            }
        }
        let median = self.median_usual();
        for plan in self.domains.values_mut() {
            plan.usual = plan.usual.max(median).min(rule.max);
        }
    }

    /// Records the answer to an order.
    pub fn record(&mut self, order: &EngineOrder, answer: OrderAnswer, now: time::Instant) {
        let Some(plan) = self.domains.get_mut(&order.domain) else {
            return;
        };
        let kind = match order.kind {
            EngineKind::Lasting => &mut plan.lasting,
            EngineKind::Reclaimable => &mut plan.reclaimable,
        };
        match answer {
            OrderAnswer::Accepted => {
                kind.ordered = Some(order.engines);
                kind.accepted_at = Some(now);
            }
            OrderAnswer::Unavailable | OrderAnswer::Unknown => {
                kind.paused_until = Some(now + RETRY_PAUSE);
            }
        }
    }

    /// Returns the median of the usual numbers; a domain that has lost its reclaimable engines has a
    /// small one.
    fn median_usual(&self) -> u32 {
        let mut usual: Vec<_> = self.domains.values().map(|plan| plan.usual).collect();
        usual.sort_unstable();
        usual.get(usual.len() / 2).copied().unwrap_or_default()
    }
}

impl DomainPlan {
    /// Returns the lasting engines, including those that boot.
    fn held_lasting(&self) -> u32 {
        self.lasting.ordered.unwrap_or(self.seen.lasting)
    }

    /// Returns the engines that can be counted on.
    fn present(&self) -> u32 {
        self.held_lasting() + self.seen.reclaimable_ready
    }

    fn raise_lasting(
        &mut self,
        missing: u32,
        rule: &ScalingRule,
        now: time::Instant,
    ) -> Option<u32> {
        self.surplus_since = None;
        let lack = self.usual.saturating_sub(self.present()).min(missing);
        let room = rule
            .max
            .saturating_sub(self.held_lasting() + self.seen.reclaimable);
        let added = lack.min(room);
        (added > 0 && !self.lasting.is_paused(now)).then(|| self.held_lasting() + added)
    }

    /// Plans fewer lasting engines: at most `spare` less, and none that the reclaimable engines of
    /// the domain don't replace.
    fn lower_lasting(
        &mut self,
        mix: EngineMix,
        spare: u32,
        has_calls: bool,
        rule: &ScalingRule,
        now: time::Instant,
    ) -> Option<u32> {
        let held = self.held_lasting();
        let surplus = held
            .saturating_sub(mix.lasting)
            .min(self.present().saturating_sub(self.usual))
            .min(spare);
        if surplus == 0 {
            self.surplus_since = None;
            return None;
        }
        let since = *self.surplus_since.get_or_insert(now);
        let has_lasted = now.saturating_duration_since(since) >= rule.boot_time;
        if self.lasting.is_paused(now) || (has_calls && !has_lasted) {
            return None;
        }
        self.surplus_since = None;
        let step = if has_calls {
            self.usual.div_ceil(STEP_DIVISOR)
        } else {
            surplus
        };
        Some(held - surplus.min(step))
    }

    /// Plans the reclaimable engines beside up to `lasting` lasting ones.
    fn plan_reclaimable(
        &self,
        rule: &ScalingRule,
        mix: EngineMix,
        lasting: u32,
        now: time::Instant,
    ) -> Option<u32> {
        // Lasting engines that are being given up still count.
        let lasting = lasting.max(self.held_lasting()).max(self.seen.lasting);
        let wanted = mix.reclaimable.min(rule.max.saturating_sub(lasting));
        let ordered = self.reclaimable.ordered.unwrap_or(self.seen.reclaimable);
        if self.reclaimable.is_paused(now) {
            return None;
        }
        if wanted > ordered {
            return Some(wanted);
        }
        // All engines of an accepted order are gone or have not come.
        let settled = self
            .reclaimable
            .accepted_at
            .is_none_or(|at| now.saturating_duration_since(at) >= 2 * rule.boot_time);
        (wanted > 0 && self.seen.reclaimable == 0 && settled).then_some(wanted)
    }
}
