//! Limits of an entry. Not for: shares of capacity, which control leases.

use std::time;

use crate::settings::{reader, value};

/// The largest body that an entry takes.
const MAX_BODY: u64 = 8 << 20;
/// The largest share of calls that may be retries and hedges.
const MAX_RETRY_SHARE: f64 = 0.10;

usher_types::value_type! {
    /// Section `limits` of an entry.
    pub struct LimitSettings {
        /// Largest request body.
        pub body: usher_types::ByteSize,
        /// Most requests that one entry serves at a time.
        pub running: u32,
        /// Deadline of a request that carries none.
        pub deadline: time::Duration,
        /// Retries and hedges as a share of calls.
        pub retries: value::ShareValue,
        /// Most time that running streams get after SIGTERM.
        pub drain: time::Duration,
    }
}

impl LimitSettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("limits");
        let settings = Self {
            body: section.or("body", usher_types::ByteSize::new(MAX_BODY)),
            running: section.or("running", 4_096),
            deadline: section.or("deadline", time::Duration::from_secs(120)),
            retries: section.or("retries", value::ShareValue::new(MAX_RETRY_SHARE)),
            drain: section.or("drain", time::Duration::from_secs(600)),
        };
        let body = 1024..=MAX_BODY;
        section.check(
            body.contains(&settings.body.get()),
            "body",
            "expected a size from 1 KiB to 8 MiB",
        );
        section.check(
            settings.retries.get() <= MAX_RETRY_SHARE,
            "retries",
            "expected at most 10%: more retries would add load to targets that already fail",
        );
        let shortest = time::Duration::from_secs(1);
        let longest = time::Duration::from_secs(24 * 3600);
        for (key, duration) in [("deadline", settings.deadline), ("drain", settings.drain)] {
            section.check(
                (shortest..=longest).contains(&duration),
                key,
                "expected a duration from 1s to 24h",
            );
        }
        settings
    }
}
