//! Safety properties that are checked after each step.

use std::collections;

use usher_consensus::{ConsensusCore, CoreRole, NodeId};
use usher_wire::message::LogEntry;

/// Returns the hash of the log up to `entry`, given the hash of the log before it.
pub fn chain_after(chain: u64, entry: &LogEntry) -> u64 {
    let mut hash = chain ^ 0x517c_c1b7_2722_0a95;
    let numbers = [entry.index, entry.term, u64::from(entry.kind as u32)];
    let bytes = numbers.iter().flat_map(|number| number.to_le_bytes());
    for byte in bytes.chain(entry.payload.iter().copied()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^ (hash >> 29)
}

/// A committed entry, as recorded by the first node that applied it.
#[derive(Clone, Copy, Debug)]
struct CommittedEntry {
    chain: u64,
    /// Current term of the node that applied it first.
    seen_term: u64,
    /// Length and last command of the list after this entry.
    state: (usize, Option<u64>),
}

#[derive(Debug, Default)]
pub struct Checks {
    pub violation: Option<String>,
    pub count: u64,
    /// Leader of each term.
    leaders: collections::BTreeMap<u64, NodeId>,
    /// Hash of the log up to each entry, by index and term.
    entries: collections::HashMap<(u64, u64), u64>,
    committed: Vec<CommittedEntry>,
    /// Greatest length of the list that some caller has observed.
    pub watermark: u64,
    /// Accepted commands, by position in the list.
    pub accepted: collections::BTreeMap<u64, u64>,
}

impl Checks {
    pub fn require(&mut self, held: bool, message: impl FnOnce() -> String) {
        self.count += 1;
        if !held && self.violation.is_none() {
            self.violation = Some(message());
        }
    }

    /// Checks election safety and, for a new leader, leader completeness; returns whether the
    /// leader is new.
    pub fn check_leader(
        &mut self,
        core: &ConsensusCore,
        chains: &collections::BTreeMap<u64, u64>,
    ) -> bool {
        let (term, id) = (core.term(), core.id().clone());
        let new = !self.leaders.contains_key(&term);
        let known = self
            .leaders
            .entry(term)
            .or_insert_with(|| id.clone())
            .clone();
        self.require(known == id, || {
            format!("election safety: {known} and {id} lead term {term}")
        });
        if new {
            // Last entry that was committed in a term before this one.
            let last = self
                .committed
                .iter()
                .rposition(|entry| entry.seen_term < term);
            let Some(last) = last else { return true };
            let index = last as u64 + 1;
            let expected = self.committed[last].chain;
            let held = chains.get(&index).copied();
            self.require(held == Some(expected), || {
                format!("leader completeness: {id} leads term {term} without entry {index}")
            });
        }
        new
    }

    /// Checks log matching: entries with the same index and term have the same history on all
    /// nodes.
    pub fn check_log_matching(&mut self, id: &NodeId, entry: &LogEntry, chain: u64) {
        let key = (entry.index, entry.term);
        let known = *self.entries.entry(key).or_insert(chain);
        self.require(known == chain, || {
            format!("log matching: {id} holds a different entry or history at {key:?}")
        });
    }

    /// Checks state machine safety: all nodes apply the same entry at an index.
    pub fn check_applied(&mut self, core: &ConsensusCore, index: u64, chain: u64) {
        let next = self.committed.len() as u64 + 1;
        if index == next {
            self.committed.push(CommittedEntry {
                chain,
                seen_term: core.term(),
                state: (0, None),
            });
        }
        let known = self
            .committed
            .get(index as usize - 1)
            .map(|entry| entry.chain);
        self.require(known == Some(chain), || {
            format!(
                "state machine safety: {} applies a different entry {index}",
                core.id()
            )
        });
    }

    /// Checks state machine safety: the list after an index is the same on all nodes.
    pub fn check_state(&mut self, core: &ConsensusCore, index: u64, list: &[u64]) {
        let state = (list.len(), list.last().copied());
        let last = self.committed.len() as u64;
        if let Some(entry) = self.committed.get_mut(index as usize - 1) {
            if index == last && entry.state == (0, None) {
                entry.state = state;
            }
        }
        self.check_restored(core, index, list);
    }

    /// Checks that the list at an index, for example from a snapshot, is the same on all nodes.
    pub fn check_restored(&mut self, core: &ConsensusCore, index: u64, list: &[u64]) {
        let state = (list.len(), list.last().copied());
        let known = self
            .committed
            .get(index as usize - 1)
            .map(|entry| entry.state);
        self.require(known == Some(state), || {
            format!(
                "state of {} at {index} is {state:?}, on other nodes {known:?}",
                core.id()
            )
        });
    }

    pub fn committed_chain(&self, index: u64) -> Option<u64> {
        if index == 0 {
            return Some(0);
        }
        self.committed
            .get(index as usize - 1)
            .map(|entry| entry.chain)
    }

    pub fn committed_len(&self) -> u64 {
        self.committed.len() as u64
    }

    /// Checks lease exclusivity: while a node holds the lease, no other node leads a later term.
    pub fn check_lease(&mut self, holder: &ConsensusCore, others: &[(NodeId, CoreRole, u64)]) {
        let later = others.iter().find(|(id, role, term)| {
            id != holder.id() && *role == CoreRole::Leader && *term > holder.term()
        });
        self.require(later.is_none(), || {
            let (holder, term) = (holder.id(), holder.term());
            format!("lease exclusivity: {holder} holds the lease of term {term}, but {later:?}")
        });
    }

    /// Checks linearizability: an operation observes everything that was known when it was invoked.
    pub fn check_operation(&mut self, what: &str, known: u64, position: u64) {
        self.require(position >= known, || {
            format!("linearizability: {what} observed length {position}, known before was {known}")
        });
        self.watermark = self.watermark.max(position);
    }
}
