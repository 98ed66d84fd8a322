//! Pre-votes and votes. Not for: what a leader does.

use std::time;

use usher_wire::message;

use super::{ConsensusCore, CoreRole};
use crate::identity;

/// How many election timeouts a learner waits for a voter to lead.
const LEARNER_PATIENCE: u32 = 3;

impl ConsensusCore {
    /// Asks whether an election could be won; without a quorum the term stays as it is, so that
    /// a node that was cut off doesn't depose the leader when it returns.
    pub(super) fn start_pre_vote(&mut self, now: time::Instant) {
        self.reset_election(now);
        if !self.is_voter() && !self.learner_may_lead(now) {
            return;
        }
        self.follow(now);
        self.role = CoreRole::PreCandidate;
        self.leader = None;
        self.votes.insert(self.id.clone());
        if self.has_vote_quorum() {
            self.start_vote(now);
            return;
        }
        self.ask_for_votes(true);
    }

    /// Whether a learner may ask for votes: nobody has led for long.
    ///
    /// When a leader's disk is lost, only learners may hold its last entries, and a voter with an
    /// uncommitted membership may count one of them as a voter. Nobody else can win then. Such a
    /// leader gives up once its log is committed; it never counts as a part of the quorum.
    fn learner_may_lead(&self, now: time::Instant) -> bool {
        let patience = self.settings.election_max * LEARNER_PATIENCE;
        let silent = now.saturating_duration_since(self.leader_seen.unwrap_or(self.started));
        self.members().get(&self.id).is_some() && silent >= patience
    }

    fn start_vote(&mut self, now: time::Instant) {
        self.reset_election(now);
        self.enter_term(self.hard.term + 1);
        self.role = CoreRole::Candidate;
        self.votes.clear();
        self.hard.vote = Some(self.id.clone());
        self.hard_changed = true;
        // The next batch writes the vote.
        self.own_vote = Some(self.sequence + 1);
        self.ask_for_votes(false);
    }

    fn ask_for_votes(&mut self, pre_vote: bool) {
        let request = message::VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.deciders().iter().filter(|voter| **voter != self.id) {
            let kind = message::consensus_message::Kind::VoteRequest(request);
            let mut message = self.message(voter, kind);
            if pre_vote {
                message.term += 1;
            }
            self.messages_after_write.push(message);
        }
    }

    pub(super) fn has_vote_quorum(&self) -> bool {
        let deciders = self.deciders();
        let granted = deciders.iter().filter(|voter| self.votes.contains(*voter));
        if self.is_founding() {
            return granted.count() == deciders.len();
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
        let lease_may_hold = self.lease_may_hold(now) && !self.settings.faults.vote_under_lease;
        if !request.pre_vote && !lease_may_hold {
            self.enter_term_as_follower(now, term);
        }
        let fresh = (request.last_term, request.last_index)
            >= (self.log.last_term(), self.log.last_index());
        let granted = if request.pre_vote {
            fresh && term > self.hard.term && !lease_may_hold
        } else {
            let free = self.hard.vote.as_ref().is_none_or(|vote| vote == from);
            let open = self.role == CoreRole::Follower && self.leader.is_none();
            fresh && term == self.hard.term && !lease_may_hold && free && open
        };
        if granted && !request.pre_vote {
            self.hard.vote = Some(from.clone());
            self.hard_changed = true;
            self.reset_election(now);
        }
        self.answer_vote(from, term, request.pre_vote, granted);
    }

    fn answer_vote(&mut self, from: &identity::NodeId, term: u64, pre_vote: bool, granted: bool) {
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

    /// Whether a leader may hold a lease that this node confirmed.
    fn lease_may_hold(&self, now: time::Instant) -> bool {
        let heard = self
            .leader_seen
            .is_some_and(|seen| now < seen + self.settings.election_min);
        self.role == CoreRole::Leader || heard || now < self.quiet_until
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
            CoreRole::PreCandidate => reply.pre_vote && term == self.hard.term + 1,
            CoreRole::Candidate => !reply.pre_vote && term == self.hard.term,
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
            CoreRole::PreCandidate => self.start_vote(now),
            CoreRole::Candidate => self.start_leading(now),
            _ => {}
        }
    }
}
