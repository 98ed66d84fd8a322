//! Options of an entry.
//!
//! Not for: reading them from settings.

use std::{net, time};

use crate::accounts;

usher_types::value_type! {
    /// The options of an entry, which the binaries set from settings.
    ///
    /// ```
    /// use std::time::Duration;
    /// use usher_entry::EntryOptions;
    /// let options = EntryOptions::new("entry-1", "south-a").with_stall_timeout(Duration::from_secs(2));
    /// assert_eq!(options.name.as_str(), "entry-1");
    /// ```
    pub struct EntryOptions {
        /// Name of the entry.
        pub name: usher_types::NodeName,
        /// Incarnation of the entry.
        pub incarnation: usher_types::IncarnationId,
        /// Region of the entry.
        pub region: usher_types::RegionName,
        /// Failure domain of the entry.
        pub domain: usher_types::DomainName,
        /// Address to listen on for callers and targets; port 0 selects a free port.
        pub bind: net::SocketAddr,
        /// Maximum size of a request body, in bytes.
        pub max_body: usize,
        /// Maximum size of a request head, in bytes.
        pub max_head: usize,
        /// Interval between heartbeats to control.
        pub heartbeat: time::Duration,
        /// Timeout for connecting to a target.
        pub connect_timeout: time::Duration,
        /// Time added to twice the expected time to first token to get the first-token timeout.
        pub first_token_timeout: time::Duration,
        /// Time without progress after which a stream is resumed on another engine.
        pub stall_timeout: time::Duration,
        /// Time limit for a plain call without an earlier deadline; also the timeout for each
        /// further part of an answer that is too long to record.
        pub plain_timeout: time::Duration,
        /// Maximum wait of a resume for a target or for the routing right.
        pub resume_wait: time::Duration,
        /// Maximum number of resumes of one stream.
        pub max_resumes: u32,
        /// Maximum wait of a resent call for the running call with the same key.
        pub running_wait: time::Duration,
        /// Time after which a caller that accepts no bytes, or sends none of its body, is
        /// disconnected.
        pub caller_timeout: time::Duration,
        /// Maximum delay of an answer while its record is committed.
        pub finish_wait: time::Duration,
        /// Time since its last announcement after which a target gets no new work.
        pub suspect_after: time::Duration,
        /// Time since its last announcement after which a target counts as gone.
        pub gone_after: time::Duration,
        /// Interval at which cache events of engines are polled; zero disables polling.
        pub cache_poll: time::Duration,
        /// How long a draining entry still accepts work, so that the load balancer first sees that
        /// it isn't ready.
        pub unready_notice: time::Duration,
        /// How long the crash of an engine counts against the prompts that it had.
        pub crash_lifetime: time::Duration,
        /// Output tokens assumed for a request without a limit.
        pub default_output: usher_types::TokenCount,
        /// Accounts of callers.
        pub accounts: accounts::AccountDirectory,
        /// What the connections of callers and targets may take together.
        pub caller_budget: usher_memory::MemoryBudget,
        /// Mechanisms disabled by tests that show the failure without them.
        pub disabled: DisabledFeatures,
    }
}

/// Flags that disable single mechanisms; set only by tests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DisabledFeatures {
    pub(crate) resume: bool,
    pub(crate) claims: bool,
    pub(crate) right: bool,
    pub(crate) leaving: bool,
    pub(crate) cancel: bool,
    pub(crate) stall: bool,
    pub(crate) checks: bool,
    pub(crate) drain: bool,
    pub(crate) caller_timeout: bool,
    pub(crate) versions: bool,
    pub(crate) hedge: bool,
}

