//! The properties of a call that the policies use. Not for: the body of the call.

use std::time;

use usher_types::{
    AdapterName, FirmName, ModelName, PieceCount, RegionName, RequestId, ServiceName, TeamName,
    TokenCount, WorkClass,
};

usher_types::value_type! {
    /// A prefix of a prompt, identified by the hash of its tokens.
    #[derive(Copy, Eq)]
    pub struct PromptPrefix {
        /// Hash of the prefix, equal to the hash that engines publish in their cache events.
        pub hash: u64,
        /// Length of the prefix.
        pub tokens: TokenCount,
    }
}

usher_types::value_type! {
    /// Phase of a call that one target runs.
    pub enum CallPhase {
        /// The complete call.
        Full,
        /// Prefill only; the KV cache is then transferred to another engine.
        Prefill,
        /// Decode only; the KV cache is transferred from another engine.
        Decode,
    }
}

usher_types::value_type! {
    /// A call as the policies see it.
    ///
    /// ```
    /// use usher_policy::CallRequest;
    /// use usher_types::{TokenCount, WorkClass};
    /// let request = CallRequest::new("r-1", "assist", std::time::Instant::now())
    ///     .with_tokens(TokenCount::new(300), TokenCount::new(80));
    /// assert_eq!(request.class, WorkClass::Short);
    /// ```
    pub struct CallRequest {
        /// Id of the call; hedges and retries share it.
        pub id: RequestId,
        /// Service that the caller requests.
        pub service: ServiceName,
        /// Model, absent for plain services.
        pub model: Option<ModelName>,
        /// Adapter on top of the model.
        pub adapter: Option<AdapterName>,
        /// Team that the call is accounted to.
        pub team: TeamName,
        /// Firm that the team belongs to.
        pub firm: FirmName,
        /// Short or long work.
        pub class: WorkClass,
        /// Tokens of the prompt.
        pub prompt: TokenCount,
        /// Prefixes of the prompt, shortest first.
        pub prefixes: Vec<PromptPrefix>,
        /// Estimated tokens of the output, from `max_tokens` and the usual output of the team.
        pub output: TokenCount,
        /// When the call arrived at the entry.
        pub arrived: time::Instant,
        /// Time after which the answer is useless.
        pub deadline: Option<time::Instant>,
        /// Whether the call may safely run twice.
        pub idempotent: bool,
        /// Tokens that the caller has already received, for a resumed stream.
        pub delivered: TokenCount,
        /// Targets on which this call has already failed; they are avoided.
        pub avoid: Vec<usher_types::TargetName>,
        /// Region that the answer is billed from when it differs from the region of the entry.
        pub region: Option<RegionName>,
    }
}

impl CallRequest {
    /// Creates a call without model, deadline or tokens.
    pub fn new(id: &str, service: &str, arrived: time::Instant) -> Self {
        Self {
            id: RequestId::new(id),
            service: ServiceName::new(service),
            model: None,
            adapter: None,
            team: TeamName::new("-"),
            firm: FirmName::new("-"),
            class: WorkClass::Short,
            prompt: TokenCount::default(),
            prefixes: Vec::new(),
            output: TokenCount::default(),
            arrived,
            deadline: None,
            idempotent: true,
            delivered: TokenCount::default(),
            avoid: Vec::new(),
            region: None,
        }
    }

    /// Sets the model.
    pub fn with_model(mut self, model: &str) -> Self {
        self.model = Some(ModelName::new(model));
        self
    }

    /// Sets the adapter.
    pub fn with_adapter(mut self, adapter: &str) -> Self {
        self.adapter = Some(AdapterName::new(adapter));
        self
    }

    /// Sets prompt and output, and derives the work class from them.
    pub fn with_tokens(mut self, prompt: TokenCount, output: TokenCount) -> Self {
        self.prompt = prompt;
        self.output = output;
        self.class = WorkClass::of(prompt, output);
        self
    }

    /// Sets firm and team.
    pub fn with_account(mut self, firm: &str, team: &str) -> Self {
        self.firm = FirmName::new(firm);
        self.team = TeamName::new(team);
        self
    }

    /// Sets the deadline.
    pub fn with_deadline(mut self, deadline: time::Instant) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sets the prefixes of the prompt, shortest first.
    pub fn with_prefixes(mut self, prefixes: Vec<PromptPrefix>) -> Self {
        self.prefixes = prefixes;
        self
    }

    /// Returns the pieces of KV cache memory that the call occupies when it ends.
    pub fn pieces(&self) -> PieceCount {
        TokenCount::new(self.prompt.get().saturating_add(self.output.get())).pieces()
    }

    /// Returns the tokens that are still to be generated.
    pub fn remaining(&self) -> TokenCount {
        TokenCount::new(self.output.get().saturating_sub(self.delivered.get()))
    }
}
