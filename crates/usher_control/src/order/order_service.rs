//! Issues orders while this node is the leader: planned ones, drains and corrections. Not for:
//! driving a single order.

use std::{collections, sync, time};

use usher_state::{FleetState, OrderEnd};
use usher_wire::message::{self, state_command, state_outcome};

use crate::{
    fleet,
    order::{engine_client, order_driver, term_state},
    plan,
};

/// Interval at which the fleet is compared with the sheet.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Dependencies of the order service.
pub(crate) struct OrderContext<C> {
    pub(crate) access: fleet::FleetAccess,
    pub(crate) router: sync::Arc<fleet::CommandRouter<C>>,
    pub(crate) client: engine_client::EngineClient,
    pub(crate) rules: plan::PlanRules,
    pub(crate) limiter: plan::LoadOrderLimiter,
    pub(crate) stop: usher_kernel::StopSignal,
    pub(crate) clock: C,
}

/// The parts of the replicated state that the order service needs.
struct OrderSnapshot {
    sheet: String,
    targets: Vec<message::TargetRecord>,
    in_flight: Vec<usher_state::OrderRecord>,
    drains: Vec<message::TargetRecord>,
    /// The last successful order of each engine.
    last_intents: collections::BTreeMap<String, message::OrderIntent>,
}

/// Name of an engine, and the result of the driver of its order.
type DriveResult = (String, Option<bool>);

/// Issues and drives orders until the task is aborted; starts none while the node is stopping.
pub(crate) async fn run_orders<C>(context: OrderContext<C>)
where
    C: usher_types::ClockSource,
{
    let mut ticks = tokio::time::interval(PLAN_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut term_state: Option<term_state::TermState> = None;
    let mut driven_engines = collections::BTreeSet::new();
    let mut drivers = tokio::task::JoinSet::<DriveResult>::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(result) = drivers.join_next() => {
                if let Ok((engine, succeeded)) = result {
                    driven_engines.remove(&engine);
                    if let (Some(term_state), Some(false)) = (term_state.as_mut(), succeeded) {
                        term_state.back_off(&engine, context.clock.now());
                    }
                }
                continue;
            }
        }
        let status = context.access.status();
        let now = context.clock.now();
        if status.role != usher_replica::ReplicaRole::Leader {
            term_state = None;
            continue;
        }
        let current = term_state
            .take()
            .filter(|term_state| term_state.term == status.term);
        let current = term_state.insert(current.unwrap_or_else(|| {
            term_state::TermState::new(status.term, context.limiter.clone(), now)
        }));
        if !current.may_order(now) || context.stop.is_draining() {
            continue;
        }
        let Ok(snapshot) = context.access.read(take_snapshot).await else {
            continue;
        };
        for order in &snapshot.in_flight {
            let engine = order.intent.as_ref().map(|intent| intent.engine.clone());
            let Some(engine) = engine.filter(|engine| driven_engines.insert(engine.clone())) else {
                continue;
            };
            let driver = order_driver::OrderDriver {
                access: context.access.clone(),
                router: context.router.clone(),
                client: context.client,
                clock: context.clock.clone(),
                term: status.term,
                order: order.clone(),
            };
            drivers.spawn(async move { (engine, driver.run().await) });
        }
        let intents = context
            .next_intents(&snapshot, current, &driven_engines)
            .await;
        for intent in intents {
            context.propose(intent, current).await;
        }
    }
}