macro_rules! setters {
    ($($(#[$meta:meta])* $method:ident($field:ident: $type:ty);)+) => {
        $(
            $(#[$meta])*
            #[must_use]
            pub fn $method(mut self, $field: $type) -> Self {
                self.$field = $field;
                self
            }
        )+
    };
}

macro_rules! disablers {
    ($($(#[$meta:meta])* $method:ident($field:ident);)+) => {
        $(
            $(#[$meta])*
            #[doc(hidden)]
            #[must_use]
            pub fn $method(mut self) -> Self {
                self.disabled.$field = true;
                self
            }
        )+
    };
}

impl EntryOptions {
    /// Creates default options for an entry in a region.
    pub fn new(name: &str, region: &str) -> Self {
        Self {
            name: usher_types::NodeName::new(name),
            incarnation: usher_types::IncarnationSource::random(),
            region: usher_types::RegionName::new(region),
            domain: usher_types::DomainName::new(region),
            bind: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            max_body: 8 << 20,
            max_head: 16 << 10,
            heartbeat: time::Duration::from_millis(500),
            connect_timeout: time::Duration::from_millis(500),
            first_token_timeout: time::Duration::from_secs(10),
            // 50 times the goal for inter-token latency; a prefill that runs between two tokens is
            // shorter.
            stall_timeout: time::Duration::from_secs(4),
            plain_timeout: time::Duration::from_secs(60),
            resume_wait: time::Duration::from_secs(10),
            max_resumes: 6,
            running_wait: time::Duration::from_secs(2),
            caller_timeout: time::Duration::from_secs(30),
            finish_wait: time::Duration::from_secs(1),
            suspect_after: time::Duration::from_secs(3),
            gone_after: time::Duration::from_secs(10),
            cache_poll: time::Duration::from_secs(1),
            unready_notice: time::Duration::from_secs(1),
            crash_lifetime: time::Duration::from_secs(30 * 60),
            default_output: usher_types::TokenCount::new(256),
            accounts: accounts::AccountDirectory::new(),
            caller_budget: usher_memory::MemoryBudget::default(),
            disabled: DisabledFeatures::default(),
        }
    }

    setters! {
        /// Sets the incarnation.
        with_incarnation(incarnation: usher_types::IncarnationId);
        /// Sets the failure domain.
        with_domain(domain: usher_types::DomainName);
        /// Sets the address to listen on.
        with_bind(bind: net::SocketAddr);
        /// Sets the maximum size of a request body.
        with_max_body(max_body: usize);
        /// Sets the heartbeat interval.
        with_heartbeat(heartbeat: time::Duration);
        /// Sets the connect timeout for targets.
        with_connect_timeout(connect_timeout: time::Duration);
        /// Sets the time added to twice the expected time to first token.
        with_first_token_timeout(first_token_timeout: time::Duration);
        /// Sets the stall timeout of streams.
        with_stall_timeout(stall_timeout: time::Duration);
        /// Sets the time limit for plain calls.
        with_plain_timeout(plain_timeout: time::Duration);
        /// Sets the maximum wait of a resume for a target.
        with_resume_wait(resume_wait: time::Duration);
        /// Sets the maximum number of resumes of one stream.
        with_max_resumes(max_resumes: u32);
        /// Sets the maximum wait of a resent call for the running one.
        with_running_wait(running_wait: time::Duration);
        /// Sets the time after which a caller without progress is disconnected.
        with_caller_timeout(caller_timeout: time::Duration);
        /// Sets the maximum delay of an answer while its record is committed.
        with_finish_wait(finish_wait: time::Duration);
        /// Sets the time after which a silent target gets no new work.
        with_suspect_after(suspect_after: time::Duration);
        /// Sets the time after which a silent target counts as gone.
        with_gone_after(gone_after: time::Duration);
        /// Sets how long a draining entry still accepts work.
        with_unready_notice(unready_notice: time::Duration);
        /// Sets how long the crash of an engine counts.
        with_crash_lifetime(crash_lifetime: time::Duration);
        /// Sets the poll interval of cache events.
        with_cache_poll(cache_poll: time::Duration);
        /// Sets the accounts of callers.
        with_accounts(accounts: accounts::AccountDirectory);
        /// Sets what the connections of callers and targets may take together.
        with_caller_budget(caller_budget: usher_memory::MemoryBudget);
    }

    disablers! {
        /// Ends broken streams with an error instead of resuming them.
        without_resume(resume);
        /// Sends non-idempotent calls without a claim.
        without_claims(claims);
        /// Starts new work without a routing right.
        without_right(right);
        /// Sends new work to leaving targets.
        without_leaving(leaving);
        /// Doesn't cancel abandoned streams on the engine.
        without_cancel(cancel);
        /// Waits for stalled streams without a timeout.
        without_stall(stall);
        /// Forwards events of a stream without parsing them.
        without_checks(checks);
        /// Ends running streams when a drain starts.
        without_drain(drain);
        /// Waits for slow callers without a timeout.
        without_caller_timeout(caller_timeout);
        /// Applies older configuration versions.
        without_versions(versions);
        /// Sends no hedges.
        without_hedge(hedge);
    }
}
