//! Configured one-way network delays. Not for: measured delays.

use std::{collections, time};

use crate::settings::{reader, value};

/// Largest accepted delay; a larger value is assumed to be a typing error.
const MAX_DELAY: time::Duration = time::Duration::from_secs(2);

type RegionPair = (usher_types::RegionName, usher_types::RegionName);

usher_types::value_type! {
    /// Sections `links` and `region-links`: one-way delays, the initial values of routing
    /// estimates.
    pub struct LinkSettings {
        /// Delay between failure domains of a region.
        pub domain: time::Duration,
        /// Delay between regions that are not in `pairs`.
        pub region: time::Duration,
        /// Delay between two regions; the names of a pair are in sorted order.
        pub pairs: collections::BTreeMap<RegionPair, time::Duration>,
    }
}

impl LinkSettings {
    /// Returns the one-way delay between two regions.
    pub fn between(
        &self,
        one: &usher_types::RegionName,
        other: &usher_types::RegionName,
    ) -> time::Duration {
        if one == other {
            return self.domain;
        }
        let pair = ordered_pair(one.clone(), other.clone());
        self.pairs.get(&pair).copied().unwrap_or(self.region)
    }

    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("links");
        let settings = Self {
            domain: section.with_default("domain", time::Duration::from_micros(1_500)),
            region: section.with_default("region", time::Duration::from_millis(30)),
            pairs: read_pairs(file),
        };
        let delays = [("domain", settings.domain), ("region", settings.region)];
        for (key, delay) in delays {
            section.check(delay <= MAX_DELAY, key, "expected a delay of at most 2s");
        }
        settings
    }
}

fn read_pairs(file: &reader::SettingsReader) -> collections::BTreeMap<RegionPair, time::Duration> {
    const SECTION: &str = "region-links";
    let mut pairs = collections::BTreeMap::new();
    for (key, text) in file.dynamic_section(SECTION) {
        let mut names = key.split_whitespace().map(str::parse);
        let (Some(Ok(one)), Some(Ok(other)), None) = (names.next(), names.next(), names.next())
        else {
            let message = "expected two regions separated by a space as key";
            file.add_error(SECTION, key, Some(text), message);
            continue;
        };
        let delay = <time::Duration as value::SettingValue>::read(text.trim());
        let Some(delay) = delay.filter(|delay| *delay <= MAX_DELAY) else {
            let message = "expected a delay of at most 2s, such as 25ms";
            file.add_error(SECTION, key, Some(text), message);
            continue;
        };
        if one == other {
            let message = "expected two different regions: [links] domain is the delay inside one";
            file.add_error(SECTION, key, Some(text), message);
        } else if pairs.insert(ordered_pair(one, other), delay).is_some() {
            file.add_error(
                SECTION,
                key,
                Some(text),
                "the pair occurs twice: keep one direction",
            );
        }
    }
    pairs
}

fn ordered_pair(one: usher_types::RegionName, other: usher_types::RegionName) -> RegionPair {
    if one <= other {
        (one, other)
    } else {
        (other, one)
    }
}
