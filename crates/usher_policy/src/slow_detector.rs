//! Detects slow targets from the progress of this entry's streams. Not for: failed targets.

use std::{collections, time};

use crate::slot;

/// Window over which the smallest ratio counts: prefill lengthens some steps, a slow target
/// lengthens all.
const WINDOW: time::Duration = time::Duration::from_millis(400);
/// Weight of a new window. It is high because a slow target must lose its weight within a few
/// tokens.
const WINDOW_GAIN: f64 = 0.6;
/// A target that is this many times slower than the median of its peers is slow.
const SLOW_RATIO: f64 = 2.5;
/// A slow target whose ratio falls below this is normal again.
const NORMAL_RATIO: f64 = 1.6;
/// Windows needed before a target is judged.
const MIN_WINDOWS: u32 = 1;
/// Targets needed for a meaningful median.
const MIN_PEERS: usize = 3;
/// Largest share of the weight of a region that may be removed. A region in which all targets are
/// slow must still carry its load.
const MAX_REMOVED_SHARE: f64 = 1.0 / 3.0;
/// Smallest weight of a slow target.
const MIN_WEIGHT: f64 = 0.05;
/// A target without observations for this long regains some weight, so that it is not excluded
/// permanently when no probes are sent.
const RESET_AFTER: time::Duration = time::Duration::from_secs(20);
/// Shortest and longest pause between probes of a slow target.
const PROBE_PAUSE_MIN: time::Duration = time::Duration::from_millis(500);
const PROBE_PAUSE_MAX: time::Duration = time::Duration::from_secs(4);

#[derive(Clone, Debug)]
struct SpeedRecord {
    token_ratio: f64,
    window_count: u32,
    observed_at: time::Instant,
    /// Smallest ratio since the start of the window.
    min_ratio: f64,
    /// Whether all ratios of the current window are exact, and whether those of the last window
    /// were.
    exact: bool,
    comparable: bool,
    window_start: time::Instant,
    slow: bool,
    median_ratio: f64,
    probe_at: time::Instant,
    probe_pause: time::Duration,
}

/// Lowers the weight of targets that are slow relative to their peers.
#[derive(Clone, Debug, Default)]
pub struct SlowDetector {
    records: collections::BTreeMap<slot::TargetSlot, SpeedRecord>,
}

impl SlowDetector {
    /// Creates a detector without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time per token of a target relative to the time expected at its load. `exact`
    /// is false when an allowance for prefill was subtracted; such a ratio is not compared between
    /// peers.
    pub fn observe(&mut self, slot: slot::TargetSlot, ratio: f64, exact: bool, now: time::Instant) {
        let record = self.records.entry(slot).or_insert_with(|| SpeedRecord {
            token_ratio: ratio,
            window_count: 0,
            observed_at: now,
            min_ratio: ratio,
            exact,
            comparable: false,
            window_start: now,
            slow: false,
            median_ratio: 1.0,
            probe_at: now,
            probe_pause: PROBE_PAUSE_MIN,
        });
        record.observed_at = now;
        record.min_ratio = record.min_ratio.min(ratio);
        record.exact &= exact;
        if now.saturating_duration_since(record.window_start) < WINDOW {
            return;
        }
        let gain = if record.window_count == 0 {
            1.0
        } else {
            WINDOW_GAIN
        };
        record.token_ratio += gain * (record.min_ratio - record.token_ratio);
        record.window_count = record.window_count.saturating_add(1);
        record.min_ratio = f64::INFINITY;
        record.comparable = record.exact;
        record.exact = true;
        record.window_start = now;
    }

    /// Removes a target.
    pub fn forget(&mut self, slot: slot::TargetSlot) {
        self.records.remove(&slot);
    }

    /// Returns the weights of the targets of a service, by region and in the given order.
    ///
    /// The median is taken over the service. At most a third of the weight of each region, and
    /// therefore of the service, is removed, from the slowest targets first.
    pub fn weights(
        &mut self,
        regions: &[Vec<slot::TargetSlot>],
        now: time::Instant,
    ) -> Vec<Vec<f64>> {
        let median = self.median(regions);
        let groups = regions.iter();
        groups
            .map(|group| self.region_weights(group, median, now))
            .collect()
    }

    fn region_weights(
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
            if let Some(ratio) = self.assess(*slot, median, now) {
                slow.push((position, ratio));
            }
        }
        slow.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let mut removable = group.len() as f64 * MAX_REMOVED_SHARE;
        for (position, ratio) in slow {
            let wanted = 1.0 - (1.0 / (ratio * ratio)).max(MIN_WEIGHT);
            let removed = wanted.min(removable);
            weights[position] -= removed;
            removable -= removed;
        }
        weights
    }

    /// Returns whether a probe of a slow target is due, and starts the pause until the next probe.
    pub fn start_due_probe(&mut self, slot: slot::TargetSlot, now: time::Instant) -> bool {
        let Some(record) = self.records.get_mut(&slot) else {
            return false;
        };
        if !record.slow || now < record.probe_at {
            return false;
        }
        record.probe_at = now + record.probe_pause;
        record.probe_pause = (record.probe_pause * 2).min(PROBE_PAUSE_MAX);
        true
    }

    /// Returns the slow targets, the one whose probe is due first at the front.
    pub fn slow_slots(&self) -> Vec<slot::TargetSlot> {
        let slow = self.records.iter().filter(|(_, record)| record.slow);
        let mut slots: Vec<_> = slow
            .map(|(slot, record)| (record.probe_at, *slot))
            .collect();
        slots.sort();
        slots.into_iter().map(|(_, slot)| slot).collect()
    }

    /// Returns how many times slower than its peers a target is; 1 when it is not judged slow.
    pub fn slowness(&self, slot: slot::TargetSlot) -> f64 {
        let record = self.records.get(&slot).filter(|record| record.slow);
        record.map_or(1.0, |record| record.median_ratio)
    }

    /// Returns whether a target is judged slow.
    pub fn is_slow(&self, slot: slot::TargetSlot) -> bool {
        self.records.get(&slot).is_some_and(|record| record.slow)
    }

    fn median(&self, regions: &[Vec<slot::TargetSlot>]) -> Option<f64> {
        let slots = regions.iter().flatten();
        let records = slots.filter_map(|slot| self.records.get(slot));
        let mut token_ratios: Vec<f64> = records
            .filter(|record| record.window_count >= MIN_WINDOWS && record.comparable)
            .map(|record| record.token_ratio)
            .collect();
        if token_ratios.len() < MIN_PEERS {
            return None;
        }
        token_ratios.sort_by(f64::total_cmp);
        token_ratios.get((token_ratios.len() - 1) / 2).copied()
    }

    /// Judges whether a target is slow, and returns its ratio to the median when it is.
    fn assess(&mut self, slot: slot::TargetSlot, median: f64, now: time::Instant) -> Option<f64> {
        let record = self.records.get_mut(&slot)?;
        if now.duration_since(record.observed_at) > RESET_AFTER {
            // Restarts from the median, so that the next observations decide.
            record.token_ratio = median;
            record.observed_at = now;
        }
        let ratio = record.token_ratio / median.max(0.000_1);
        let bound = if record.slow {
            NORMAL_RATIO
        } else {
            SLOW_RATIO
        };
        let slow = record.window_count >= MIN_WINDOWS && ratio > bound;
        if slow && !record.slow {
            record.probe_at = now + PROBE_PAUSE_MIN;
            record.probe_pause = PROBE_PAUSE_MIN;
        }
        record.slow = slow;
        record.median_ratio = ratio;
        slow.then_some(ratio)
    }
}
