//! Simulates the control node: demand and roles. Not for: consensus.

use usher_policy::{RoleChange, RoleCounts, RoleLimits, RolePolicy, RoleRates};
use usher_types::EngineRole;

use crate::{engine, fleet, router, sim, sim_time};

/// Demand and roles in the control node.
pub(crate) struct ControlState {
    /// Prompt and output tokens requested since the last evaluation.
    demand: (f64, f64),
    roles: RolePolicy,
}

impl ControlState {
    pub(crate) fn new(fleet: &fleet::FleetSpec) -> Self {
        let count = fleet.engines.len() as u32;
        let min = RoleCounts {
            prefill: 0,
            decode: 0,
            // The floor of the sheet: a quarter of the engines always stays mixed.
            mixed: count / 4,
        };
        let max = RoleCounts {
            prefill: count,
            decode: count,
            mixed: count,
        };
        Self {
            demand: (0.0, 0.0),
            roles: RolePolicy::new(RoleLimits { min, max }, role_rates(&fleet.rates)),
        }
    }
}

/// Returns the role rates that a planner would take from the data sheet of the engines.
fn role_rates(rates: &engine::EngineRates) -> RoleRates {
    let batch = rates.batch_limit as f64;
    let token_time = rates.step_base + batch * rates.step_per_call;
    let chunk = rates.prefill_chunk_tokens as f64;
    RoleRates {
        prefill_alone: chunk / (rates.step_base + chunk / rates.prefill_per_second),
        prefill_mixed: rates.mixed_prefill_per_second,
        decode: batch / token_time,
        token_time,
        token_goal: 0.079,
        change_seconds: engine::ROLE_CHANGE_SECONDS,
    }
}

impl sim::World {
    /// Records the demand of a call at the control node, as the heartbeats of entries report it.
    pub(crate) fn record_demand(&mut self, call: usize) {
        let item = &self.plan.items[call];
        let hit = item.prefixes.last().map_or(0, |prefix| prefix.tokens.get());
        self.control.demand.0 += item.prompt.saturating_sub(hit) as f64;
        self.control.demand.1 += item.estimate as f64;
    }

    pub(crate) fn control_tick(&mut self) {
        self.queue
            .push(self.now + sim::CONTROL_INTERVAL, sim::Event::Control);
        for engine in 0..self.engines.len() {
            // Starts role changes whose engine became idle before the entries knew that it was
            // leaving.
            if !self.engines[engine].stepping && self.hosts[engine].alive {
                self.engine_idle(engine);
            }
        }
        let (prompt, output) = std::mem::take(&mut self.control.demand);
        let now = self.instant();
        let seconds = sim_time::to_seconds(sim::CONTROL_INTERVAL);
        let roles = &mut self.control.roles;
        roles.observe(prompt / seconds, output / seconds, now);
        if self.plan.roles && self.plan.policy == router::PolicyName::Usher {
            self.change_roles();
        }
    }

    fn change_roles(&mut self) {
        let now = self.instant();
        let counts = RoleCounts::of(self.planned_roles());
        if let Some(RoleChange { from, to }) = self.control.roles.decide(now, counts) {
            let changeable = |at: &usize| {
                let host = &self.hosts[*at];
                host.alive && host.next_role.is_none() && self.engines[*at].role == from
            };
            // The engine with the fewest running calls is unavailable for the shortest time.
            let load = |at: &usize| self.engines[*at].running.len();
            let engine = (0..self.engines.len()).filter(changeable).min_by_key(load);
            if let Some(engine) = engine {
                self.begin_role_change(engine, to);
            }
        }
    }

    /// Returns the roles after all changes in progress have ended.
    fn planned_roles(&self) -> Vec<EngineRole> {
        let engines = self.engines.iter().zip(&self.hosts);
        engines
            .map(|(engine, host)| host.next_role.unwrap_or(engine.role))
            .collect()
    }
}
