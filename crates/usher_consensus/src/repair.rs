//! Policy that decides the next membership change for replacing lost members. Not for: carrying
//! it out.

use std::{cmp, time};

use usher_wire::message;

use crate::{identity, membership};

/// A member or spare node as seen by the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct RepairMember {
    /// Identity of the node.
    pub node: identity::NodeId,
    /// Region, failure domain and voting rights of the node.
    pub member: message::Member,
    /// Time since its last message.
    pub silent: time::Duration,
    /// Whether it holds nearly all committed entries; the core checks the exact condition for a
    /// promotion.
    pub caught_up: bool,
}

/// The leader's view of the group.
#[derive(Clone, Debug, PartialEq)]
pub struct RepairView {
    /// The leader, which is never removed.
    pub leader: identity::NodeId,
    /// All members, including the leader.
    pub members: Vec<RepairMember>,
    /// Nodes that announced themselves and are not members.
    pub spares: Vec<RepairMember>,
}

/// Maintains the target number of voters, spread over failure domains and regions.
///
/// Each decision is one single-server change; the next decision is made after that change is
/// committed.
#[derive(Clone, Debug, PartialEq)]
pub struct RepairPolicy {
    /// Target number of voters.
    pub voters: usize,
    /// Silence after which a member is considered lost.
    pub lost_after: time::Duration,
    /// Maximum number of members, voters and learners together.
    pub max_members: usize,
}

impl Default for RepairPolicy {
    fn default() -> Self {
        Self {
            voters: 3,
            // Longer than a process restart, and short compared with the time to a second loss.
            lost_after: time::Duration::from_secs(15),
            max_members: 8,
        }
    }
}

impl RepairPolicy {
    /// Returns the next membership change, or `None` when no repair is needed.
    ///
    /// ```
    /// use usher_consensus::{NodeId, RepairPolicy, RepairView};
    /// let view = RepairView { leader: NodeId::new("c1", 1), members: vec![], spares: vec![] };
    /// assert_eq!(RepairPolicy::default().decide(&view), None);
    /// ```
    pub fn decide(&self, view: &RepairView) -> Option<membership::MembershipChange> {
        self.remove_learner(view)
            .or_else(|| Self::remove_replaced(view))
            .or_else(|| self.promote(view))
            .or_else(|| self.remove_voter(view))
            .or_else(|| self.add_learner(view))
    }

    /// Returns whether a member is lost: it has been silent for `lost_after`, or its name has
    /// returned with another disk, so that this identity cannot come back.
    fn is_lost(&self, view: &RepairView, member: &RepairMember) -> bool {
        if member.node == view.leader {
            return false;
        }
        Self::is_replaced(view, member) || member.silent >= self.lost_after
    }

    /// Returns whether the member's name has returned with another disk.
    fn is_replaced(view: &RepairView, member: &RepairMember) -> bool {
        view.spares.iter().chain(&view.members).any(|other| {
            other.node.name == member.node.name
                && other.node != member.node
                && other.silent < member.silent
        })
    }

    /// Removes a voter whose disk is known to be lost before its replacement is promoted. The
    /// voter never votes again, and with both in the group a second loss would cost the quorum.
    fn remove_replaced(view: &RepairView) -> Option<membership::MembershipChange> {
        let replaced = view.members.iter().find(|member| {
            member.member.voter && member.node != view.leader && Self::is_replaced(view, member)
        })?;
        Some(membership::MembershipChange::Remove(replaced.node.clone()))
    }

    fn remove_learner(&self, view: &RepairView) -> Option<membership::MembershipChange> {
        let lost = view
            .members
            .iter()
            .find(|member| !member.member.voter && self.is_lost(view, member))?;
        Some(membership::MembershipChange::Remove(lost.node.clone()))
    }

    fn healthy_voters<'v>(&self, view: &'v RepairView) -> Vec<&'v RepairMember> {
        view.members
            .iter()
            .filter(|member| member.member.voter && !self.is_lost(view, member))
            .collect()
    }

    fn voter_count(view: &RepairView) -> usize {
        view.members
            .iter()
            .filter(|member| member.member.voter)
            .count()
    }

    /// Promotes a learner to replace a silent voter. The silent voter is removed only afterwards,
    /// because it may come back.
    fn promote(&self, view: &RepairView) -> Option<membership::MembershipChange> {
        let healthy = self.healthy_voters(view);
        if healthy.len() >= self.voters || Self::voter_count(view) > self.voters {
            return None;
        }
        let learner = view
            .members
            .iter()
            .filter(|member| !member.member.voter && member.caught_up)
            .min_by_key(|learner| crowding(learner, &healthy))?;
        Some(membership::MembershipChange::Promote(learner.node.clone()))
    }

    fn remove_voter(&self, view: &RepairView) -> Option<membership::MembershipChange> {
        if Self::voter_count(view) <= self.voters {
            return None;
        }
        let healthy = self.healthy_voters(view);
        let lost = view
            .members
            .iter()
            .find(|member| member.member.voter && self.is_lost(view, member));
        // A replaced voter came back: remove the voter in the most crowded location.
        let extra = healthy
            .iter()
            .filter(|member| member.node != view.leader)
            .max_by_key(|member| crowding(member, &healthy));
        let removed = lost.or(extra.copied())?;
        Some(membership::MembershipChange::Remove(removed.node.clone()))
    }

    /// Adds each spare as a learner, so that a replacement has caught up before it is needed.
    fn add_learner(&self, view: &RepairView) -> Option<membership::MembershipChange> {
        if view.members.len() >= self.max_members {
            return None;
        }
        let healthy = self.healthy_voters(view);
        let spare = view
            .spares
            .iter()
            .filter(|spare| spare.silent < self.lost_after)
            .min_by_key(|spare| crowding(spare, &healthy))?;
        let mut member = spare.member.clone();
        member.voter = false;
        Some(membership::MembershipChange::AddLearner(member))
    }
}

/// Sort key for location crowding: the number of other voters in the same failure domain, then in
/// the same region; the identity breaks ties.
fn crowding<'m>(
    member: &'m RepairMember,
    voters: &[&RepairMember],
) -> (usize, usize, cmp::Reverse<&'m identity::NodeId>) {
    let location = &member.member;
    let others = || voters.iter().filter(|voter| voter.node != member.node);
    let domain = others()
        .filter(|voter| {
            (&voter.member.region, &voter.member.domain) == (&location.region, &location.domain)
        })
        .count();
    let region = others()
        .filter(|voter| voter.member.region == location.region)
        .count();
    (domain, region, cmp::Reverse(&member.node))
}
