//! Metrics of a run. Not for: checking goals.

use usher_types::WorkClass;

use crate::{fleet, router, sim_time};

/// Percentiles in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Percentiles {
    /// Returns the percentiles of times in nanoseconds.
    pub(crate) fn of(mut times: Vec<u64>) -> Self {
        times.sort_unstable();
        let at = |share: f64| {
            let rank = (share * times.len() as f64).ceil() as usize;
            let time = times.get(rank.saturating_sub(1)).copied();
            sim_time::to_seconds(time.unwrap_or(0))
        };
        Self {
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallEnd {
    /// Not ended before the end of the run.
    Open,
    Refused,
    Complete,
    Failed,
}

/// Record of one call.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) class: WorkClass,
    pub(crate) firm: usize,
    pub(crate) arrived: u64,
    pub(crate) deadline: u64,
    /// Engine-seconds that the call takes in a full batch.
    pub(crate) work: f64,
    pub(crate) output: u64,
    pub(crate) first_token: Option<u64>,
    pub(crate) finished: Option<u64>,
    pub(crate) end: CallEnd,
}

impl CallRecord {
    pub(crate) fn is_good(&self) -> bool {
        self.end == CallEnd::Complete && self.finished.is_some_and(|at| at <= self.deadline)
    }
}

/// Totals over a run that are not kept per call.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTotals {
    pub(crate) cross_region_bytes: u64,
    pub(crate) retries: u64,
    /// Hedges and probes.
    pub(crate) hedges: u64,
    pub(crate) role_changes: u64,
    /// Prompt tokens of the calls that engines began, and those found in prefix caches.
    pub(crate) prompt_seen: u64,
    pub(crate) prompt_hit: u64,
    /// Attempts that were sent to an engine after every entry had to know that it was leaving.
    pub(crate) sent_to_leaving: u64,
    /// Running calls that a planned change interrupted.
    pub(crate) cut_short: u64,
    /// Refused calls by reason.
    pub(crate) refused: Vec<(String, u64)>,
}

/// Result of one run.
#[derive(Clone, Debug)]
pub(crate) struct RunResult {
    pub(crate) records: Vec<CallRecord>,
    pub(crate) short_gaps: hdrhistogram::Histogram<u64>,
    pub(crate) long_gaps: hdrhistogram::Histogram<u64>,
    pub(crate) totals: RunTotals,
    /// Duration of the load in seconds.
    pub(crate) seconds: f64,
}

/// Metrics of one policy in one scenario.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ResultRow {
    /// Experiment.
    pub experiment: String,
    /// Scenario of the experiment.
    pub scenario: String,
    /// Fleet.
    pub fleet: fleet::FleetName,
    /// Policy.
    pub policy: router::PolicyName,
    /// Seed.
    pub seed: u64,
    /// Calls completed in time per second.
    pub goodput: f64,
    /// Calls completed in time, as a share of the offered calls.
    pub goodput_share: f64,
    /// Time to first token of short work.
    pub ttft_short: Percentiles,
    /// Time to first token of long work.
    pub ttft_long: Percentiles,
    /// Inter-token time of short work.
    pub itl_short: Percentiles,
    /// Inter-token time of long work.
    pub itl_long: Percentiles,
    /// Offered calls.
    pub offered: u64,
    /// Refused calls.
    pub refusals: u64,
    /// Calls completed after their deadline.
    pub late: u64,
    /// Calls accepted but not completed before the end of the run.
    pub failed: u64,
    /// Role changes.
    pub role_changes: u64,
    /// Bytes between regions.
    pub cross_region_bytes: u64,
    /// Share of the prompt tokens that were found in prefix caches.
    pub prefix_hit_share: f64,
    /// Retries, hedges and probes as a share of accepted calls.
    pub extra_share: f64,
}

impl RunResult {
    /// Returns the result row of this run. All calls of the workload count, also those that end
    /// after the last arrival; goodput is relative to the duration of the load.
    pub(crate) fn row(
        &self,
        name: (&str, &str),
        fleet: fleet::FleetName,
        policy: router::PolicyName,
        seed: u64,
    ) -> ResultRow {
        let offered = self.records.len() as u64;
        let good = self.count(CallRecord::is_good);
        let refusals = self.count(|call| call.end == CallEnd::Refused);
        let completed = self.count(|call| call.end == CallEnd::Complete);
        let accepted = offered - refusals;
        let totals = &self.totals;
        ResultRow {
            experiment: name.0.to_owned(),
            scenario: name.1.to_owned(),
            fleet,
            policy,
            seed,
            goodput: good as f64 / self.seconds,
            goodput_share: share(good, offered),
            ttft_short: self.first_tokens(WorkClass::Short),
            ttft_long: self.first_tokens(WorkClass::Long),
            itl_short: gap_percentiles(&self.short_gaps),
            itl_long: gap_percentiles(&self.long_gaps),
            offered,
            refusals,
            late: completed - good,
            failed: accepted - completed,
            role_changes: totals.role_changes,
            cross_region_bytes: totals.cross_region_bytes,
            prefix_hit_share: share(totals.prompt_hit, totals.prompt_seen),
            extra_share: share(totals.retries + totals.hedges, accepted),
        }
    }

    pub(crate) fn count(&self, condition: impl Fn(&CallRecord) -> bool) -> u64 {
        self.records.iter().filter(|call| condition(call)).count() as u64
    }

    /// Returns the times to first token of a class.
    pub(crate) fn first_tokens(&self, class: WorkClass) -> Percentiles {
        let calls = self.records.iter().filter(|call| call.class == class);
        Percentiles::of(calls.filter_map(first_token_time).collect())
    }

    /// Returns the times to first token of all work.
    pub(crate) fn all_first_tokens(&self) -> Percentiles {
        let calls = self.records.iter();
        Percentiles::of(calls.filter_map(first_token_time).collect())
    }

    /// Returns the inter-token times of all work.
    pub(crate) fn all_gaps(&self) -> Percentiles {
        let mut gaps = self.short_gaps.clone();
        // Both histograms have the same bounds, so adding cannot fail.
        let _ = gaps.add(&self.long_gaps);
        gap_percentiles(&gaps)
    }
}

fn first_token_time(call: &CallRecord) -> Option<u64> {
    call.first_token.map(|at| at - call.arrived)
}

/// Creates a histogram of inter-token times, in microseconds up to ten minutes.
pub(crate) fn gap_histogram() -> hdrhistogram::Histogram<u64> {
    let mut histogram = hdrhistogram::Histogram::new_with_max(600_000_000, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constants that are valid"));
    histogram.auto(true);
    histogram
}

fn gap_percentiles(gaps: &hdrhistogram::Histogram<u64>) -> Percentiles {
    let at = |share: f64| gaps.value_at_quantile(share) as f64 / 1e6;
    Percentiles {
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
    }
}

fn share(part: u64, total: u64) -> f64 {
    part as f64 / total.max(1) as f64
}
