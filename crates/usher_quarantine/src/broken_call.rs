//! A call whose connection to an engine broke. Not for: lists of them.

use std::{fmt, time};

use usher_wire::message;

use crate::PartId;

/// Maximum number of parts of a call that are kept; prompts have a few.
const MAX_PARTS: usize = 64;

usher_types::value_type! {
    /// How far an engine had come with a call when its connection broke.
    pub enum CallPhase {
        /// It read the prompt for another engine.
        Prefill,
        /// It had the call, and no event of its answer had arrived.
        NoEvent,
        /// At least one event of its answer had arrived.
        Streaming,
    }
}

impl CallPhase {
    /// Returns the phase of a call that is to generate an answer.
    pub fn of_events(events: u64) -> Self {
        if events == 0 {
            Self::NoEvent
        } else {
            Self::Streaming
        }
    }

    fn from_message(number: i32) -> Self {
        match message::BrokenCallPhase::try_from(number) {
            Ok(message::BrokenCallPhase::NoEvent) => Self::NoEvent,
            Ok(message::BrokenCallPhase::Streaming) => Self::Streaming,
            _ => Self::Prefill,
        }
    }

    fn to_message(self) -> message::BrokenCallPhase {
        match self {
            Self::Prefill => message::BrokenCallPhase::Prefill,
            Self::NoEvent => message::BrokenCallPhase::NoEvent,
            Self::Streaming => message::BrokenCallPhase::Streaming,
        }
    }
}

impl fmt::Display for CallPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Prefill => "prefill",
            Self::NoEvent => "no-event",
            Self::Streaming => "streaming",
        })
    }
}

usher_types::value_type! {
    /// A process of an engine, which can crash once.
    #[derive(Copy, Eq, Hash, Ord, PartialOrd)]
    pub struct EngineProcess {
        /// Key of the engine's name.
        pub engine: u64,
        /// Tells processes of one name apart: the start in ms since 1970, 0 when not stated, or an
        /// incarnation.
        pub incarnation: u64,
    }
}

usher_types::value_type! {
    /// A model call whose connection to an engine broke.
    pub struct BrokenCall {
        /// Key that differs between the sends of all calls.
        pub id: u64,
        /// Process of the engine that had the call.
        pub process: EngineProcess,
        /// Parts of the prompt that other calls may have too, sorted.
        pub parts: Vec<PartId>,
        /// Those of the parts that had a complete answer after the call broke, sorted.
        pub cleared: Vec<PartId>,
        /// How far the engine had come.
        pub phase: CallPhase,
        /// Time at which the call was sent to the engine.
        pub sent_at: time::Instant,
        /// Time at which the connection broke.
        pub broke_at: time::Instant,
    }
}

impl BrokenCall {
    /// Makes the record of a call that broke now.
    pub fn new(
        id: u64,
        process: EngineProcess,
        parts: impl Iterator<Item = PartId>,
        phase: CallPhase,
        times: (time::Instant, time::Instant),
    ) -> Self {
        let (sent_at, broke_at) = times;
        Self {
            id,
            process,
            parts: sorted(parts),
            cleared: Vec::new(),
            phase,
            sent_at,
            broke_at,
        }
    }

    /// Reads a record that was sent at `now`.
    pub fn from_message(call: &message::BrokenCall, now: time::Instant) -> Self {
        let before = |end: time::Instant, ms: u32| {
            let earlier = end.checked_sub(time::Duration::from_millis(u64::from(ms)));
            earlier.unwrap_or(end)
        };
        let broke_at = before(now, call.age_ms);
        let parts = |parts: &[u64]| sorted(parts.iter().copied().map(PartId::new));
        Self {
            id: call.id,
            process: EngineProcess {
                engine: call.engine,
                incarnation: call.born_ms,
            },
            parts: parts(&call.parts),
            cleared: parts(&call.cleared),
            phase: CallPhase::from_message(call.phase),
            sent_at: before(broke_at, call.elapsed_ms),
            broke_at,
        }
    }

    /// Writes the record, with times relative to `now`.
    pub fn to_message(&self, now: time::Instant) -> message::BrokenCall {
        let ms = |from: time::Instant, to: time::Instant| {
            let elapsed = to.saturating_duration_since(from).as_millis();
            u32::try_from(elapsed).unwrap_or(u32::MAX)
        };
        let parts = |parts: &[PartId]| parts.iter().map(|part| part.get()).collect();
        message::BrokenCall {
            id: self.id,
            engine: self.process.engine,
            born_ms: self.process.incarnation,
            parts: parts(&self.parts),
            cleared: parts(&self.cleared),
            phase: self.phase.to_message().into(),
            age_ms: ms(self.broke_at, now),
            elapsed_ms: ms(self.sent_at, self.broke_at),
        }
    }

    /// Returns the parts that may have crashed the engine.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = PartId> + '_ {
        let parts = self.parts.iter().copied();
        parts.filter(|part| self.cleared.binary_search(part).is_err())
    }

    /// Marks parts as cleared; returns whether one of them was a suspect.
    pub(crate) fn clear(&mut self, parts: &[PartId]) -> bool {
        let before = self.cleared.len();
        for part in parts {
            if self.parts.binary_search(part).is_ok() {
                if let Err(place) = self.cleared.binary_search(part) {
                    self.cleared.insert(place, *part);
                }
            }
        }
        self.cleared.len() != before
    }
}

fn sorted(parts: impl Iterator<Item = PartId>) -> Vec<PartId> {
    let mut parts: Vec<_> = parts.take(MAX_PARTS).collect();
    parts.sort_unstable();
    parts.dedup();
    parts
}
