//! Request counts per service, cooperative and time, bounded in memory. Not for: files.

use std::{collections, time};

use crate::bucket;

/// Largest number of keys under which requests are counted, so that memory stays bounded. The last
/// one is reserved for all pairs of service and cooperative that have no key of their own.
pub const MAX_SERIES: usize = 32;

/// Hours before the current one for which counts per minute are kept. The longest window that
/// needs minutes is 6 h.
const MINUTE_RETENTION_HOURS: u64 = 7;
/// Hours for which counts are kept: 90 days, the longest window of an objective.
const RETENTION_HOURS: u64 = 90 * 24;
/// Hours by which a record may lie in the future and still be kept, after the wall clock was set
/// back.
const MAX_FUTURE_HOURS: u64 = 1;

/// Service and cooperative that a count belongs to.
#[derive(
    Clone,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
pub struct SeriesKey {
    /// Service.
    #[serde(rename = "s")]
    pub service: usher_types::ServiceName,
    /// Cooperative.
    #[serde(rename = "c")]
    pub cooperative: String,
}

impl SeriesKey {
    /// Creates the key of a service and a cooperative.
    pub fn new(service: &str, cooperative: &str) -> Self {
        Self {
            service: usher_types::ServiceName::new(service),
            cooperative: cooperative.to_owned(),
        }
    }

    /// Returns the key that collects the pairs without a key of their own.
    fn overflow() -> Self {
        Self::new("(other)", "(other)")
    }
}

usher_types::value_type! {
    /// Outcome of one request.
    pub struct BurnEvent {
        /// Service and cooperative of the request.
        pub key: SeriesKey,
        /// Arrival of the request, by the wall clock.
        pub at: time::SystemTime,
        /// Outcome of the request.
        pub cause: bucket::BurnCause,
        /// Time to the first token of the request.
        pub first_token: Option<time::Duration>,
    }
}

/// Counts of one pair of service and cooperative.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SeriesCounts {
    /// Counts by minute since 1970.
    pub(crate) minutes: collections::BTreeMap<u64, bucket::CountBucket>,
    /// Counts by hour since 1970.
    pub(crate) hours: collections::BTreeMap<u64, bucket::CountBucket>,
}

/// Request counts in memory, by service and cooperative.
///
/// ```
/// use std::time::SystemTime;
/// use usher_report::{BurnCounts, BurnCause, BurnEvent, SeriesKey};
/// let mut counts = BurnCounts::default();
/// let key = SeriesKey::new("assist", "loo-round");
/// counts.record(&BurnEvent { key, at: SystemTime::now(), cause: BurnCause::Ok, first_token: None });
/// assert_eq!(counts.keys().count(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BurnCounts {
    series: collections::BTreeMap<SeriesKey, SeriesCounts>,
}

impl BurnCounts {
    /// Counts one request.
    pub fn record(&mut self, event: &BurnEvent) {
        let mut counts = bucket::CountBucket::default();
        counts.record(event.cause, event.first_token);
        self.add_minute(&event.key, minute_of(event.at), &counts);
    }

    /// Adds counts of a minute to the minute and to its hour.
    pub(crate) fn add_minute(
        &mut self,
        key: &SeriesKey,
        minute: u64,
        counts: &bucket::CountBucket,
    ) {
        let series = self.series_mut(key);
        series.minutes.entry(minute).or_default().merge(counts);
        series.hours.entry(minute / 60).or_default().merge(counts);
    }

    /// Adds counts of an hour whose minutes are no longer kept.
    pub(crate) fn add_hour(&mut self, key: &SeriesKey, hour: u64, counts: &bucket::CountBucket) {
        self.series_mut(key)
            .hours
            .entry(hour)
            .or_default()
            .merge(counts);
    }

    /// Adds all counts of another instance, such as that of another entry.
    pub fn merge(&mut self, other: &Self) {
        for (key, counts) in &other.series {
            let series = self.series_mut(key);
            for (minute, bucket) in &counts.minutes {
                series.minutes.entry(*minute).or_default().merge(bucket);
            }
            for (hour, bucket) in &counts.hours {
                series.hours.entry(*hour).or_default().merge(bucket);
            }
        }
    }

    /// Removes counts that are older than every window, and counts too far in the future.
    pub fn expire(&mut self, now: time::SystemTime) {
        let hour = minute_of(now) / 60;
        let minutes = first_retained_minute(now)..(hour + MAX_FUTURE_HOURS + 1) * 60;
        let hours = hour.saturating_sub(RETENTION_HOURS)..=hour + MAX_FUTURE_HOURS;
        for series in self.series.values_mut() {
            series.minutes.retain(|minute, _| minutes.contains(minute));
            series.hours.retain(|hour, _| hours.contains(hour));
        }
        self.series.retain(|_, series| !series.hours.is_empty());
    }

    /// Returns the pairs of service and cooperative, in order.
    pub fn keys(&self) -> impl Iterator<Item = &SeriesKey> {
        self.series.keys()
    }

    pub(crate) fn series(&self) -> impl Iterator<Item = (&SeriesKey, &SeriesCounts)> {
        self.series.iter()
    }

    fn series_mut(&mut self, key: &SeriesKey) -> &mut SeriesCounts {
        let has_room = self.series.len() < MAX_SERIES - 1;
        let key = if has_room || self.series.contains_key(key) {
            key.clone()
        } else {
            SeriesKey::overflow()
        };
        self.series.entry(key).or_default()
    }
}

/// Returns the first minute whose counts are kept separately from those of its hour.
pub(crate) fn first_retained_minute(now: time::SystemTime) -> u64 {
    (minute_of(now) / 60).saturating_sub(MINUTE_RETENTION_HOURS) * 60
}

/// Returns the minutes since 1970; earlier times count as 1970.
pub(crate) fn minute_of(at: time::SystemTime) -> u64 {
    let since = at.duration_since(time::UNIX_EPOCH).unwrap_or_default();
    since.as_secs() / 60
}
