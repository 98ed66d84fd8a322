//! Runs the demo's installation for external callers, without its own load.

use std::{
    io::{self, Write as _},
    net,
};

use crate::{daemon, demo::fleet, error};

/// Starts the installation with its first entry on `address`, prints how to call it, and stops it
/// on SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the installation can't be started.
pub async fn serve(address: net::SocketAddr) -> Result<(), error::CommandError> {
    let mut stop_listener = daemon::StopListener::new()?;
    let fleet = fleet::DemoFleet::start(Some(address), |options| options).await?;
    let bound_address = fleet.addresses().first().copied().unwrap_or(address);
    let mut out = io::stdout();
    let written = writeln!(
        out,
        "base URL: http://{bound_address}/v1\nmodels: {}\nplain service: http://{bound_address}/svc/{}/\n\
         stop with SIGTERM or Ctrl-C",
        fleet::MODEL,
        fleet::SERVICE
    );
    // Serving continues if standard output is closed.
    let _ = written.and_then(|()| out.flush());
    stop_listener.wait().await;
    fleet.stop().await;
    Ok(())
}
