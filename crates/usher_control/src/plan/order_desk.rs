//! Decides the next step of an order in flight. Not for: giving orders, nor for sending them.

use usher_state::{OrderRecord, TargetSlot};
use usher_wire::message;

usher_types::value_type! {
    /// What is known of sending an order in this leadership.
    pub enum SendState {
        /// This leader hasn't sent it; an earlier leader may have.
        NotSent,
        /// This leader sent it; the engine may have received it.
        Sent,
        /// The engine refused it with a higher fencing number or as invalid.
        Refused,
    }
}

usher_types::value_type! {
    /// An engine's state as it was read back.
    pub struct EngineReading {
        /// Highest fencing number that the engine has seen.
        pub fence: u64,
        /// What it has loaded and does.
        pub shape: message::EngineShape,
        /// Whether it is carrying out a change.
        pub changing: bool,
        /// Whether it takes no new work because of a drain order.
        pub draining: bool,
        /// How many requests are running on it.
        pub running: u32,
    }
}

usher_types::value_type! {
    /// The next step of an order.
    pub struct OrderStep {
        /// What to do.
        pub action: OrderAction,
        /// Why, for the result.
        pub detail: String,
    }
}

usher_types::value_type! {
    /// What to do with an order.
    pub enum OrderAction {
        /// Read the engine again later.
        Wait,
        /// Send the order under its number.
        Send,
        /// Commit that it was carried out.
        Succeed,
        /// Commit that it was not; the next plan decides what follows.
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

/// Decides the next step of an order; `reading` is `None` when the engine can't be reached.
///
/// The same steps apply after a leader change at any point: an order that was not sent is sent,
/// one that was carried out is completed, and one that can't be carried out any more is failed,
/// which lets the plan compensate with a new order under a higher number.
pub fn next_step(
    order: &OrderRecord,
    target: Option<&TargetSlot>,
    reading: Option<&EngineReading>,
    sent: SendState,
) -> OrderStep {
    let Some(intent) = order.intent.as_ref() else {
        return OrderStep::new(OrderAction::Fail, "the order has no intent");
    };
    let Some(slot) = target.filter(|slot| !slot.gone) else {
        return OrderStep::new(OrderAction::Fail, "the engine is gone");
    };
    if slot.record.incarnation != intent.incarnation {
        let text = format!("the engine restarted as {}", slot.record.incarnation);
        return OrderStep::new(OrderAction::Fail, text);
    }
    let Some(reading) = reading else {
        return OrderStep::new(OrderAction::Wait, "the engine can't be reached");
    };
    if reading.changing {
        return OrderStep::new(OrderAction::Wait, "the engine is changing");
    }
    if is_done(intent, reading) {
        // A drained engine may still run stragglers, and they are never cut short.
        return if intent.kind() == message::OrderKind::Drain && reading.running > 0 {
            OrderStep::new(
                OrderAction::Wait,
                format!("{} requests run", reading.running),
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

/// Returns whether an engine is as an order wants it.
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

/// Returns the order that corrects an engine that ignores fencing numbers, when its state no
/// longer is what its last order made it.
///
/// A sender that was paused after its last lease check for longer than the wait can change such
/// an engine; the correction has a new number and the shape of the last order.
pub fn correction(
    record: &message::TargetRecord,
    last: &message::OrderIntent,
    reading: &EngineReading,
) -> Option<message::OrderIntent> {
    let same_life = last.incarnation == record.incarnation;
    if record.leaving || reading.changing || !same_life {
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
