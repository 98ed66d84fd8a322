//! Counters of a registrar. Not for: logs.

use std::sync;

use prometheus_client::{
    encoding::text,
    metrics::{counter, family},
    registry,
};

type Labels = Vec<(&'static str, &'static str)>;

/// The metrics of one registrar; cheap to clone.
#[derive(Clone, Debug)]
pub struct RegistrarMetrics {
    usage_reports: family::Family<Labels, counter::Counter>,
    missed_windows: family::Family<Labels, counter::Counter>,
    pub(crate) late_counts: counter::Counter,
    engine_orders: family::Family<Labels, counter::Counter>,
    client_memory: usher_intake::MemoryMetrics,
    registry: sync::Arc<registry::Registry>,
}

impl RegistrarMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = registry::Registry::with_prefix("registrar");
        let usage_reports = family::Family::default();
        let missed_windows = family::Family::default();
        let late_counts = counter::Counter::default();
        let engine_orders = family::Family::default();
        let client_memory = usher_intake::MemoryMetrics::register(&mut registry, "client");
        let help = "orders of engines, by outcome";
        registry.register("engine_orders", help, engine_orders.clone());
        registry.register(
            "usage_reports",
            "usage reports sent, by outcome",
            usage_reports.clone(),
        );
        registry.register(
            "usage_windows_missed",
            "windows without an accepted usage report, by reason",
            missed_windows.clone(),
        );
        registry.register(
            "usage_late_counts",
            "counts of gateways that arrived after their window was fixed",
            late_counts.clone(),
        );
        Self {
            usage_reports,
            missed_windows,
            late_counts,
            engine_orders,
            client_memory,
            registry: sync::Arc::new(registry),
        }
    }

    /// Records the outcome of a usage report.
    pub(crate) fn usage_report(&self, outcome: &'static str) {
        self.usage_reports
            .get_or_create(&vec![("outcome", outcome)])
            .inc();
    }

    /// Records the outcome of an order of engines.
    pub(crate) fn engine_order(&self, outcome: &'static str) {
        let labels = vec![("outcome", outcome)];
        self.engine_orders.get_or_create(&labels).inc();
    }

    /// Records windows that were not reported.
    pub(crate) fn windows_missed(&self, reason: &'static str, count: u64) {
        if count > 0 {
            self.missed_windows
                .get_or_create(&vec![("reason", reason)])
                .inc_by(count);
        }
    }

    /// Sets the metrics of the memory account of targets and operators.
    pub fn set_client_memory(&self, memory: &usher_intake::CallerMemory) {
        self.client_memory.update(memory);
    }

    /// Returns the page of metrics.
    pub fn render(&self) -> String {
        let mut page = String::new();
        if let Err(error) = text::encode(&mut page, &self.registry) {
            tracing::warn!(%error, "failed to encode the metrics");
        }
        page
    }
}
