//! Stores the newest load report of each target and selects the reports that an entry receives.
//! Not for: decisions based on load.

use std::{collections, time};

use prost::Message as _;
use usher_wire::message;

/// Largest size of all load reports, per report interval of 1 s, at which an entry receives all of
/// them. Corresponds to about 30 targets, the size of a fleet today.
pub const FULL_SET_BYTES: usize = 1_600;

/// Size of the load reports that an entry receives in a larger fleet. With 760 targets all reports
/// would take about 40 KB/s per entry, while the budget for all messages is 2 KB/s.
pub const SUBSET_BYTES: usize = 900;

/// Age at which load reports are dropped.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(10);

/// Largest share of the subset taken from the entry's own region, which gets most of its calls.
const OWN_REGION_SHARE: f64 = 0.75;

#[derive(Clone, Debug)]
struct LoadRow {
    report: message::LoadReport,
    made_at: time::Instant,
    sequence: u64,
    region: String,
    bytes: usize,
}

/// The newest load report of each target, with an increasing sequence number.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: collections::BTreeMap<String, LoadRow>,
    last_sequence: u64,
    total_bytes: usize,
    /// Incremented when a target is added, removed or changes region; subsets are chosen again only
    /// then.
    targets_version: u64,
}

/// The targets whose load reports an entry receives, kept between its heartbeats.
#[derive(Clone, Debug, Default)]
pub struct LoadSubset {
    /// Value of `targets_version` for which the targets were chosen.
    chosen_at: Option<u64>,
    targets: Vec<String>,
}

impl LoadSubset {
    /// Returns the names of the targets.
    pub fn names(&self) -> &[String] {
        &self.targets
    }
}

impl LoadTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the sequence number of the newest report.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Stores a report if it was made later than the known one, by more than 50 ms if both are of
    /// the same incarnation, and if it is younger than `MAX_REPORT_AGE`.
    pub fn insert(&mut self, report: message::LoadReport, region: &str, now: time::Instant) {
        let age = time::Duration::from_millis(report.age_ms);
        let made_at = now.checked_sub(age).unwrap_or(now);
        let known = self.loads.get(&report.target);
        let newer = known.is_none_or(|known| {
            known.report.incarnation != report.incarnation && made_at > known.made_at
                || made_at > known.made_at + time::Duration::from_millis(50)
        });
        if !newer || age >= MAX_REPORT_AGE {
            return;
        }
        self.last_sequence += 1;
        let load = LoadRow {
            // Two bytes for the tag and length of the field.
            bytes: report.encoded_len() + 2,
            made_at,
            sequence: self.last_sequence,
            region: region.to_owned(),
            report,
        };
        self.total_bytes += load.bytes;
        let target = load.report.target.clone();
        let region = load.region.clone();
        let before = self.loads.insert(target, load);
        self.total_bytes -= before.as_ref().map_or(0, |before| before.bytes);
        if before.is_none_or(|before| before.region != region) {
            self.targets_version += 1;
        }
    }

    /// Removes expired reports.
    pub fn remove_stale(&mut self, now: time::Instant) {
        let before = self.loads.len();
        self.loads
            .retain(|_, load| now.saturating_duration_since(load.made_at) < MAX_REPORT_AGE);
        self.targets_version += u64::from(self.loads.len() != before);
        self.total_bytes = self.loads.values().map(|load| load.bytes).sum();
    }

    /// Returns all reports with a higher sequence number than `seen`, with their current age.
    pub fn since(&self, seen: u64, now: time::Instant) -> Vec<message::LoadReport> {
        let newer = self.loads.values().filter(|load| load.sequence > seen);
        newer.map(|load| load.aged(now)).collect()
    }

    /// Returns the reports for one entry with a higher sequence number than `seen`.
    ///
    /// In a small fleet the entry receives all reports. In a larger one it receives those of a
    /// subset of the targets, mostly of its region. The subset only changes when the fleet does,
    /// and differs from the subsets of other entries.
    pub fn for_entry(
        &self,
        entry: &str,
        region: &str,
        subset: &mut LoadSubset,
        seen: u64,
        now: time::Instant,
    ) -> Vec<message::LoadReport> {
        if self.total_bytes <= FULL_SET_BYTES {
            return self.since(seen, now);
        }
        if subset.chosen_at != Some(self.targets_version) {
            subset.chosen_at = Some(self.targets_version);
            let chosen = self.subset(entry, region).into_iter();
            subset.targets = chosen.map(|load| load.report.target.clone()).collect();
        }
        let loads = subset.targets.iter();
        let loads = loads.filter_map(|target| self.loads.get(target));
        let newer = loads.filter(|load| load.sequence > seen);
        newer.map(|load| load.aged(now)).collect()
    }

    fn subset(&self, entry: &str, region: &str) -> Vec<&LoadRow> {
        let mut ranked: Vec<_> = self
            .loads
            .values()
            .map(|load| {
                (
                    load.region != region,
                    rank(entry, &load.report.target),
                    load,
                )
            })
            .collect();
        ranked.sort_by_key(|(other, rank, _)| (*other, *rank));
        let own_budget = (SUBSET_BYTES as f64 * OWN_REGION_SHARE) as usize;
        let mut bytes = 0;
        let mut chosen = Vec::new();
        for (other, _, load) in &ranked {
            let budget = if *other { SUBSET_BYTES } else { own_budget };
            if bytes + load.bytes <= budget {
                bytes += load.bytes;
                chosen.push(*load);
            }
        }
        chosen
    }
}

impl LoadRow {
    fn aged(&self, now: time::Instant) -> message::LoadReport {
        let age = now.saturating_duration_since(self.made_at);
        message::LoadReport {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            ..self.report.clone()
        }
    }
}

/// Ranks a target for an entry by rendezvous hashing: FNV-1a with a final mix.
fn rank(entry: &str, target: &str) -> u64 {
    let bytes = entry.bytes().chain([0]).chain(target.bytes());
    let mut hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
