//! Counts the calls of teams at one gateway. Not for: deciding when a call counts.

use std::collections;

use usher_wire::message;

use crate::usage_window::MAX_WINDOWS;

#[derive(Clone, Copy, Debug, Default)]
struct TeamCount {
    count: u64,
    /// Count that the registrar has confirmed.
    confirmed: u64,
}

/// Cumulative counts by window and team, and what the registrar knows of them.
#[derive(Clone, Debug, Default)]
pub struct UsageCounter {
    windows: collections::BTreeMap<u64, collections::BTreeMap<usher_types::TeamName, TeamCount>>,
    /// Run of the registrar that has confirmed counts.
    registrar_run: u64,
}

impl UsageCounter {
    /// Counts a call of a team.
    pub fn count(&mut self, window: u64, team: &usher_types::TeamName) {
        let teams = self.windows.entry(window).or_default();
        match teams.get_mut(team) {
            Some(known) => known.count += 1,
            None => {
                let first = TeamCount {
                    count: 1,
                    confirmed: 0,
                };
                teams.insert(team.clone(), first);
            }
        }
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Returns the counts that the registrar doesn't know.
    pub fn unconfirmed(&self) -> Vec<message::UsageCount> {
        let windows = self.windows.iter();
        let counts = windows.flat_map(|(window, teams)| {
            let teams = teams.iter();
            let unconfirmed = teams.filter(|(_, known)| known.count > known.confirmed);
            unconfirmed.map(|(team, known)| message::UsageCount {
                window: *window,
                team: team.to_string(),
                count: known.count,
            })
        });
        counts.collect()
    }

    /// Records that a run of a registrar knows these counts. A registrar of another run than before
    /// knows only these.
    pub fn confirm(&mut self, registrar_run: u64, reported: &[message::UsageCount]) {
        if self.registrar_run != registrar_run {
            self.registrar_run = registrar_run;
            let all = self
                .windows
                .values_mut()
                .flat_map(collections::BTreeMap::values_mut);
            all.for_each(|known| known.confirmed = 0);
        }
        for count in reported {
            let teams = self.windows.get_mut(&count.window);
            let team = usher_types::TeamName::new(count.team.clone());
            if let Some(known) = teams.and_then(|teams| teams.get_mut(&team)) {
                known.confirmed = known.confirmed.max(count.count);
            }
        }
    }

    /// Forgets a window and all before it, whose counts are fixed.
    pub fn forget_through(&mut self, window: u64) {
        self.windows = self.windows.split_off(&window.saturating_add(1));
    }
}
