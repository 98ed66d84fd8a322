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
    /// No connection can be made to the address.
    #[error("no connection can be made to target address {0}")]
    Unreachable(net::SocketAddr),
    /// The start is a number that isn't exact in JSON, or lies in the future.
    #[error("start {born_ms} ms since 1970 lies too far in the future")]
    Start {
        /// The stated start.
        born_ms: u64,
    },
    /// The number of the heartbeat is too large for the time since the start.
    #[error("no process has sent {sequence} heartbeats since {born_ms} ms since 1970")]
    Sequence {
        /// The stated number.
        sequence: u64,
        /// Start of the process.
        born_ms: u64,
    },
}

/// Largest number that each reader of JSON takes exactly (RFC 8259, section 6); targets write theirs
/// as JSON.
const MAX_EXACT_NUMBER: u64 = (1 << 53) - 1;

/// Largest difference between the wall clocks of a target and of a process of the system. Clocks of
/// VMs differ by milliseconds and jump by seconds at times; one that is wrong by more than this needs
/// an operator.
const MAX_CLOCK_DIFFERENCE: time::Duration = time::Duration::from_secs(600);

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
        /// Whether its engine may be taken away at any time, with all others of its kind and domain.
        pub reclaimable: bool,
    }
}

impl TargetEntry {
    /// Makes the record of a target that is known only by its end.
    pub fn ended(name: usher_types::TargetName, born_ms: u64) -> Self {
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
            reclaimable: false,
        }
    }

    /// Checks that a sound process may have sent the entry, whoever passes it on; `wall` is the time
    /// of day here.
    ///
    /// The highest start and number of one name win. A number that no process can have, written by a
    /// faulty or foreign writer, would hide the real one for good.
    ///
    /// # Errors
    ///
    /// Fails when the start lies in the future, when the process can't have sent so many heartbeats
    /// (one a millisecond is far more than any sends), or when nothing can listen on the address.
    pub fn check(&self, wall: time::SystemTime) -> Result<(), TargetEntryError> {
        let born_ms = self.born_ms;
        let latest = wall + MAX_CLOCK_DIFFERENCE;
        let latest = latest
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or(MAX_CLOCK_DIFFERENCE);
        let latest_ms = u64::try_from(latest.as_millis()).unwrap_or(u64::MAX);
        if born_ms > latest_ms.min(MAX_EXACT_NUMBER) {
            return Err(TargetEntryError::Start { born_ms });
        }
        let sequence = self.sequence;
        if sequence > (latest_ms - born_ms).min(MAX_EXACT_NUMBER) {
            return Err(TargetEntryError::Sequence { sequence, born_ms });
        }
        let ip = self.address.ip();
        let is_callable = self.address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
        // The entry of a target that is known only by its end has no address.
        if self.phase != TargetPhase::Gone && !is_callable {
            return Err(TargetEntryError::Unreachable(self.address));
        }
        Ok(())
    }

    /// Returns whether new work may be sent to the target.
    pub fn takes_work(&self) -> bool {
        self.phase == TargetPhase::Ready && !self.silent
    }

    /// Returns whether the process has said that it is leaving, or has ended.
    pub fn has_left(&self) -> bool {
        self.phase != TargetPhase::Ready
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
            reclaimable: self.reclaimable,
        }
    }

    /// Reads an entry from a message.
    ///
    /// # Errors
    ///
    /// Fails when the name or the address is invalid, or as [`Self::check`] does.
    pub fn from_message(
        beat: &message::TargetBeat,
        wall: time::SystemTime,
    ) -> Result<Self, TargetEntryError> {
        let phase = match (beat.gone, beat.leaving) {
            (true, _) => TargetPhase::Gone,
            (false, true) => TargetPhase::Leaving,
            (false, false) => TargetPhase::Ready,
        };
        let address = beat.address.parse();
        let entry = Self {
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
            reclaimable: beat.reclaimable,
        };
        entry.check(wall)?;
        Ok(entry)
    }
}
