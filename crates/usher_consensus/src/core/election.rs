//! Leader election with pre-vote. Not for: what a leader does.

use std::time;

use usher_wire::message;

use super::{ConsensusCore, CoreRole};
use crate::identity;

/// Time without a leader after which a learner campaigns, in multiples of `election_max`.
const LEARNER_CAMPAIGN_TIMEOUTS: u32 = 3;

impl ConsensusCore {
    /// Starts a pre-vote. The term is unchanged unless a quorum grants the pre-vote, so that a
    /// partitioned node does not depose the leader when it rejoins.
    pub(super) fn start_pre_vote(&mut self, now: time::Instant) {
        self.reset_election(now);
        if !self.is_voter() && !self.learner_may_campaign(now) {
            return;
        }
        self.become_follower(now);
        if self.storage_stalled && !self.is_only_voter() {
            return;
        }
        self.role = CoreRole::PreCandidate;
        self.leader = None;
        self.votes.insert(self.id.clone());
        if self.has_vote_quorum() {
            self.start_election(now);
            return;
        }
        self.request_votes(true);
    }

    /// Returns whether this node is a learner that may request votes because there has been no
    /// leader for several election timeouts.
    ///
    /// After a leader's disk is lost, it is possible that only learners hold its last entries, and
    /// a voter with an uncommitted membership may count one of them as a voter. Then only such a
    /// learner can win the election. It steps down after its log is committed and never counts
    /// towards the quorum.
    fn learner_may_campaign(&self, now: time::Instant) -> bool {
        let wait = self.settings.election_max * LEARNER_CAMPAIGN_TIMEOUTS;
        let silent =
            now.saturating_duration_since(self.last_leader_contact.unwrap_or(self.started));
        self.members().get(&self.id).is_some() && silent >= wait
    }

    fn start_election(&mut self, now: time::Instant) {
        self.reset_election(now);
        self.enter_term(self.hard_state.term + 1);
        self.role = CoreRole::Candidate;
        self.votes.clear();
        self.hard_state.vote = Some(self.id.clone());
        self.hard_state_changed = true;
        // The vote is written with the next batch and counts after that.
        self.own_vote_batch = Some(self.sequence + 1);
        self.request_votes(false);
    }

    fn request_votes(&mut self, pre_vote: bool) {
        let request = message::VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self
            .quorum_members()
            .iter()
            .filter(|voter| **voter != self.id)
        {
            let kind = message::consensus_message::Kind::VoteRequest(request);
            let mut message = self.message(voter, kind);
            if pre_vote {
                message.term += 1;
            }
            self.messages_after_write.push(message);
        }
    }

    pub(super) fn has_vote_quorum(&self) -> bool {
        let quorum_members = self.quorum_members();
        let granted = quorum_members
            .iter()
            .filter(|voter| self.votes.contains(*voter));
        if self.is_bootstrapping() {
            return granted.count() == quorum_members.len();
        }
        granted.count() >= self.members().quorum()
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: time::Instant,
        from: &identity::NodeId,
        term: u64,
        request: &message::VoteRequest,
    ) {
        let leader_lease_may_hold =
            self.leader_lease_may_hold(now) && !self.settings.faults.vote_under_lease;
        if !request.pre_vote && !leader_lease_may_hold {
            self.enter_term_as_follower(now, term);
        }
        let up_to_date = (request.last_term, request.last_index)
            >= (self.log.last_term(), self.log.last_index());
        let granted = if request.pre_vote {
            up_to_date && term > self.hard_state.term && !leader_lease_may_hold
        } else {
            let vote_available = self
                .hard_state
                .vote
                .as_ref()
                .is_none_or(|vote| vote == from);
            let without_leader = self.role == CoreRole::Follower && self.leader.is_none();
            up_to_date
                && term == self.hard_state.term
                && !leader_lease_may_hold
                && vote_available
                && without_leader
        };
        if granted && !request.pre_vote {
            self.hard_state.vote = Some(from.clone());
            self.hard_state_changed = true;
            self.reset_election(now);
        }
        self.send_vote_reply(from, term, request.pre_vote, granted);
    }

    fn send_vote_reply(
        &mut self,
        from: &identity::NodeId,
        term: u64,
        pre_vote: bool,
        granted: bool,
    ) {
        let reply = message::VoteReply { pre_vote, granted };
        let mut message = self.message(from, message::consensus_message::Kind::VoteReply(reply));
        if granted {
            message.term = term;
        }
        if self.settings.faults.vote_before_write {
            self.messages.push(message);
        } else {
            self.messages_after_write.push(message);
        }
    }

    /// Returns whether a leader may hold a lease that this node acknowledged.
    fn leader_lease_may_hold(&self, now: time::Instant) -> bool {
        let in_contact = self
            .last_leader_contact
            .is_some_and(|seen| now < seen + self.settings.election_min);
        self.role == CoreRole::Leader || in_contact || now < self.votes_blocked_until
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: time::Instant,
        from: &identity::NodeId,
        term: u64,
        reply: &message::VoteReply,
    ) {
        if !reply.granted {
            self.enter_term_as_follower(now, term);
            return;
        }
        let counts = match self.role {
            CoreRole::PreCandidate => reply.pre_vote && term == self.hard_state.term + 1,
            CoreRole::Candidate => !reply.pre_vote && term == self.hard_state.term,
            _ => false,
        };
        if counts {
            self.votes.insert(from.clone());
            self.count_votes(now);
        }
    }

    pub(super) fn count_votes(&mut self, now: time::Instant) {
        if !self.has_vote_quorum() {
            return;
        }
        match self.role {
            CoreRole::PreCandidate => self.start_election(now),
            CoreRole::Candidate => self.become_leader(now),
            _ => {}
        }
    }
}
