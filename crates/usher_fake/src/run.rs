//! Main functions of the fake-engine and fake-service programs. Not for: parsing the command
//! line.

use std::{future, io};

use crate::{engine, engine_options, service, service_options};

/// Runs a fake engine until `stop` resolves, then shuts it down gracefully.
///
/// # Errors
///
/// Fails if the listen address can't be bound.
pub async fn run_fake_engine<S>(options: engine_options::EngineOptions, stop: S) -> io::Result<()>
where
    S: future::Future<Output = ()>,
{
    let engine = engine::FakeEngine::start(options).await?;
    tracing::info!(address = %engine.address(), "fake engine is listening");
    tokio::select! {
        () = stop => engine.leave().await,
        () = engine.ended() => {}
    }
    Ok(())
}

/// Runs a fake plain service until `stop` resolves, then shuts it down gracefully.
///
/// # Errors
///
/// Fails if the listen address can't be bound.
pub async fn run_fake_service<S>(
    options: service_options::ServiceOptions,
    stop: S,
) -> io::Result<()>
where
    S: future::Future<Output = ()>,
{
    let service = service::FakeService::start(options).await?;
    tracing::info!(address = %service.address(), "fake service is listening");
    tokio::select! {
        () = stop => service.leave().await,
        () = service.ended() => {}
    }
    Ok(())
}
