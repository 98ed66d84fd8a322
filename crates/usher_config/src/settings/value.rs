//! Types of setting values and how they are parsed. Not for: rules between values.

use std::{fmt, net, path, time};

use crate::settings::outside;

/// A type that can be parsed from the text of a setting.
pub(crate) trait SettingValue: Sized {
    /// Description of the accepted values, for error messages.
    const ACCEPTED: &'static str;

    /// Parses the value; returns `None` if the text is invalid.
    fn read(text: &str) -> Option<Self>;

    /// Returns a substitute for a missing or invalid value, so that reading can continue. Settings
    /// with a substitute are never returned to the user.
    fn placeholder() -> Self;
}

usher_types::value_type! {
    /// A fraction from 0 to 1, written as a percentage.
    #[derive(Copy, Default, PartialOrd)]
    pub struct ShareValue(f64);
}

impl ShareValue {
    /// Creates a share from a number, clamped to the range from 0 to 1.
    pub fn new(number: f64) -> Self {
        Self(number.clamp(0.0, 1.0))
    }

    /// Returns the share as a number from 0 to 1.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for ShareValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Rounds to more digits than planners write; hides the rounding error of 99.9 / 100 * 100.
        let percent = (self.0 * 1e8).round() / 1e6;
        write!(f, "{percent}%")
    }
}

usher_types::value_type! {
    /// Output format of a daemon's log.
    #[derive(Default)]
    pub enum LogFormat {
        /// One line of text per event.
        #[default]
        Human,
        /// One JSON object per event.
        Json,
    }
}

usher_types::value_type! {
    /// Whether a control VM is a voter or a spare when the installation starts.
    #[derive(Default)]
    pub enum ControlPart {
        /// Votes from the start.
        #[default]
        Voter,
        /// Replicates the log as a non-voting learner and replaces a lost voter.
        Spare,
    }
}

/// Implements `SettingValue` for an enum with one keyword per variant.
macro_rules! keyword_value {
    ($name:ident, $accepted:literal, $($word:literal => $variant:ident),+) => {
        impl SettingValue for $name {
            const ACCEPTED: &'static str = $accepted;

            fn read(text: &str) -> Option<Self> {
                match text {
                    $($word => Some(Self::$variant),)+
                    _ => None,
                }
            }

            fn placeholder() -> Self {
                Self::default()
            }
        }
    };
}

keyword_value!(LogFormat, "expected human or json", "human" => Human, "json" => Json);
keyword_value!(ControlPart, "expected voter or spare", "voter" => Voter, "spare" => Spare);

/// Implements `SettingValue` for types that implement `FromStr`.
macro_rules! parsed_value {
    ($accepted:literal: $($name:ty),+) => {
        $(impl SettingValue for $name {
            const ACCEPTED: &'static str = $accepted;

            fn read(text: &str) -> Option<Self> {
                text.parse().ok()
            }

            fn placeholder() -> Self {
                Self::default()
            }
        })+
    };
}

parsed_value!("expected 1 to 200 printable characters without spaces":
    usher_types::NodeName, usher_types::RegionName, usher_types::DomainName,
    usher_types::FirmName, usher_types::TeamName, usher_types::TargetName,
    usher_types::ServiceName, usher_types::ModelName, usher_types::VersionName,
    usher_types::AdapterName);
parsed_value!("expected mixed, prefill or decode": usher_types::EngineRole);
parsed_value!("expected true or false": bool);

impl SettingValue for u32 {
    const ACCEPTED: &'static str = "expected a whole number from 1 to 1000000";

    fn read(text: &str) -> Option<Self> {
        text.parse()
            .ok()
            .filter(|number| (1..=1_000_000).contains(number))
    }

    fn placeholder() -> Self {
        1
    }
}

impl SettingValue for f64 {
    const ACCEPTED: &'static str = "expected a number above 0, at most 1000000";

    fn read(text: &str) -> Option<Self> {
        text.parse()
            .ok()
            .filter(|number| *number > 0.0 && *number <= 1e6)
    }

    fn placeholder() -> Self {
        1.0
    }
}

impl SettingValue for usher_types::TokenRate {
    const ACCEPTED: &'static str = "expected tokens per second, a number above 0 such as 8000/s";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().filter(|rate: &Self| rate.get() > 0.0)
    }

    fn placeholder() -> Self {
        Self::default()
    }
}

impl SettingValue for String {
    const ACCEPTED: &'static str = "expected 1 to 200 printable characters without spaces";

