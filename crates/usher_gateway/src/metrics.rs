//! Counters and latency histograms of a gateway. Not for: logs.

use std::{collections, sync, time};

use prometheus_client::{
    encoding::text,
    metrics::{counter, family, gauge, histogram},
    registry,
};

/// Bounds of the latency buckets, in seconds: around the objectives of the routes, 0.2 s to 1 s,
/// and up to their timeouts.
const LATENCY_BOUNDS: [f64; 12] = [
    0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 2.0, 5.0,
];

/// Teams that are counted by name; the calls of further ones are counted together, so that the page
/// of a VM stays small with thousands of teams.
const COUNTED_TEAMS: usize = 256;

type Labels = Vec<(&'static str, String)>;
type LatencyFamily = family::Family<Labels, histogram::Histogram, fn() -> histogram::Histogram>;

/// The metrics of one gateway; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct GatewayMetrics {
    calls: family::Family<Labels, counter::Counter>,
    refusals: family::Family<Labels, counter::Counter>,
    sends: family::Family<Labels, counter::Counter>,
    answers: family::Family<Labels, counter::Counter>,
    notices: family::Family<Labels, counter::Counter>,
    broken_calls: family::Family<Labels, counter::Counter>,
    quarantined_calls: family::Family<Labels, counter::Counter>,
    team_calls: family::Family<Labels, counter::Counter>,
    counted_teams: sync::Arc<sync::Mutex<collections::HashSet<String>>>,
    pub(crate) key_refusals: counter::Counter,
    spilled_calls: family::Family<Labels, counter::Counter>,
    body_bytes: family::Family<Labels, counter::Counter>,
    pub(crate) quarantined: gauge::Gauge,
    caller_memory: usher_intake::MemoryMetrics,
    check_memory: usher_intake::MemoryMetrics,
    first_byte: LatencyFamily,
    total: LatencyFamily,
    pub(crate) running: gauge::Gauge,
    pub(crate) routes_version: gauge::Gauge,
    routes_offered: gauge::Gauge,
    routes_fetches: family::Family<Labels, counter::Counter>,
    routes_bytes: counter::Counter,
    pub(crate) targets: gauge::Gauge,
    pub(crate) gateways: gauge::Gauge,
    registry: sync::Arc<registry::Registry>,
}

fn latency() -> histogram::Histogram {
    histogram::Histogram::new(LATENCY_BOUNDS)
}

