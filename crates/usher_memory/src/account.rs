//! The account of a listening port: who holds what, and who is ended for others. Not for: the end
//! itself.

use std::{cmp, collections, time};

use crate::{budget, holder};

/// The decision on a charge.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChargeDecision {
    /// The bytes are charged.
    Granted,
    /// Nothing was charged. These connections must end now, none if others end already; there is
    /// room when they have.
    Wait(Vec<holder::HolderId>),
    /// Nothing was charged, and no connection ends for it.
    Refused,
}

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenDecision {
    /// The connection is open. Another one must end if one is named.
    Opened(holder::HolderId, Option<holder::HolderId>),
    /// The connection must be closed.
    Refused,
}

/// The account of the memory and connections of callers.
///
/// Answers a crowd of callers that send more than they may, or stop just short of the end of their
/// requests: those without progress end first, accepted calls never end for others.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    budget: budget::MemoryBudget,
    holders: collections::BTreeMap<holder::HolderId, holder::Holder>,
    used: usize,
    /// Most bytes that were charged at a time.
    peak: usize,
    /// Bytes of the connections that were told to end and haven't yet.
    ending: usize,
    /// Number of these connections.
    ending_count: usize,
    next: u64,
}

impl MemoryAccount {
    /// Makes an empty account.
    pub fn new(budget: budget::MemoryBudget) -> Self {
        Self {
            budget,
            holders: collections::BTreeMap::new(),
            used: 0,
            peak: 0,
            ending: 0,
            ending_count: 0,
            next: 0,
        }
    }

    /// Returns the budget.
    pub fn budget(&self) -> budget::MemoryBudget {
        self.budget
    }

