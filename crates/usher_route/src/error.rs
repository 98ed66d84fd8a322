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
    /// Two teams have the same key, so that a call has no single team.
    #[error("teams {first} and {second} share a key")]
    SharedKey {
        /// Name of one team.
        first: usher_types::TeamName,
        /// Name of the other team.
        second: usher_types::TeamName,
    },
}

/// An error in the message of a route or team.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The kind is not known to this version of the program.
    #[error("route {route}: unknown kind {kind}")]
    Kind {
        /// Name of the route.
        route: String,
        /// Number of the kind.
        kind: i32,
    },
    /// The priority doesn't fit.
    #[error("route {route}: priority {priority} is above 255")]
    Priority {
        /// Name of the route.
        route: String,
        /// The priority.
        priority: u32,
    },
    /// The digest of a key has the wrong length.
    #[error("team {team}: the digest of a key has the wrong length")]
    KeyDigest {
        /// Name of the team.
        team: usher_types::TeamName,
    },
    /// The rank doesn't fit.
    #[error("team {team}: the rank is above 255")]
    Rank {
        /// Name of the team.
        team: usher_types::TeamName,
    },
}

/// The reason for which a transfer of changes can't be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TransferError {
    /// A record is invalid.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// A part arrived without the parts before it.
    #[error("part {change} doesn't follow the parts received before")]
    Gap {
        /// Number of the last change of the part.
        change: u64,
    },
    /// The changes apply to a version that isn't in force here.
    #[error("the changes apply to version {base}, but version {held} is in force")]
    Base {
        /// Version to which the changes apply.
        base: usher_types::ConfigVersion,
        /// Version in force.
        held: usher_types::ConfigVersion,
    },
    /// The resulting set isn't the one that the sender holds.
    #[error("the digest of the routes is {computed:x}, expected {expected:x}")]
    Digest {
        /// Digest of the resulting set.
        computed: u64,
        /// Digest that the sender states.
        expected: u64,
    },
}
