//! Errors that occur while a daemon wires its services. Not for: errors while it runs.

/// The reason why a service can't be found or registered.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KernelError {
    /// No service has the name.
    #[error("service {0:?} is not registered")]
    Missing(&'static str),
    /// The service has a different type than the caller requests.
    #[error("service {0:?} has a different type than requested")]
    WrongType(&'static str),
    /// A service with this name is already registered.
    #[error("service {0:?} is already registered")]
    Duplicate(&'static str),
}
