//! How a fake plain service is set up and misbehaves. Not for: engines.

use std::{net, time};

use crate::macros;

/// How the service treats the next calls; also the body of `POST /fake/behaviour`.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceBehaviour {
    /// Time before a call has its effect, in ms.
    pub delay_ms: u64,
    /// Time between the effect and the answer, in ms.
    pub answer_delay_ms: u64,
    /// Dies with reset connections before the call has its effect.
    pub die_before: bool,
    /// Dies with reset connections after the call had its effect, before answering.
    pub die_after: bool,
    /// Answers with status 500, without an effect.
    pub failing: bool,
    /// Adds this many bytes to each answer.
    pub padding: usize,
}

usher_types::value_type! {
    /// The setup of a fake plain service.
    pub struct ServiceOptions {
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
        /// How it treats calls from the start.
        pub behaviour: ServiceBehaviour,
        /// Time between two announcements.
        pub announce_interval: time::Duration,
    }
}

impl ServiceOptions {
    /// Makes the options of a service target with this name.
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
        /// Sets how it treats calls.
        with_behaviour(behaviour: ServiceBehaviour);
        /// Sets the time between two announcements.
        with_announce_interval(announce_interval: time::Duration);
    }
}
