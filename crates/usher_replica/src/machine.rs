//! The replicated state machine as an interface. Not for: its implementation.

/// Tells why a snapshot can't be restored.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("snapshot can't be restored: {0}")]
pub struct RestoreError(pub String);

/// State that is changed only by applying committed commands in log order.
///
/// `apply` must be deterministic: it reads no clock and no randomness.
pub trait StateMachine: Send + Sync + 'static {
    /// Applies a committed command and returns its outcome for the proposer.
    fn apply(&mut self, index: usher_types::LogIndex, command: &[u8]) -> Vec<u8>;

    /// Returns the whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no snapshot of this machine; the state is then unchanged.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}
