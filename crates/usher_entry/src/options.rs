//! Options of an entry. Not for: where they come from.

use std::{net, time};

use crate::accounts;

usher_types::value_type! {
    /// The options of an entry; filled from settings by the binaries.
    ///
    /// ```
    /// use std::time::Duration;
    /// use usher_entry::EntryOptions;
    /// let options = EntryOptions::new("entry-1",
    /// "south-a").with_stall_timeout(Duration::from_secs(2)); assert_eq!(options.name.as_str(),
    /// "entry-1");
    /// ```
    pub struct EntryOptions {
        /// Name of the entry.
        pub name: usher_types::NodeName,
        /// Life of the entry under that name.
        pub incarnation: usher_types::IncarnationId,
        /// Region that it is in.
        pub region: usher_types::RegionName,
        /// Failure domain that it is in.
        pub domain: usher_types::DomainName,
        /// Where it listens for callers and targets; port 0 takes a free one.
        pub bind: net::SocketAddr,
        /// Largest request body, in bytes.
        pub max_body: usize,
        /// Largest request head, in bytes.
        pub max_head: usize,
        /// Time between two heartbeats to control.
        pub heartbeat: time::Duration,
        /// How long connecting to a target may take.
        pub connect_timeout: time::Duration,
        /// How long an engine may take to its first token beyond twice the expected time.
        pub first_token_timeout: time::Duration,
        /// How long a stream may make no progress before it is resumed elsewhere.
        pub stall_timeout: time::Duration,
        /// How long a plain call may take when it has no deadline; also how long each later part of
        /// an answer that is too long to keep may take.
        pub plain_timeout: time::Duration,
        /// How long a resumed stream may wait for a target or for the routing right.
        pub resume_wait: time::Duration,
        /// How often one stream may be resumed.
        pub max_resumes: u32,
        /// How long a resent call waits for the one that is running.
        pub running_wait: time::Duration,
        /// How long a caller may accept no bytes, or send none of its body, before it is cut off.
        pub caller_timeout: time::Duration,
        /// How long a commit of an answer may delay the answer.
        pub finish_wait: time::Duration,
        /// How long ago a target may have announced itself before it gets no new work.
        pub suspect_after: time::Duration,
        /// How long ago a target may have announced itself before it counts as gone.
        pub gone_after: time::Duration,
        /// Time between two readings of an engine's cache events; zero reads none.
        pub cache_poll: time::Duration,
        /// How long a stopping entry still takes work, so that the load balancer sees it unready
        /// first.
        pub unready_notice: time::Duration,
        /// Output tokens assumed when a request sets no limit.
        pub default_output: usher_types::TokenCount,
        /// Teams and firms of callers.
        pub accounts: accounts::AccountDirectory,
        /// Mechanisms that tests remove to show what they are for.
        pub disabled: DisabledFeatures,
    }
}

/// Mechanisms that are switched off; only tests set any of these.
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
    /// Makes the usual options of an entry in a region.
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
            // 50 times the inter-token time that is aimed at; a prefill between tokens is shorter.
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
            default_output: usher_types::TokenCount::new(256),
            accounts: accounts::AccountDirectory::new(),
            disabled: DisabledFeatures::default(),
        }
    }

    setters! {
        /// Sets the incarnation.
        with_incarnation(incarnation: usher_types::IncarnationId);
        /// Sets the failure domain.
        with_domain(domain: usher_types::DomainName);
        /// Sets where it listens.
        with_bind(bind: net::SocketAddr);
        /// Sets the largest request body.
        with_max_body(max_body: usize);
        /// Sets the time between heartbeats.
        with_heartbeat(heartbeat: time::Duration);
        /// Sets how long connecting to a target may take.
        with_connect_timeout(connect_timeout: time::Duration);
        /// Sets how late a first token may be.
        with_first_token_timeout(first_token_timeout: time::Duration);
        /// Sets how long a stream may make no progress.
        with_stall_timeout(stall_timeout: time::Duration);
        /// Sets how long a plain call may take.
        with_plain_timeout(plain_timeout: time::Duration);
        /// Sets how long a resumed stream may wait for a target.
        with_resume_wait(resume_wait: time::Duration);
        /// Sets how often one stream may be resumed.
        with_max_resumes(max_resumes: u32);
        /// Sets how long a resent call waits for the one that is running.
        with_running_wait(running_wait: time::Duration);
        /// Sets how long a caller may make no progress.
        with_caller_timeout(caller_timeout: time::Duration);
        /// Sets how long a commit of an answer may delay the answer.
        with_finish_wait(finish_wait: time::Duration);
        /// Sets when a silent target gets no new work.
        with_suspect_after(suspect_after: time::Duration);
        /// Sets when a silent target is gone.
        with_gone_after(gone_after: time::Duration);
        /// Sets how long a stopping entry still takes work.
        with_unready_notice(unready_notice: time::Duration);
        /// Sets the time between two readings of cache events.
        with_cache_poll(cache_poll: time::Duration);
        /// Sets the teams and firms of callers.
        with_accounts(accounts: accounts::AccountDirectory);
    }

    disablers! {
        /// Ends broken streams with an error.
        without_resume(resume);
        /// Sends non-idempotent calls without a claim.
        without_claims(claims);
        /// Starts new work without a routing right.
        without_right(right);
        /// Sends new work to targets that are leaving.
        without_leaving(leaving);
        /// Leaves abandoned streams running on the engine.
        without_cancel(cancel);
        /// Waits for stalled streams for ever.
        without_stall(stall);
        /// Passes bytes of a stream on without looking at them.
        without_checks(checks);
        /// Ends running streams when the drain begins.
        without_drain(drain);
        /// Waits for slow callers for ever.
        without_caller_timeout(caller_timeout);
        /// Acts on older configuration versions.
        without_versions(versions);
        /// Sends no hedges.
        without_hedge(hedge);
    }
}
