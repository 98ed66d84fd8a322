//! Which links between processes are cut. Not for: carrying bytes.

use std::collections;

use tokio::sync;

use crate::step;

/// The links that are cut; shared by all relays.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkTable {
    isolated: collections::BTreeSet<step::ProcessName>,
    pairs: collections::BTreeSet<(step::ProcessName, step::ProcessName)>,
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

    /// Removes all cuts.
    pub fn heal(&mut self) {
        *self = Self::default();
    }

    /// Returns whether bytes pass between two processes.
    pub fn is_open(&self, from: &step::ProcessName, to: &step::ProcessName) -> bool {
        !self.isolated.contains(from)
            && !self.isolated.contains(to)
            && !self.pairs.contains(&ordered(from, to))
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
