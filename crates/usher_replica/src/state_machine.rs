//! Interface of the replicated state machine. Not for: its implementation.

/// Reason why a snapshot cannot be restored.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("snapshot cannot be restored: {0}")]
pub struct RestoreError(pub String);

/// A state machine that changes only by applying committed commands in log order.
///
/// `apply` must be deterministic: it must not read clocks or random numbers.
pub trait StateMachine: Send + Sync + 'static {
    /// Applies a committed command and returns its outcome for the proposer.
    fn apply(&mut self, index: usher_types::LogIndex, command: &[u8]) -> Vec<u8>;

    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the complete state with that of a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a snapshot of this state machine; the state is then unchanged.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}
