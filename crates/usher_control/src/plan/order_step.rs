//! Decides the next step of an order in flight. Not for: planning or sending orders.

use usher_state::{OrderRecord, TargetRegistration};
use usher_wire::message;

usher_types::value_type! {
    /// Whether the current leader has sent an order.
    pub enum SendState {
        /// This leader hasn't sent it; an earlier leader may have.
        NotSent,
        /// This leader sent it; the engine may have received it.
        Sent,
        /// The engine refused it, because it has seen a higher fencing number or the order is
        /// invalid.
        Refused,
    }
}

usher_types::value_type! {
    /// State read back from an engine.
    pub struct EngineReading {
        /// Highest fencing number that the engine has seen.
        pub fence: u64,
        /// Loaded model, adapters, and role.
        pub shape: message::EngineShape,
        /// Whether it is carrying out a change.
        pub changing: bool,
        /// Whether it accepts no new calls because of a drain order.
        pub draining: bool,
        /// Number of requests in flight.
        pub running: u32,
    }
}

usher_types::value_type! {
    /// The next step of an order.
    pub struct OrderStep {
        /// Action to take.
        pub action: OrderAction,
        /// Reason, recorded in the result of the order.
        pub detail: String,
    }
}

usher_types::value_type! {
    /// Action on an order in flight.
    pub enum OrderAction {
        /// Read the engine again later.
        Wait,
        /// Send the order with its fencing number.
        Send,
        /// Commit a success.
        Succeed,
        /// Commit a failure; the next plan decides how to continue.
        Fail,
    }
}

impl OrderStep {
    fn new(action: OrderAction, detail: impl Into<String>) -> Self {
        Self {
            action,
            detail: detail.into(),
        }
    }
}

/// Decides the next step of an order; `reading` is `None` if the engine can't be reached.
///
/// The same rules apply after a leader change at any point: an unsent order is sent, a completed
/// one succeeds, and one that can no longer complete fails, so that the next plan replaces it by an
/// order with a higher fencing number.
pub fn next_step(
    order: &OrderRecord,
    target: Option<&TargetRegistration>,
    reading: Option<&EngineReading>,
    sent: SendState,
) -> OrderStep {
    let Some(intent) = order.intent.as_ref() else {
        return OrderStep::new(OrderAction::Fail, "the order has no intent");
    };
    let Some(target) = target.filter(|target| !target.gone) else {
        return OrderStep::new(OrderAction::Fail, "the engine is gone");
    };
    if target.record.incarnation != intent.incarnation {
        let text = format!("the engine restarted as {}", target.record.incarnation);
        return OrderStep::new(OrderAction::Fail, text);
    }
    let Some(reading) = reading else {
        return OrderStep::new(OrderAction::Wait, "the engine can't be reached");
    };
    if reading.changing {
        return OrderStep::new(OrderAction::Wait, "the engine is changing");
    }
    if is_done(intent, reading) {
        // A drained engine may still run stragglers, which are never aborted.
        return if intent.kind() == message::OrderKind::Drain && reading.running > 0 {
            OrderStep::new(
                OrderAction::Wait,
                format!("{} requests are in flight", reading.running),
            )
        } else {
            OrderStep::new(OrderAction::Succeed, "read back as ordered")
        };
    }
    if reading.fence > order.fence {
        let text = format!("the engine has seen the higher number {}", reading.fence);
        return OrderStep::new(OrderAction::Fail, text);
    }
    match sent {
        SendState::NotSent => OrderStep::new(OrderAction::Send, "not sent by this leader"),
        SendState::Sent => OrderStep::new(OrderAction::Fail, "sent, and read back as different"),
        SendState::Refused => OrderStep::new(OrderAction::Fail, "the engine refused it"),
    }
}

/// Returns whether the state of an engine satisfies an order.
pub(crate) fn is_done(intent: &message::OrderIntent, reading: &EngineReading) -> bool {
    let wanted = intent.shape.clone().unwrap_or_default();
    match intent.kind() {
        message::OrderKind::Drain => reading.draining,
        message::OrderKind::Role => reading.shape.role == wanted.role,
        message::OrderKind::Load => {
            let has = |adapter| reading.shape.adapters.contains(adapter);
            reading.shape.model == wanted.model
                && reading.shape.version == wanted.version
                && wanted.adapters.iter().all(has)
        }
        message::OrderKind::Unspecified => true,
    }
}

/// Returns an order that restores an engine that ignores fencing numbers, if its state differs from
/// that of its last order.
///
/// A sender that is paused after its last lease check, for longer than a new leader waits, can
/// still change such an engine. The correction has a new fencing number and the shape of the last
/// order.
pub fn correction(
    record: &message::TargetRecord,
    last: &message::OrderIntent,
    reading: &EngineReading,
) -> Option<message::OrderIntent> {
    let same_incarnation = last.incarnation == record.incarnation;
    if record.leaving || reading.changing || !same_incarnation {
        return None;
    }
    if last.kind() == message::OrderKind::Drain || is_done(last, reading) {
        return None;
    }
    Some(message::OrderIntent {
        reason: "correction: read back as different from the last order".to_owned(),
        ..last.clone()
    })
}
