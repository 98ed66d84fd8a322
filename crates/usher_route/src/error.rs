//! Errors in a set of routes. Not for: calls that no route matches.

/// An error in a set of routes.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RouteError {
    /// A route refers to a service that the set doesn't declare.
    #[error("route {route}: service {service} is not declared")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: usher_types::ServiceName,
    },
    /// Two routes match the same calls.
    #[error("routes {first} and {second} have the same host {host} and prefix {prefix}")]
    DuplicateMatch {
        /// Name of one route.
        first: String,
        /// Name of the other route.
        second: String,
        /// Host of both.
        host: String,
        /// Path prefix of both.
        prefix: String,
    },
    /// All services of the route have the weight 0.
    #[error("route {route}: the weights of its services add up to 0, expected more than 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout is 0, so that every call of the route would be late.
    #[error("route {route}: the timeout is 0, expected more than 0")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// The prefix doesn't begin and end with a slash.
    #[error("route {route}: prefix {prefix:?} must begin and end with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
    },
}
