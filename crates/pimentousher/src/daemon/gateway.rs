//! Starts and stops the gateway daemon. Not for: the gateway itself (`usher_gateway`).

use std::path;

use crate::{
    daemon::{self, settings_watch},
    error, file,
};

/// Converts settings into the options of a gateway.
pub fn gateway_options(settings: &usher_config::GatewaySettings) -> usher_gateway::GatewayOptions {
    usher_gateway::GatewayOptions {
        cluster: settings.node.cluster.clone(),
        node: settings.node.name.clone(),
        domain: settings.node.domain.clone(),
        map: usher_place::DomainMap::new(settings.regions.clone()),
        callers: settings.callers,
        health: settings.health,
        seeds: settings.registrars.addresses(),
        retry_share: settings.retry_share,
        retry_slack: settings.retry_slack,
        crash_lifetime: settings.crash_lifetime,
        grace: settings.grace,
        usage_window: settings.usage.as_ref().map(|usage| usage.window),
    }
}

/// Runs a gateway until it receives a stop signal; `dialect` translates its HTTP messages.
///
/// # Errors
///
/// Fails if the settings are invalid or a listening address can't be bound.
pub async fn run_gateway<D>(path: &path::Path, dialect: D) -> Result<(), error::CommandError>
where
    D: usher_gateway::CallDialect,
{
    let settings = read_gateway_settings(path)?;
    let mut stop_listener = daemon::StopListener::new()?;
    let _log = daemon::start_output_log(&settings.log)?;
    let mut watch =
        settings_watch::SettingsWatch::new(settings.clone(), || read_gateway_settings(path))?;
    let (stop, signal) = usher_kernel::StopSource::new();
    let options = gateway_options(&settings);
    let clock = usher_types::SystemClock;
    let node = usher_gateway::GatewayNode::new(options, dialect, clock)
        .start(signal)
        .await
        .map_err(error::CommandError::failed)?;
    tracing::info!(
        node = %settings.node.name,
        domain = %settings.node.domain,
        callers = %settings.callers,
        seeds = ?settings.registrars.seeds,
        "gateway started"
    );
    loop {
        tokio::select! {
            signal = stop_listener.wait() => {
                tracing::info!(signal, "gateway is draining");
                break;
            }
            settings = watch.changed() => {
                node.set_seeds(settings.registrars.addresses()).await;
            }
        }
    }
    stop.drain();
    let complete = node.finished().await;
    tracing::info!(complete, "gateway stopped");
    Ok(())
}

fn read_gateway_settings(
    path: &path::Path,
) -> Result<usher_config::GatewaySettings, error::CommandError> {
    match file::read_settings(path)? {
        usher_config::ProcessSettings::Gateway(settings) => Ok(*settings),
        _ => Err(error::CommandError::Usage(format!(
            "{} is not for a gateway: expected [process] kind = gateway",
            path.display()
        ))),
    }
}
