//! Starts and stops the entry daemon. Not for: the entry itself (`usher_entry`).

use std::{net, path, time};

use usher_config::{EntrySettings, ProcessSettings};

use crate::{
    daemon::{self, burn_recorder, process_limits},
    error, file,
};

/// Time allowed for flushing the last bytes of responses after the last request has finished.
const RESPONSE_FLUSH_TIME: time::Duration = time::Duration::from_millis(200);

/// Converts settings into the options of an entry.
pub fn entry_options(settings: &EntrySettings) -> usher_entry::EntryOptions {
    let node = &settings.node;
    let limits = &settings.limits;
    let body = usize::try_from(limits.body.get()).unwrap_or(usize::MAX);
    usher_entry::EntryOptions::new(node.name.as_str(), node.region.as_str())
        .with_domain(node.domain.clone())
        .with_bind(settings.listen)
        .with_max_body(body)
        .with_first_token_timeout(limits.first_token)
        .with_stall_timeout(limits.stall)
        .with_plain_timeout(limits.plain)
        .with_caller_timeout(limits.caller)
        .with_accounts(account_directory(&settings.accounts))
        .with_caller_budget(process_limits::caller_budget(&settings.vm))
}

fn account_directory(settings: &usher_config::AccountSettings) -> usher_entry::AccountDirectory {
    let mut directory = usher_entry::AccountDirectory::new();
    for (team, account) in &settings.teams {
        directory = directory.with_team(team.as_str(), account.firm.as_str());
    }
    for (token, team) in &settings.tokens {
        directory = directory.with_token(token, team.as_str());
    }
    directory
}

/// Returns the wire addresses of the control nodes, those in the entry's region first.
pub fn control_addresses(settings: &EntrySettings) -> Vec<net::SocketAddr> {
    let node = &settings.node;
    let mut members: Vec<_> = settings.control.members.iter().collect();
    // Rotates the list by a hash of the entry's name, so that the entries of a region are spread
    // over its control nodes.
    let offset = usize::try_from(name_hash(node.name.as_str())).unwrap_or(0) % members.len().max(1);
    members.rotate_left(offset);
    members.sort_by_key(|member| member.region != node.region);
    members.iter().map(|member| member.address).collect()
}

/// Hashes a node name, to spread entries evenly over the control nodes.
fn name_hash(name: &str) -> u64 {
    name.bytes().fold(7, |hash: u64, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    })
}

/// Builds the routing and admission policies of an entry from its settings.
pub fn entry_policy(
    settings: &EntrySettings,
    seed: u64,
    now: time::Instant,
) -> usher_policy::EntryPolicy {
    let own_region = &settings.node.region;
    let mut route = usher_policy::RouteSettings::new(own_region.as_str()).with_seed(seed);
    let members = settings.control.members.iter();
    for region in members
        .map(|member| &member.region)
        .filter(|region| *region != own_region)
    {
        route = route.with_link(region.as_str(), settings.links.between(own_region, region));
    }
    for (first, second) in settings.links.pairs.keys() {
        for region in [first, second]
            .into_iter()
            .filter(|region| *region != own_region)
        {
            route = route.with_link(region.as_str(), settings.links.between(own_region, region));
        }
    }
    route.local_delay = settings.links.domain;
    route.remote_delay = settings.links.region;
    route.remote_cost_per_megabyte = settings.routing.megabyte_cost.as_secs_f64();
    route.prefill_rate = settings.routing.prefill_rate.get();
    route.token_time = settings.routing.token_time;
    route.adapter_load = settings.routing.adapter_load;
    route.batch_limit = settings.routing.batch;
    route.first_token_goal = settings.objectives.first_token;
    let mut policy = usher_policy::EntryPolicy::new(route);
    let shares = policy.admission_mut().shares_mut();
    for (firm, weight) in &settings.accounts.firms {
        shares.set_firm_weight(firm, *weight, now);
    }
    for (team, account) in &settings.accounts.teams {
        shares.set_team_weight(&account.firm, team, account.weight, now);
    }
    policy
}

/// Runs the entry daemon until it receives a stop signal.
///
/// # Errors
///
/// Fails if the settings are invalid, the node can't start, or requests are still in flight when
/// the drain time ends.
pub async fn run_entry(settings: &path::Path) -> Result<(), error::CommandError> {
    let ProcessSettings::Entry(settings) = file::read_settings(settings)? else {
        return Err(error::CommandError::Usage(format!(
            "{} is not for an entry: expected [process] kind = entry",
            settings.display()
        )));
    };
    let mut stop_listener = daemon::StopListener::new()?;
    daemon::start_log(&settings.log)?;
    let recorder = start_recorder(&settings)?;
    let result = serve(&settings, recorder.sink(), &mut stop_listener).await;
    recorder.finish();
    result
}

fn start_recorder(
    settings: &EntrySettings,
) -> Result<burn_recorder::BurnRecorder, error::CommandError> {
    let cooperative = &settings.accounts.cooperative;
    match &settings.node.data {
        Some(folder) => burn_recorder::BurnRecorder::start(folder, cooperative),
        None => Ok(burn_recorder::BurnRecorder::disabled(cooperative)),
    }
}

async fn serve(
    settings: &EntrySettings,
    outcomes: burn_recorder::BurnSink,
    stop_listener: &mut daemon::StopListener,
) -> Result<(), error::CommandError> {
    let options = entry_options(settings);
    let policy = entry_policy(settings, options.incarnation.get(), time::Instant::now());
    let identity = usher_wire::WireIdentity {
        cluster: settings.node.cluster.clone(),
        node: settings.node.name.clone(),
        incarnation: options.incarnation,
    };
    let link = usher_entry::WireLink::new(&control_addresses(settings), &identity);
    let client = daemon::metric_client(&settings.metrics, &settings.node.name)?;
    let (stop, signal) = usher_kernel::StopSource::new();
    let node = usher_entry::EntryBuilder::new(options, link)
        .with_policy(policy)
        .with_outcomes(outcomes)
        .with_metrics(client)
        .start(signal)
        .await
        .map_err(|error| {
            error::CommandError::Failed(format!("cannot listen on {}: {error}", settings.listen))
        })?;
    let signal = stop_listener.wait().await;
    tracing::info!(signal, "entry is draining");
    stop.drain();
    let result = tokio::select! {
        () = node.finished() => Ok(()),
        () = tokio::time::sleep(settings.limits.drain) => Err(error::CommandError::Failed(format!(
            "requests were still in flight after [limits] drain = {}",
            humantime::format_duration(settings.limits.drain)
        ))),
        signal = stop_listener.wait() => Err(error::CommandError::Failed(format!(
            "terminated by a second {signal} while requests were still in flight"
        ))),
    };
    stop.stop();
    tokio::time::sleep(RESPONSE_FLUSH_TIME).await;
    result
}
