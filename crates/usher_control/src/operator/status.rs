//! Read requests of operators: status, orders and explanations. Not for: changes.

use axum::{extract, response, response::IntoResponse as _};
use usher_state::{OrderEnd, OrderRecord};

use crate::{
    grant,
    operator::{answer, api},
};

/// Query parameters of `GET /v1/status`.
#[derive(Debug, serde::Deserialize)]
pub(crate) struct StatusQuery {
    /// Whether this node answers even if it is not the leader.
    #[serde(default)]
    local: bool,
}

/// Returns the state of the fleet and of the answering node.
pub(crate) async fn read_status<C>(
    extract::State(api): api::ApiState<C>,
    extract::Query(query): extract::Query<StatusQuery>,
) -> response::Response
where
    C: usher_types::ClockSource,
{
    if !query.local && api.access.read(|_| ()).await.is_err() {
        return answer::redirect(&api, "/v1/status");
    }
    let mut body = api.access.view(fleet_status);
    let node = node_status(&api);
    if let (Some(body), Some(node)) = (body.as_object_mut(), node.as_object()) {
        body.extend(node.clone());
    }
    axum::Json(body).into_response()
}

fn node_status<C>(api: &api::OperatorApi<C>) -> serde_json::Value
where
    C: usher_types::ClockSource,
{
    let status = api.access.status();
    let members = status.membership.members.iter().map(|member| {
        let identity = member.identity.clone().unwrap_or_default();
        serde_json::json!({
            "name": identity.name,
            "incarnation": identity.incarnation,
            "address": member.address,
            "region": member.region,
            "domain": member.domain,
            "voter": member.voter,
        })
    });
    let now = api.clock.now();
    let leader_state = grant::lock_leader(&api.leader_state);
    let rollout = leader_state.entries.rollout(now).map(|rollout| {
        serde_json::json!({
            "version": rollout.version,
            "everywhere": rollout.everywhere,
            "waiting_for": rollout.waiting_for,
        })
    });
    let entries: Vec<_> = leader_state
        .entries
        .present(now)
        .map(|(id, entry)| {
            serde_json::json!({
                "name": id.0,
                "incarnation": id.1,
                "region": entry.region,
                "stopping": entry.stopping,
                "config_version": entry.config_version,
            })
        })
        .collect();
    drop(leader_state);
    serde_json::json!({
        "node": api.node,
        "role": format!("{:?}", status.role).to_lowercase(),
        "term": status.term,
        "leader": status.leader.map(|(name, _)| name),
        "commit": status.commit,
        "applied": status.applied,
        "members": members.collect::<Vec<_>>(),
        "entries": entries,
        "config_in_force": rollout,
        "entries_served": api.service.served().len(),
    })
}

fn fleet_status(state: &usher_state::FleetState) -> serde_json::Value {
    let targets = state.targets().iter().map(|target| {
        let record = &target.record;
        let shape = record.shape.clone().unwrap_or_default();
        serde_json::json!({
            "name": record.name,
            "incarnation": record.incarnation,
            "address": record.address,
            "kind": record.kind,
            "service": record.service,
            "region": record.region,
            "domain": record.domain,
            "model": shape.model,
            "version": shape.version,
            "adapters": shape.adapters,
            "role": shape.role,
            "fenced": record.fenced,
            "leaving": record.leaving,
            "gone": target.gone,
        })
    });
    serde_json::json!({
        "config_version": state.config().version(),
        "config_operator": state.config().operator(),
        "registry_version": state.targets().version(),
        "targets": targets.collect::<Vec<_>>(),
        "orders_in_flight": state.orders().in_flight().count(),
        "claims": state.claims().len(),
        "claims_closed": state.claims().closed_len(),
        "invariants_violated": usher_types::violation_count(),
    })
}

/// Returns the orders in flight and the most recently ended ones.
pub(crate) async fn read_orders<C>(extract::State(api): api::ApiState<C>) -> response::Response
where
    C: usher_types::ClockSource,
{
    let read = api.access.read(|state| {
        let in_flight: Vec<_> = state.orders().in_flight().map(order_body).collect();
        let ended: Vec<_> = state.orders().ended().map(end_body).collect();
        serde_json::json!({ "in_flight": in_flight, "ended": ended })
    });
    match read.await {
        Ok(body) => axum::Json(body).into_response(),
        Err(_) => answer::redirect(&api, "/v1/orders"),
    }
}

fn order_body(order: &OrderRecord) -> serde_json::Value {
    let intent = order.intent.clone().unwrap_or_default();
    let kind = match intent.kind() {
        usher_wire::message::OrderKind::Load => "load",
        usher_wire::message::OrderKind::Role => "role",
        usher_wire::message::OrderKind::Drain => "drain",
        usher_wire::message::OrderKind::Unspecified => "unknown",
    };
    let shape = intent.shape.unwrap_or_default();
    serde_json::json!({
        "engine": intent.engine,
        "incarnation": intent.incarnation,
        "fence": order.fence,
        "kind": kind,
        "model": shape.model,
        "version": shape.version,
        "adapters": shape.adapters,
        "role": shape.role,
        "reason": intent.reason,
        "at_ms": order.at_ms,
    })
}

fn end_body(end: &OrderEnd) -> serde_json::Value {
    let mut body = order_body(&end.order.clone().unwrap_or_default());
    let result = end.result.clone().unwrap_or_default();
    if let Some(body) = body.as_object_mut() {
        body.insert("succeeded".to_owned(), result.succeeded.into());
        body.insert("detail".to_owned(), result.detail.into());
        body.insert("ended_at_ms".to_owned(), end.at_ms.into());
    }
    body
}

/// Returns the records about a request, target or engine.
pub(crate) async fn explain<C>(
    extract::State(api): api::ApiState<C>,
    extract::Path(id): extract::Path<String>,
    extract::OriginalUri(uri): extract::OriginalUri,
) -> response::Response
where
    C: usher_types::ClockSource,
{
    let read = api.access.read(|state| state.explain(&id));
    let Ok(records) = read.await else {
        return answer::redirect(&api, uri.path());
    };
    if records.is_empty() {
        return answer::refuse(
            http::StatusCode::NOT_FOUND,
            &format!("no records of {id:?}"),
        );
    }
    let records: Vec<_> = records
        .into_iter()
        .map(|record| {
            serde_json::json!({
                "index": record.index,
                "at_ms": record.at_ms,
                "text": record.text,
            })
        })
        .collect();
    axum::Json(serde_json::json!({ "id": id, "records": records })).into_response()
}
