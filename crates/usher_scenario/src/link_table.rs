//! Injected faults of the links between processes. Not for: forwarding bytes.

use std::{collections, time};

use tokio::sync;

use crate::step;

/// Cuts, delays and resets of links; shared by all relays.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkTable {
    isolated: collections::BTreeSet<step::ProcessName>,
    pairs: collections::BTreeSet<(step::ProcessName, step::ProcessName)>,
    /// Directions that are held back while the opposite direction is open.
    one_way: collections::BTreeSet<(step::ProcessName, step::ProcessName)>,
    delays: collections::BTreeMap<step::ProcessName, time::Duration>,
    /// Number of resets of the connections of each process.
    resets: collections::BTreeMap<step::ProcessName, u64>,
}

impl LinkTable {
    /// Creates a table without faults that relays can watch.
    pub fn shared() -> sync::watch::Sender<Self> {
        sync::watch::Sender::new(Self::default())
    }

    /// Cuts the link between two processes, or between one process and all others.
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

    /// Holds back the bytes from one process to another; the opposite direction stays open.
    pub fn cut_one_way(&mut self, from: &step::ProcessName, to: &step::ProcessName) {
        self.one_way.insert((from.clone(), to.clone()));
    }

    /// Delays each chunk of bytes from and to a process.
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

    /// Returns whether bytes are forwarded from one process to another.
    pub fn is_open(&self, from: &step::ProcessName, to: &step::ProcessName) -> bool {
        !self.isolated.contains(from)
            && !self.isolated.contains(to)
            && !self.pairs.contains(&ordered(from, to))
            && !self.one_way.contains(&(from.clone(), to.clone()))
    }

    /// Returns the delay of bytes between two processes.
    pub fn delay_between(
        &self,
        one: &step::ProcessName,
        other: &step::ProcessName,
    ) -> time::Duration {
        let delays = [one, other].map(|name| self.delays.get(name).copied().unwrap_or_default());
        delays.into_iter().sum()
    }

    /// Returns the number of resets of either process, which changes with each reset.
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
