//! Errors returned by the inputs of the consensus core. Not for: faults of peers, which the
//! protocol handles.

use crate::identity;

/// The operation needs the leader, and this node is not the leader.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("this node is not the leader")]
pub struct NotLeaderError;

/// Reason why a membership change is rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// This node is not the leader.
    #[error("this node is not the leader")]
    NotLeader,
    /// The previous change, or the first entry of this leader's term, is not committed yet.
    #[error("an earlier membership change or the first entry of the term is not committed yet")]
    ChangePending,
    /// The node is already a member.
    #[error("{0} is already a member")]
    AlreadyMember(identity::NodeId),
    /// The node is not a member, or has the wrong kind of membership for the change.
    #[error("{0} is not a member that this change applies to")]
    NotMember(identity::NodeId),
    /// The learner has not durably acknowledged all committed entries.
    #[error("learner {node} acknowledged index {acknowledged}, expected at least {expected}")]
    LearnerBehind {
        /// The learner.
        node: identity::NodeId,
        /// Highest index that it acknowledged.
        acknowledged: u64,
        /// Commit index of the leader when the promotion was first requested.
        expected: u64,
    },
    /// The change would leave the group without a voter.
    #[error("the last voter cannot be removed")]
    LastVoter,
}