    fn read(text: &str) -> Option<Self> {
        let printable = text.chars().all(|c| c.is_ascii_graphic());
        (printable && (1..=200).contains(&text.len())).then(|| text.to_owned())
    }

    fn placeholder() -> Self {
        Self::new()
    }
}

impl SettingValue for net::SocketAddr {
    const ACCEPTED: &'static str =
        "expected IP:PORT with a port above 0, such as 10.0.0.5:8080 (names are not looked up)";

    fn read(text: &str) -> Option<Self> {
        text.parse()
            .ok()
            .filter(|address: &Self| address.port() > 0)
    }

    fn placeholder() -> Self {
        Self::from(([0, 0, 0, 0], 0))
    }
}

impl SettingValue for path::PathBuf {
    const ACCEPTED: &'static str = "expected the path of a folder";

    fn read(text: &str) -> Option<Self> {
        (!text.is_empty() && !text.contains('\0')).then(|| Self::from(text))
    }

    fn placeholder() -> Self {
        Self::new()
    }
}

impl SettingValue for time::Duration {
    const ACCEPTED: &'static str = "expected a duration such as 1500us, 30ms, 5s or 2m 30s";

    fn read(text: &str) -> Option<Self> {
        humantime::parse_duration(text).ok()
    }

    fn placeholder() -> Self {
        Self::ZERO
    }
}

impl SettingValue for ShareValue {
    const ACCEPTED: &'static str = "expected a percentage from 0% to 100%, such as 99.9%";

    fn read(text: &str) -> Option<Self> {
        let number: f64 = text.strip_suffix('%')?.trim().parse().ok()?;
        (0.0..=100.0)
            .contains(&number)
            .then(|| Self(number / 100.0))
    }

    fn placeholder() -> Self {
        Self(1.0)
    }
}

impl SettingValue for usher_types::ByteSize {
    const ACCEPTED: &'static str = "expected a size such as 64 KiB or 8 MiB";

    fn read(text: &str) -> Option<Self> {
        let units = [("KiB", 10), ("MiB", 20), ("GiB", 30), ("B", 0)];
        let (number, shift) = units
            .iter()
            .find_map(|(unit, shift)| text.strip_suffix(unit).map(|number| (number, *shift)))?;
        let number: u64 = number.trim().parse().ok()?;
        number.checked_mul(1 << shift).map(Self::new)
    }

    fn placeholder() -> Self {
        Self::default()
    }
}

/// A port above 0.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PortNumber(pub(crate) u16);

impl SettingValue for PortNumber {
    const ACCEPTED: &'static str = "expected a port from 1 to 65535";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().filter(|port| *port > 0).map(Self)
    }

    fn placeholder() -> Self {
        Self(1)
    }
}

/// Number of VMs that may be lost at the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LossCount(pub(crate) usize);

impl SettingValue for LossCount {
    const ACCEPTED: &'static str = "expected a whole number from 0 to 5";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().filter(|count| *count <= 5).map(Self)
    }

    fn placeholder() -> Self {
        Self(0)
    }
}

/// Addresses separated by commas.
#[derive(Clone, Debug)]
pub(crate) struct AddressList(pub(crate) Vec<net::SocketAddr>);

impl SettingValue for AddressList {
    const ACCEPTED: &'static str = "expected IP:PORT, several joined by commas";

    fn read(text: &str) -> Option<Self> {
        let parts = text.split(',').map(str::trim);
        let addresses: Option<Vec<_>> = parts.map(|part| part.parse().ok()).collect();
        addresses.filter(|list| !list.is_empty()).map(Self)
    }

    fn placeholder() -> Self {
        Self(Vec::new())
    }
}

/// Duties separated by commas; words of later versions are ignored.
#[derive(Clone, Debug, Default)]
pub(crate) struct DutyList(pub(crate) Vec<outside::DutyKind>);

impl SettingValue for DutyList {
    const ACCEPTED: &'static str = "expected usage, autoscale or both joined by a comma";

    fn read(text: &str) -> Option<Self> {
        let words = text.split(',').map(str::trim);
        let duties = words.filter_map(|word| match word {
            "usage" => Some(outside::DutyKind::Usage),
            "autoscale" => Some(outside::DutyKind::Autoscale),
            _ => None,
        });
        Some(Self(duties.collect()))
    }

    fn placeholder() -> Self {
        Self::default()
    }
}
