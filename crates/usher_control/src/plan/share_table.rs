//! Grants shares of a service's capacity to entries. Not for: applying the shares.

use std::{collections, time};

use crate::plan::timing;

/// Part of a service's capacity that is split evenly, so that an entry with new demand has a share
/// before its first report is processed.
const EVEN_SHARE: f64 = 0.1;

/// Smallest share that is granted.
const MIN_SHARE: f64 = 0.000_1;

/// Name and incarnation of an entry.
type EntryId = (String, u64);

#[derive(Clone, Copy, Debug)]
struct GrantedShare {
    share: f64,
    until: time::Instant,
}

/// Demand of each live entry for one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceDemands {
    by_entry: collections::BTreeMap<EntryId, f64>,
    total: f64,
}

impl ServiceDemands {
    /// Sets the demand of an entry; it may be 0.
    pub fn set(&mut self, entry: EntryId, demand: f64) {
        let demand = demand.max(0.0);
        self.total += demand;
        if let Some(before) = self.by_entry.insert(entry, demand) {
            self.total -= before;
        }
    }

    /// Sets the demand of an entry to 0 unless it has one.
    pub fn set_idle(&mut self, entry: EntryId) {
        self.by_entry.entry(entry).or_insert(0.0);
    }

    /// Returns the share that corresponds to an entry's demand.
    fn requested_share(&self, entry: &EntryId) -> Option<f64> {
        let own = self.by_entry.get(entry)?;
        let even = 1.0 / self.by_entry.len() as f64;
        let by_demand = if self.total > 0.0 {
            own / self.total
        } else {
            even
        };
        Some(EVEN_SHARE * even + (1.0 - EVEN_SHARE) * by_demand)
    }
}

/// Granted shares of one service.
#[derive(Clone, Debug, Default)]
struct GrantedShares {
    by_entry: collections::BTreeMap<EntryId, Vec<GrantedShare>>,
    /// Sum of the largest unexpired share of each entry.
    reserved: f64,
    pruned_at: Option<time::Instant>,
}

/// The shares that the leader has granted; those of one service never add up to more than 1.
///
/// When the share of an entry shrinks, the larger one stays reserved until it expires, because the
/// reply with the smaller share may be lost.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    since: Option<time::Instant>,
    granted: collections::BTreeMap<String, GrantedShares>,
}

impl ShareTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Resets the table at the start of a leadership; no shares are granted before those of the
    /// previous leader have expired.
    pub fn reset(&mut self, now: time::Instant) {
        self.since = Some(now);
        self.granted.clear();
    }

    /// Grants an entry its share of a service; returns 0 if it gets none.
    pub fn grant(
        &mut self,
        service: &str,
        entry: &EntryId,
        demands: &ServiceDemands,
        now: time::Instant,
    ) -> f64 {
        let waited = self
            .since
            .is_some_and(|since| now.saturating_duration_since(since) >= timing::SHARE_DURATION);
        let Some(requested) = demands.requested_share(entry).filter(|_| waited) else {
            return 0.0;
        };
        if !self.granted.contains_key(service) {
            self.granted
                .insert(service.to_owned(), GrantedShares::default());
        }
        let Some(granted) = self.granted.get_mut(service) else {
            return 0.0;
        };
        granted.prune(now);
        let share = granted.grant(entry, requested, now);
        usher_types::invariant!(
            "shares.at_most_one",
            granted.reserved <= 1.0 + 1e-6,
            "shares of {service} add up to {}",
            granted.reserved
        );
        share
    }

    /// Removes services without unexpired shares.
    pub fn remove_idle(&mut self, now: time::Instant) {
        self.granted.retain(|_, granted| {
            granted.prune(now);
            !granted.by_entry.is_empty()
        });
    }

    /// Returns the number of services in the table, including those whose shares have expired but
    /// were not removed yet.
    pub fn services(&self) -> usize {
        self.granted.len()
    }

    /// Returns the part of a service's capacity that is currently reserved.
    pub fn reserved(&self, service: &str, now: time::Instant) -> f64 {
        let granted = self.granted.get(service).into_iter();
        granted
            .flat_map(|granted| granted.by_entry.values())
            .map(|shares| {
                let live = shares.iter().filter(|share| share.until > now);
                live.map(|share| share.share).fold(0.0, f64::max)
            })
            .sum()
    }
}

impl GrantedShares {
    /// Removes expired shares, at most once for the same `now`, because a relay requests the shares
    /// of many entries at the same time.
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

    fn grant(&mut self, entry: &EntryId, requested: f64, now: time::Instant) -> f64 {
        let before = self
            .by_entry
            .get(entry)
            .map_or(0.0, |shares| reserved(shares));
        let others = self.reserved - before;
        let share = requested.min((1.0 - others).max(0.0));
        if share < MIN_SHARE {
            return 0.0;
        }
        let shares = self.by_entry.entry(entry.clone()).or_default();
        shares.retain(|earlier| earlier.share > share);
        shares.push(GrantedShare {
            share,
            until: now + timing::SHARE_DURATION,
        });
        self.reserved = others + reserved(shares);
        share
    }
}

/// Returns the largest of an entry's shares.
fn reserved(shares: &[GrantedShare]) -> f64 {
    shares.iter().map(|share| share.share).fold(0.0, f64::max)
}
