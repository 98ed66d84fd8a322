//! The connection of a caller, as the account sees it. Not for: what others hold.

use std::time;

use crate::cost;

/// Time without a byte after which a body or an answer counts as stalled.
const STALL_TIME: time::Duration = time::Duration::from_secs(1);

/// Time without a byte after which a head, or a new connection, counts as stalled. A head has one or two packets, and a
/// lost one is sent again within this time.
const HEAD_STALL_TIME: time::Duration = time::Duration::from_millis(300);

/// Time after which an incomplete head counts as stalled: the longest legal one comes sooner at the
/// lowest rate.
const HEAD_TIME: time::Duration = time::Duration::from_secs(2);

/// Time from its beginning in which a body may be slower than the lowest rate.
const START_TIME: time::Duration = time::Duration::from_secs(2);

/// Lowest rate of a body that makes progress, in bytes per second.
const MIN_RATE: u128 = 32 * 1_024;

/// Identity of a holder in its account.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderId(pub(crate) u64);

usher_types::value_type! {
    /// What a connection is doing.
    pub enum HolderPhase {
        /// No byte has arrived yet.
        Silent,
        /// A head is arriving.
        Head,
        /// A body is arriving.
        Body,
        /// The call is complete; it runs, or its answer is being written.
        Call,
        /// An answer was written; the next request hasn't begun.
        Idle,
    }
}

impl HolderPhase {
    /// All phases.
    pub const ALL: [Self; 5] = [Self::Silent, Self::Head, Self::Body, Self::Call, Self::Idle];

    /// Returns the name of the phase in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Head => "head",
            Self::Body => "body",
            Self::Call => "call",
            Self::Idle => "idle",
        }
    }

    /// Returns whether the connection waits for the rest of a head.
    pub(crate) const fn lacks_head(self) -> bool {
        matches!(self, Self::Silent | Self::Head)
    }
}

/// The connection of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    pub(crate) phase: HolderPhase,
    /// Bytes charged for the connection itself.
    pub(crate) base: usize,
    /// Bytes charged for a body.
    pub(crate) body: usize,
    /// Bytes charged for running a call and for its answer.
    pub(crate) answer: usize,
    /// Begin of the phase.
    pub(crate) since: time::Instant,
    /// Time of the last byte, or of the last moment at which the process didn't read.
    pub(crate) progress: time::Instant,
    /// Time in this phase in which the process didn't read.
    pub(crate) unread: time::Duration,
    /// Bytes received in this phase.
    pub(crate) received: usize,
    /// Set while the process doesn't read, because it waits for room.
    pub(crate) waits_since: Option<time::Instant>,
    /// Set while the caller takes no byte of its answer.
    pub(crate) unwritten_since: Option<time::Instant>,
    /// The connection was told to end.
    pub(crate) ending: bool,
}

impl Holder {
    pub(crate) fn new(now: time::Instant) -> Self {
        Self {
            phase: HolderPhase::Silent,
            base: cost::PhaseCost::silent(),
            body: 0,
            answer: 0,
            since: now,
            progress: now,
            unread: time::Duration::ZERO,
            received: 0,
            waits_since: None,
            unwritten_since: None,
            ending: false,
        }
    }

    pub(crate) fn enter(&mut self, phase: HolderPhase, now: time::Instant) {
        self.phase = phase;
        self.since = now;
        self.progress = now;
        self.unread = time::Duration::ZERO;
        self.received = 0;
        self.waits_since = None;
        self.unwritten_since = None;
    }

    pub(crate) fn receive(&mut self, bytes: usize, now: time::Instant) {
        self.received = self.received.saturating_add(bytes);
        self.progress = now;
    }

    /// Records that the process waits for room for this holder, or that it reads again.
    pub(crate) fn set_waits(&mut self, waits: bool, now: time::Instant) {
        match (waits, self.waits_since) {
            (true, None) => self.waits_since = Some(now),
            (false, Some(since)) => {
                self.unread += now.saturating_duration_since(since);
                self.progress = now;
                self.waits_since = None;
            }
            _ => {}
        }
    }

    pub(crate) const fn bytes(&self) -> usize {
        self.base
            .saturating_add(self.body)
            .saturating_add(self.answer)
    }

    /// Returns whether a head, a body or the reading of an answer makes no progress.
    pub(crate) fn is_stalled(&self, now: time::Instant) -> bool {
        if self.waits_since.is_some() {
            return false;
        }
        let is_unread = |since| now.saturating_duration_since(since) >= STALL_TIME;
        if self.unwritten_since.is_some_and(is_unread) {
            return true;
        }
        match self.phase {
            HolderPhase::Silent | HolderPhase::Head => {
                now.saturating_duration_since(self.progress) >= HEAD_STALL_TIME
                    || now.saturating_duration_since(self.since) >= HEAD_TIME
            }
            HolderPhase::Body => {
                let age = now.saturating_duration_since(self.since);
                let read = age.saturating_sub(self.unread).saturating_sub(START_TIME);
                let expected = read.as_millis() * MIN_RATE / 1_000;
                now.saturating_duration_since(self.progress) >= STALL_TIME
                    || (self.received as u128) < expected
            }
            HolderPhase::Call | HolderPhase::Idle => false,
        }
    }

    /// Returns what the holder has cost the others: bytes times the milliseconds of the phase.
    pub(crate) fn cost(&self, now: time::Instant) -> u128 {
        let age = now.saturating_duration_since(self.since);
        self.bytes() as u128 * age.as_millis()
    }
}
