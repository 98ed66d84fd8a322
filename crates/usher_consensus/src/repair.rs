//! Decides the next step of repairing the membership. Not for: carrying it out.

use std::{cmp, time};

use usher_wire::message;

use crate::{identity, membership};

/// A member or spare as the leader sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RepairMember {
    /// Its identity.
    pub node: identity::NodeId,
    /// Its region, domain and vote.
    pub member: message::Member,
    /// How long it has been silent.
    pub silent: time::Duration,
    /// Whether it holds nearly everything that is committed; the core checks the rest.
    pub caught_up: bool,
}

/// The leader's view of the group.
#[derive(Clone, Debug, PartialEq)]
pub struct RepairView {
    /// The leader, which is never removed.
    pub leader: identity::NodeId,
    /// All members, also the leader.
    pub members: Vec<RepairMember>,
    /// Nodes that made themselves known and aren't members.
    pub spares: Vec<RepairMember>,
}

/// Keeps the wanted number of voters, spread over domains and regions.
///
/// Each decision is a single change; the next one is taken when that is committed.
#[derive(Clone, Debug, PartialEq)]
pub struct RepairPolicy {
    /// Wanted number of voters.
    pub voters: usize,
    /// How long a member is silent before it counts as lost.
    pub lost_after: time::Duration,
    /// Largest number of members, voters and learners.
    pub max_members: usize,
}

impl Default for RepairPolicy {
    fn default() -> Self {
        Self {
            voters: 3,
            // Longer than a restart of a process, short against the time to a second loss.
            lost_after: time::Duration::from_secs(15),
            max_members: 8,
        }
    }
}

impl RepairPolicy {
    /// Returns the next step, or `None` when nothing needs repair.
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

    /// A member is lost when it is silent for long, or when its name has returned with another
    /// disk, so that this identity can't come back.
    fn is_lost(&self, view: &RepairView, member: &RepairMember) -> bool {
        if member.node == view.leader {
            return false;
        }
        Self::is_replaced(view, member) || member.silent >= self.lost_after
    }

    /// Whether the name has returned with another disk.
    fn is_replaced(view: &RepairView, member: &RepairMember) -> bool {
        view.spares.iter().chain(&view.members).any(|other| {
            other.node.name == member.node.name
                && other.node != member.node
                && other.silent < member.silent
        })
    }

    /// A voter whose disk is known to be lost is removed before its replacement is promoted: it
    /// never votes again, and with both in the group a second loss would stop it.
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

    /// Replaces a silent voter before it is removed, because it may come back.
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
        // When a voter that was replaced came back, one in the most crowded place is given up.
        let extra = healthy
            .iter()
            .filter(|member| member.node != view.leader)
            .max_by_key(|member| crowding(member, &healthy));
        let removed = lost.or(extra.copied())?;
        Some(membership::MembershipChange::Remove(removed.node.clone()))
    }

    /// Every spare becomes a learner, so that a replacement has caught up before it is needed.
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

/// How many voters share the domain, then the region; the name breaks ties.
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
