//! Capacity shares of entries. Not for: what a share is used for.

use std::{collections, time};

use crate::plan::timing;

/// Part of a service's capacity that is split evenly, so that an entry whose demand just began
/// has a share before its first report counts.
const EVEN_PART: f64 = 0.1;

/// Shares below this are not given.
const LEAST_SHARE: f64 = 0.000_1;

type EntryLife = (String, u64);

#[derive(Clone, Copy, Debug)]
struct GivenShare {
    share: f64,
    until: time::Instant,
}

/// The demand of each present entry for one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceDemands {
    by_entry: collections::BTreeMap<EntryLife, f64>,
    total: f64,
}

impl ServiceDemands {
    /// Sets the demand of an entry; it may be 0.
    pub fn set(&mut self, entry: EntryLife, demand: f64) {
        let demand = demand.max(0.0);
        self.total += demand;
        if let Some(before) = self.by_entry.insert(entry, demand) {
            self.total -= before;
        }
    }

    /// Sets the demand of an entry to 0 unless it has one.
    pub fn set_idle(&mut self, entry: EntryLife) {
        self.by_entry.entry(entry).or_insert(0.0);
    }

    /// Returns the share that an entry's demand calls for.
    fn wanted(&self, entry: &EntryLife) -> Option<f64> {
        let own = self.by_entry.get(entry)?;
        let even = 1.0 / self.by_entry.len() as f64;
        let by_demand = if self.total > 0.0 {
            own / self.total
        } else {
            even
        };
        Some(EVEN_PART * even + (1.0 - EVEN_PART) * by_demand)
    }
}

/// The shares of one service.
#[derive(Clone, Debug, Default)]
struct GivenShares {
    by_entry: collections::BTreeMap<EntryLife, Vec<GivenShare>>,
    /// Sum of what each entry may still use.
    reserved: f64,
    pruned_at: Option<time::Instant>,
}

/// The shares that the leader has given out; those of one service never add up to more than 1.
///
/// An entry that got less keeps its earlier share reserved until that one expires, because the
/// reply with the lower share may be lost.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    since: Option<time::Instant>,
    given: collections::BTreeMap<String, GivenShares>,
}

impl ShareTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts again at the beginning of a leadership; no shares are given before those of the
    /// earlier leader have expired.
    pub fn restart(&mut self, now: time::Instant) {
        self.since = Some(now);
        self.given.clear();
    }

    /// Gives an entry its share of a service.
    pub fn give(
        &mut self,
        service: &str,
        entry: &EntryLife,
        demands: &ServiceDemands,
        now: time::Instant,
    ) -> f64 {
        let waited = self
            .since
            .is_some_and(|since| now.saturating_duration_since(since) >= timing::SHARE_TIME);
        let Some(wanted) = demands.wanted(entry).filter(|_| waited) else {
            return 0.0;
        };
        if !self.given.contains_key(service) {
            self.given
                .insert(service.to_owned(), GivenShares::default());
        }
        let Some(given) = self.given.get_mut(service) else {
            return 0.0;
        };
        given.prune(now);
        let share = given.give(entry, wanted, now);
        usher_types::invariant!(
            "shares.at_most_one",
            given.reserved <= 1.0 + 1e-6,
            "shares of {service} add up to {}",
            given.reserved
        );
        share
    }

    /// Drops services of which no entry has a share any more.
    pub fn forget_idle(&mut self, now: time::Instant) {
        self.given.retain(|_, given| {
            given.prune(now);
            !given.by_entry.is_empty()
        });
    }

    /// Returns how many services have shares or had them lately.
    pub fn services(&self) -> usize {
        self.given.len()
    }

    /// Returns the part of a service's capacity that is given out.
    pub fn reserved(&self, service: &str, now: time::Instant) -> f64 {
        let given = self.given.get(service).into_iter();
        given
            .flat_map(|given| given.by_entry.values())
            .map(|shares| {
                let live = shares.iter().filter(|share| share.until > now);
                live.map(|share| share.share).fold(0.0, f64::max)
            })
            .sum()
    }
}

impl GivenShares {
    /// Drops expired shares; once per moment, because a relay asks for many entries at once.
    fn prune(&mut self, now: time::Instant) {
        if self.pruned_at == Some(now) {
            return;
        }
        self.pruned_at = Some(now);
        self.by_entry.retain(|_, shares| {
            shares.retain(|share| share.until > now);
            !shares.is_empty()
        });
        self.reserved = self.by_entry.values().map(|shares| reserved(shares)).sum();
    }

    fn give(&mut self, entry: &EntryLife, wanted: f64, now: time::Instant) -> f64 {
        let before = self
            .by_entry
            .get(entry)
            .map_or(0.0, |shares| reserved(shares));
        let others = self.reserved - before;
        let share = wanted.min((1.0 - others).max(0.0));
        if share < LEAST_SHARE {
            return 0.0;
        }
        let shares = self.by_entry.entry(entry.clone()).or_default();
        shares.retain(|earlier| earlier.share > share);
        shares.push(GivenShare {
            share,
            until: now + timing::SHARE_TIME,
        });
        self.reserved = others + reserved(shares);
        share
    }
}

/// Returns the largest share that an entry may still use.
fn reserved(shares: &[GivenShare]) -> f64 {
    shares.iter().map(|share| share.share).fold(0.0, f64::max)
}
