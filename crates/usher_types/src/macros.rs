//! Macros for common derives, test case tables, invariants and newtypes. Not for: logic.

/// Derives the standard set of traits for a plain value type.
///
/// ```
/// usher_types::value_type! {
///     /// A pair of ports.
///     pub struct PortPair {
///         /// Where callers connect.
///         pub caller: u16,
///     }
/// }
/// let pair = PortPair { caller: 80 };
/// assert_eq!(pair.clone(), pair);
/// ```
#[macro_export]
macro_rules! value_type {
    ($(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq)]
        $vis struct $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        $vis enum $($rest)*
    };
}

/// Generates one named test per row of a table; all rows run the same check.
///
/// ```
/// fn check(input: u32, expected: u32) {
///     assert_eq!(input * 2, expected);
/// }
/// usher_types::cases! { check:
///     doubles_zero(0, 0);
///     doubles_one(1, 2);
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:ident: $($(#[$meta:meta])* $name:ident($($arg:expr),* $(,)?);)+) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $check($($arg),*);
            }
        )+
    };
}

/// Checks an invariant in every build; a violation is counted and logged, but doesn't panic.
///
/// Evaluates to whether the condition holds, so that the caller can refuse to proceed.
///
/// ```
/// let held = usher_types::invariant!("doc.example", 1 + 1 == 2, "sum is {}", 2);
/// assert!(held);
/// ```
#[macro_export]
macro_rules! invariant {
    ($name:literal, $condition:expr, $($message:tt)+) => {{
        let held: bool = $condition;
        if !held {
            $crate::record_violation($name, &format!($($message)+));
        }
        held
    }};
}

/// Declares a text identifier with `Display`, `FromStr` and serde support.
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident, $what:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
            serde::Deserialize, serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates the identifier from text that is already known to be valid.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_text($what, text)?;
                Ok(Self(text.to_owned()))
            }
        }
    };
}

/// Declares a number newtype with `Display` and `FromStr`.
macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident, $inner:ty, $error:ty) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
            serde::Deserialize, serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Creates the value from a number.
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.trim()
                    .parse()
                    .map(Self)
                    .map_err(|_| <$error>::new(stringify!($name), text))
            }
        }
    };
}

pub(crate) use number_type;
pub(crate) use text_id;
