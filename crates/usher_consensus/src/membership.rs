//! Members of the group and single-server changes to them. Not for: when to change them.

use std::collections;

use prost::Message as _;
use usher_wire::message;

use crate::{error, identity};

/// A single-server membership change.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipChange {
    /// Adds a learner, which replicates the log without voting.
    AddLearner(message::Member),
    /// Turns a learner into a voter.
    Promote(identity::NodeId),
    /// Removes a voter or learner.
    Remove(identity::NodeId),
}

/// The voters and learners of the group, by identity.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberTable {
    members: collections::BTreeMap<identity::NodeId, message::Member>,
}

impl MemberTable {
    /// Creates a table from members.
    pub fn new(members: impl IntoIterator<Item = message::Member>) -> Self {
        let members = members
            .into_iter()
            .map(|member| (identity_of(&member), member))
            .collect();
        Self { members }
    }

    /// Decodes a table from its protobuf message.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid `Membership` message.
    pub fn decode(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        Ok(Self::new(message::Membership::decode(bytes)?.members))
    }

    /// Encodes the table as a protobuf message.
    pub fn encode(&self) -> Vec<u8> {
        self.to_message().encode_to_vec()
    }

    /// Converts to the wire message.
    pub fn to_message(&self) -> message::Membership {
        message::Membership {
            members: self.members.values().cloned().collect(),
        }
    }

    /// Returns the member with this identity.
    pub fn get(&self, node: &identity::NodeId) -> Option<&message::Member> {
        self.members.get(node)
    }

    /// Returns whether the node is a voter.
    pub fn is_voter(&self, node: &identity::NodeId) -> bool {
        self.get(node).is_some_and(|member| member.voter)
    }

    /// Returns whether the table has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Iterates over all members, ordered by identity.
    pub fn iter(&self) -> impl Iterator<Item = (&identity::NodeId, &message::Member)> {
        self.members.iter()
    }

    /// Iterates over the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = &identity::NodeId> {
        self.iter()
            .filter(|(_, member)| member.voter)
            .map(|(node, _)| node)
    }

    /// Returns the quorum size: a majority of the voters.
    ///
    /// ```
    /// use usher_consensus::MemberTable;
    /// use usher_wire::message::Member;
    /// let voter = Member { voter: true, ..Default::default() };
    /// assert_eq!(MemberTable::new([voter]).quorum(), 1);
    /// ```
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the highest value that a quorum of voters has reached.
    pub fn quorum_value<F>(&self, value: F) -> u64
    where
        F: FnMut(&identity::NodeId) -> u64,
    {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Returns the table with one change applied.
    ///
    /// # Errors
    ///
    /// Fails when the change does not apply to the current members.
    pub fn with_change(&self, change: &MembershipChange) -> Result<Self, error::ChangeError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(member) => {
                let node = identity_of(member);
                if self.members.contains_key(&node) {
                    return Err(error::ChangeError::AlreadyMember(node));
                }
                let mut member = member.clone();
                member.voter = false;
                next.members.insert(node, member);
            }
            MembershipChange::Promote(node) => match next.members.get_mut(node) {
                Some(member) if !member.voter => member.voter = true,
                _ => return Err(error::ChangeError::NotMember(node.clone())),
            },
            MembershipChange::Remove(node) => {
                if next.members.remove(node).is_none() {
                    return Err(error::ChangeError::NotMember(node.clone()));
                }
                if next.voters().next().is_none() {
                    return Err(error::ChangeError::LastVoter);
                }
            }
        }
        Ok(next)
    }
}

/// Returns the identity of a member.
pub(crate) fn identity_of(member: &message::Member) -> identity::NodeId {
    identity::NodeId::from_message(member.identity.as_ref())
}
