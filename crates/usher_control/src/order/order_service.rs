//! Gives orders while this node leads: plans, drains and corrections. Not for: driving one.

use std::{collections, sync, time};

use usher_state::{FleetState, OrderEnd};
use usher_wire::message::{self, state_command, state_outcome};

use crate::{
    fleet,
    order::{engine_link, order_driver, order_memory},
    plan,
};

/// How often the fleet is compared with the sheet.
const INTERVAL: time::Duration = time::Duration::from_millis(200);

/// What the order service works with.
pub(crate) struct OrderParts<C> {
    pub(crate) access: fleet::FleetAccess,
    pub(crate) router: sync::Arc<fleet::CommandRouter<C>>,
    pub(crate) link: engine_link::EngineLink,
    pub(crate) rules: plan::PlanRules,
    pub(crate) bucket: plan::LoadBucket,
    pub(crate) stop: usher_kernel::StopSignal,
    pub(crate) clock: C,
}

/// What one look at the replicated state gives.
struct OrderView {
    sheet: String,
    targets: Vec<message::TargetRecord>,
    in_flight: Vec<usher_state::OrderRecord>,
    drains: Vec<message::TargetRecord>,
    last: collections::BTreeMap<String, message::OrderIntent>,
}

/// Result of the driver of one order.
type DriveResult = (String, Option<bool>);

/// Gives orders until the task is aborted; starts none while the node is stopping.
pub(crate) async fn run_orders<C>(parts: OrderParts<C>)
where
    C: usher_types::ClockSource,
{
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut memory: Option<order_memory::OrderMemory> = None;
    let mut driven = collections::BTreeSet::new();
    let mut drivers = tokio::task::JoinSet::<DriveResult>::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(result) = drivers.join_next() => {
                if let Ok((engine, succeeded)) = result {
                    driven.remove(&engine);
                    if let (Some(memory), Some(false)) = (memory.as_mut(), succeeded) {
                        memory.hold_back(&engine, parts.clock.now());
                    }
                }
                continue;
            }
        }
        let status = parts.access.status();
        let now = parts.clock.now();
        if status.role != usher_replica::ReplicaRole::Leader {
            memory = None;
            continue;
        }
        let current = memory.take().filter(|memory| memory.term == status.term);
        let current = memory.insert(current.unwrap_or_else(|| {
            order_memory::OrderMemory::new(status.term, parts.bucket.clone(), now)
        }));
        if !current.has_waited(now) || parts.stop.is_draining() {
            continue;
        }
        let Ok(view) = parts.access.read(look).await else {
            continue;
        };
        for order in &view.in_flight {
            let engine = order.intent.as_ref().map(|intent| intent.engine.clone());
            let Some(engine) = engine.filter(|engine| driven.insert(engine.clone())) else {
                continue;
            };
            let driver = order_driver::OrderDriver {
                access: parts.access.clone(),
                router: parts.router.clone(),
                link: parts.link,
                clock: parts.clock.clone(),
                term: status.term,
                order: order.clone(),
            };
            drivers.spawn(async move { (engine, driver.run().await) });
        }
        let intents = parts.next_intents(&view, current, &driven).await;
        for intent in intents {
            parts.give(intent, current).await;
        }
    }
}

fn look(state: &FleetState) -> OrderView {
    let drains = state.targets().iter().filter(|slot| {
        let record = &slot.record;
        let engine = record.kind == usher_types::TargetKind::Engine.to_string();
        let drained = || state.orders().ended().any(|end| is_drain_of(end, record));
        engine && !slot.gone && !slot.leaving_by.is_empty() && !drained()
    });
    let mut last = collections::BTreeMap::new();
    for end in state.orders().ended() {
        let succeeded = end.result.as_ref().is_some_and(|result| result.succeeded);
        let intent = end.order.as_ref().and_then(|order| order.intent.as_ref());
        if let Some(intent) = intent.filter(|_| succeeded) {
            last.insert(intent.engine.clone(), intent.clone());
        }
    }
    OrderView {
        sheet: state.config().sheet().to_owned(),
        targets: state.targets().present().cloned().collect(),
        in_flight: state.orders().in_flight().cloned().collect(),
        drains: drains.map(|slot| slot.record.clone()).collect(),
        last,
    }
}

