//! Request limits and timeouts of an entry. Not for: capacity shares, which are leased by the
//! control group.

use std::time;

use crate::settings::reader;

/// Largest request body that an entry accepts.
const MAX_BODY_BYTES: u64 = 8 << 20;

usher_types::value_type! {
    /// Section `limits` of an entry.
    #[derive(Copy)]
    pub struct LimitSettings {
        /// Largest request body.
        pub body: usher_types::ByteSize,
        /// How late the first token may arrive before the attempt counts as failed.
        pub first_token: time::Duration,
        /// How long a stream may make no progress before it is resumed elsewhere.
        pub stall: time::Duration,
        /// Time limit of a plain call without a deadline.
        pub plain: time::Duration,
        /// How long a caller may make no progress before its connection is closed.
        pub caller: time::Duration,
        /// Maximum time that running requests get to finish after SIGTERM.
        pub drain: time::Duration,
    }
}

impl LimitSettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("limits");
        let settings = Self {
            body: section.with_default("body", usher_types::ByteSize::new(MAX_BODY_BYTES)),
            first_token: section.with_default("first-token", time::Duration::from_secs(10)),
            stall: section.with_default("stall", time::Duration::from_secs(4)),
            plain: section.with_default("plain", time::Duration::from_secs(60)),
            caller: section.with_default("caller", time::Duration::from_secs(30)),
            drain: section.with_default("drain", time::Duration::from_secs(600)),
        };
        section.check(
            (1024..=MAX_BODY_BYTES).contains(&settings.body.get()),
            "body",
            "expected a size from 1 KiB to 8 MiB",
        );
        let durations = [
            ("first-token", settings.first_token),
            ("stall", settings.stall),
            ("plain", settings.plain),
            ("caller", settings.caller),
            ("drain", settings.drain),
        ];
        let range = time::Duration::from_secs(1)..=time::Duration::from_secs(24 * 3600);
        for (key, duration) in durations {
            section.check(
                range.contains(&duration),
                key,
                "expected a duration from 1s to 24h",
            );
        }
        settings
    }
}
