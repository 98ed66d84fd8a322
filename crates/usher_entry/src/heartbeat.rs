//! Sends heartbeats to control and applies the replies.
//!
//! Not for: the control connection.

use std::{sync, time};

use usher_policy::ShareGrant;
use usher_types::ConfigVersion;
use usher_wire::message;

use crate::{config, core, link::ControlLink as _, policy::DecisionPolicy as _, routing, types};

/// Number of consecutive replies without a routing right after which the entry fails over to
/// another control node. A single one is normal during an election, when no node can renew rights.
const MAX_REPLIES_WITHOUT_RIGHT: u32 = 2;

/// State kept between heartbeats.
#[derive(Debug)]
struct HeartbeatState {
    sequence: u64,
    /// Start of the period for which the next heartbeat reports demand.
    demand_since: time::Instant,
    /// Number of consecutive replies without a right.
    without_right: u32,
}

/// Sends heartbeats until the process stops.
pub(crate) async fn run_heartbeats<P>(core: sync::Arc<core::EntryCore<P>>)
where
    P: types::EntryTypes,
{
    let mut ticks = tokio::time::interval(core.options.heartbeat);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut state = HeartbeatState {
        sequence: 0,
        demand_since: core.now(),
        without_right: 0,
    };
    loop {
        tokio::select! {
            () = core.stop.stopped() => break,
            _ = ticks.tick() => {}
        }
        state.sequence += 1;
        send_heartbeat(&core, &mut state).await;
        let now = core.now();
        core.routing().update_liveness(now);
        send_gauges(&core);
    }
}

/// Sends one heartbeat and applies its reply.
async fn send_heartbeat<P>(core: &sync::Arc<core::EntryCore<P>>, state: &mut HeartbeatState)
where
    P: types::EntryTypes,
{
    let sent_at = core.now();
    let sequence = state.sequence;
    let request = make_request(core, sequence, sent_at, state.demand_since);
    state.demand_since = sent_at;
    let had_right = core.has_right();
    match core.link.sync(request).await {
        Ok(reply) if reply.sequence == sequence => {
            let has_right = reply.right_ms > 0;
            if !apply_reply(core, reply, sent_at) || has_right {
                state.without_right = 0;
            } else {
                count_reply_without_right(core, state);
            }
        }
        Ok(reply) => tracing::warn!(
            sequence,
            answered = reply.sequence,
            "heartbeat reply has an unexpected sequence number"
        ),
        Err(error) => {
            state.without_right = 0;
            core.metrics.add("entry.heartbeat.lost");
            tracing::debug!(%error, "heartbeat failed");
        }
    }
    if had_right && !core.has_right() {
        core.metrics.add("entry.right.lost");
        tracing::warn!("routing right expired; refusing new work until control renews it");
    }
}

/// Fails over to another control node if the current one repeatedly can't renew the right.
fn count_reply_without_right<P>(core: &core::EntryCore<P>, state: &mut HeartbeatState)
where
    P: types::EntryTypes,
{
    state.without_right += 1;
    if state.without_right >= MAX_REPLIES_WITHOUT_RIGHT {
        state.without_right = 0;
        tracing::warn!(
            "control node granted no routing right in \
             {MAX_REPLIES_WITHOUT_RIGHT} consecutive replies; failing over to another one"
        );
        core.link.fail_over();
    }
}

fn make_request<P>(
    core: &core::EntryCore<P>,
    sequence: u64,
    now: time::Instant,
    demand_since: time::Instant,
) -> message::SyncRequest
where
    P: types::EntryTypes,
{
    let config = core.config.current();
    let mut routing = core.routing();
    routing.apply_sheet(&config);
    let (announced, loads) = routing.pending_reports(now);
    message::SyncRequest {
        entry: Some(core.node_identity()),
        region: core.options.region.to_string(),
        domain: core.options.domain.to_string(),
        config_version: config.version.get(),
        registry_version: routing.registry_version(),
        announced,
        loads,
        demands: routing.take_demands(now.saturating_duration_since(demand_since)),
        sequence,
        stopping: core.stop.is_draining(),
        takes_delta: true,
    }
}

