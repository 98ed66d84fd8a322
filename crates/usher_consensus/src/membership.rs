//! Members of the group and single changes to them. Not for: when to change them.

use std::collections;

use prost::Message as _;
use usher_wire::message;

use crate::{error, identity};

/// One step of a membership change.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipChange {
    /// Adds a node that takes entries without a vote.
    AddLearner(message::Member),
    /// Turns a learner into a voter.
    Promote(identity::NodeId),
    /// Removes a voter or learner.
    Remove(identity::NodeId),
}

/// The members of the group, by identity.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberTable {
    members: collections::BTreeMap<identity::NodeId, message::Member>,
}

impl MemberTable {
    /// Makes a table from members.
    pub fn new(members: impl IntoIterator<Item = message::Member>) -> Self {
        let members = members
            .into_iter()
            .map(|member| (identity_of(&member), member))
            .collect();
        Self { members }
    }

    /// Reads a table from its encoded message.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no membership.
    pub fn decode(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        Ok(Self::new(message::Membership::decode(bytes)?.members))
    }

    /// Returns the table as an encoded message.
    pub fn encode(&self) -> Vec<u8> {
        self.to_message().encode_to_vec()
    }

    /// Returns the table as a message.
    pub fn to_message(&self) -> message::Membership {
        message::Membership {
            members: self.members.values().cloned().collect(),
        }
    }

    /// Returns a member.
    pub fn get(&self, node: &identity::NodeId) -> Option<&message::Member> {
        self.members.get(node)
    }

    /// Returns whether the node is a voter.
    pub fn is_voter(&self, node: &identity::NodeId) -> bool {
        self.get(node).is_some_and(|member| member.voter)
    }

    /// Returns whether the group has no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns all members by identity.
    pub fn iter(&self) -> impl Iterator<Item = (&identity::NodeId, &message::Member)> {
        self.members.iter()
    }

    /// Returns the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = &identity::NodeId> {
        self.iter()
            .filter(|(_, member)| member.voter)
            .map(|(node, _)| node)
    }

    /// Returns how many voters decide.
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

    /// Returns the highest value that a quorum of voters reached.
    pub fn quorum_value<F>(&self, value: F) -> u64
    where
        F: FnMut(&identity::NodeId) -> u64,
    {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Returns the table after one change.
    ///
    /// # Errors
    ///
    /// Fails when the change doesn't fit the members.
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
