//! Information that targets announce and report. Not for: what an entry infers from it.

use std::time;

use usher_types::{
    AdapterName, DomainName, EngineRole, IncarnationId, ModelName, PieceCount, RegionName,
    ServiceName, TargetKind, TargetName, TokenCount, VersionName,
};

usher_types::value_type! {
    /// A target as it is registered.
    ///
    /// ```
    /// use usher_policy::TargetInfo;
    /// let info = TargetInfo::engine("e-1", "assist", "south-a").with_model("m-8b");
    /// assert!(!info.leaving);
    /// ```
    pub struct TargetInfo {
        /// Name of the target.
        pub name: TargetName,
        /// Incarnation of the target, which changes with each restart.
        pub incarnation: IncarnationId,
        /// Engine or plain service.
        pub kind: TargetKind,
        /// Service that the target belongs to.
        pub service: ServiceName,
        /// Model that is loaded.
        pub model: Option<ModelName>,
        /// Version of the model.
        pub version: Option<VersionName>,
        /// Adapters that are loaded.
        pub adapters: Vec<AdapterName>,
        /// Role of the engine.
        pub role: EngineRole,
        /// Region of the target.
        pub region: RegionName,
        /// Failure domain of the target.
        pub domain: DomainName,
        /// Pieces of KV cache memory; 0 when memory is not counted.
        pub pieces: PieceCount,
        /// Whether the target is leaving and gets no new work.
        pub leaving: bool,
    }
}

impl TargetInfo {
    /// Creates a mixed engine without a model and without counted memory.
    pub fn engine(name: &str, service: &str, region: &str) -> Self {
        Self {
            name: TargetName::new(name),
            incarnation: IncarnationId::new(1),
            kind: TargetKind::Engine,
            service: ServiceName::new(service),
            model: None,
            version: None,
            adapters: Vec::new(),
            role: EngineRole::Mixed,
            region: RegionName::new(region),
            domain: DomainName::new(region),
            pieces: PieceCount::default(),
            leaving: false,
        }
    }

    /// Creates a plain service.
    pub fn plain(name: &str, service: &str, region: &str) -> Self {
        Self {
            kind: TargetKind::Plain,
            ..Self::engine(name, service, region)
        }
    }

    /// Sets the model.
    pub fn with_model(mut self, model: &str) -> Self {
        self.model = Some(ModelName::new(model));
        self
    }

    /// Sets the role.
    pub fn with_role(mut self, role: EngineRole) -> Self {
        self.role = role;
        self
    }

    /// Sets the pieces of KV cache memory.
    pub fn with_pieces(mut self, pieces: u64) -> Self {
        self.pieces = PieceCount::new(pieces);
        self
    }

    /// Adds a loaded adapter.
    pub fn with_adapter(mut self, adapter: &str) -> Self {
        self.adapters.push(AdapterName::new(adapter));
        self
    }

    /// Sets whether the target is leaving.
    pub fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }
}

usher_types::value_type! {
    /// Load that a target reports, always with a delay.
    #[derive(Copy)]
    pub struct LoadReport {
        /// Time of the measurement, converted to the clock of the entry as precisely as possible.
        pub taken_at: time::Instant,
        /// Calls that are generating.
        pub running: u32,
        /// Calls that are waiting.
        pub waiting: u32,
        /// Prompt tokens waiting for prefill.
        pub prefill_waiting: TokenCount,
        /// Pieces of KV cache memory in use.
        pub pieces_used: PieceCount,
    }
}

/// A change of the registry, from the control node or from announcements.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryChange {
    /// A target was added or changed.
    Put(TargetInfo),
    /// A target is leaving and gets no new work.
    Leaving(TargetName),
    /// A target has not announced itself recently and gets no new work until the next `Put`.
    Suspect(TargetName),
    /// A target was removed.
    Gone(TargetName),
}

usher_types::value_type! {
    /// Kind of a prefix-cache event.
    pub enum CacheEventKind {
        /// The engine has cached the prefix.
        Add,
        /// The engine has evicted the prefix.
        Evict,
    }
}

usher_types::value_type! {
    /// An event of an engine's prefix cache.
    #[derive(Copy, Eq)]
    pub struct CacheEvent {
        /// Sequence number; consecutive when no event is missing.
        pub seq: u64,
        /// Kind of the event.
        pub kind: CacheEventKind,
        /// Hash of the prefix.
        pub hash: u64,
    }
}

usher_types::value_type! {
    /// Reason why an attempt failed.
    pub enum FailureKind {
        /// No connection was made; nothing has run.
        NotSent,
        /// The target refused the attempt; nothing has run.
        Refused,
        /// The connection broke or the target failed after the call was sent.
        Broken,
        /// The entry cancelled the attempt, for instance the loser of a hedge.
        Cancelled,
    }
}
