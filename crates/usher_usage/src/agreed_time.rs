//! The time since 1970 on which a majority of nodes agrees. Not for: exchanging readings.

use std::{collections, time};

use crate::time_anchor::TimeAnchor;

/// Age at which a reading expires; readings are sent every second.
const MAX_READING_AGE: time::Duration = time::Duration::from_secs(4);

/// Readings of a node of which the newest time counts: a late message makes a clock look slow.
const READINGS_PER_NODE: usize = 4;

/// The median of the clocks of a group of nodes, carried on by the steady clock.
///
/// A jump of the clocks of a minority changes nothing. While fewer than a majority are heard, the
/// last median is kept.
///
/// ```
/// use std::time::{Duration, Instant};
/// let (mut agreed, now) = (usher_usage::AgreedTime::new(3), Instant::now());
/// agreed.record("a", Duration::from_secs(100), now);
/// assert_eq!(agreed.since_1970(now), None);
/// agreed.record("b", Duration::from_secs(160), now);
/// agreed.record("c", Duration::from_secs(101), now);
/// assert_eq!(agreed.since_1970(now), Some(Duration::from_secs(101)));
/// ```
#[derive(Clone, Debug)]
pub struct AgreedTime {
    nodes: usize,
    readings: collections::BTreeMap<String, collections::VecDeque<Reading>>,
    anchor: Option<TimeAnchor>,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    anchor: TimeAnchor,
    received_at: time::Instant,
}

impl AgreedTime {
    /// Creates the time of a group with a number of nodes.
    pub fn new(nodes: usize) -> Self {
        Self {
            nodes,
            readings: collections::BTreeMap::new(),
            anchor: None,
        }
    }

    /// Records that the clock of a node shows a time.
    pub fn record(&mut self, node: &str, since_1970: time::Duration, now: time::Instant) {
        let reading = Reading {
            anchor: TimeAnchor::new(now, since_1970),
            received_at: now,
        };
        let of_node = self.readings.entry(node.to_owned()).or_default();
        of_node.push_back(reading);
        if of_node.len() > READINGS_PER_NODE {
            of_node.pop_front();
        }
        self.update(now);
    }

    /// Returns the agreed time since 1970; `None` before a majority was heard.
    pub fn since_1970(&self, now: time::Instant) -> Option<time::Duration> {
        self.anchor.map(|anchor| anchor.since_1970(now))
    }

    fn update(&mut self, now: time::Instant) {
        for of_node in self.readings.values_mut() {
            of_node.retain(|reading| {
                now.saturating_duration_since(reading.received_at) < MAX_READING_AGE
            });
        }
        self.readings.retain(|_, of_node| !of_node.is_empty());
        let newest = |of_node: &collections::VecDeque<Reading>| {
            let times = of_node.iter();
            times.map(|reading| reading.anchor.since_1970(now)).max()
        };
        let mut times: Vec<_> = self.readings.values().filter_map(newest).collect();
        if times.len() <= self.nodes / 2 {
            return;
        }
        times.sort_unstable();
        let middle = times.len() / 2;
        if let Some(median) = times.get(middle) {
            self.anchor = Some(TimeAnchor::new(now, *median));
        }
    }
}
