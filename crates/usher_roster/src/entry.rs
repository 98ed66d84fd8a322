//! What was last heard of one target. Not for: lists of targets.

use std::{net, time};

use usher_wire::message;

/// Tells why a record of a target can't be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EntryError {
    /// The name is empty or has spaces.
    #[error("the target's name is not valid: {0}")]
    Name(#[from] usher_types::ParseIdError),
    /// The address isn't IP:PORT.
    #[error("the address {0:?} of the target is not IP:PORT")]
    Address(String),
}

usher_types::value_type! {
    /// How far the life of a target has come; it only goes forward.
    pub enum TargetPhase {
        /// Takes work.
        Ready,
        /// Takes no new work and ends soon.
        Leaving,
        /// Has ended.
        Gone,
    }
}

usher_types::value_type! {
    /// A target as it was last heard of.
    pub struct TargetEntry {
        /// Name of the target.
        pub name: usher_types::TargetName,
        /// Service whose calls it runs.
        pub service: usher_types::ServiceName,
        /// Where it listens.
        pub address: net::SocketAddr,
        /// Its failure domain.
        pub domain: usher_types::DomainName,
        /// Calls that it runs at once; 0 when not told.
        pub slots: u32,
        /// Part of the work that it does; none for plain targets.
        pub role: Option<usher_types::EngineRole>,
        /// How far its life has come.
        pub phase: TargetPhase,
        /// Several heartbeats are missing.
        pub silent: bool,
        /// Start of its process, in ms since 1970; 0 when not told.
        pub born_ms: u64,
        /// Number of its last heartbeat in this life.
        pub sequence: u64,
        /// How much longer it was slow after its start when it sent the heartbeat.
        pub warm_up: time::Duration,
    }
}

impl TargetEntry {
    /// Makes the record of a target of which only the end is known.
    pub(crate) fn unknown(name: usher_types::TargetName, born_ms: u64) -> Self {
        Self {
            name,
            service: usher_types::ServiceName::default(),
            address: net::SocketAddr::from((net::Ipv4Addr::UNSPECIFIED, 0)),
            domain: usher_types::DomainName::default(),
            slots: 0,
            role: None,
            phase: TargetPhase::Gone,
            silent: false,
            born_ms,
            sequence: 0,
            warm_up: time::Duration::ZERO,
        }
    }

    /// Returns whether new work may be sent to the target.
    pub fn takes_work(&self) -> bool {
        self.phase == TargetPhase::Ready && !self.silent
    }

    /// Returns whether this entry is newer than another one of the same name.
    ///
    /// A later start always is. Within a life the phase never goes back, then the number of the
    /// heartbeat decides, and silence is newer than the heartbeat that it follows.
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.is_other_life(other) {
            return self.born_ms > other.born_ms;
        }
        if self.phase != other.phase {
            return self.phase > other.phase;
        }
        if self.sequence != other.sequence {
            return self.sequence > other.sequence;
        }
        self.silent && !other.silent
    }

    /// A target that doesn't tell its start is taken for the life that is known.
    fn is_other_life(&self, other: &Self) -> bool {
        self.born_ms != 0 && other.born_ms != 0 && self.born_ms != other.born_ms
    }

    /// Returns whether anything differs that a gateway acts on.
    pub fn differs(&self, other: &Self) -> bool {
        let same_life = Self {
            sequence: other.sequence,
            warm_up: other.warm_up,
            ..self.clone()
        };
        same_life != *other
    }

    /// Returns the entry as a message.
    pub fn to_message(&self) -> message::TargetBeat {
        message::TargetBeat {
            name: self.name.to_string(),
            service: self.service.to_string(),
            address: self.address.to_string(),
            domain: self.domain.to_string(),
            slots: self.slots,
            leaving: self.phase == TargetPhase::Leaving,
            gone: self.phase == TargetPhase::Gone,
            silent: self.silent,
            role: self.role.map(|role| role.to_string()).unwrap_or_default(),
            born_ms: self.born_ms,
            sequence: self.sequence,
            cold_ms: u64::try_from(self.warm_up.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Reads an entry from a message.
    ///
    /// # Errors
    ///
    /// Fails when the name or address can't be used.
    pub fn from_message(beat: &message::TargetBeat) -> Result<Self, EntryError> {
        let phase = match (beat.gone, beat.leaving) {
            (true, _) => TargetPhase::Gone,
            (false, true) => TargetPhase::Leaving,
            (false, false) => TargetPhase::Ready,
        };
        let address = beat.address.parse();
        Ok(Self {
            name: beat.name.parse()?,
            service: usher_types::ServiceName::new(beat.service.as_str()),
            address: address.map_err(|_| EntryError::Address(beat.address.clone()))?,
            domain: usher_types::DomainName::new(beat.domain.as_str()),
            slots: beat.slots,
            role: beat.role.parse().ok(),
            phase,
            silent: beat.silent,
            born_ms: beat.born_ms,
            sequence: beat.sequence,
            warm_up: time::Duration::from_millis(beat.cold_ms),
        })
    }
}
