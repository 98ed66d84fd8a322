//! Merges the counts that gateways report. Not for: fixing them.

use std::collections;

use usher_wire::message;

use crate::usage_window::MAX_WINDOWS;

/// One run of a gateway process, whose counts only grow.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct GatewayRun {
    /// Name of the gateway.
    pub node: String,
    /// Number of the run, which differs between the runs of a gateway.
    pub incarnation: u64,
}

type TeamCounts = collections::BTreeMap<usher_types::TeamName, u64>;

/// Counts by window, gateway and team. A merge keeps the larger count, so reports may be repeated,
/// doubled, late or out of order.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    windows: collections::BTreeMap<u64, collections::BTreeMap<GatewayRun, TeamCounts>>,
    /// Newest window whose counts are fixed.
    fixed_through: u64,
}

impl UsageTable {
    /// Merges the counts of a gateway; returns how many belong to windows that are fixed.
    pub fn merge(&mut self, gateway: &GatewayRun, counts: &[message::UsageCount]) -> usize {
        let mut late = 0;
        for count in counts {
            if count.window <= self.fixed_through {
                late += 1;
                continue;
            }
            let gateways = self.windows.entry(count.window).or_default();
            let teams = gateways.entry(gateway.clone()).or_default();
            let team = usher_types::TeamName::new(count.team.clone());
            let known = teams.entry(team).or_default();
            *known = count.count.max(*known);
        }
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
        late
    }

    /// Returns the counts of a window by gateway, for another registrar.
    pub fn gateways(&self, window: u64) -> Vec<message::GatewayUsage> {
        let gateways = self.windows.get(&window).into_iter().flatten();
        let reports = gateways.map(|(gateway, teams)| message::GatewayUsage {
            node: gateway.node.clone(),
            incarnation: gateway.incarnation,
            counts: teams
                .iter()
                .map(|(team, count)| message::UsageCount {
                    window,
                    team: team.to_string(),
                    count: *count,
                })
                .collect(),
        });
        reports.collect()
    }

    /// Returns the sum of a window by team.
    pub fn totals(&self, window: u64) -> TeamCounts {
        let mut totals = TeamCounts::new();
        let gateways = self.windows.get(&window).into_iter().flatten();
        for (team, count) in gateways.flat_map(|(_, teams)| teams) {
            *totals.entry(team.clone()).or_default() += count;
        }
        totals
    }

    /// Forgets a window and all before it, whose counts are fixed.
    pub fn forget_through(&mut self, window: u64) {
        if window > self.fixed_through {
            self.fixed_through = window;
            self.windows = self.windows.split_off(&window.saturating_add(1));
        }
    }
}