impl GatewayMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = registry::Registry::with_prefix("gateway");
        let calls = family::Family::default();
        let refusals = family::Family::default();
        let sends = family::Family::default();
        let answers = family::Family::default();
        let notices = family::Family::default();
        let broken_calls = family::Family::default();
        let quarantined_calls = family::Family::default();
        let team_calls = family::Family::default();
        let key_refusals = counter::Counter::default();
        let spilled_calls = family::Family::default();
        let body_bytes = family::Family::default();
        let quarantined = gauge::Gauge::default();
        let caller_memory = usher_intake::MemoryMetrics::register(&mut registry, "caller");
        let check_memory = usher_intake::MemoryMetrics::register(&mut registry, "check");
        let first_byte = LatencyFamily::new_with_constructor(latency);
        let total = LatencyFamily::new_with_constructor(latency);
        let running = gauge::Gauge::default();
        let routes_version = gauge::Gauge::default();
        let routes_offered = gauge::Gauge::default();
        let routes_fetches = family::Family::default();
        let routes_bytes = counter::Counter::default();
        let targets = gauge::Gauge::default();
        let gateways = gauge::Gauge::default();
        registry.register(
            "calls",
            "calls that ended, by route and status",
            calls.clone(),
        );
        let help = "calls that the gateway itself answered, by service and reason";
        registry.register("refusals", help, refusals.clone());
        registry.register(
            "sends",
            "sends to targets, by service and outcome",
            sends.clone(),
        );
        registry.register(
            "answers",
            "bodies of answers of targets, by framing and end",
            answers.clone(),
        );
        let help = "answers in which a target said that it is leaving or wants a pause, by kind";
        registry.register("target_notices", help, notices.clone());
        let help = "model calls whose connection to an engine broke, by service and phase";
        registry.register("broken_calls", help, broken_calls.clone());
        let help = "refusals of calls whose prompt crashes engines, by service";
        registry.register("quarantined_calls", help, quarantined_calls.clone());
        let help = "calls that ended, by team and class of status";
        registry.register("team_calls", help, team_calls.clone());
        let help = "calls without a key of a team";
        registry.register("key_refusals", help, key_refusals.clone());
        let help = "calls that left the failure domain, by service and reason";
        registry.register("spilled_calls", help, spilled_calls.clone());
        let help =
            "bytes of bodies sent to targets and received from them, by distance and direction";
        registry.register("body_bytes", help, body_bytes.clone());
        let help = "sets of prompt parts whose calls are refused";
        registry.register("quarantined", help, quarantined.clone());
        let name = "first_byte_seconds";
        registry.register(
            name,
            "arrival to the head of the answer",
            first_byte.clone(),
        );
        registry.register(
            "total_seconds",
            "arrival to the end of the answer",
            total.clone(),
        );
        registry.register("running", "calls that run", running.clone());
        let name = "routes_version";
        registry.register(
            name,
            "version of the routes in force here",
            routes_version.clone(),
        );
        let name = "routes_offered_version";
        let help = "newest version of the routes that a registrar has offered";
        registry.register(name, help, routes_offered.clone());
        let help = "requests for routes to registrars, by outcome";
        registry.register("routes_fetches", help, routes_fetches.clone());
        let name = "routes_fetched_bytes";
        let help = "bytes of routes received from registrars";
        registry.register(name, help, routes_bytes.clone());
        registry.register("targets", "targets that take work", targets.clone());
        let help = "gateways that share budgets of repeated sends";
        registry.register("gateways", help, gateways.clone());
        Self {
            calls,
            refusals,
            sends,
            answers,
            notices,
            broken_calls,
            quarantined_calls,
            team_calls,
            counted_teams: sync::Arc::default(),
            key_refusals,
            spilled_calls,
            body_bytes,
            quarantined,
            caller_memory,
            check_memory,
            first_byte,
            total,
            running,
            routes_version,
            routes_offered,
            routes_fetches,
            routes_bytes,
            targets,
            gateways,
            registry: sync::Arc::new(registry),
        }
    }

    pub(crate) fn team_call_ended(&self, team: &str, status: u16) {
        let is_counted = {
            let counted = self.counted_teams.lock();
            let mut counted = counted.unwrap_or_else(sync::PoisonError::into_inner);
            counted.contains(team)
                || (counted.len() < COUNTED_TEAMS && counted.insert(team.to_owned()))
        };
        let team = if is_counted { team } else { "other" };
        let class = match status {
            0 => "left".to_owned(),
            status => format!("{}xx", status / 100),
        };
        let labels = vec![("team", team.to_owned()), ("status", class)];
        self.team_calls.get_or_create(&labels).inc();
    }

    pub(crate) fn call_ended(
        &self,
        route: &str,
        status: u16,
        first_byte: time::Duration,
        total: time::Duration,
    ) {
        let route = ("route", route.to_owned());
        let labels = vec![route.clone(), ("status", status.to_string())];
        self.calls.get_or_create(&labels).inc();
        let labels = vec![route];
        let first = self.first_byte.get_or_create(&labels);
        first.observe(first_byte.as_secs_f64());
        drop(first);
        let total_time = self.total.get_or_create(&labels);
        total_time.observe(total.as_secs_f64());
    }

    /// Counts a call that the gateway itself answered.
    pub(crate) fn call_refused(&self, service: &str, reason: &'static str) {
        let labels = vec![
            ("service", service.to_owned()),
            ("reason", reason.to_owned()),
        ];
        self.refusals.get_or_create(&labels).inc();
    }

    pub(crate) fn send_ended(&self, service: &usher_types::ServiceName, outcome: &'static str) {
        let labels = vec![
            ("service", service.to_string()),
            ("outcome", outcome.to_owned()),
        ];
        self.sends.get_or_create(&labels).inc();
    }

    /// Counts the body of an answer by how it was framed and how it ended.
    pub(crate) fn answer_ended(&self, framing: usher_answer::AnswerFraming, end: &'static str) {
        let labels = vec![("framing", framing.to_string()), ("end", end.to_owned())];
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts what a target said of itself in an answer: `leaving`, once for each process, or
    /// `pause`.
    pub(crate) fn target_notified(&self, kind: &'static str) {
        let labels = vec![("kind", kind.to_owned())];
        self.notices.get_or_create(&labels).inc();
    }

    /// Counts a model call whose connection to an engine broke.
    pub(crate) fn call_broken(
        &self,
        service: &usher_types::ServiceName,
        phase: usher_quarantine::CallPhase,
    ) {
        let labels = vec![
            ("service", service.to_string()),
            ("phase", phase.to_string()),
        ];
        self.broken_calls.get_or_create(&labels).inc();
    }

    /// Counts the refusal of a call whose prompt crashes engines.
    pub(crate) fn call_quarantined(&self, service: &usher_types::ServiceName) {
        let labels = vec![("service", service.to_string())];
        self.quarantined_calls.get_or_create(&labels).inc();
    }

    /// Counts a call that left the failure domain.
    pub(crate) fn call_spilled(&self, service: &str, reason: usher_place::SpillReason) {
        let labels = vec![
            ("service", service.to_owned()),
            ("reason", reason.to_string()),
        ];
        self.spilled_calls.get_or_create(&labels).inc();
    }

    /// Counts the bytes of a body that was `sent` to a target or `received` from it.
    pub(crate) fn body_moved(
        &self,
        distance: usher_place::TargetDistance,
        direction: &'static str,
        bytes: usize,
    ) {
        let labels = vec![
            ("distance", distance.to_string()),
            ("direction", direction.to_owned()),
        ];
        self.body_bytes.get_or_create(&labels).inc_by(bytes as u64);
    }

    /// Records that a registrar offers a version of the routes.
    pub(crate) fn set_offered_version(&self, version: u64) {
        let version = i64::try_from(version).unwrap_or(i64::MAX);
        self.routes_offered
            .set(version.max(self.routes_offered.get()));
    }

    /// Records the outcome of a request for routes.
    pub(crate) fn routes_fetched(&self, outcome: &'static str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.routes_fetches.get_or_create(&labels).inc();
    }

    /// Records the size of a reply with routes.
    pub(crate) fn routes_received(&self, bytes: usize) {
        self.routes_bytes.inc_by(bytes as u64);
    }

    /// Sets the metrics of the memory accounts of callers and of health checks.
    pub(crate) fn set_memory(
        &self,
        callers: &usher_intake::CallerMemory,
        checks: &usher_intake::CallerMemory,
    ) {
        self.caller_memory.update(callers);
        self.check_memory.update(checks);
    }

    /// Returns all metrics in the text format.
    pub(crate) fn render(&self) -> String {
        let mut page = String::new();
        if let Err(error) = text::encode(&mut page, &self.registry) {
            tracing::warn!(%error, "failed to encode the metrics");
        }
        page
    }
}
