//! The identity of a route. Not for: its rules.

use usher_wire::message;

use crate::rule;

/// Host and path prefix of a route, which no other route of a set has.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RouteKey {
    /// Host in lower case, without a port.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
}

impl RouteKey {
    /// Makes the key of a host, in any case, and a prefix.
    pub fn new(host: &str, prefix: &str) -> Self {
        Self {
            host: host.to_ascii_lowercase(),
            prefix: prefix.to_owned(),
        }
    }

    /// Returns the key of a route.
    pub fn of(rule: &rule::RouteRule) -> Self {
        Self::new(&rule.host, &rule.prefix)
    }

    pub(crate) fn to_message(&self) -> message::RouteKey {
        message::RouteKey {
            host: self.host.clone(),
            prefix: self.prefix.clone(),
        }
    }

    pub(crate) fn from_message(key: &message::RouteKey) -> Self {
        Self::new(&key.host, &key.prefix)
    }
}
