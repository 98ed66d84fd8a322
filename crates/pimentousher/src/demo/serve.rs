//! Keeps the demo's installation up for callers. Not for: its own load.

use std::{
    io::{self, Write as _},
    net,
};

use crate::{daemon, demo::fleet, error};

/// Starts the installation with its first entry at an address, says how to call it, and stops
/// when the process is told to.
///
/// # Errors
///
/// Fails when the installation can't be started.
pub async fn serve(address: net::SocketAddr) -> Result<(), error::CommandError> {
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
    // A reader that went away is no reason to stop serving.
    let _ = written.and_then(|()| out.flush());
    daemon::wait_for_stop().await?;
    fleet.stop().await;
    Ok(())
}
