//! Rate limits for the orders that control gives to engines. Not for: choosing orders.

use std::time;

use crate::settings::reader;

usher_types::value_type! {
    /// Section `orders` of a control process.
    #[derive(Copy)]
    pub struct OrderSettings {
        /// Load orders per second that the weight store can serve.
        pub weight_store_rate: f64,
        /// Burst of load orders that may start at once after a pause.
        pub weight_store_burst: u32,
        /// Maximum number of engines of one service that carry out an order at the same time.
        pub per_service: u32,
        /// Timeout for the answer of an engine.
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
