//! Metrics of a memory account in the OpenMetrics format. Not for: StatsD.

use prometheus_client::{
    metrics::{counter, family, gauge},
    registry,
};

use crate::caller_memory;

type Labels = Vec<(&'static str, &'static str)>;

/// The metrics of one account; cheap to clone.
#[derive(Clone, Debug)]
pub struct MemoryMetrics {
    connections: family::Family<Labels, gauge::Gauge>,
    bytes: family::Family<Labels, gauge::Gauge>,
    budget: gauge::Gauge,
    peak: gauge::Gauge,
    refusals: family::Family<Labels, counter::Counter>,
}

impl MemoryMetrics {
    /// Registers the metrics of an account; their names begin with `kind`, as in `caller`.
    pub fn register(registry: &mut registry::Registry, kind: &str) -> Self {
        let metrics = Self {
            connections: family::Family::default(),
            bytes: family::Family::default(),
            budget: gauge::Gauge::default(),
            peak: gauge::Gauge::default(),
            refusals: family::Family::default(),
        };
        let help = format!("connections of {kind}s, by phase");
        let name = format!("{kind}_connections");
        registry.register(name, help, metrics.connections.clone());
        let help = format!("memory that connections of {kind}s hold, by phase");
        let name = format!("{kind}_memory_bytes");
        registry.register(name, help, metrics.bytes.clone());
        let help = format!("memory that connections of {kind}s may hold");
        let name = format!("{kind}_memory_budget_bytes");
        registry.register(name, help, metrics.budget.clone());
        let help = format!("most memory that connections of {kind}s have held at a time");
        let name = format!("{kind}_memory_peak_bytes");
        registry.register(name, help, metrics.peak.clone());
        let help = format!("{kind}s that were refused or closed, by reason");
        let name = format!("{kind}_refusals");
        registry.register(name, help, metrics.refusals.clone());
        metrics
    }

    /// Sets the metrics to what an account holds now.
    pub fn update(&self, memory: &caller_memory::CallerMemory) {
        let number = |count| i64::try_from(count).unwrap_or(i64::MAX);
        for (phase, (connections, bytes)) in memory.by_phase() {
            let labels = vec![("phase", phase)];
            let gauge = self.connections.get_or_create(&labels);
            gauge.set(number(connections));
            drop(gauge);
            self.bytes.get_or_create(&labels).set(number(bytes));
        }
        self.budget.set(number(memory.budget_bytes()));
        self.peak.set(number(memory.peak_bytes()));
        for (reason, count) in memory.refusals() {
            let labels = vec![("reason", reason.name())];
            let counter = self.refusals.get_or_create(&labels);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }
}
