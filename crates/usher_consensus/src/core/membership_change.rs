//! Single-server membership changes. Not for: deciding when a change is due.

use std::time;

use usher_wire::message;

use super::{ConsensusCore, CoreRole};
use crate::{error, identity, membership, repair};

/// Maximum number of entries that a learner may be behind for its promotion to be requested; it is
/// then about one round trip behind.
const MAX_PROMOTION_LAG: u64 = 1_024;

impl ConsensusCore {
    /// Appends a single-server membership change, which takes effect immediately; returns its
    /// log index.
    ///
    /// # Errors
    ///
    /// Fails when this node is not the leader, an earlier change is not committed, the change does
    /// not apply to the current members, or the learner to promote has not durably acknowledged
    /// the committed entries.
    pub fn change_members(
        &mut self,
        now: time::Instant,
        change: &membership::MembershipChange,
    ) -> Result<u64, error::ChangeError> {
        if self.role != CoreRole::Leader {
            return Err(error::ChangeError::NotLeader);
        }
        // Until an entry of this term is committed, an uncommitted change of an earlier leader may
        // conflict with this one.
        if self.commit < self.leader_state.first_index || self.members_index() > self.commit {
            return Err(error::ChangeError::ChangePending);
        }
        let table = self.members().with_change(change)?;
        if let membership::MembershipChange::Promote(node) = change {
            self.check_promotion(now, node)?;
        }
        self.leader_state.promotion = None;
        let index = self.append_new(message::EntryKind::Membership, table.encode());
        self.track_members(now);
        Ok(index)
    }

    /// Checks that a learner durably holds all entries that were committed when its promotion was
    /// first requested.
    ///
    /// The current commit index is not used: under load, a learner that is one round trip away
    /// would never reach it.
    fn check_promotion(
        &mut self,
        now: time::Instant,
        node: &identity::NodeId,
    ) -> Result<(), error::ChangeError> {
        let valid = self.leader_state.promotion.as_ref().is_some_and(|goal| {
            goal.node == *node && now < goal.requested_at + self.settings.election_max
        });
        if !valid {
            self.leader_state.promotion = Some(super::PromotionGoal {
                node: node.clone(),
                index: self.commit,
                requested_at: now,
            });
        }
        let expected = self
            .leader_state
            .promotion
            .as_ref()
            .map_or(self.commit, |goal| goal.index);
        let acknowledged = self
            .leader_state
            .progress
            .get(node)
            .map_or(0, |peer| peer.match_index);
        if acknowledged < expected && !self.settings.faults.promote_behind {
            return Err(error::ChangeError::LearnerBehind {
                node: node.clone(),
                acknowledged,
                expected,
            });
        }
        Ok(())
    }

    /// Returns the view for a repair decision, or `None` when this node is not the leader or a
    /// membership change is not possible yet.
    pub fn repair_view(&self, now: time::Instant) -> Option<repair::RepairView> {
        let settled =
            self.commit >= self.leader_state.first_index && self.members_index() <= self.commit;
        if self.role != CoreRole::Leader || !settled {
            return None;
        }
        let members = self.members().iter().map(|(node, member)| {
            let peer = self.leader_state.progress.get(node);
            let last_contact = peer.map_or(now, |peer| peer.last_contact);
            let own = *node == self.id;
            repair::RepairMember {
                node: node.clone(),
                member: member.clone(),
                silent: if own {
                    time::Duration::ZERO
                } else {
                    now.saturating_duration_since(last_contact)
                },
                caught_up: peer.is_some_and(|peer| {
                    peer.streaming
                        && self.commit - peer.match_index.min(self.commit) <= MAX_PROMOTION_LAG
                }),
            }
        });
        let spares = self
            .spares
            .iter()
            .map(|(node, spare)| repair::RepairMember {
                node: node.clone(),
                member: spare.member.clone(),
                silent: now.saturating_duration_since(spare.last_seen),
                caught_up: false,
            });
        Some(repair::RepairView {
            leader: self.id.clone(),
            members: members.collect(),
            spares: spares
                .filter(|spare| self.members().get(&spare.node).is_none())
                .collect(),
        })
    }
}
