//! Service level objectives. Not for: measuring how far they are met.

use std::time;

use crate::settings::{reader, value};

/// Strictest objective; a stricter one leaves an error budget of a single request.
const MAX_OBJECTIVE: f64 = 0.99999;

usher_types::value_type! {
    /// Section `objectives`: service level objectives as shares of requests.
    #[derive(Copy)]
    pub struct ObjectiveSettings {
        /// Share of requests that are accepted and answered completely.
        pub availability: value::ShareValue,
        /// Share of answers whose first token arrives within `first_token`.
        pub first_token_share: value::ShareValue,
        /// Largest time to first token that meets the objective.
        pub first_token: time::Duration,
        /// Share of requests that are answered completely and within their deadline.
        pub in_time: value::ShareValue,
        /// Time window of the error budget.
        pub window: time::Duration,
    }
}

impl Default for ObjectiveSettings {
    fn default() -> Self {
        Self {
            availability: value::ShareValue::new(0.999),
            first_token_share: value::ShareValue::new(0.95),
            first_token: time::Duration::from_millis(510),
            in_time: value::ShareValue::new(0.99),
            window: time::Duration::from_secs(30 * 24 * 3600),
        }
    }
}

impl ObjectiveSettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("objectives");
        let defaults = Self::default();
        let settings = Self {
            availability: section.with_default("availability", defaults.availability),
            first_token_share: section
                .with_default("first-token-share", defaults.first_token_share),
            first_token: section.with_default("first-token", defaults.first_token),
            in_time: section.with_default("in-time", defaults.in_time),
            window: section.with_default("window", defaults.window),
        };
        let shares = [
            ("availability", settings.availability),
            ("first-token-share", settings.first_token_share),
            ("in-time", settings.in_time),
        ];
        for (key, share) in shares {
            section.check(
                (0.5..=MAX_OBJECTIVE).contains(&share.get()),
                key,
                "expected a percentage from 50% to 99.999%",
            );
        }
        let day = time::Duration::from_secs(24 * 3600);
        section.check(
            (3 * day..=90 * day).contains(&settings.window),
            "window",
            "expected a duration from 3days to 90days: the longest alert looks back 3 days",
        );
        let (shortest, longest) = (
            time::Duration::from_millis(1),
            time::Duration::from_secs(60),
        );
        section.check(
            (shortest..=longest).contains(&settings.first_token),
            "first-token",
            "expected a duration from 1ms to 60s",
        );
        settings
    }
}
