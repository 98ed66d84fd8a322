//! Start from recovered storage, and bootstrap of a new group. Not for: later inputs.

use std::{collections, sync, time};

use usher_wire::message;

use super::{ConsensusCore, CoreRole, KnownSpare, LeaderState};
use crate::{identity, image, log, membership, output, random, settings};

/// Maximum number of nodes whose join notices are remembered.
const MAX_SPARES: usize = 64;

/// State recovered from storage when the node starts.
#[derive(Clone, Debug, Default)]
pub struct InitialState {
    /// Term and vote.
    pub hard_state: output::HardState,
    /// The last snapshot.
    pub image: Option<sync::Arc<image::SnapshotImage>>,
    /// Entries after the snapshot, without a gap.
    pub entries: Vec<message::LogEntry>,
}

impl ConsensusCore {
    /// Starts a node from its recovered storage.
    pub fn new(
        id: identity::NodeId,
        settings: settings::ConsensusSettings,
        state: InitialState,
        seed: u64,
        now: time::Instant,
    ) -> Self {
        let (base, base_term) = state
            .image
            .as_ref()
            .map_or((0, 0), |image| (image.index, image.term));
        // A node in term 0 has never acknowledged a leader, so no lease depends on it.
        let votes_blocked_for = if state.hard_state.term == 0 {
            time::Duration::ZERO
        } else {
            settings.election_min
        };
        let mut core = Self {
            id,
            settings,
            random: random::SeedSequence::new(seed),
            role: CoreRole::Follower,
            hard_state: state.hard_state,
            leader: None,
            last_leader_contact: None,
            started: now,
            votes_blocked_until: now + votes_blocked_for,
            election_deadline: now,
            log: log::EntryLog::new(base, base_term),
            memberships: Vec::new(),
            provisional: false,
            image: None,
            commit: base,
            emitted_commit: base,
            durable: base,
            in_flight: collections::VecDeque::new(),
            sequence: 0,
            write_from: base + 1,
            emitted_last: base,
            hard_state_changed: false,
            hard_state_sequence: 0,
            persisted_sequence: 0,
            installing: None,
            installing_keeps_log: false,
            incoming: None,
            votes: collections::BTreeSet::new(),
            own_vote_batch: None,
            leader_state: LeaderState::default(),
            storage_stalled: false,
            spares: collections::BTreeMap::new(),
            messages: Vec::new(),
            messages_after_write: Vec::new(),
            reads_ready: Vec::new(),
            reads_failed: Vec::new(),
        };
        core.load(state.image, state.entries);
        core.reset_election(now);
        core
    }

    fn load(
        &mut self,
        image: Option<sync::Arc<image::SnapshotImage>>,
        entries: Vec<message::LogEntry>,
    ) {
        if let Some(image) = &image {
            self.memberships
                .push((image.index, image.membership.clone()));
        }
        self.image = image;
        for entry in entries {
            if entry.index > self.log.base_index() {
                self.adopt_membership(&entry);
                self.log.push(entry);
            }
        }
        self.durable = self.log.last_index();
        self.emitted_last = self.durable;
        self.write_from = self.durable + 1;
    }

    /// Makes the membership of an entry, if it holds one, the current membership.
    pub(super) fn adopt_membership(&mut self, entry: &message::LogEntry) {
        if entry.kind() != message::EntryKind::Membership {
            return;
        }
        match membership::MemberTable::decode(&entry.payload) {
            Ok(table) => {
                self.provisional = false;
                self.memberships.push((entry.index, table));
            }
            Err(error) => {
                usher_types::invariant!(
                    "consensus.valid_membership",
                    false,
                    "entry {} holds no valid membership: {error}",
                    entry.index
                );
            }
        }
    }

    /// Returns whether the log of the node is empty and has always been.
    pub fn is_blank(&self) -> bool {
        self.log.last_index() == 0
    }

    /// Bootstraps a new group with the initial membership from the settings, and starts an election
    /// immediately.
    ///
    /// Only one node of a new group may do this. During the bootstrap, a leader needs the votes of
    /// all members, including learners: if the node loses its disk and starts a second group, no
    /// node that holds an entry of the first group votes for it. Does nothing when the node is not
    /// blank.
    pub fn bootstrap(
        &mut self,
        now: time::Instant,
        members: impl IntoIterator<Item = message::Member>,
    ) {
        if !self.is_blank() || !self.memberships.is_empty() {
            return;
        }
        self.memberships
            .push((0, membership::MemberTable::new(members)));
        self.provisional = true;
        self.election_deadline = now;
    }

    /// Bootstraps a group with the named voters, if this node is the first of them and has
    /// received a join notice from all nodes since `after`, all with an empty log.
    ///
    /// `own` is this node as a member; nodes that are not voters become learners. `nodes` must
    /// name all nodes that may hold a log, otherwise a second group could be bootstrapped next to
    /// an existing one. See [`bootstrap`](Self::bootstrap).
    pub fn try_bootstrap(
        &mut self,
        now: time::Instant,
        own: &message::Member,
        voters: &[usher_types::NodeName],
        nodes: &[usher_types::NodeName],
        after: time::Instant,
    ) {
        if !self.is_blank() || voters.first() != Some(&self.id.name) {
            return;
        }
        let mut members = vec![own.clone()];
        let names: collections::BTreeSet<_> = voters.iter().chain(nodes).collect();
        for name in names.into_iter().filter(|name| **name != self.id.name) {
            match self.known_spare(name, after) {
                Some((member, 0)) => members.push(member.clone()),
                _ => return,
            }
        }
        for member in &mut members {
            let name = membership::identity_of(member).name;
            member.voter = voters.contains(&name);
        }
        self.bootstrap(now, members);
    }

    /// Returns the message with which this node announces itself to peers.
    pub fn join_notice(&self, member: message::Member) -> message::ConsensusMessage {
        let notice = message::JoinNotice {
            member: Some(member),
            last_index: self.log.last_index(),
        };
        self.message(
            &identity::NodeId::default(),
            message::consensus_message::Kind::JoinNotice(notice),
        )
    }

    pub(super) fn on_join_notice(&mut self, now: time::Instant, notice: message::JoinNotice) {
        let Some(member) = notice.member else { return };
        let node = membership::identity_of(&member);
        if node == self.id || node.incarnation.get() == 0 {
            return;
        }
        // The latest announced incarnation of a name replaces the earlier one.
        self.spares.retain(|known, _| known.name != node.name);
        if self.spares.len() >= MAX_SPARES {
            return;
        }
        let spare = KnownSpare {
            member,
            last_index: notice.last_index,
            last_seen: now,
        };
        self.spares.insert(node, spare);
    }

    /// Returns the node of this name that announced itself since `after`, with its last log index.
    pub fn known_spare(
        &self,
        name: &usher_types::NodeName,
        after: time::Instant,
    ) -> Option<(&message::Member, u64)> {
        self.spares
            .iter()
            .find(|(node, spare)| node.name == *name && spare.last_seen >= after)
            .map(|(_, spare)| (&spare.member, spare.last_index))
    }
}
