//! Settings of simulated targets, for tests and the demo. Not for: real targets.

use std::{net, time};

use crate::settings::{reader, value};

usher_types::value_type! {
    /// Section `engine` of a simulated engine.
    pub struct FakeEngineSettings {
        /// Loaded model.
        pub model: usher_types::ModelName,
        /// Version of the model.
        pub version: usher_types::VersionName,
        /// Loaded adapters.
        pub adapters: Vec<usher_types::AdapterName>,
        /// Role after the start.
        pub role: usher_types::EngineRole,
        /// KV cache memory in pieces of 1,024 tokens.
        pub kv_pieces: u32,
        /// Whether orders with an old fencing number are refused.
        pub fenced: bool,
        /// Prompt tokens processed per second.
        pub prefill_rate: usher_types::TokenRate,
        /// Duration of one decode step.
        pub decode_step: time::Duration,
        /// Age of its load reports.
        pub load_lag: time::Duration,
        /// Delay of its cache events.
        pub event_lag: time::Duration,
        /// Duration of a role change.
        pub role_time: time::Duration,
        /// Duration of loading a model or adapter.
        pub load_time: time::Duration,
    }
}

usher_types::value_type! {
    /// Settings of a simulated target.
    pub struct FakeSettings {
        /// Announced name.
        pub name: usher_types::TargetName,
        /// Service that it belongs to.
        pub service: usher_types::ServiceName,
        /// Announced region.
        pub region: usher_types::RegionName,
        /// Announced failure domain.
        pub domain: usher_types::DomainName,
        /// Listen address.
        pub listen: net::SocketAddr,
        /// Addresses of the entries that receive its announcements.
        pub entries: Vec<net::SocketAddr>,
        /// Engine settings; `None` for a plain service.
        pub engine: Option<FakeEngineSettings>,
    }
}

impl FakeSettings {
    pub(crate) fn read(file: &reader::SettingsReader, engine: bool) -> Self {
        let section = file.section("target");
        Self {
            name: section.required("name"),
            service: section.required("service"),
            region: section.required("region"),
            domain: section.required("domain"),
            listen: section.required("listen"),
            entries: section.required::<AddressList>("entries").0,
            engine: engine.then(|| FakeEngineSettings::read(file)),
        }
    }
}

impl FakeEngineSettings {
    fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("engine");
        let rate = usher_types::TokenRate::per_second(8_000.0);
        Self {
            model: section.required("model"),
            version: section.required("version"),
            adapters: section.with_default("adapters", AdapterList(Vec::new())).0,
            role: section.with_default("role", usher_types::EngineRole::Mixed),
            kv_pieces: section.with_default("kv-pieces", 512),
            fenced: section.with_default("fenced", true),
            prefill_rate: section.with_default("prefill-rate", rate),
            decode_step: section.with_default("decode-step", time::Duration::from_millis(20)),
            load_lag: section.with_default("load-lag", time::Duration::from_millis(500)),
            event_lag: section.with_default("event-lag", time::Duration::from_millis(500)),
            role_time: section.with_default("role-time", time::Duration::from_secs(4)),
            load_time: section.with_default("load-time", time::Duration::from_secs(10)),
        }
    }
}

/// Addresses separated by spaces.
struct AddressList(Vec<net::SocketAddr>);

impl value::SettingValue for AddressList {
    const ACCEPTED: &'static str = "expected addresses IP:PORT separated by spaces";

    fn read(text: &str) -> Option<Self> {
        let addresses: Option<Vec<_>> = text
            .split_whitespace()
            .map(value::SettingValue::read)
            .collect();
        addresses.filter(|list| !list.is_empty()).map(Self)
    }

    fn placeholder() -> Self {
        Self(Vec::new())
    }
}

/// Adapter names separated by spaces.
struct AdapterList(Vec<usher_types::AdapterName>);

impl value::SettingValue for AdapterList {
    const ACCEPTED: &'static str = "expected adapter names separated by spaces";

    fn read(text: &str) -> Option<Self> {
        let names: Option<Vec<_>> = text
            .split_whitespace()
            .map(|name| name.parse().ok())
            .collect();
        names.map(Self)
    }

    fn placeholder() -> Self {
        Self(Vec::new())
    }
}