fn take_snapshot(state: &FleetState) -> OrderSnapshot {
    let drains = state.targets().iter().filter(|target| {
        let record = &target.record;
        let engine = record.kind == usher_types::TargetKind::Engine.to_string();
        let drained = || state.orders().ended().any(|end| is_drain_of(end, record));
        engine && !target.gone && !target.leaving_by.is_empty() && !drained()
    });
    let mut last_intents = collections::BTreeMap::new();
    for end in state.orders().ended() {
        let succeeded = end.result.as_ref().is_some_and(|result| result.succeeded);
        let intent = end.order.as_ref().and_then(|order| order.intent.as_ref());
        if let Some(intent) = intent.filter(|_| succeeded) {
            last_intents.insert(intent.engine.clone(), intent.clone());
        }
    }
    OrderSnapshot {
        sheet: state.config().sheet().to_owned(),
        targets: state.targets().present().cloned().collect(),
        in_flight: state.orders().in_flight().cloned().collect(),
        drains: drains.map(|target| target.record.clone()).collect(),
        last_intents,
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

impl<C> OrderContext<C>
where
    C: usher_types::ClockSource,
{
    /// Returns the intents to propose now: drains, corrections, then planned orders.
    async fn next_intents(
        &self,
        snapshot: &OrderSnapshot,
        term_state: &mut term_state::TermState,
        driven_engines: &collections::BTreeSet<String>,
    ) -> Vec<message::OrderIntent> {
        let now = self.clock.now();
        let mut busy = driven_engines.clone();
        let in_flight = snapshot.in_flight.iter();
        busy.extend(in_flight.filter_map(|order| Some(order.intent.as_ref()?.engine.clone())));
        let backing_off = term_state.backing_off(now);
        let mut intents = Vec::new();
        for record in &snapshot.drains {
            let is_free = !busy.contains(&record.name) && !backing_off.contains(&record.name);
            if term_state.is_drain_due(&record.name, record.incarnation, now) && is_free {
                intents.push(drain_intent(record));
            }
        }
        if now >= term_state.next_read_back {
            term_state.next_read_back = now + plan::READ_BACK_INTERVAL;
            intents.extend(self.corrections(snapshot, &busy).await);
        }
        busy.extend(intents.iter().map(|intent| intent.engine.clone()));
        let Ok(sheet) = usher_config::FleetSheet::parse(&snapshot.sheet) else {
            return intents;
        };
        let fleet = plan::FleetView {
            sheet: &sheet,
            targets: &snapshot.targets,
            busy: &busy,
            backing_off: &backing_off,
        };
        let planned = plan::plan_fleet(fleet, self.rules);
        intents.extend(planned.into_iter().map(|order| order.intent));
        intents
    }

    /// Reads back the engines that ignore fencing numbers and returns the corrections they need.
    async fn corrections(
        &self,
        snapshot: &OrderSnapshot,
        busy: &collections::BTreeSet<String>,
    ) -> Vec<message::OrderIntent> {
        let mut reads = tokio::task::JoinSet::new();
        for record in &snapshot.targets {
            let unfenced = !record.fenced && !busy.contains(&record.name);
            let Some(last) = snapshot.last_intents.get(&record.name).filter(|_| unfenced) else {
                continue;
            };
            let (client, record, last) = (self.client, record.clone(), last.clone());
            reads.spawn(async move {
                let reading = client.read(&record.address).await?;
                plan::correction(&record, &last, &reading)
            });
        }
        let corrections = reads.join_all().await;
        corrections.into_iter().flatten().collect()
    }

    /// Commits an intent; the next round finds the order in flight and drives it.
    async fn propose(&self, intent: message::OrderIntent, term_state: &mut term_state::TermState) {
        let now = self.clock.now();
        let load = intent.kind() == message::OrderKind::Load;
        if load && !term_state.limiter.take(now) {
            return;
        }
        let engine = intent.engine.clone();
        let kind = state_command::Kind::OrderIntent(intent);
        match self.router.propose_locally(kind).await {
            Ok(message::StateOutcome {
                kind: Some(state_outcome::Kind::Order(outcome)),
            }) if outcome.accepted => {
                tracing::info!(%engine, fence = outcome.fence, "order committed");
            }
            Ok(outcome) => {
                tracing::debug!(%engine, ?outcome, "order refused");
                term_state.back_off(&engine, now);
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
