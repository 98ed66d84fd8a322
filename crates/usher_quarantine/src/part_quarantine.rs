//! The prompt parts whose calls are refused at present. Not for: sending what is known of them.

use std::{collections, time};

use crate::{broken_call::BrokenCall, call_log, culprit, PartId};

usher_types::value_type! {
    /// Prompt parts that crash engines; calls that have all of them are refused.
    pub struct QuarantinedParts {
        /// The parts, sorted.
        pub parts: Vec<PartId>,
        /// Number of engine processes that crashed.
        pub crashes: usize,
        /// Time at which the first of the crashes is forgotten.
        pub until: time::Instant,
    }
}

impl QuarantinedParts {
    /// Returns the parts as text.
    pub fn to_text(&self) -> String {
        let parts: Vec<_> = self.parts.iter().map(PartId::to_string).collect();
        parts.join(",")
    }
}

/// The quarantines that a change began and ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuarantineChange {
    /// Those that began.
    pub began: Vec<QuarantinedParts>,
    /// Those that ended: their parts were answered, or the crashes were forgotten.
    pub ended: Vec<QuarantinedParts>,
}

/// Decides from broken calls which prompt parts crash engines.
///
/// A part is sound as soon as a call with it is answered completely. Parts whose calls crash one
/// engine after the other without that are in quarantine until the crashes are forgotten; then a
/// single further crash is enough.
///
/// ```
/// use std::time::{Duration, Instant};
/// use usher_quarantine::{BrokenCall, CallPhase, EngineProcess, PartId, PartQuarantine};
///
/// let (start, second) = (Instant::now(), Duration::from_secs(1));
/// let mut quarantine = PartQuarantine::new(Duration::from_secs(600));
/// let parts = [PartId::new(1)];
/// for crash in 1..=3 {
///     assert!(quarantine.find(&parts).is_none());
///     let broke_at = start + second * crash;
///     let process = EngineProcess { engine: u64::from(crash), incarnation: 0 };
///     let call = BrokenCall::new(
///         u64::from(crash),
///         process,
///         parts.iter().copied(),
///         CallPhase::NoEvent,
///         (broke_at - second / 2, broke_at),
///     );
///     quarantine.record(call, broke_at);
/// }
/// assert!(quarantine.find(&parts).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct PartQuarantine {
    log: call_log::CallLog,
    quarantined: Vec<QuarantinedParts>,
    /// Ids of the calls that show why.
    evidence: collections::BTreeSet<u64>,
    lifetime: time::Duration,
}

impl PartQuarantine {
    /// Makes an empty quarantine, which forgets a crash after a time.
    pub fn new(lifetime: time::Duration) -> Self {
        Self {
            log: call_log::CallLog::default(),
            quarantined: Vec::new(),
            evidence: collections::BTreeSet::new(),
            lifetime,
        }
    }

    /// Records a call that broke at an engine of this process.
    pub fn record(&mut self, call: BrokenCall, now: time::Instant) -> QuarantineChange {
        let changed = !call.parts.is_empty() && self.log.add(call, true);
        self.refresh(changed, now)
    }

    /// Merges calls that other processes recorded.
    pub fn merge<I>(&mut self, calls: I, now: time::Instant) -> QuarantineChange
    where
        I: IntoIterator<Item = BrokenCall>,
    {
        let mut changed = false;
        for call in calls {
            changed |= !call.parts.is_empty() && self.log.add(call, false);
        }
        self.refresh(changed, now)
    }

    /// Records a complete answer to a call with these parts.
    pub fn clear(&mut self, parts: &[PartId], now: time::Instant) -> QuarantineChange {
        let changed = self.log.clear(parts);
        self.refresh(changed, now)
    }

    /// Forgets crashes whose lifetime is over.
    pub fn expire(&mut self, now: time::Instant) -> QuarantineChange {
        self.refresh(false, now)
    }

    /// Returns the quarantine that a call with these parts, in any order, falls under.
    pub fn find(&self, parts: &[PartId]) -> Option<&QuarantinedParts> {
        let mut quarantined = self.quarantined.iter();
        quarantined.find(|quarantined| quarantined.parts.iter().all(|part| parts.contains(part)))
    }

    /// Returns what is in quarantine.
    pub fn quarantined(&self) -> &[QuarantinedParts] {
        &self.quarantined
    }

    /// Returns the calls that show why parts are in quarantine.
    pub fn evidence(&self) -> impl Iterator<Item = &BrokenCall> {
        let calls = self.log.calls();
        calls.filter(|call| self.evidence.contains(&call.id))
    }

    /// Returns the number of the last change of the calls.
    pub fn last_change(&self) -> u64 {
        self.log.last_change()
    }

    /// Returns the calls that changed after the change with a number.
    pub fn changes_since(&self, number: u64) -> impl Iterator<Item = &BrokenCall> {
        self.log.changes_since(number, false)
    }

    /// Returns the calls that this process itself changed after the change with a number.
    pub fn own_changes_since(&self, number: u64) -> impl Iterator<Item = &BrokenCall> {
        self.log.changes_since(number, true)
    }

    fn refresh(&mut self, changed: bool, now: time::Instant) -> QuarantineChange {
        let oldest = now.checked_sub(self.lifetime);
        let evidence = &self.evidence;
        let removed = self.log.expire(oldest, |id| evidence.contains(&id));
        if !changed && !removed {
            return QuarantineChange::default();
        }
        let culprits = culprit::find_culprits(self.log.calls());
        let evidence = culprits.iter().flat_map(|culprit| &culprit.calls);
        self.evidence = evidence.copied().collect();
        let quarantined = culprits.into_iter().map(|culprit| QuarantinedParts {
            parts: culprit.parts,
            crashes: culprit.crashes,
            until: culprit.first_crash + self.lifetime,
        });
        let before = std::mem::replace(&mut self.quarantined, quarantined.collect());
        let missing = |from: &[QuarantinedParts], of: &[QuarantinedParts]| {
            let is_missing =
                |one: &&QuarantinedParts| !from.iter().any(|other| other.parts == one.parts);
            of.iter().filter(is_missing).cloned().collect()
        };
        QuarantineChange {
            began: missing(&before, &self.quarantined),
            ended: missing(&self.quarantined, &before),
        }
    }
}
