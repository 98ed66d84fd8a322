//! How a fake engine is set up. Not for: faults injected while it runs.

use std::{net, time};

use crate::{macros, order};

usher_types::value_type! {
    /// The setup of a fake engine; durations and rates are those of the engine that it imitates.
    pub struct EngineOptions {
        /// Name that it announces.
        pub name: usher_types::TargetName,
        /// Life under that name.
        pub incarnation: usher_types::IncarnationId,
        /// Where it listens; port 0 takes a free one.
        pub bind: net::SocketAddr,
        /// Entries that it announces itself to, in turn.
        pub entries: Vec<net::SocketAddr>,
        /// Service that it belongs to.
        pub service: usher_types::ServiceName,
        /// Region that it announces.
        pub region: usher_types::RegionName,
        /// Failure domain that it announces.
        pub domain: usher_types::DomainName,
        /// What it has loaded at the start.
        pub shape: order::EngineShape,
        /// Prompt tokens processed per second.
        pub prefill_rate: usher_types::TokenRate,
        /// Time that one decode step takes; every running stream gets one token per step.
        pub decode_step: time::Duration,
        /// Most prompt tokens that are processed between two decode steps.
        pub prefill_chunk: u64,
        /// Most streams that run at once.
        pub max_running: usize,
        /// Memory for running streams and the prefix cache.
        pub kv_pieces: usher_types::PieceCount,
        /// Whether orders with an old fencing number are refused.
        pub fenced: bool,
        /// How old load reports are.
        pub load_lag: time::Duration,
        /// How late cache events are.
        pub event_lag: time::Duration,
        /// Every n-th cache event is lost; 0 loses none.
        pub event_gap: u64,
        /// How long a change of role takes.
        pub role_time: time::Duration,
        /// How long loading a model, version or adapter takes.
        pub load_time: time::Duration,
        /// Time between two announcements; not scaled.
        pub announce_interval: time::Duration,
        /// How many times faster than the imitated engine everything runs.
        pub time_scale: f64,
    }
}

impl EngineOptions {
    /// Makes the options of an engine with this name and usual rates.
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
        /// Sets the incarnation that it announces.
        with_incarnation(incarnation: usher_types::IncarnationId);
        /// Sets where it listens.
        with_bind(bind: net::SocketAddr);
        /// Sets the entries that it announces itself to.
        with_entries(entries: Vec<net::SocketAddr>);
        /// Sets its service.
        with_service(service: usher_types::ServiceName);
        /// Sets its region.
        with_region(region: usher_types::RegionName);
        /// Sets its failure domain.
        with_domain(domain: usher_types::DomainName);
        /// Sets what it has loaded.
        with_shape(shape: order::EngineShape);
        /// Sets the prompt tokens that it processes per second.
        with_prefill_rate(prefill_rate: usher_types::TokenRate);
        /// Sets the time of one decode step.
        with_decode_step(decode_step: time::Duration);
        /// Sets the prompt tokens processed between two decode steps.
        with_prefill_chunk(prefill_chunk: u64);
        /// Sets how many streams run at once.
        with_max_running(max_running: usize);
        /// Sets its memory.
        with_kv_pieces(kv_pieces: usher_types::PieceCount);
        /// Sets whether it checks fencing numbers.
        with_fenced(fenced: bool);
        /// Sets how old its load reports are.
        with_load_lag(load_lag: time::Duration);
        /// Sets how late its cache events are.
        with_event_lag(event_lag: time::Duration);
        /// Loses every n-th cache event.
        with_event_gap(event_gap: u64);
        /// Sets how long a change of role takes.
        with_role_time(role_time: time::Duration);
        /// Sets how long loading takes.
        with_load_time(load_time: time::Duration);
        /// Sets the time between two announcements.
        with_announce_interval(announce_interval: time::Duration);
        /// Sets how many times faster than real everything runs.
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

    /// Makes an engine that answers without any delay, for measuring what is around it.
    #[must_use]
    pub fn without_delays(mut self) -> Self {
        self.prefill_rate = usher_types::TokenRate::per_second(f64::INFINITY);
        self.decode_step = time::Duration::ZERO;
        self
    }

    /// Returns a duration of the imitated engine as real time.
    pub(crate) fn scaled(&self, duration: time::Duration) -> time::Duration {
        if self.time_scale > 0.0 {
            duration.div_f64(self.time_scale)
        } else {
            duration
        }
    }
}
