//! The last known state of one target. Not for: lists of targets.

use std::{net, time};

use usher_wire::message;

/// An error in the record of a target.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TargetEntryError {
    /// The name isn't 1 to 200 printable characters without spaces.
    #[error("invalid target name: {0}")]
    Name(#[from] usher_types::ParseIdError),
    /// The address isn't IP:PORT.
    #[error("invalid target address {0:?}: expected IP:PORT")]
    Address(String),
}

usher_types::value_type! {
    /// The phase in the lifetime of a target's process; it never goes back.
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
    /// The last known state of a target.
    pub struct TargetEntry {
        /// Name of the target.
        pub name: usher_types::TargetName,
        /// Service whose calls it runs.
        pub service: usher_types::ServiceName,
        /// Address on which it listens.
        pub address: net::SocketAddr,
        /// Its failure domain.
        pub domain: usher_types::DomainName,
        /// Calls that it runs at once; 0 when not stated.
        pub slots: u32,
        /// Role of an engine; none for plain targets.
        pub role: Option<usher_types::EngineRole>,
        /// Phase of its lifetime.
        pub phase: TargetPhase,
        /// Whether it has missed several heartbeats.
        pub silent: bool,
        /// Start of its process, in ms since 1970; 0 when not stated.
        pub born_ms: u64,
        /// Number of the last heartbeat of this process.
        pub sequence: u64,
        /// Remaining warm-up after its start, as of that heartbeat.
        pub warm_up: time::Duration,
    }
}

impl TargetEntry {
    /// Makes the record of a target that is known only by its end.
    pub(crate) fn ended(name: usher_types::TargetName, born_ms: u64) -> Self {
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
    /// A later process start always is. For the same process the phase never goes back, then the
    /// heartbeat number decides, and silence is newer than the heartbeat that it follows.
    pub fn supersedes(&self, other: &Self) -> bool {
        if !self.is_process(other.born_ms) {
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

    /// Returns whether this is the entry of the process that began at `born_ms`. A start that isn't
    /// stated (0) counts as that of the known process.
    pub fn is_process(&self, born_ms: u64) -> bool {
        self.born_ms == 0 || born_ms == 0 || self.born_ms == born_ms
    }

    /// Returns the entry after the process has said that it is leaving.
    pub(crate) fn into_leaving(self) -> Self {
        Self {
            phase: TargetPhase::Leaving,
            ..self
        }
    }

    /// Returns whether any difference affects the decisions of a gateway.
    pub fn differs(&self, other: &Self) -> bool {
        let same_process = Self {
            sequence: other.sequence,
            warm_up: other.warm_up,
            ..self.clone()
        };
        same_process != *other
    }

    /// Converts the entry to a message.
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
    /// Fails when the name or the address is invalid.
    pub fn from_message(beat: &message::TargetBeat) -> Result<Self, TargetEntryError> {
        let phase = match (beat.gone, beat.leaving) {
            (true, _) => TargetPhase::Gone,
            (false, true) => TargetPhase::Leaving,
            (false, false) => TargetPhase::Ready,
        };
        let address = beat.address.parse();
        Ok(Self {
            name: beat.name.parse()?,
            service: usher_types::ServiceName::new(beat.service.as_str()),
            address: address.map_err(|_| TargetEntryError::Address(beat.address.clone()))?,
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
