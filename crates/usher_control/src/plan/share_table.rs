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

/// The shares that the leader has given out; those of one service never add up to more than 1.
///
/// An entry that got less keeps its earlier share reserved until that one expires, because the
/// reply with the lower share may be lost.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    since: Option<time::Instant>,
    given: collections::BTreeMap<String, collections::BTreeMap<EntryLife, Vec<GivenShare>>>,
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
    ///
    /// `demands` holds the demand of each present entry, including this one.
    pub fn give(
        &mut self,
        service: &str,
        entry: &EntryLife,
        demands: &collections::BTreeMap<EntryLife, f64>,
        now: time::Instant,
    ) -> f64 {
        let waited = self
            .since
            .is_some_and(|since| now.saturating_duration_since(since) >= timing::SHARE_TIME);
        let Some(own) = demands.get(entry).filter(|_| waited) else {
            return 0.0;
        };
        let total: f64 = demands.values().sum();
        let even = 1.0 / demands.len() as f64;
        let by_demand = if total > 0.0 { own / total } else { even };
        let wanted = EVEN_PART * even + (1.0 - EVEN_PART) * by_demand;
        let given = self.given.entry(service.to_owned()).or_default();
        given.retain(|_, shares| {
            shares.retain(|share| share.until > now);
            !shares.is_empty()
        });
        let others: f64 = given
            .iter()
            .filter(|(other, _)| *other != entry)
            .map(|(_, shares)| reserved(shares))
            .sum();
        let share = wanted.min((1.0 - others).max(0.0));
        if share < LEAST_SHARE {
            return 0.0;
        }
        let shares = given.entry(entry.clone()).or_default();
        shares.retain(|earlier| earlier.share > share);
        shares.push(GivenShare {
            share,
            until: now + timing::SHARE_TIME,
        });
        let sum: f64 = given.values().map(|shares| reserved(shares)).sum();
        usher_types::invariant!(
            "shares.at_most_one",
            sum <= 1.0 + 1e-6,
            "shares of {service} add up to {sum}"
        );
        share
    }

    /// Returns the part of a service's capacity that is given out.
    pub fn reserved(&self, service: &str, now: time::Instant) -> f64 {
        let given = self.given.get(service).into_iter().flatten();
        given
            .map(|(_, shares)| {
                let live = shares.iter().filter(|share| share.until > now);
                live.map(|share| share.share).fold(0.0, f64::max)
            })
            .sum()
    }
}

/// Returns the largest share that an entry may still use.
fn reserved(shares: &[GivenShare]) -> f64 {
    shares.iter().map(|share| share.share).fold(0.0, f64::max)
}
