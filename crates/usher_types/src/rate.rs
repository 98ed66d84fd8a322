//! Rates per second. Not for: sizes.

use std::{fmt, str, time};

/// The error for a text that isn't a valid rate.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("rate {0:?} is not valid: expected a number, at least 0, optionally followed by /s")]
pub struct ParseRateError(String);

macro_rules! rate_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(f64);

        impl $name {
            /// Creates the rate from a number per second; negative numbers and NaN become 0.
            pub fn per_second(number: f64) -> Self {
                Self(if number > 0.0 { number } else { 0.0 })
            }

            /// Returns the number per second.
            pub const fn get(self) -> f64 {
                self.0
            }

            /// Returns how long `amount` takes at this rate, or `Duration::MAX` if the rate is 0.
            pub fn time_for(self, amount: f64) -> time::Duration {
                time::Duration::try_from_secs_f64(amount.max(0.0) / self.0)
                    .unwrap_or(time::Duration::MAX)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}/s", self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = ParseRateError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let number = text.trim().trim_end_matches("/s").trim();
                match number.parse::<f64>() {
                    Ok(number) if number >= 0.0 && number.is_finite() => Ok(Self(number)),
                    _ => Err(ParseRateError(text.to_owned())),
                }
            }
        }
    };
}

rate_type!(
    /// A number of requests per second.
    RequestRate
);
rate_type!(
    /// A number of tokens per second.
    TokenRate
);
