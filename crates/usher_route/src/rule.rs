//! The rules of single routes and services. Not for: rules between them.

use std::time;

usher_types::value_type! {
    /// How often a call of a route may be run.
    pub enum RepeatKind {
        /// As often as needed.
        Repeatable,
        /// Once for each attempt of a caller.
        Once,
        /// A stream that is run once.
        Stream,
        /// A stream that another engine may resume after the last event.
        ResumableStream,
    }
}

impl RepeatKind {
    /// Returns whether a call that may have run can be sent again.
    ///
    /// ```
    /// use usher_route::RepeatKind;
    /// assert!(RepeatKind::ResumableStream.is_repeatable());
    /// assert!(!RepeatKind::Once.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

usher_types::value_type! {
    /// A service that gets a share of a route's calls.
    pub struct ServiceWeight {
        /// Name of the service.
        pub service: usher_types::ServiceName,
        /// Its weight relative to the other services of the route.
        pub weight: u32,
    }
}

usher_types::value_type! {
    /// The rules for the calls of one host and path prefix.
    pub struct RouteRule {
        /// Name of the route, for logs.
        pub name: String,
        /// Host of the calls, without a port.
        pub host: String,
        /// Beginning of the path; begins and ends with a slash.
        pub prefix: String,
        /// How often a call may be run.
        pub kind: RepeatKind,
        /// Maximum time until a call ends.
        pub timeout: time::Duration,
        /// Time within which an answer, or the first event of a stream, is on time.
        pub objective: time::Duration,
        /// Longest gap between two events of a stream that is on time.
        pub max_event_gap: Option<time::Duration>,
        /// Rank of the calls; 0 is the most urgent.
        pub priority: u8,
        /// The services that run the calls.
        pub services: Vec<ServiceWeight>,
        /// Maximum number of targets that may run one call.
        pub max_attempts: u32,
        /// Set when calls need no key of a team.
        pub is_public: bool,
    }
}

impl RouteRule {
    /// Chooses the service of a call by a number that stays the same for the call.
    pub fn service_of(&self, number: u64) -> Option<&usher_types::ServiceName> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut point = number.checked_rem(total)?;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

usher_types::value_type! {
    /// Properties that all engines of a service share.
    pub struct EngineTraits {
        /// Requests that an engine runs at once.
        pub slots: u32,
        /// Capacity of an engine's KV cache, in tokens.
        pub kv_tokens: u64,
        /// Size of the KV cache of one token, in bytes.
        pub token_bytes: u64,
        /// Tokens in one event of a stream.
        pub event_tokens: u32,
        /// How long an engine holds a prompt for another engine to fetch.
        pub handle_lifetime: time::Duration,
        /// How long an engine is unavailable while its role changes.
        pub role_switch: time::Duration,
    }
}

usher_types::value_type! {
    /// The rules of a service.
    pub struct ServiceRule {
        /// Connections that a target accepts from all callers together.
        pub connections: u32,
        /// Set when the targets are model engines.
        pub engine: Option<EngineTraits>,
        /// Set when engines may be ordered.
        pub scaling: Option<usher_scale::ScalingRule>,
    }
}

usher_types::value_type! {
    /// Limits on the requests of callers.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Largest request head, in bytes.
        pub head_bytes: usize,
        /// Largest request body, in bytes.
        pub body_bytes: usize,
        /// Maximum time to receive a request head.
        pub head_timeout: time::Duration,
        /// Maximum time for which a connection may stay idle.
        pub idle_timeout: time::Duration,
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1_024,
            body_bytes: 4 * 1_024 * 1_024,
            head_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}