fn is_drain_of(end: &OrderEnd, record: &message::TargetRecord) -> bool {
    let succeeded = end.result.as_ref().is_some_and(|result| result.succeeded);
    let intent = end.order.as_ref().and_then(|order| order.intent.as_ref());
    succeeded
        && intent.is_some_and(|intent| {
            intent.kind() == message::OrderKind::Drain
                && intent.engine == record.name
                && intent.incarnation == record.incarnation
        })
}

impl<C> OrderParts<C>
where
    C: usher_types::ClockSource,
{
    /// Returns the intents to propose now: drains, corrections, then the plan.
    async fn next_intents(
        &self,
        view: &OrderView,
        memory: &mut order_memory::OrderMemory,
        driven: &collections::BTreeSet<String>,
    ) -> Vec<message::OrderIntent> {
        let now = self.clock.now();
        let mut busy = driven.clone();
        let in_flight = view.in_flight.iter();
        busy.extend(in_flight.filter_map(|order| Some(order.intent.as_ref()?.engine.clone())));
        let held_back = memory.held_back(now);
        let mut intents = Vec::new();
        for record in &view.drains {
            let is_free = !busy.contains(&record.name) && !held_back.contains(&record.name);
            if memory.is_left(&record.name, record.incarnation, now) && is_free {
                intents.push(drain_intent(record));
            }
        }
        if now >= memory.next_read_back {
            memory.next_read_back = now + plan::READ_BACK;
            intents.extend(self.corrections(view, &busy).await);
        }
        busy.extend(intents.iter().map(|intent| intent.engine.clone()));
        let Ok(sheet) = usher_config::FleetSheet::parse(&view.sheet) else {
            return intents;
        };
        let fleet = plan::FleetView {
            sheet: &sheet,
            targets: &view.targets,
            busy: &busy,
            held_back: &held_back,
        };
        let planned = plan::plan_fleet(fleet, self.rules);
        intents.extend(planned.into_iter().map(|order| order.intent));
        intents
    }

    /// Reads back the engines that ignore fencing numbers.
    async fn corrections(
        &self,
        view: &OrderView,
        busy: &collections::BTreeSet<String>,
    ) -> Vec<message::OrderIntent> {
        let mut reads = tokio::task::JoinSet::new();
        for record in &view.targets {
            let unfenced = !record.fenced && !busy.contains(&record.name);
            let Some(last) = view.last.get(&record.name).filter(|_| unfenced) else {
                continue;
            };
            let (link, record, last) = (self.link, record.clone(), last.clone());
            reads.spawn(async move {
                let reading = link.read(&record.address).await?;
                plan::correction(&record, &last, &reading)
            });
        }
        let corrections = reads.join_all().await;
        corrections.into_iter().flatten().collect()
    }

    /// Commits an intent; the next look finds the order in flight and drives it.
    async fn give(&self, intent: message::OrderIntent, memory: &mut order_memory::OrderMemory) {
        let now = self.clock.now();
        let load = intent.kind() == message::OrderKind::Load;
        if load && !memory.bucket.take(now) {
            return;
        }
        let engine = intent.engine.clone();
        let kind = state_command::Kind::OrderIntent(intent);
        match self.router.propose_here(kind).await {
            Ok(message::StateOutcome {
                kind: Some(state_outcome::Kind::Order(outcome)),
            }) if outcome.accepted => {
                tracing::info!(%engine, fence = outcome.fence, "order given");
            }
            Ok(outcome) => {
                tracing::debug!(%engine, ?outcome, "order refused");
                memory.hold_back(&engine, now);
            }
            Err(error) => tracing::debug!(%engine, %error, "order not committed"),
        }
    }
}

fn drain_intent(record: &message::TargetRecord) -> message::OrderIntent {
    message::OrderIntent {
        engine: record.name.clone(),
        incarnation: record.incarnation,
        kind: message::OrderKind::Drain.into(),
        shape: record.shape.clone(),
        reason: "an operator drains the engine".to_owned(),
    }
}
