//! Settings of log and metrics output. Not for: writing logs or metrics.

use std::{net, time};

use crate::settings::{reader, value};

/// Log levels, from least to most verbose.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

usher_types::value_type! {
    /// Section `log`.
    pub struct LogSettings {
        /// Output format.
        pub format: value::LogFormat,
        /// Most verbose level that is written.
        pub level: String,
    }
}

impl LogSettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("log");
        let settings = Self {
            format: section.with_default("format", value::LogFormat::Human),
            level: section.with_default("level", "info".to_owned()),
        };
        section.check(
            LOG_LEVELS.contains(&settings.level.as_str()),
            "level",
            "expected error, warn, info, debug or trace",
        );
        settings
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: value::LogFormat::Human,
            level: "info".to_owned(),
        }
    }
}

usher_types::value_type! {
    /// Section `metrics`.
    #[derive(Copy)]
    pub struct MetricSettings {
        /// Address that receives metrics in the StatsD format over UDP; `None` sends no metrics.
        pub statsd: Option<net::SocketAddr>,
        /// Interval between reports of gauges.
        pub interval: time::Duration,
    }
}

impl MetricSettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("metrics");
        let settings = Self {
            statsd: section.optional("statsd"),
            interval: section.with_default("interval", time::Duration::from_secs(10)),
        };
        let range = time::Duration::from_secs(1)..=time::Duration::from_secs(3600);
        section.check(
            range.contains(&settings.interval),
            "interval",
            "expected a duration from 1s to 1h",
        );
        settings
    }
}
