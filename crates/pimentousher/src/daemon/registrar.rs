//! Starts and stops the registrar daemon. Not for: the registrar itself (`usher_control`).

use std::{net, path, time};

use crate::{
    daemon::{self, process_limits, settings_watch},
    error, file,
};

/// Time allowed for accepted calls to finish after shutdown has begun.
const STOP_GRACE: time::Duration = time::Duration::from_millis(1_500);

/// Largest body of a heartbeat or a configuration that is read.
const MAX_REQUEST_BYTES: usize = 4 * 1_024 * 1_024;

/// Converts settings into the options of a registrar.
///
/// # Errors
///
/// Fails if the settings have no data folder.
pub fn registrar_options(
    settings: &usher_config::RegistrarSettings,
) -> Result<usher_control::RegistrarOptions, error::CommandError> {
    let folder = settings.node.data.clone().ok_or_else(|| {
        error::CommandError::Usage(format!(
            "{} needs a data folder ([node] data)",
            settings.node.name
        ))
    })?;
    Ok(usher_control::RegistrarOptions {
        cluster: settings.node.cluster.clone(),
        region: settings.node.region.clone(),
        domain: settings.node.domain.clone(),
        folder,
        address: net::SocketAddr::new(settings.listen.ip(), settings.registrars.port),
        seeds: settings.registrars.addresses(),
        founds: settings.founds,
        tolerated_losses: settings.tolerated_losses,
        order_lease: settings.order_lease,
        crash_lifetime: settings.crash_lifetime,
        heartbeat: settings.heartbeat,
        outside: settings.outside.as_ref().map(outside_options),
        usage: settings
            .usage
            .as_ref()
            .map(|usage| usher_usage::UsageTiming {
                window: usage.window,
                due: usage.due,
            }),
    })
}

fn outside_options(settings: &usher_config::OutsideSettings) -> usher_control::OutsideOptions {
    usher_control::OutsideOptions {
        address: settings.address,
        calls_per_second: settings.calls_per_second,
        duties: settings.duties.clone(),
    }
}

/// Runs a registrar until it receives a stop signal.
///
/// `dialect` is the HTTP protocol in which it queries and orders engines, and the encoding of the
/// routes; `routes` builds its own HTTP interface for targets and operators.
///
/// # Errors
///
/// Fails if the settings are invalid, the node can't start, or its replica fails.
pub async fn run_registrar<D, R>(
    path: &path::Path,
    dialect: D,
    routes: R,
) -> Result<(), error::CommandError>
where
    D: usher_control::OrderDialect + usher_control::DutyDialect + usher_route::RouteDialect,
    R: FnOnce(
        usher_control::TargetRegistry<usher_types::BootClock>,
        usher_control::RouteStore<usher_types::BootClock>,
    ) -> axum::Router,
{
    let settings = read_registrar_settings(path)?;
    let mut stop_listener = daemon::StopListener::new()?;
    let _log = daemon::start_output_log(&settings.log)?;
    let mut watch =
        settings_watch::SettingsWatch::new(settings.clone(), || read_registrar_settings(path))?;
    let clock = usher_types::BootClock::new();
    let options = registrar_options(&settings)?;
    let node = usher_control::RegistrarNode::new(options, dialect, clock);
    let node = node.start().await.map_err(error::CommandError::failed)?;
    let routes = routes(node.targets().clone(), node.routes().clone());
    let metrics = node.metrics().clone();
    let budget = process_limits::caller_budget(&settings.vm);
    let memory = usher_intake::CallerMemory::new("control", budget);
    let measured = memory.clone();
    let page = axum::routing::get(move || async move {
        metrics.set_client_memory(&measured);
        metrics.render()
    });
    let routes = routes.route("/metrics", page);
    let listener = usher_kernel::open_listener(settings.listen).await;
    let listener = listener.map_err(error::CommandError::failed)?;
    tracing::info!(
        node = %settings.node.name,
        domain = %settings.node.domain,
        listen = %settings.listen,
        founds = settings.founds,
        seeds = ?settings.registrars.seeds,
        "registrar started"
    );
    let (stop, signal) = usher_kernel::StopSource::new();
    let server = usher_intake::serve_router(listener, routes, memory, MAX_REQUEST_BYTES, signal);
    let server = tokio::spawn(server);
    loop {
        tokio::select! {
            signal = stop_listener.wait() => {
                tracing::info!(signal, "registrar is stopping");
                break;
            }
            reason = node.failed() => {
                let reason = reason.unwrap_or_else(|| "unknown".to_owned());
                return Err(error::CommandError::Failed(format!("the replica failed: {reason}")));
            }
            settings = watch.changed() => {
                node.set_seeds(settings.registrars.addresses()).await;
            }
        }
    }
    stop.stop();
    let served = tokio::time::timeout(STOP_GRACE, server).await.is_ok();
    node.stop().await;
    tracing::info!(served, "registrar stopped");
    Ok(())
}

fn read_registrar_settings(
    path: &path::Path,
) -> Result<usher_config::RegistrarSettings, error::CommandError> {
    match file::read_settings(path)? {
        usher_config::ProcessSettings::Registrar(settings) => Ok(*settings),
        _ => Err(error::CommandError::Usage(format!(
            "{} is not for a registrar: expected [process] kind = registrar",
            path.display()
        ))),
    }
}
