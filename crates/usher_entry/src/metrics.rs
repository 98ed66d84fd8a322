//! Metrics of an entry; listed in `docs/metrics.md`.
//!
//! Not for: outcomes of single requests.

use std::{sync, time};

use cadence::{Counted as _, CountedExt as _, Gauged as _, Timed as _};

/// Sends the metrics of an entry; errors of the sink are ignored.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    client: sync::Arc<cadence::StatsdClient>,
}

impl EntryMetrics {
    /// Creates metrics that are sent by a client.
    pub fn new(client: cadence::StatsdClient) -> Self {
        Self {
            client: sync::Arc::new(client),
        }
    }

    /// Creates metrics that are discarded.
    pub fn none() -> Self {
        Self::new(cadence::StatsdClient::from_sink("", cadence::NopMetricSink))
    }

    pub(crate) fn add(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    pub(crate) fn add_tagged(&self, name: &str, tag: &str, value: &str) {
        self.client
            .count_with_tags(name, 1)
            .with_tag(tag, value)
            .send();
    }

    pub(crate) fn time(&self, name: &str, duration: time::Duration) {
        let _ = self.client.time(name, duration);
    }

    pub(crate) fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Reports what the connections of callers hold, and the refusals since the start of the process.
    pub(crate) fn caller_memory(&self, memory: &usher_intake::CallerMemory) {
        let number = |count| u64::try_from(count).unwrap_or(u64::MAX);
        for (phase, (connections, bytes)) in memory.by_phase() {
            self.gauge_tagged(
                "entry.caller.connections",
                "phase",
                phase,
                number(connections),
            );
            self.gauge_tagged("entry.caller.memory", "phase", phase, number(bytes));
        }
        self.gauge("entry.caller.memory.budget", number(memory.budget_bytes()));
        self.gauge("entry.caller.memory.peak", number(memory.peak_bytes()));
        for (reason, count) in memory.refusals() {
            self.gauge_tagged("entry.caller.refusals", "reason", reason.name(), count);
        }
    }

    fn gauge_tagged(&self, name: &str, tag: &str, tag_value: &str, value: u64) {
        let gauge = self.client.gauge_with_tags(name, value);
        gauge.with_tag(tag, tag_value).send();
    }

    pub(crate) fn gauge_share(&self, name: &str, value: f64) {
        let _ = self.client.gauge(name, value);
    }
}
