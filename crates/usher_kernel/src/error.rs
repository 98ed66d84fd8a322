//! Errors of wiring a daemon. Not for: errors while it runs.

/// Tells why a service can't be found or registered.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KernelError {
    /// No service has the name.
    #[error("service {0:?} is not registered")]
    Missing(&'static str),
    /// The service has another type than the caller expects.
    #[error("service {0:?} has another type than expected")]
    WrongType(&'static str),
    /// The name is taken.
    #[error("service {0:?} is registered already")]
    Duplicate(&'static str),
}
