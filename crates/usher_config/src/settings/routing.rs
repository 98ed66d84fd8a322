//! Initial values of routing estimates. Not for: values learned from targets.

use std::time;

use crate::settings::reader;

usher_types::value_type! {
    /// Section `routing` of an entry.
    #[derive(Copy)]
    pub struct RoutingSettings {
        /// Prefill rate assumed for an engine without observations.
        pub prefill_rate: usher_types::TokenRate,
        /// Time per output token assumed for a single call on an engine without observations.
        pub token_time: time::Duration,
        /// Time to load an adapter that is not resident.
        pub adapter_load: time::Duration,
        /// Maximum number of calls that run on one engine at the same time.
        pub batch: u32,
        /// Cost of sending one megabyte to another region, as an equivalent delay.
        pub megabyte_cost: time::Duration,
    }
}

impl RoutingSettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("routing");
        let rate = usher_types::TokenRate::per_second(8_000.0);
        let settings = Self {
            prefill_rate: section.with_default("prefill-rate", rate),
            token_time: section.with_default("token-time", time::Duration::from_millis(15)),
            adapter_load: section.with_default("adapter-load", time::Duration::from_millis(1_500)),
            batch: section.with_default("batch", 64),
            megabyte_cost: section.with_default("megabyte-cost", time::Duration::from_millis(200)),
        };
        let shortest = time::Duration::from_micros(1);
        let longest = time::Duration::from_secs(60);
        section.check(
            (shortest..=longest).contains(&settings.token_time),
            "token-time",
            "expected a duration from 1us to 60s",
        );
        for (key, duration) in [
            ("adapter-load", settings.adapter_load),
            ("megabyte-cost", settings.megabyte_cost),
        ] {
            section.check(
                duration <= longest,
                key,
                "expected a duration of at most 60s",
            );
        }
        settings
    }
}
