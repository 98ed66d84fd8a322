//! Which links between processes are cut, slow or reset. Not for: carrying bytes.

use std::{collections, time};

use tokio::sync;

use crate::step;

/// What is wrong with the links; shared by all relays.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkTable {
    isolated: collections::BTreeSet<step::ProcessName>,
    pairs: collections::BTreeSet<(step::ProcessName, step::ProcessName)>,
    /// Directions that are held while the other one passes.
    one_way: collections::BTreeSet<(step::ProcessName, step::ProcessName)>,
    delays: collections::BTreeMap<step::ProcessName, time::Duration>,
    /// How often the connections of a process were reset.
    resets: collections::BTreeMap<step::ProcessName, u64>,
}

impl LinkTable {
    /// Makes a table without cuts, for relays to watch.
    pub fn shared() -> sync::watch::Sender<Self> {
        sync::watch::Sender::new(Self::default())
    }

    /// Cuts the link between two processes, or between one and all others.
    pub fn cut(&mut self, from: &step::ProcessName, to: Option<&step::ProcessName>) {
        match to {
            Some(to) => {
                self.pairs.insert(ordered(from, to));
            }
            None => {
                self.isolated.insert(from.clone());
            }
        }
    }

    /// Holds what one process sends to another, and lets the answers pass.
    pub fn cut_one_way(&mut self, from: &step::ProcessName, to: &step::ProcessName) {
        self.one_way.insert((from.clone(), to.clone()));
    }

    /// Delays each piece of what passes from and to a process.
    pub fn delay(&mut self, name: &step::ProcessName, delay: time::Duration) {
        self.delays.insert(name.clone(), delay);
    }

    /// Resets the open connections from and to a process.
    pub fn reset(&mut self, name: &step::ProcessName) {
        *self.resets.entry(name.clone()).or_default() += 1;
    }

    /// Removes all cuts and delays.
    pub fn heal(&mut self) {
        let resets = std::mem::take(&mut self.resets);
        *self = Self {
            resets,
            ..Self::default()
        };
    }

    /// Returns whether bytes pass from one process to another.
    pub fn is_open(&self, from: &step::ProcessName, to: &step::ProcessName) -> bool {
        !self.isolated.contains(from)
            && !self.isolated.contains(to)
            && !self.pairs.contains(&ordered(from, to))
            && !self.one_way.contains(&(from.clone(), to.clone()))
    }

    /// Returns by how much bytes between two processes are delayed.
    pub fn delay_between(
        &self,
        one: &step::ProcessName,
        other: &step::ProcessName,
    ) -> time::Duration {
        let delays = [one, other].map(|name| self.delays.get(name).copied().unwrap_or_default());
        delays.into_iter().sum()
    }

    /// Returns a number that changes when the connections of either process are reset.
    pub fn resets_between(&self, one: &step::ProcessName, other: &step::ProcessName) -> u64 {
        let resets = [one, other].map(|name| self.resets.get(name).copied().unwrap_or_default());
        resets.into_iter().sum()
    }
}

fn ordered(
    one: &step::ProcessName,
    other: &step::ProcessName,
) -> (step::ProcessName, step::ProcessName) {
    if one <= other {
        (one.clone(), other.clone())
    } else {
        (other.clone(), one.clone())
    }
}
