//! What ran at an engine whose connection broke. Not for: what follows from it.

use std::{fmt, time};

use usher_roster::TargetEntry;

use crate::{call, core, dialect};

usher_types::value_type! {
    /// How far an engine had come with a call when its connection broke.
    pub(crate) enum CallPhase {
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
    pub(crate) fn of_events(events: u64) -> Self {
        if events == 0 {
            Self::NoEvent
        } else {
            Self::Streaming
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

impl<D, C> core::GatewayCore<D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    /// Records that the connection to an engine broke while it had a model call, which was sent at
    /// `sent_at`.
    pub(crate) fn record_broken_call(
        &self,
        call: &call::RoutedCall,
        target: &TargetEntry,
        phase: CallPhase,
        sent_at: time::Instant,
    ) {
        let Some(work) = &call.metadata.work else {
            return;
        };
        self.metrics.call_broken(&call.service, phase);
        let parts = work.shared_parts();
        let parts: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
        let elapsed = self.clock.now().saturating_duration_since(sent_at);
        tracing::info!(
            request = %call.id,
            route = %call.route.name,
            target_name = %target.name,
            born_ms = target.born_ms,
            %phase,
            parts = parts.join(","),
            elapsed_ms = elapsed.as_millis(),
            "connection to an engine broke while it had a call"
        );
    }
}
