//! Orders engines to change their role, on the leader only. Not for: choosing the roles.

use std::{collections, time};

use crate::{
    fleet, plan,
    registrar::{
        self,
        duty_holder::{DutyHolder, DutyStamp},
        outside_request::{self, OutsideRequest},
    },
};

/// Interval at which role changes are planned.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Timeout of one request to an engine, including the connection set-up.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Delay between announcing a role change to the gateways and ordering it: two one-way delays
/// between regions, plus the processing time of a busy gateway. An engine refuses new calls from
/// the order on. Without the announcement, each of 90 gateways learned this from a refused call,
/// and most refusals were of this kind.
const ROLE_CHANGE_NOTICE: time::Duration = time::Duration::from_millis(300);

/// Time for which an engine gets no other order after one whose effect is not seen: an order
/// without an answer may be carried out up to 12 s later.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(15);

/// An order to change to a role.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleOrder {
    /// Engine that receives the order.
    pub engine: usher_types::TargetName,
    /// New role.
    pub role: usher_types::EngineRole,
    /// Node that sends the order.
    pub holder: usher_types::NodeName,
    /// Fencing number, higher than that of every earlier holder.
    pub fence: usher_types::FenceNumber,
    /// Number of orders that the engine has accepted so far; it refuses the order on a mismatch.
    pub revision: u64,
}

/// The HTTP protocol in which engines are queried and receive orders.
pub trait OrderDialect: Clone + Send + Sync + 'static {
    /// Builds the request for the number of orders that an engine has accepted.
    fn revision_request(&self, engine: &usher_types::TargetName) -> OutsideRequest;

    /// Parses the answer to [`Self::revision_request`]; returns `None` when an order is in progress
    /// or the answer is invalid.
    fn parse_revision(&self, body: &[u8]) -> Option<u64>;

    /// Builds the request that delivers an order.
    fn order_request(&self, order: &RoleOrder) -> OutsideRequest;
}

/// Plans and sends role orders until the task is aborted.
pub(crate) async fn run<C, D>(
    dialect: D,
    targets: registrar::TargetRegistry<C>,
    access: fleet::FleetAccess,
    order_lease: time::Duration,
    clock: C,
) where
    C: usher_types::ClockSource,
    D: OrderDialect,
{
    // The previous leader may have sent orders until its leader lease ended, and the holder of an
    // engine must not change within an order lease, so a new leader waits for that long.
    let holder = DutyHolder::new(access, order_lease + PLAN_INTERVAL, clock.clone());
    // Engines whose order is not accepted yet, and when it was planned.
    let mut settling = collections::HashMap::new();
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        let now = clock.now();
        let Some(stamp) = holder.may_act() else {
            continue;
        };
        settling.retain(|_, at| now.saturating_duration_since(*at) < SETTLE_TIME);
        let assignments = targets.plan_role_changes(|engine| settling.contains_key(engine));
        if assignments.is_empty() {
            continue;
        }
        for assignment in &assignments {
            settling.insert(assignment.engine.name.clone(), now);
            targets.begin_role_change(assignment, SETTLE_TIME);
        }
        tokio::time::sleep(ROLE_CHANGE_NOTICE).await;
        let may_send = || holder.still_holds(&stamp);
        let orders = assignments.iter().map(|assignment| async {
            let answer = send_order(&dialect, assignment, &stamp, may_send).await;
            let accepted = matches!(&answer, Ok(status) if status.is_success());
            if !accepted {
                targets.end_role_change(&assignment.engine.name);
            }
            let outcome = answer.map_or_else(|reason| reason, |status| status.to_string());
            tracing::info!(
                engine = %assignment.engine.name, role = %assignment.role, fence = %stamp.fence, outcome,
                "role ordered"
            );
            accepted.then_some(&assignment.engine.name)
        });
        let accepted = futures_util::future::join_all(orders).await;
        for engine in accepted.into_iter().flatten() {
            settling.remove(engine);
        }
    }
}

/// Reads the revision of an engine and sends it an order for that revision.
async fn send_order<D>(
    dialect: &D,
    assignment: &plan::RoleAssignment,
    stamp: &DutyStamp,
    may_send: impl Fn() -> bool,
) -> Result<http::StatusCode, String>
where
    D: OrderDialect,
{
    let engine = &assignment.engine;
    let request = dialect.revision_request(&engine.name);
    let answer =
        outside_request::send_request(engine.address, request, ANSWER_TIMEOUT, &may_send).await;
    let (_, body) = answer?;
    let body = body.map_err(|fault| format!("failed to read the engine's report: {fault}"))?;
    let revision = dialect.parse_revision(&body);
    let revision = revision.ok_or_else(|| {
        "the engine is carrying out an order, or its report is invalid".to_owned()
    })?;
    let order = RoleOrder {
        engine: engine.name.clone(),
        role: assignment.role,
        holder: stamp.holder.clone(),
        fence: stamp.fence,
        revision,
    };
    // The status alone says whether the engine has accepted the order.
    let request = dialect.order_request(&order);
    let answer =
        outside_request::send_request(engine.address, request, ANSWER_TIMEOUT, &may_send).await;
    let (status, _) = answer?;
    Ok(status)
}
