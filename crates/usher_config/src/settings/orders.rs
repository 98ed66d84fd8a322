//! How fast control gives orders to engines. Not for: which orders.

use std::time;

use crate::settings::reader;

usher_types::value_type! {
    /// Section `orders` of a control process.
    #[derive(Copy)]
    pub struct OrderSettings {
        /// Load orders per second that the weight store bears.
        pub weight_store_rate: f64,
        /// Load orders that may start at once after a pause.
        pub weight_store_burst: u32,
        /// Engines of one service that may be under order at once.
        pub per_service: u32,
        /// How long an engine may take to answer.
        pub engine_timeout: time::Duration,
    }
}

impl OrderSettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("orders");
        let settings = Self {
            weight_store_rate: section.with_default("weight-store-rate", 0.5),
            weight_store_burst: section.with_default("weight-store-burst", 2),
            per_service: section.with_default("per-service", 1),
            engine_timeout: section.with_default("engine-timeout", time::Duration::from_secs(2)),
        };
        let range = time::Duration::from_millis(100)..=time::Duration::from_secs(60);
        section.check(
            range.contains(&settings.engine_timeout),
            "engine-timeout",
            "expected a duration from 100ms to 60s",
        );
        settings
    }
}
