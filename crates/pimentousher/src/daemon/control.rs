//! Starts and stops the control daemon. Not for: the control node itself (`usher_control`).

use std::{path, time};

use cadence::Gauged as _;

use crate::{
    daemon::{self, process_limits},
    error, file,
};

/// Converts settings into the options of a control node.
///
/// # Errors
///
/// Fails if the settings have no `[control.*]` section for this process, or no data folder.
pub fn control_options(
    settings: &usher_config::ControlSettings,
) -> Result<usher_control::ControlOptions, error::CommandError> {
    let node = &settings.node;
    let (Some(member), Some(folder)) = (settings.member(), &node.data) else {
        let message = format!(
            "{} needs a [control.*] section and a data folder ([node] data)",
            node.name
        );
        return Err(error::CommandError::Usage(message));
    };
    let (voters, spares): (Vec<_>, Vec<_>) = settings
        .control
        .members
        .iter()
        .partition(|member| member.is_voter());
    let peers = voters
        .iter()
        .chain(&spares)
        .map(|member| usher_control::ControlPeer {
            node: member.name.clone(),
            wire_address: member.address,
            operator_address: member.operators,
            region: member.region.clone(),
            domain: member.domain.clone(),
        });
    let options = usher_control::ControlOptions::new(node.name.as_str(), folder)
        .with_cluster(&node.cluster)
        .with_region(node.region.as_str())
        .with_domain(node.domain.as_str())
        .with_wire_address(member.address)
        .with_operator_address(member.operators)
        .with_peers(peers.collect())
        .with_voters(voters.len())
        .with_listen(settings.wire_listen, settings.operator_listen)
        .with_weight_store(
            settings.orders.weight_store_rate,
            settings.orders.weight_store_burst,
        )
        .with_orders_per_service(usize::try_from(settings.orders.per_service).unwrap_or(1))
        .with_engine_timeout(settings.orders.engine_timeout)
        .with_client_budget(process_limits::caller_budget(&settings.vm));
    Ok(options)
}

/// Runs the control daemon until it receives a stop signal.
///
/// # Errors
///
/// Fails if the settings are invalid, the node can't start, or its replica fails.
pub async fn run_control(settings: &path::Path) -> Result<(), error::CommandError> {
    let usher_config::ProcessSettings::Control(settings) = file::read_settings(settings)? else {
        return Err(error::CommandError::Usage(format!(
            "{} is not for control: expected [process] kind = control",
            settings.display()
        )));
    };
    let options = control_options(&settings)?;
    let stop_listener = daemon::StopListener::new()?;
    daemon::start_log(&settings.log)?;
    let node = usher_control::ControlNode::new(options).start().await;
    let node = node.map_err(error::CommandError::failed)?;
    tracing::info!(
        node = %settings.node.name,
        wire = %node.wire_address(),
        operators = %node.operator_address(),
        "control node is listening"
    );
    let gauges = tokio::spawn(report_gauges(
        node.replica().clone(),
        node.client_memory().clone(),
        daemon::metric_client(&settings.metrics, &settings.node.name)?,
        settings.metrics.interval,
    ));
    let result = run_until_stopped(node, stop_listener).await;
    gauges.abort();
    result
}

/// Reports the replica's state as gauges until the task is aborted.
async fn report_gauges(
    replica: usher_replica::ReplicaHandle<usher_state::FleetState>,
    memory: usher_intake::CallerMemory,
    client: cadence::StatsdClient,
    interval: time::Duration,
) {
    let mut ticks = tokio::time::interval(interval);
    loop {
        ticks.tick().await;
        let status = replica.status();
        let is_leader = status.role == usher_replica::ReplicaRole::Leader;
        let gauges = [
            ("control.leader", u64::from(is_leader)),
            ("control.term", status.term.get()),
            ("control.commit", status.commit.get()),
            ("control.applied", status.applied.get()),
            (
                "control.invariants_violated",
                usher_types::violation_count(),
            ),
        ];
        for (name, value) in gauges {
            // A failure to send a metric must not stop the daemon.
            let _ = client.gauge(name, value);
        }
        report_memory(&memory, &client);
    }
}

/// Reports what the connections of operators hold, and the refusals since the start of the process.
fn report_memory(memory: &usher_intake::CallerMemory, client: &cadence::StatsdClient) {
    let number = |count| u64::try_from(count).unwrap_or(u64::MAX);
    let tagged = |name, value, tag, tag_value| {
        let gauge = client.gauge_with_tags(name, value);
        gauge.with_tag(tag, tag_value).send();
    };
    for (phase, (connections, bytes)) in memory.by_phase() {
        let connections = number(connections);
        tagged("control.client.connections", connections, "phase", phase);
        tagged("control.client.memory", number(bytes), "phase", phase);
    }
    let _ = client.gauge(
        "control.client.memory.budget",
        number(memory.budget_bytes()),
    );
    let _ = client.gauge("control.client.memory.peak", number(memory.peak_bytes()));
    for (reason, count) in memory.refusals() {
        tagged("control.client.refusals", count, "reason", reason.name());
    }
}

/// Runs the node until a stop signal arrives or its replica fails.
async fn run_until_stopped(
    node: usher_control::RunningControl,
    mut stop_listener: daemon::StopListener,
) -> Result<(), error::CommandError> {
    tokio::select! {
        signal = stop_listener.wait() => {
            tracing::info!(signal, "control node is stopping");
        }
        reason = node.failed() => {
            let reason = reason.unwrap_or_else(|| "unknown".to_owned());
            return Err(error::CommandError::Failed(format!("the replica failed: {reason}")));
        }
    }
    tokio::select! {
        () = node.stop() => Ok(()),
        signal = stop_listener.wait() => {
            let message = format!("terminated by a second {signal} before the shutdown completed");
            Err(error::CommandError::Failed(message))
        }
    }
}
