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

    pub(crate) fn gauge_share(&self, name: &str, value: f64) {
        let _ = self.client.gauge(name, value);
    }
}
