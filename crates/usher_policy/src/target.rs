//! What targets announce and report. Not for: what an entry concludes from it.

use std::time;

use usher_types::{
    AdapterName, DomainName, EngineRole, IncarnationId, ModelName, PieceCount, RegionName,
    ServiceName, TargetKind, TargetName, TokenCount, VersionName,
};

usher_types::value_type! {
    /// A target as the registry knows it.
    ///
    /// ```
    /// use usher_policy::TargetInfo;
    /// let info = TargetInfo::engine("e-1", "assist", "south-a").with_model("m-8b");
    /// assert!(!info.leaving);
    /// ```
    pub struct TargetInfo {
        /// Name of the target.
        pub name: TargetName,
        /// Which life of the target this is.
        pub incarnation: IncarnationId,
        /// Engine or plain service.
        pub kind: TargetKind,
        /// Service that it belongs to.
        pub service: ServiceName,
        /// Model that it has loaded.
        pub model: Option<ModelName>,
        /// Version of the model.
        pub version: Option<VersionName>,
        /// Adapters that it has loaded.
        pub adapters: Vec<AdapterName>,
        /// Part of the work that it does.
        pub role: EngineRole,
        /// Region that it is in.
        pub region: RegionName,
        /// Failure domain that it is in.
        pub domain: DomainName,
        /// Pieces of its memory; 0 means that memory isn't counted.
        pub pieces: PieceCount,
        /// Whether it gets no new work.
        pub leaving: bool,
    }
}

impl TargetInfo {
    /// Makes a mixed engine without model and with memory that isn't counted.
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

    /// Makes a plain service.
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

    /// Sets the pieces of memory.
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
    /// Load that a target reports, always late.
    #[derive(Copy)]
    pub struct LoadReport {
        /// When the target took it, by the entry's clock as well as that is known.
        pub taken_at: time::Instant,
        /// Calls that are generating.
        pub running: u32,
        /// Calls that wait.
        pub waiting: u32,
        /// Prompt tokens that wait for prefill.
        pub prefill_waiting: TokenCount,
        /// Pieces of memory in use.
        pub pieces_used: PieceCount,
    }
}

/// A change of the registry, from control or from announcements.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryChange {
    /// A target is new or has changed.
    Put(TargetInfo),
    /// A target is leaving: no new work.
    Leaving(TargetName),
    /// A target hasn't announced itself for a while: no new work until it is put again.
    Suspect(TargetName),
    /// A target is gone.
    Gone(TargetName),
}

usher_types::value_type! {
    /// What a cache event tells.
    pub enum CacheEventKind {
        /// The engine holds the prefix.
        Add,
        /// The engine no longer holds the prefix.
        Evict,
    }
}

usher_types::value_type! {
    /// An event of an engine's prefix cache.
    #[derive(Copy, Eq)]
    pub struct CacheEvent {
        /// Number of the event; consecutive when none is missing.
        pub seq: u64,
        /// What happened.
        pub kind: CacheEventKind,
        /// Hash of the prefix.
        pub hash: u64,
    }
}

usher_types::value_type! {
    /// Why an attempt failed.
    pub enum FailureKind {
        /// No connection: nothing was run.
        NotSent,
        /// The target refused it: nothing was run.
        Refused,
        /// The connection broke or the target failed after the call was sent.
        Broken,
        /// The entry cancelled it, for instance the loser of a hedge.
        Cancelled,
    }
}