    /// Returns the charged bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the most bytes that were charged at a time.
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Returns the connections and bytes of each phase.
    pub fn by_phase(&self) -> collections::BTreeMap<&'static str, (usize, usize)> {
        let mut phases: collections::BTreeMap<_, _> = holder::HolderPhase::ALL
            .into_iter()
            .map(|phase| (phase.name(), (0, 0)))
            .collect();
        for holder in self.holders.values() {
            let (count, bytes) = phases.entry(holder.phase.name()).or_default();
            *count += 1;
            *bytes += holder.bytes();
        }
        phases
    }

    /// Opens a silent connection. Its bytes are charged whatever the others hold: the number of
    /// connections bounds them.
    pub fn open(&mut self, now: time::Instant) -> OpenDecision {
        let open = self.holders.len() - self.ending_count;
        let mut ended = None;
        if open >= self.budget.connections {
            ended = self.spare_connection(now);
            if ended.is_none() {
                return OpenDecision::Refused;
            }
        }
        // Bounds the connections that were told to end as well.
        let is_full = self.holders.len() > self.budget.connections.saturating_mul(9) / 8;
        if is_full {
            return OpenDecision::Refused;
        }
        if let Some(id) = ended {
            self.tell_to_end(id);
        }
        let id = holder::HolderId(self.next);
        self.next += 1;
        let opened = holder::Holder::new(now);
        self.set_used(self.used + opened.bytes());
        self.holders.insert(id, opened);
        OpenDecision::Opened(id, ended)
    }

    /// Returns the connection that has waited longest for a head, else the one that has made no
    /// progress for longest, else the longest idle one.
    fn spare_connection(&self, now: time::Instant) -> Option<holder::HolderId> {
        let spare = self.holders.iter().filter(|(_, holder)| !holder.ending);
        let ranked = spare.filter_map(|(id, holder)| {
            let rank = if holder.phase.lacks_head() {
                0
            } else if holder.is_stalled(now) {
                1
            } else if holder.phase == holder::HolderPhase::Idle {
                2
            } else {
                return None;
            };
            Some((rank, holder.since, *id))
        });
        ranked.min().map(|(_, _, id)| id)
    }

    /// Records that a connection enters a phase; entering the current one changes nothing.
    pub fn enter(&mut self, id: holder::HolderId, phase: holder::HolderPhase, now: time::Instant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            if holder.phase != phase {
                holder.enter(phase, now);
            }
        }
    }

    /// Records that bytes have arrived.
    pub fn receive(&mut self, id: holder::HolderId, bytes: usize, now: time::Instant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.receive(bytes, now);
        }
    }

    /// Records whether the caller takes no byte of its answer, or takes bytes again.
    pub fn set_unwritten(&mut self, id: holder::HolderId, unwritten: bool, now: time::Instant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.unwritten_since = unwritten.then_some(now);
        }
    }

    /// Returns whether a connection makes no progress.
    pub fn is_stalled(&self, id: holder::HolderId, now: time::Instant) -> bool {
        let holder = self.holders.get(&id);
        holder.is_some_and(|holder| holder.is_stalled(now))
    }

    /// Sets what a connection holds for itself and for a head.
    pub fn charge_base(
        &mut self,
        id: holder::HolderId,
        bytes: usize,
        now: time::Instant,
    ) -> ChargeDecision {
        let limit = self.budget.base_limit(bytes);
        self.charge(id, now, limit, |holder| holder.base = bytes)
    }

    /// Sets what the body of a connection holds.
    pub fn charge_body(
        &mut self,
        id: holder::HolderId,
        bytes: usize,
        now: time::Instant,
    ) -> ChargeDecision {
        let limit = self.budget.body_limit(bytes);
        self.charge(id, now, limit, |holder| holder.body = bytes)
    }

    /// Sets what a call holds while it runs and until its answer is written.
    pub fn charge_answer(
        &mut self,
        id: holder::HolderId,
        bytes: usize,
        now: time::Instant,
    ) -> ChargeDecision {
        let limit = self.budget.answer_limit(bytes);
        self.charge(id, now, limit, |holder| holder.answer = bytes)
    }

    /// Gives back what a call held, its head, body and answer; the connection itself holds `base`,
    /// which is no more than all of these.
    pub fn end_call(&mut self, id: holder::HolderId, base: usize, now: time::Instant) {
        // A charge that falls is always granted.
        let _ = self.charge(id, now, self.budget.bytes, |holder| {
            holder.base = base.min(holder.bytes());
            holder.body = 0;
            holder.answer = 0;
        });
    }

    fn charge(
        &mut self,
        id: holder::HolderId,
        now: time::Instant,
        limit: usize,
        set: impl FnOnce(&mut holder::Holder),
    ) -> ChargeDecision {
        let Some(holder) = self.holders.get_mut(&id) else {
            return ChargeDecision::Refused;
        };
        let unchanged = holder.clone();
        let before = holder.bytes();
        set(holder);
        let after = holder.bytes();
        let wanted = self.used - before + after;
        let is_less = after <= before;
        if is_less || (wanted <= limit && !holder.ending) {
            holder.set_waits(false, now);
            if holder.ending {
                self.ending -= before - after;
            }
            self.set_used(wanted);
            return ChargeDecision::Granted;
        }
        holder.clone_from(&unchanged);
        if holder.ending {
            return ChargeDecision::Refused;
        }
        let excess = wanted - limit;
        // Accepted calls and connections with ordinary heads are small beside bodies.
        let outranks_bodies =
            limit == self.budget.bytes || unchanged.phase == holder::HolderPhase::Call;
        let excess = excess.saturating_sub(self.ending);
        let ends = self.choose_ends(id, excess, outranks_bodies, now);
        let Some(ends) = ends else {
            return ChargeDecision::Refused;
        };
        for end in &ends {
            self.tell_to_end(*end);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.set_waits(true, now);
        }
        ChargeDecision::Wait(ends)
    }

    fn set_used(&mut self, used: usize) {
        self.used = used;
        self.peak = self.peak.max(used);
    }

    /// Chooses the connections that end for another one, to free so many bytes; `None` if they can't.
    fn choose_ends(
        &self,
        id: holder::HolderId,
        mut bytes: usize,
        outranks_bodies: bool,
        now: time::Instant,
    ) -> Option<Vec<holder::HolderId>> {
        let mut ends = Vec::new();
        if bytes == 0 {
            return Some(ends);
        }
        let asking = self.holders.get(&id)?;
        let others = self.holders.iter();
        let others = others.filter(|(other, holder)| **other != id && !holder.ending);
        let mut ranked: Vec<_> = others
            .filter_map(|(other, holder)| {
                Some((
                    end_rank(holder, asking, outranks_bodies, now)?,
                    *other,
                    holder,
                ))
            })
            .collect();
        ranked.sort_unstable_by_key(|(rank, other, _)| (*rank, *other));
        for (_, other, holder) in ranked {
            if bytes == 0 {
                break;
            }
            bytes = bytes.saturating_sub(holder.bytes());
            ends.push(other);
        }
        (bytes == 0).then_some(ends)
    }

    fn tell_to_end(&mut self, id: holder::HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.ending = true;
            self.ending += holder.bytes();
            self.ending_count += 1;
        }
    }

    /// Records that a connection has ended; returns all that it held.
    pub fn close(&mut self, id: holder::HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.bytes();
            if holder.ending {
                self.ending -= holder.bytes();
                self.ending_count -= 1;
            }
        }
    }
}

/// Returns the order in which a connection ends for another one, lowest first; `None` if it doesn't.
/// `outranks_bodies` says that the other one goes before all bodies that still arrive.
fn end_rank(
    holder: &holder::Holder,
    asking: &holder::Holder,
    outranks_bodies: bool,
    now: time::Instant,
) -> Option<(u8, cmp::Reverse<u128>)> {
    if holder.is_stalled(now) {
        return Some((0, cmp::Reverse(holder.cost(now))));
    }
    let age = now.saturating_duration_since(holder.since).as_millis();
    match holder.phase {
        holder::HolderPhase::Idle => Some((1, cmp::Reverse(age))),
        holder::HolderPhase::Body => {
            let is_older = asking.phase == holder::HolderPhase::Body && holder.since > asking.since;
            (outranks_bodies || is_older).then_some((2, cmp::Reverse(u128::MAX - age)))
        }
        _ => None,
    }
}
