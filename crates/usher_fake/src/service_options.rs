//! Options and injected faults of a fake plain service. Not for: engines.

use std::{net, time};

use crate::macros;

/// The behaviour for the next calls; also the body of `POST /fake/behaviour`.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceBehaviour {
    /// Delay before a call takes effect, in ms.
    pub delay_ms: u64,
    /// Delay between the effect of a call and its response, in ms.
    pub answer_delay_ms: u64,
    /// Crashes and resets its connections before the call takes effect.
    pub die_before: bool,
    /// Crashes and resets its connections after the call took effect, before the response.
    pub die_after: bool,
    /// Responds with status 500, without an effect.
    pub failing: bool,
    /// Turns calls away without an effect and asks for a pause of so many ms; 0 for none.
    pub pause_ms: u64,
    /// Says in all answers that it is leaving, although its announcements don't.
    pub says_leaving: bool,
    /// Number of padding bytes in each response.
    pub padding: usize,
}

usher_types::value_type! {
    /// Options of a fake plain service.
    pub struct ServiceOptions {
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
        /// Behaviour after the start.
        pub behaviour: ServiceBehaviour,
        /// Interval between announcements.
        pub announce_interval: time::Duration,
    }
}

impl ServiceOptions {
    /// Creates options with this name and default behaviour.
    pub fn new(name: &str) -> Self {
        Self {
            name: usher_types::TargetName::new(name),
            incarnation: usher_types::IncarnationSource::random(),
            bind: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            entries: Vec::new(),
            service: usher_types::ServiceName::new("rounds"),
            region: usher_types::RegionName::new("south-a"),
            domain: usher_types::DomainName::new("domain-1"),
            behaviour: ServiceBehaviour::default(),
            announce_interval: time::Duration::from_secs(1),
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
        /// Sets the behaviour after the start.
        with_behaviour(behaviour: ServiceBehaviour);
        /// Sets the interval between announcements.
        with_announce_interval(announce_interval: time::Duration);
    }
}
