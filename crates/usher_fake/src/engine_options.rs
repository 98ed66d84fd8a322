//! Options of a fake engine. Not for: faults injected while it runs.

use std::{net, time};

use crate::{macros, order};

usher_types::value_type! {
    /// Options of a fake engine. Durations and rates are those of the simulated engine, before
    /// scaling.
    pub struct EngineOptions {
        /// Announced name.
        pub name: usher_types::TargetName,
        /// Announced incarnation.
        pub incarnation: usher_types::IncarnationId,
        /// Listen address; port 0 selects a free port.
        pub bind: net::SocketAddr,
        /// Entries that receive its announcements, in turn.
        pub entries: Vec<net::SocketAddr>,
        /// Service that it belongs to.
        pub service: usher_types::ServiceName,
        /// Announced region.
        pub region: usher_types::RegionName,
        /// Announced failure domain.
        pub domain: usher_types::DomainName,
        /// Model, version, adapters and role after the start.
        pub shape: order::EngineShape,
        /// Prompt tokens processed per second.
        pub prefill_rate: usher_types::TokenRate,
        /// Duration of one decode step, in which every running stream gets one token.
        pub decode_step: time::Duration,
        /// Maximum number of prompt tokens processed between two decode steps.
        pub prefill_chunk: u64,
        /// Maximum number of streams that run at the same time.
        pub max_running: usize,
        /// KV cache memory for running streams and the prefix cache, in pieces.
        pub kv_pieces: usher_types::PieceCount,
        /// Whether orders with an old fencing number are refused.
        pub fenced: bool,
        /// Age of load reports.
        pub load_lag: time::Duration,
        /// Delay of cache events.
        pub event_lag: time::Duration,
        /// Drops every n-th cache event; 0 drops none.
        pub event_gap: u64,
        /// Duration of a role change.
        pub role_time: time::Duration,
        /// Duration of loading a model, version or adapter.
        pub load_time: time::Duration,
        /// Interval between announcements; not scaled.
        pub announce_interval: time::Duration,
        /// Factor by which everything runs faster than the simulated engine.
        pub time_scale: f64,
    }
}

impl EngineOptions {
    /// Creates options with this name and default rates.
    ///
    /// ```
    /// use usher_fake::EngineOptions;
    /// let options = EngineOptions::new("engine-1").with_time_scale(20.0);
    /// assert_eq!(options.name.as_str(), "engine-1");
    /// ```
    pub fn new(name: &str) -> Self {
        Self {
            name: usher_types::TargetName::new(name),
            incarnation: usher_types::IncarnationSource::random(),
            bind: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            entries: Vec::new(),
            service: usher_types::ServiceName::new("assist"),
            region: usher_types::RegionName::new("south-a"),
            domain: usher_types::DomainName::new("domain-1"),
            shape: order::EngineShape::new("assist-1"),
            prefill_rate: usher_types::TokenRate::per_second(8_000.0),
            decode_step: time::Duration::from_millis(20),
            prefill_chunk: 512,
            max_running: 32,
            kv_pieces: usher_types::PieceCount::new(512),
            fenced: true,
            load_lag: time::Duration::from_millis(500),
            event_lag: time::Duration::from_millis(500),
            event_gap: 0,
            role_time: time::Duration::from_secs(4),
            load_time: time::Duration::from_secs(10),
            announce_interval: time::Duration::from_secs(1),
            time_scale: 1.0,
        }
    }

    macros::setters! {
        /// Sets the announced incarnation.
        with_incarnation(incarnation: usher_types::IncarnationId);
        /// Sets the listen address.
        with_bind(bind: net::SocketAddr);
        /// Sets the entries that receive its announcements.
        with_entries(entries: Vec<net::SocketAddr>);
        /// Sets the service.
        with_service(service: usher_types::ServiceName);
        /// Sets the announced region.
        with_region(region: usher_types::RegionName);
        /// Sets the announced failure domain.
        with_domain(domain: usher_types::DomainName);
        /// Sets the model, version, adapters and role after the start.
        with_shape(shape: order::EngineShape);
        /// Sets the prompt tokens processed per second.
        with_prefill_rate(prefill_rate: usher_types::TokenRate);
        /// Sets the duration of one decode step.
        with_decode_step(decode_step: time::Duration);
        /// Sets the maximum number of prompt tokens processed between two decode steps.
        with_prefill_chunk(prefill_chunk: u64);
        /// Sets the maximum number of streams that run at the same time.
        with_max_running(max_running: usize);
        /// Sets the KV cache memory.
        with_kv_pieces(kv_pieces: usher_types::PieceCount);
        /// Sets whether orders with an old fencing number are refused.
        with_fenced(fenced: bool);
        /// Sets the age of load reports.
        with_load_lag(load_lag: time::Duration);
        /// Sets the delay of cache events.
        with_event_lag(event_lag: time::Duration);
        /// Drops every n-th cache event.
        with_event_gap(event_gap: u64);
        /// Sets the duration of a role change.
        with_role_time(role_time: time::Duration);
        /// Sets the duration of loading a model, version or adapter.
        with_load_time(load_time: time::Duration);
        /// Sets the interval between announcements.
        with_announce_interval(announce_interval: time::Duration);
        /// Sets the factor by which everything runs faster than the simulated engine.
        with_time_scale(time_scale: f64);
    }

    /// Sets the model by name.
    #[must_use]
    pub fn with_model(mut self, model: &str) -> Self {
        self.shape.model = usher_types::ModelName::new(model);
        self
    }

    /// Sets the role.
    #[must_use]
    pub fn with_role(mut self, role: usher_types::EngineRole) -> Self {
        self.shape.role = role;
        self
    }

    /// Removes the processing times, to measure the overhead of the surrounding system.
    #[must_use]
    pub fn without_delays(mut self) -> Self {
        self.prefill_rate = usher_types::TokenRate::per_second(f64::INFINITY);
        self.decode_step = time::Duration::ZERO;
        self
    }

    /// Converts a duration of the simulated engine to real time.
    pub(crate) fn scaled(&self, duration: time::Duration) -> time::Duration {
        if self.time_scale > 0.0 {
            duration.div_f64(self.time_scale)
        } else {
            duration
        }
    }
}
