//! The Raft state machine. Not for: writing, sending and timing, which the driver does.

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

/// Log index of the first membership entry.
const BOOTSTRAP_INDEX: u64 = 1;

usher_types::value_type! {
    /// Raft role of a node; a learner is a follower that normally never requests votes.
    pub enum CoreRole {
        /// Replicates the entries of a leader.
        Follower,
        /// Runs a pre-vote: asks whether it could win an election, without starting a new term.
        PreCandidate,
        /// Requests votes in a new term.
        Candidate,
        /// Appends entries and replicates them.
        Leader,
    }
}

/// A read that waits until a quorum acknowledges its heartbeat round.
#[derive(Clone, Debug)]
struct PendingRead {
    id: u64,
    index: u64,
    round: u64,
}

/// A snapshot that is being received in pieces.
#[derive(Clone, Debug)]
struct IncomingSnapshot {
    index: u64,
    term: u64,
    data: Vec<u8>,
}

/// Volatile state of a leader.
#[derive(Clone, Debug, Default)]
struct LeaderState {
    progress: collections::BTreeMap<identity::NodeId, progress::PeerProgress>,
    round: u64,
    /// Number and start time of recent heartbeat rounds.
    rounds: collections::VecDeque<(u64, time::Instant)>,
    heartbeat_at: Option<time::Instant>,
    /// Time at which this node became the leader.
    elected_at: Option<time::Instant>,
    /// Index of the leader's first entry of its term.
    first_index: u64,
    reads: Vec<PendingRead>,
    promotion: Option<PromotionGoal>,
}

/// Condition for the promotion of a learner.
#[derive(Clone, Debug)]
struct PromotionGoal {
    node: identity::NodeId,
    /// Commit index when the promotion was first requested; the learner must hold it durably.
    index: u64,
    requested_at: time::Instant,
}

/// A node that announced itself; it may be a member by now.
#[derive(Clone, Debug)]
struct KnownSpare {
    member: message::Member,
    last_index: u64,
    last_seen: time::Instant,
}

/// The Raft state machine of one node, a deterministic function of its inputs.
///
/// Inputs never block; [`take_output`](ConsensusCore::take_output) returns their effects.
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
    /// No vote is granted before this time, because this node may have confirmed a leader lease
    /// before it was restarted.
    votes_blocked_until: time::Instant,
    election_deadline: time::Instant,
    log: log::EntryLog,
    /// Memberships with the index of their entry; the last one is the current membership, even
    /// before its entry is committed.
    memberships: Vec<(u64, membership::MemberTable)>,
    /// Whether the membership comes from the settings and is not in the log yet.
    provisional: bool,
    image: Option<sync::Arc<image::SnapshotImage>>,
    commit: u64,
    /// Commit index at the last batch.
    emitted_commit: u64,
    durable: u64,
    /// Sequence number and last log index of each batch that is being written.
    in_flight: collections::VecDeque<(u64, u64)>,
    sequence: u64,
    /// First log index that changed since the last batch.
    write_from: u64,
    /// Last log index at the last batch.
    emitted_last: u64,
    hard_state_changed: bool,
    /// Sequence number of the last batch that contains term and vote.
    hard_state_sequence: u64,
    persisted_sequence: u64,
    installing: Option<sync::Arc<image::SnapshotImage>>,
    /// Whether the written log matches the snapshot and its later entries are kept.
    installing_keeps_log: bool,
    incoming: Option<IncomingSnapshot>,
    votes: collections::BTreeSet<identity::NodeId>,
    /// Sequence number of the batch that makes this candidate's own vote durable; the vote counts
    /// only from then on.
    own_vote_batch: Option<u64>,
    leader_state: LeaderState,
    /// Whether the disk of this node takes no writes at present.
    storage_stalled: bool,
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

    /// Returns the role of this node.
    pub fn role(&self) -> CoreRole {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the current leader, if known.
    pub fn leader(&self) -> Option<&identity::NodeId> {
        self.leader.as_ref()
    }

    /// Returns the time of the last contact with a leader. On the leader itself, this is the start
    /// of the newest heartbeat round that a quorum acknowledged.
    pub fn last_leader_contact(&self) -> Option<time::Instant> {
        match self.role {
            CoreRole::Leader => self.confirmed_round_start(),
            _ => self.last_leader_contact,
        }
    }

    /// Returns the payload of the log entries in memory, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the last index of the log, durable or not.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the highest log index that is durable on this node.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// Returns the term of an index, if it is still in memory.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term(index)
    }

    /// Returns the entry at an index, if it is still in memory.
    pub fn entry(&self, index: u64) -> Option<&message::LogEntry> {
        self.log.get(index)
    }

    /// Returns the current membership, which takes effect before its entry is committed.
    pub fn members(&self) -> &membership::MemberTable {
        static EMPTY: sync::LazyLock<membership::MemberTable> =
            sync::LazyLock::new(membership::MemberTable::default);
        self.memberships.last().map_or(&EMPTY, |(_, table)| table)
    }

    /// Returns the log index of the current membership.
    pub fn members_index(&self) -> u64 {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }

    /// Returns the settings.
    pub fn settings(&self) -> &settings::ConsensusSettings {
        &self.settings
    }

    /// Returns whether the group is still being bootstrapped: the first membership is not known
    /// to be on all of its members.
    ///
    /// During the bootstrap, elections and commits need all members, including learners. If a
    /// majority were enough, a bootstrapping node that was paused and replaced could win the vote
    /// of one of the others, and two groups would form. If the voters were enough, they could
    /// bootstrap a second group after each of them had been replaced with an empty disk, while the
    /// first group continues on other nodes.
    fn is_bootstrapping(&self) -> bool {
        self.members_index() <= BOOTSTRAP_INDEX && self.image.is_none()
    }

    /// Returns the members that elections and commits depend on: the voters, or all members during
    /// the bootstrap.
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

    /// Returns the highest value that a quorum has reached; during the bootstrap, that all members
    /// have reached.
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

    /// Sets whether the disk of this node takes no writes at present. Such a node gives up
    /// leadership and doesn't campaign, unless no other node could lead.
    pub fn set_storage_stalled(&mut self, now: time::Instant, stalled: bool) {
        self.storage_stalled = stalled;
        if stalled && self.role == CoreRole::Leader && !self.is_only_voter() {
            self.leader = None;
            self.become_follower(now);
        }
    }

    /// Advances the timers; must be called several times per heartbeat interval.
    pub fn tick(&mut self, now: time::Instant) {
        match self.role {
            CoreRole::Leader => self.tick_leader(now),
            _ if now >= self.election_deadline => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Handles a message from a peer.
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
        // Messages to an earlier incarnation of this node are ignored: this incarnation does not
        // have the votes and acknowledgements of the earlier one.
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

    /// Maps an identity to the known identity with the same name; only for tests.
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
            // The driver fills in the address.
            from_address: String::new(),
        }
    }

    /// Queues a message that depends on no write.
    fn send(&mut self, to: &identity::NodeId, kind: message::consensus_message::Kind) {
        let message = self.message(to, kind);
        self.messages.push(message);
    }

    /// Queues a message that is sent after all changes so far are durable.
    fn send_after_write(&mut self, to: &identity::NodeId, kind: message::consensus_message::Kind) {
        let message = self.message(to, kind);
        self.messages_after_write.push(message);
    }

    /// Becomes a follower if `term` is higher than the current term.
    fn enter_term_as_follower(&mut self, now: time::Instant, term: u64) {
        if term > self.hard_state.term {
            self.enter_term(term);
            self.become_follower(now);
        }
    }

    /// Enters `term` if it is higher than the current term, and clears the vote.
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
