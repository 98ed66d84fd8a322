//! The state machine of consensus. Not for: writing, sending and timing, which the driver does.

mod election;
mod follower;
mod leader;
mod lease_read;
mod membership_change;
mod output;
mod snapshot_transfer;
mod startup;

use std::{collections, sync, time};

use usher_wire::message;

use crate::{identity, image, log, membership, output as batch, progress, random, settings};

pub use startup::InitialState;

/// Index of the entry that holds the first membership.
const BOOTSTRAP_INDEX: u64 = 1;

usher_types::value_type! {
    /// The part that a node plays; a node without a vote is a follower that never asks for votes.
    pub enum CoreRole {
        /// Takes entries from a leader.
        Follower,
        /// Asks whether it could win an election, without a new term.
        PreCandidate,
        /// Asks for votes.
        Candidate,
        /// Orders the entries.
        Leader,
    }
}

/// A read that waits for its round.
#[derive(Clone, Debug)]
struct PendingRead {
    id: u64,
    index: u64,
    round: u64,
}

/// A snapshot that arrives in pieces.
#[derive(Clone, Debug)]
struct IncomingSnapshot {
    index: u64,
    term: u64,
    data: Vec<u8>,
}

/// State that only a leader has.
#[derive(Clone, Debug, Default)]
struct LeaderState {
    progress: collections::BTreeMap<identity::NodeId, progress::PeerProgress>,
    round: u64,
    /// When the sending of recent rounds began.
    rounds: collections::VecDeque<(u64, time::Instant)>,
    heartbeat_at: Option<time::Instant>,
    /// When this node became the leader.
    elected_at: Option<time::Instant>,
    /// Index of the first entry of the term.
    first_index: u64,
    reads: Vec<PendingRead>,
    promotion: Option<PromotionGoal>,
}

/// What a learner must hold before it is promoted.
#[derive(Clone, Debug)]
struct PromotionGoal {
    node: identity::NodeId,
    /// Commit index when the promotion was first asked for.
    index: u64,
    requested_at: time::Instant,
}

/// A node that made itself known and isn't a member.
#[derive(Clone, Debug)]
struct KnownSpare {
    member: message::Member,
    last_index: u64,
    last_seen: time::Instant,
}

/// Consensus of one node, as a function of its inputs.
///
/// Inputs never block; their effects are collected by
/// [`take_output`](ConsensusCore::take_output).
#[derive(Clone, Debug)]
pub struct ConsensusCore {
    id: identity::NodeId,
    settings: settings::ConsensusSettings,
    random: random::SeedSequence,
    role: CoreRole,
    hard_state: batch::HardState,
    leader: Option<identity::NodeId>,
    last_leader_contact: Option<time::Instant>,
    started: time::Instant,
    /// No vote is granted before this time, because this node may have confirmed a lease before
    /// it was restarted.
    votes_blocked_until: time::Instant,
    election_deadline: time::Instant,
    log: log::EntryLog,
    /// Memberships by the index of their entry; the last one is in force.
    memberships: Vec<(u64, membership::MemberTable)>,
    /// The membership comes from the settings and isn't in the log yet.
    provisional: bool,
    image: Option<sync::Arc<image::SnapshotImage>>,
    commit: u64,
    emitted_commit: u64,
    durable: u64,
    /// Batches that are being written, with their last index.
    in_flight: collections::VecDeque<(u64, u64)>,
    sequence: u64,
    /// First index that changed since the last batch.
    write_from: u64,
    emitted_last: u64,
    hard_state_changed: bool,
    /// Batch that holds the term and vote written last.
    hard_state_sequence: u64,
    persisted_sequence: u64,
    installing: Option<sync::Arc<image::SnapshotImage>>,
    /// The written log agrees with the snapshot and goes on behind it.
    installing_keeps_log: bool,
    incoming: Option<IncomingSnapshot>,
    votes: collections::BTreeSet<identity::NodeId>,
    /// Batch whose writing makes this candidate's own vote count.
    own_vote_batch: Option<u64>,
    leader_state: LeaderState,
    spares: collections::BTreeMap<identity::NodeId, KnownSpare>,
    messages: Vec<message::ConsensusMessage>,
    messages_after_write: Vec<message::ConsensusMessage>,
    reads_ready: Vec<batch::ReadReady>,
    reads_failed: Vec<u64>,
}

impl ConsensusCore {
    /// Returns the identity of this node.
    pub fn id(&self) -> &identity::NodeId {
        &self.id
    }

    /// Returns the part that this node plays.
    pub fn role(&self) -> CoreRole {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader, where known.
    pub fn leader(&self) -> Option<&identity::NodeId> {
        self.leader.as_ref()
    }

    /// Returns when this node last heard from a leader; a leader counts from the newest round
    /// that a quorum answered.
    pub fn last_leader_contact(&self) -> Option<time::Instant> {
        match self.role {
            CoreRole::Leader => self.confirmed_round_start(),
            _ => self.last_leader_contact,
        }
    }

    /// Returns the highest committed index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the last index of the log, durable or not.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the highest index that this node holds durably.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// Returns the term of an entry in memory.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term(index)
    }

    /// Returns an entry in memory.
    pub fn entry(&self, index: u64) -> Option<&message::LogEntry> {
        self.log.get(index)
    }

    /// Returns the members in force.
    pub fn members(&self) -> &membership::MemberTable {
        static EMPTY: sync::LazyLock<membership::MemberTable> =
            sync::LazyLock::new(membership::MemberTable::default);
        self.memberships.last().map_or(&EMPTY, |(_, table)| table)
    }

    /// Returns the index of the entry of the members in force.
    pub fn members_index(&self) -> u64 {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }

