//! The recent broken calls, merged from several gateways. Not for: what follows from them.

use std::{collections, time};

use crate::broken_call::BrokenCall;

/// Maximum number of kept calls: those that break when a large engine crashes, several times.
const MAX_CALLS: usize = 512;

/// Number of calls that are left when there are too many, so that they are put in order only now and
/// then.
const KEPT_CALLS: usize = 448;

#[derive(Clone, Debug)]
struct LoggedCall {
    call: BrokenCall,
    /// Number of the last change.
    changed: u64,
    /// Number of the last change that this process made itself; 0 when there is none.
    changed_here: u64,
}

/// The recent broken calls. Merging is commutative and idempotent, so that records may be sent again
/// and on several ways.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallLog {
    calls: collections::BTreeMap<u64, LoggedCall>,
    last_change: u64,
}

impl CallLog {
    /// Adds a call, or merges what is known of it; `here` says that this process observed it.
    /// Returns whether there is anything new.
    pub(crate) fn add(&mut self, call: BrokenCall, here: bool) -> bool {
        let next = self.last_change + 1;
        let changed_here = if here { next } else { 0 };
        match self.calls.entry(call.id) {
            collections::btree_map::Entry::Vacant(entry) => {
                entry.insert(LoggedCall {
                    call,
                    changed: next,
                    changed_here,
                });
            }
            collections::btree_map::Entry::Occupied(mut entry) => {
                let logged = entry.get_mut();
                if !logged.call.clear(&call.cleared) {
                    return false;
                }
                logged.changed = next;
            }
        }
        self.last_change = next;
        true
    }

    /// Marks parts as cleared in all calls; returns whether there is anything new.
    pub(crate) fn clear(&mut self, parts: &[crate::PartId]) -> bool {
        let mut changed = false;
        for logged in self.calls.values_mut() {
            if logged.call.clear(parts) {
                self.last_change += 1;
                logged.changed = self.last_change;
                logged.changed_here = self.last_change;
                changed = true;
            }
        }
        changed
    }

    /// Removes calls that broke before a time, and the oldest ones beyond the maximum number; those
    /// for which `is_needed` holds stay the longest. Returns whether there were any.
    pub(crate) fn expire(
        &mut self,
        oldest: Option<time::Instant>,
        is_needed: impl Fn(u64) -> bool,
    ) -> bool {
        let before = self.calls.len();
        if let Some(oldest) = oldest {
            self.calls
                .retain(|_, logged| logged.call.broke_at >= oldest);
        }
        if self.calls.len() > MAX_CALLS {
            let excess = self.calls.len() - KEPT_CALLS;
            let mut ids: Vec<_> = self.calls.iter().collect();
            ids.sort_by_key(|(id, logged)| {
                let is_open = logged.call.suspects().next().is_some();
                (is_needed(**id), is_open, logged.call.broke_at)
            });
            let ids: Vec<u64> = ids.into_iter().take(excess).map(|(id, _)| *id).collect();
            for id in ids {
                self.calls.remove(&id);
            }
        }
        self.calls.len() != before
    }

    pub(crate) fn calls(&self) -> impl Iterator<Item = &BrokenCall> {
        self.calls.values().map(|logged| &logged.call)
    }

    pub(crate) fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the calls that changed after a number; with `here_only`, those that this process
    /// changed itself.
    pub(crate) fn changes_since(
        &self,
        number: u64,
        here_only: bool,
    ) -> impl Iterator<Item = &BrokenCall> {
        let calls = self.calls.values().filter(move |logged| {
            let changed = if here_only {
                logged.changed_here
            } else {
                logged.changed
            };
            changed > number
        });
        calls.map(|logged| &logged.call)
    }
}
