//! The orders to engines and their fencing numbers. Not for: sending orders.

use std::collections;

use prost::Message;
use usher_wire::message;

use crate::{mechanism, snapshot, target_table, violation_log};

/// The maximum number of ended orders that are kept for status and explanations.
pub const MAX_ENDED_ORDERS: usize = 1_024;

/// An order whose intent has been committed.
#[derive(Clone, PartialEq, Message)]
pub struct OrderRecord {
    /// The fencing number, which is the log index of the intent; the engine refuses lower ones.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// The requested change.
    #[prost(message, optional, tag = "2")]
    pub intent: Option<message::OrderIntent>,
    /// The time of the intent, in ms since 1970.
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
}

/// An order whose result has been committed.
#[derive(Clone, PartialEq, Message)]
pub struct OrderEnd {
    /// The order.
    #[prost(message, optional, tag = "1")]
    pub order: Option<OrderRecord>,
    /// The result of the order.
    #[prost(message, optional, tag = "2")]
    pub result: Option<message::OrderResult>,
    /// The time of the result, in ms since 1970.
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
}

/// Holds the orders in flight, at most one per engine, and the newest ended ones.
///
/// If an engine restarts, its order stays in flight until the sender has read back the state of
/// the engine and committed a result. Otherwise a second order could overtake the first.
#[derive(Clone, Debug, Default)]
pub struct OrderTable {
    in_flight: collections::BTreeMap<String, OrderRecord>,
    ended: collections::VecDeque<OrderEnd>,
    last_fences: collections::BTreeMap<String, u64>,
    pub(crate) violations: violation_log::ViolationLog,
}

impl OrderTable {
    /// Returns the order in flight for an engine.
    pub fn in_flight_of(&self, engine: &str) -> Option<&OrderRecord> {
        self.in_flight.get(engine)
    }

    /// Returns the orders in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = &OrderRecord> {
        self.in_flight.values()
    }

    /// Returns the newest ended orders, oldest first.
    pub fn ended(&self) -> impl Iterator<Item = &OrderEnd> {
        self.ended.iter()
    }

    /// Returns the newest fencing number of an engine, or 0 before its first order.
    pub fn last_fence(&self, engine: &str) -> u64 {
        self.last_fences.get(engine).copied().unwrap_or(0)
    }

    /// Accepts or refuses an intent; the log index becomes the fencing number of an accepted one.
    pub(crate) fn start(
        &mut self,
        index: u64,
        at_ms: u64,
        intent: message::OrderIntent,
        targets: &target_table::TargetTable,
        disabled: Option<mechanism::StateMechanism>,
    ) -> message::OrderOutcome {
        let refusal = self.refusal(&intent, targets, disabled);
        if let Some(reason) = refusal {
            return message::OrderOutcome {
                accepted: false,
                fence: self.last_fence(&intent.engine),
                reason,
            };
        }
        violation_log::check!(
            self.violations,
            "order.one_in_flight",
            !self.in_flight.contains_key(&intent.engine),
            "engine {} has two orders in flight",
            intent.engine
        );
        violation_log::check!(
            self.violations,
            "order.fence_goes_up",
            index > self.last_fence(&intent.engine),
            "fencing number {index} of engine {} is not higher than the last one, {}",
            intent.engine,
            self.last_fence(&intent.engine)
        );
        let registered = targets
            .find(&intent.engine)
            .is_some_and(|target| target.record.incarnation == intent.incarnation);
        violation_log::check!(
            self.violations,
            "order.incarnation_is_registered",
            registered,
            "engine {} is not registered with incarnation {}",
            intent.engine,
            intent.incarnation
        );
        let engine = intent.engine.clone();
        let record = OrderRecord {
            fence: index,
            intent: Some(intent),
            at_ms,
        };
        self.last_fences.insert(engine.clone(), index);
        self.in_flight.insert(engine, record);
        message::OrderOutcome {
            accepted: true,
            fence: index,
            reason: String::new(),
        }
    }

    fn refusal(
        &self,
        intent: &message::OrderIntent,
        targets: &target_table::TargetTable,
        disabled: Option<mechanism::StateMechanism>,
    ) -> Option<String> {
        let is_enabled = |mechanism| mechanism::is_enabled(disabled, mechanism);
        if intent.kind() == message::OrderKind::Unspecified {
            return Some("order has no kind".to_owned());
        }
        let Some(target) = targets.find(&intent.engine) else {
            return Some(format!("engine {:?} is not registered", intent.engine));
        };
        if target.record.kind != usher_types::TargetKind::Engine.to_string() {
            return Some(format!("target {} is not an engine", intent.engine));
        }
        let current = !target.gone && target.record.incarnation == intent.incarnation;
        if !current && is_enabled(mechanism::StateMechanism::OrderIncarnation) {
            return Some(format!(
                "engine {} is gone or has incarnation {}; the order is for incarnation {}",
                intent.engine, target.record.incarnation, intent.incarnation
            ));
        }
        let busy = self.in_flight.get(&intent.engine)?;
        is_enabled(mechanism::StateMechanism::OrderInFlight)
            .then(|| format!("order {} is already in flight", busy.fence))
    }

    /// Ends the order in flight with its result. A repeated result changes nothing, and succeeds
    /// unless another order is in flight.
    pub(crate) fn finish(
        &mut self,
        at_ms: u64,
        result: message::OrderResult,
        disabled: Option<mechanism::StateMechanism>,
    ) -> Result<(), String> {
        let repeated = self.ended.iter().any(|end| {
            end.result
                .as_ref()
                .is_some_and(|kept| kept.engine == result.engine && kept.fence == result.fence)
        });
        let Some(order) = self.in_flight.get(&result.engine) else {
            return if repeated {
                Ok(())
            } else {
                Err(format!("engine {} has no order in flight", result.engine))
            };
        };
        let current = order.fence == result.fence;
        if !current && mechanism::is_enabled(disabled, mechanism::StateMechanism::OrderFence) {
            return Err(format!(
                "order {} is in flight, but the result is for order {}",
                order.fence, result.fence
            ));
        }
        violation_log::check!(
            self.violations,
            "order.result_of_current",
            current,
            "the result of order {} ended another order of engine {}",
            result.fence,
            result.engine
        );
        let order = self.in_flight.remove(&result.engine);
        self.push_ended(OrderEnd {
            order,
            result: Some(result),
            at_ms,
        });
        Ok(())
    }

    fn push_ended(&mut self, end: OrderEnd) {
        if self.ended.len() == MAX_ENDED_ORDERS {
            self.ended.pop_front();
        }
        self.ended.push_back(end);
    }

    /// Returns the part of a snapshot that holds the table.
    pub(crate) fn save(&self) -> snapshot::OrderPart {
        let fences = self
            .last_fences
            .iter()
            .map(|(engine, fence)| snapshot::FencePart {
                engine: engine.clone(),
                fence: *fence,
            });
        snapshot::OrderPart {
            in_flight: self.in_flight.values().cloned().collect(),
            ended: self.ended.iter().cloned().collect(),
            last_fences: fences.collect(),
        }
    }

    /// Restores the table from its part of a snapshot.
    pub(crate) fn load(part: snapshot::OrderPart) -> Result<Self, String> {
        let mut table = Self::default();
        for order in part.in_flight {
            let intent = order.intent.as_ref().ok_or("order has no intent")?;
            table.in_flight.insert(intent.engine.clone(), order);
        }
        part.ended.into_iter().for_each(|end| table.push_ended(end));
        let fences = part.last_fences.into_iter();
        table.last_fences = fences.map(|part| (part.engine, part.fence)).collect();
        Ok(table)
    }
}
