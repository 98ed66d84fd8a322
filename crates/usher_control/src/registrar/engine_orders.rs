//! Orders engines, on the holder of the duties only. Not for: choosing the numbers.

use std::{collections, time};

use usher_scale::{EngineOrder, OrderAnswer, ScalePlanner};

use crate::registrar::{
    self,
    duty_dialect::{DutyDialect, ServiceOrder},
    load_aggregator::LoadAggregator,
    outside_client::{OutsideClient, OutsideError},
    route_publisher::RoutePublisher,
};

/// Interval at which orders are planned.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Plans and sends the orders of all services whose engines may be ordered.
#[derive(Debug)]
pub(crate) struct EngineOrderer<D, C> {
    pub(crate) dialect: D,
    pub(crate) client: OutsideClient<C>,
    pub(crate) publisher: RoutePublisher,
    pub(crate) targets: registrar::TargetRegistry<C>,
    pub(crate) loads: LoadAggregator<C>,
    pub(crate) metrics: registrar::RegistrarMetrics,
    pub(crate) clock: C,
}

impl<D, C> EngineOrderer<D, C>
where
    D: DutyDialect,
    C: usher_types::ClockSource,
{
    /// Runs until the task is aborted.
    pub(crate) async fn run(self) {
        let mut planners = collections::BTreeMap::<_, ScalePlanner>::new();
        loop {
            tokio::time::sleep(PLAN_INTERVAL).await;
            // A later term of this node may follow one of another holder.
            if self.client.holder().may_act().is_none() {
                planners.clear();
                continue;
            }
            let rules = self.publisher.scaling();
            planners.retain(|service, _| rules.contains_key(service));
            let engines = self.targets.engines();
            let has_calls = self.loads.has_calls();
            for (service, rule) in &rules {
                let Some(domains) = engines.get(service) else {
                    continue;
                };
                let planner = planners.entry(service.clone()).or_default();
                let now = self.clock.now();
                let orders = planner.plan(rule, domains, has_calls, now);
                let answers = self.send_all(service, orders, domains).await;
                let now = self.clock.now();
                for (order, answer) in answers.into_iter().flatten() {
                    planner.record(&order, answer, now);
                }
            }
        }
    }

    /// Sends orders, those of one domain one after another.
    async fn send_all(
        &self,
        service: &usher_types::ServiceName,
        orders: Vec<EngineOrder>,
        domains: &registrar::target_registry::DomainTable,
    ) -> Vec<Vec<(EngineOrder, OrderAnswer)>> {
        let mut by_domain = collections::BTreeMap::<_, Vec<_>>::new();
        for order in orders {
            let domain = by_domain.entry(order.domain.clone()).or_default();
            domain.push(order);
        }
        let sends = by_domain.into_values().map(|orders| async move {
            let mut answers = Vec::new();
            for order in orders {
                let seen = domains.get(&order.domain).copied().unwrap_or_default();
                let answer = self.send(service, &order, seen).await;
                answers.push((order, answer));
            }
            answers
        });
        futures_util::future::join_all(sends).await
    }

    async fn send(
        &self,
        service: &usher_types::ServiceName,
        order: &EngineOrder,
        seen: usher_scale::DomainEngines,
    ) -> OrderAnswer {
        let wanted = ServiceOrder {
            service: service.clone(),
            order: order.clone(),
        };
        let result = self
            .client
            .send(|stamp| self.dialect.engine_request(stamp, &wanted))
            .await;
        let (answer, outcome) = match &result {
            Ok(status) if status.is_success() => (OrderAnswer::Accepted, "accepted"),
            Ok(http::StatusCode::CONFLICT) => (OrderAnswer::Unavailable, "unavailable"),
            Ok(_) => (OrderAnswer::Unknown, "refused"),
            Err(OutsideError::NotHolder) => (OrderAnswer::Unknown, "not-holder"),
            Err(OutsideError::NoAnswer(_)) => (OrderAnswer::Unknown, "no-answer"),
        };
        self.metrics.engine_order(outcome);
        let answered = match &result {
            Ok(status) => status.to_string(),
            Err(error) => error.to_string(),
        };
        tracing::info!(
            %service,
            domain = %order.domain,
            kind = ?order.kind,
            engines = order.engines,
            lasting = seen.lasting,
            reclaimable = seen.reclaimable,
            reclaimable_ready = seen.reclaimable_ready,
            outcome,
            answered,
            "engines ordered"
        );
        answer
    }
}
