//! Errors of the core's inputs. Not for: faults of peers, which the protocol handles.

use crate::identity;

/// Tells that this node doesn't lead.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("this node is not the leader")]
pub struct NotLeaderError;

/// Tells why a membership change is refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// This node doesn't lead.
    #[error("this node is not the leader")]
    NotLeader,
    /// The previous change, or the first entry of this leader's term, isn't committed yet.
    #[error("an earlier membership change is not committed yet")]
    ChangePending,
    /// The node is already a member.
    #[error("{0} is already a member")]
    AlreadyMember(identity::NodeId),
    /// The node isn't a member that the change can apply to.
    #[error("{0} is not a member of the needed kind")]
    NotMember(identity::NodeId),
    /// The learner hasn't durably acknowledged what is committed.
    #[error("learner {node} acknowledged index {acknowledged}, expected at least {expected}")]
    LearnerBehind {
        /// The learner.
        node: identity::NodeId,
        /// Highest index that it acknowledged.
        acknowledged: u64,
        /// The leader's commit index.
        expected: u64,
    },
    /// The group would be left without a voter.
    #[error("the last voter can't be removed")]
    LastVoter,
}
