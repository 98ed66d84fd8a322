//! Finds slow targets from the progress of own streams. Not for: failed targets.

use std::{collections, time};

use crate::slot;

/// The least ratio within this time counts: prefill makes some steps long, a slow target all.
const WINDOW: time::Duration = time::Duration::from_millis(400);
/// Weight of a new window; high, because a slow target must lose its weight within a few tokens.
const GAIN: f64 = 0.6;
/// A target this many times slower than the median of its peers is slow.
const SLOW_RATIO: f64 = 2.5;
/// A slow target whose ratio falls below this is normal again.
const NORMAL_RATIO: f64 = 1.6;
/// Windows before a verdict.
const MIN_OBSERVATIONS: u32 = 1;
/// Peers needed for a median that means something.
const MIN_PEERS: usize = 3;
/// Share of the weight of a region that may be taken away: a region that is slow as a whole must
/// still carry its load.
const MAX_TAKEN: f64 = 1.0 / 3.0;
/// Smallest weight of a slow target.
const MIN_WEIGHT: f64 = 0.05;
/// A target without any observation for this long gets some weight back, so that it isn't left
/// out for good when no probes are sent.
const FORGIVE_AFTER: time::Duration = time::Duration::from_secs(20);
/// First and longest pause between probes of a slow target.
const PROBE_FIRST: time::Duration = time::Duration::from_millis(500);
const PROBE_LONGEST: time::Duration = time::Duration::from_secs(4);

#[derive(Clone, Debug)]
struct PaceRecord {
    pace: f64,
    seen: u32,
    seen_at: time::Instant,
    /// Least ratio since the start of the window.
    least: f64,
    /// Whether all ratios of the window were exact, and whether those of the last one were.
    exact: bool,
    comparable: bool,
    window_at: time::Instant,
    slow: bool,
    ratio: f64,
    probe_at: time::Instant,
    probe_pause: time::Duration,
}

/// Lowers the weight of targets that are slow relative to their peers.
#[derive(Clone, Debug, Default)]
pub struct SlowDetector {
    records: collections::BTreeMap<slot::TargetSlot, PaceRecord>,
}

impl SlowDetector {
    /// Makes a detector that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the time per token of a target relative to what its load makes expect; `exact` is
    /// false when an allowance for prefill was taken off, which says little about the peers.
    pub fn observe(&mut self, slot: slot::TargetSlot, ratio: f64, exact: bool, now: time::Instant) {
        let record = self.records.entry(slot).or_insert_with(|| PaceRecord {
            pace: ratio,
            seen: 0,
            seen_at: now,
            least: ratio,
            exact,
            comparable: false,
            window_at: now,
            slow: false,
            ratio: 1.0,
            probe_at: now,
            probe_pause: PROBE_FIRST,
        });
        record.seen_at = now;
        record.least = record.least.min(ratio);
        record.exact &= exact;
        if now.saturating_duration_since(record.window_at) < WINDOW {
            return;
        }
        let gain = if record.seen == 0 { 1.0 } else { GAIN };
        record.pace += gain * (record.least - record.pace);
        record.seen = record.seen.saturating_add(1);
        record.least = f64::INFINITY;
        record.comparable = record.exact;
        record.exact = true;
        record.window_at = now;
    }

    /// Forgets a target.
    pub fn forget(&mut self, slot: slot::TargetSlot) {
        self.records.remove(&slot);
    }

    /// Returns the weights of the targets of a service, by region and in the order given.
    ///
    /// The median is that of the whole service; at most a third of the weight of each region, and
    /// so of the service, is taken away, from the slowest first.
    pub fn weights(
        &mut self,
        regions: &[Vec<slot::TargetSlot>],
        now: time::Instant,
    ) -> Vec<Vec<f64>> {
        let median = self.median(regions);
        let groups = regions.iter();
        groups
            .map(|group| self.weigh_region(group, median, now))
            .collect()
    }

    fn weigh_region(
        &mut self,
        group: &[slot::TargetSlot],
        median: Option<f64>,
        now: time::Instant,
    ) -> Vec<f64> {
        let mut weights = vec![1.0; group.len()];
        let Some(median) = median else {
            return weights;
        };
        let mut slow: Vec<(usize, f64)> = Vec::new();
        for (position, slot) in group.iter().enumerate() {
            if let Some(ratio) = self.judge(*slot, median, now) {
                slow.push((position, ratio));
            }
        }
        slow.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let mut room = group.len() as f64 * MAX_TAKEN;
        for (position, ratio) in slow {
            let wanted = 1.0 - (1.0 / (ratio * ratio)).max(MIN_WEIGHT);
            let taken = wanted.min(room);
            weights[position] -= taken;
            room -= taken;
        }
        weights
    }

    /// Returns whether a probe of a slow target is due, and starts the pause until the next.
    pub fn take_probe(&mut self, slot: slot::TargetSlot, now: time::Instant) -> bool {
        let Some(record) = self.records.get_mut(&slot) else {
            return false;
        };
        if !record.slow || now < record.probe_at {
            return false;
        }
        record.probe_at = now + record.probe_pause;
        record.probe_pause = (record.probe_pause * 2).min(PROBE_LONGEST);
        true
    }

    /// Returns the targets that are judged slow, the longest without a probe first.
    pub fn slow_slots(&self) -> Vec<slot::TargetSlot> {
        let slow = self.records.iter().filter(|(_, record)| record.slow);
        let mut slots: Vec<_> = slow
            .map(|(slot, record)| (record.probe_at, *slot))
            .collect();
        slots.sort();
        slots.into_iter().map(|(_, slot)| slot).collect()
    }

    /// Returns how many times slower than its peers a target is judged; 1 when it isn't slow.
    pub fn slowness(&self, slot: slot::TargetSlot) -> f64 {
        let record = self.records.get(&slot).filter(|record| record.slow);
        record.map_or(1.0, |record| record.ratio)
    }

    /// Returns whether a target is judged slow.
    pub fn is_slow(&self, slot: slot::TargetSlot) -> bool {
        self.records.get(&slot).is_some_and(|record| record.slow)
    }

    fn median(&self, regions: &[Vec<slot::TargetSlot>]) -> Option<f64> {
        let slots = regions.iter().flatten();
        let seen = slots.filter_map(|slot| self.records.get(slot));
        let mut paces: Vec<f64> = seen
            .filter(|record| record.seen >= MIN_OBSERVATIONS && record.comparable)
            .map(|record| record.pace)
            .collect();
        if paces.len() < MIN_PEERS {
            return None;
        }
        paces.sort_by(f64::total_cmp);
        paces.get((paces.len() - 1) / 2).copied()
    }

    fn judge(&mut self, slot: slot::TargetSlot, median: f64, now: time::Instant) -> Option<f64> {
        let record = self.records.get_mut(&slot)?;
        if now.duration_since(record.seen_at) > FORGIVE_AFTER {
            // Start over from the median: the next few observations decide again.
            record.pace = median;
            record.seen_at = now;
        }
        let ratio = record.pace / median.max(0.000_1);
        let bound = if record.slow {
            NORMAL_RATIO
        } else {
            SLOW_RATIO
        };
        let slow = record.seen >= MIN_OBSERVATIONS && ratio > bound;
        if slow && !record.slow {
            record.probe_at = now + PROBE_FIRST;
            record.probe_pause = PROBE_FIRST;
        }
        record.slow = slow;
        record.ratio = ratio;
        slow.then_some(ratio)
    }
}