/// Applies a reply; the right is renewed last, after everything else in the reply is applied.
/// Returns `false` if the reply is ignored and the entry has already failed over.
fn apply_reply<P>(
    core: &core::EntryCore<P>,
    reply: message::SyncReply,
    sent_at: time::Instant,
) -> bool
where
    P: types::EntryTypes,
{
    if !apply_config(core, &reply) {
        core.link.fail_over();
        return false;
    }
    let now = core.now();
    let right = time::Duration::from_millis(reply.right_ms);
    let mut routing = core.routing();
    if reply.registry_version < routing.registry_version() {
        // An older registry could undo a leaving mark.
        drop(routing);
        tracing::warn!("control node has an older registry; ignoring its reply");
        core.link.fail_over();
        return false;
    }
    routing.discard_reported(sent_at);
    if reply.registry_changed {
        let update = routing::RegistryUpdate {
            version: reply.registry_version,
            records: reply.targets,
            partial: reply.registry_delta,
            gone: reply.gone,
        };
        routing.apply_registry(update, now);
    }
    routing.apply_load_reports(reply.loads, now);
    if !reply.shares.is_empty() {
        // The grant counts work in engine-seconds per second, so one engine adds 1.
        let rates = reply.shares.iter();
        let rate = rates.map(|share| share.share * routing.live_count(&share.service) as f64);
        let grant = ShareGrant {
            rate: rate.sum(),
            until: sent_at + right,
        };
        routing.policy.on_grant(grant, now);
    }
    drop(routing);
    core.right.renew(sent_at, right);
    true
}

/// Applies a newer configuration; returns `false` if the reply is to be ignored because its node
/// lags behind or its sheet is invalid.
fn apply_config<P>(core: &core::EntryCore<P>, reply: &message::SyncReply) -> bool
where
    P: types::EntryTypes,
{
    let ours = core.config.current().version;
    let theirs = ConfigVersion::new(reply.config_version);
    if theirs < ours && !core.options.disabled.versions {
        tracing::warn!(
            %ours, %theirs,
            "control node has an older configuration; ignoring its reply"
        );
        return false;
    }
    if reply.config_changed && theirs != ours {
        let sheet = match usher_config::FleetSheet::parse(&reply.sheet) {
            Ok(sheet) => sheet,
            Err(errors) => {
                tracing::error!(
                    version = %theirs, %errors,
                    "failed to parse the sheet of a configuration"
                );
                return false;
            }
        };
        let state = config::ConfigState {
            version: theirs,
            sheet,
        };
        if core.options.disabled.versions {
            core.config.apply_unchecked(state);
        } else {
            core.config.apply(state);
        }
        tracing::info!(version = %theirs, "configuration is in force");
    }
    if core.config.current().version == theirs {
        core.config.confirm();
        return true;
    }
    false
}

fn send_gauges<P>(core: &core::EntryCore<P>)
where
    P: types::EntryTypes,
{
    let running = core.running.load(sync::atomic::Ordering::SeqCst) as u64;
    core.metrics.gauge("entry.running", running);
    let version = core.config.current().version.get();
    core.metrics.gauge("entry.config.version", version);
    core.metrics.caller_memory(&core.memory);
    core.metrics
        .gauge("entry.ready", u64::from(core.is_ready()));
    let routing = core.routing();
    let outstanding = routing.policy.outstanding() as u64;
    let extra = routing.policy.extra_share();
    let targets = routing.records().count() as u64;
    drop(routing);
    core.metrics.gauge("entry.outstanding", outstanding);
    core.metrics.gauge("entry.targets", targets);
    core.metrics.gauge_share("entry.extra_share", extra);
}