    /// Returns the settings.
    pub fn settings(&self) -> &settings::ConsensusSettings {
        &self.settings
    }

    /// Whether the first membership isn't known to be on all its members.
    ///
    /// Until then all of them must agree to everything, learners as well. Were a majority enough,
    /// a founder that was paused and replaced could win one of the others, and two groups would
    /// found. Were the voters enough, they could found again once each of them had been replaced
    /// with an empty disk, while the group goes on with other nodes.
    fn is_bootstrapping(&self) -> bool {
        self.members_index() <= BOOTSTRAP_INDEX && self.image.is_none()
    }

    /// Who is asked for votes and counted: the voters, and all members while founding.
    fn quorum_members(&self) -> Vec<identity::NodeId> {
        if self.is_bootstrapping() {
            return self
                .members()
                .iter()
                .map(|(node, _)| node.clone())
                .collect();
        }
        self.members().voters().cloned().collect()
    }

    /// Returns the highest value that enough voters reached.
    fn quorum_value<F>(&self, value: F) -> u64
    where
        F: FnMut(&identity::NodeId) -> u64,
    {
        if self.is_bootstrapping() {
            return self.quorum_members().iter().map(value).min().unwrap_or(0);
        }
        self.members().quorum_value(value)
    }

    /// Returns whether this node is a voter.
    pub fn is_voter(&self) -> bool {
        self.members().is_voter(&self.id)
    }

    /// Handles the passing of time; must be called several times per heartbeat.
    pub fn tick(&mut self, now: time::Instant) {
        match self.role {
            CoreRole::Leader => self.tick_leader(now),
            _ if now >= self.election_deadline => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Handles a message of a peer.
    pub fn receive(&mut self, now: time::Instant, mut message: message::ConsensusMessage) {
        let Some(kind) = message.kind.take() else {
            return;
        };
        if let message::consensus_message::Kind::JoinNotice(notice) = kind {
            self.on_join_notice(now, notice);
            return;
        }
        let mut to = identity::NodeId::from_message(message.to.as_ref());
        let mut from = identity::NodeId::from_message(message.from.as_ref());
        if self.settings.faults.name_only {
            to = self.resolve_by_name(to);
            from = self.resolve_by_name(from);
        }
        // A message for an earlier life of this node isn't for this one, which has no memory of
        // what the earlier one promised.
        if to != self.id || from == self.id {
            return;
        }
        self.dispatch(now, &from, message.term, kind);
    }

    fn dispatch(
        &mut self,
        now: time::Instant,
        from: &identity::NodeId,
        term: u64,
        kind: message::consensus_message::Kind,
    ) {
        use message::consensus_message::Kind;
        match kind {
            Kind::VoteRequest(request) => self.on_vote_request(now, from, term, &request),
            Kind::VoteReply(reply) => self.on_vote_reply(now, from, term, &reply),
            Kind::AppendRequest(request) => self.on_append(now, from, term, request),
            Kind::AppendReply(reply) => self.on_append_reply(now, from, term, &reply),
            Kind::SnapshotPiece(piece) => self.on_piece(now, from, term, piece),
            Kind::SnapshotReply(reply) => self.on_piece_reply(now, from, term, &reply),
            Kind::JoinNotice(_) => {}
        }
    }

    /// Maps an identity to the one of this name that is known; only for tests.
    fn resolve_by_name(&self, node: identity::NodeId) -> identity::NodeId {
        if node.name == self.id.name {
            return self.id.clone();
        }
        let known = self.members().iter().map(|(known, _)| known);
        let same = known.into_iter().find(|known| known.name == node.name);
        same.cloned().unwrap_or(node)
    }

    fn message(
        &self,
        to: &identity::NodeId,
        kind: message::consensus_message::Kind,
    ) -> message::ConsensusMessage {
        message::ConsensusMessage {
            from: Some(self.id.to_message()),
            to: Some(to.to_message()),
            term: self.hard_state.term,
            kind: Some(kind),
            // The driver knows addresses.
            from_address: String::new(),
        }
    }

    /// Sends a message that depends on no write.
    fn send(&mut self, to: &identity::NodeId, kind: message::consensus_message::Kind) {
        let message = self.message(to, kind);
        self.messages.push(message);
    }

    /// Sends a message once everything up to now is durable.
    fn send_after_write(&mut self, to: &identity::NodeId, kind: message::consensus_message::Kind) {
        let message = self.message(to, kind);
        self.messages_after_write.push(message);
    }

    /// Enters a higher term as a follower.
    fn enter_term_as_follower(&mut self, now: time::Instant, term: u64) {
        if term > self.hard_state.term {
            self.enter_term(term);
            self.become_follower(now);
        }
    }

    /// Enters a higher term; the vote of the lower one is void.
    fn enter_term(&mut self, term: u64) {
        if term > self.hard_state.term {
            self.hard_state = batch::HardState { term, vote: None };
            self.hard_state_changed = true;
            self.leader = None;
        }
    }

    /// Becomes a follower in the current term.
    fn become_follower(&mut self, now: time::Instant) {
        if self.role != CoreRole::Follower {
            self.reset_election(now);
        }
        self.role = CoreRole::Follower;
        self.votes.clear();
        self.own_vote_batch = None;
        let leader_state = std::mem::take(&mut self.leader_state);
        self.reads_failed
            .extend(leader_state.reads.iter().map(|read| read.id));
    }

    fn reset_election(&mut self, now: time::Instant) {
        let span = self.settings.election_max - self.settings.election_min;
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let extra = time::Duration::from_micros(self.random.below(micros));
        self.election_deadline = now + self.settings.election_min + extra;
    }
}
