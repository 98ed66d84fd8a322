//! Opens the TCP listeners of daemons. Not for: serving connections.

use std::{io, net, time};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Longest wait for an address that is in use: a process that is restarted may find it held for a
/// moment by the one before it or by an outgoing connection.
const MAX_WAIT: time::Duration = time::Duration::from_secs(3);

/// Time between two attempts to bind an address that is in use.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Opens a listener on an address; waits a few seconds for one that is in use.
///
/// # Errors
///
/// Fails when the address stays in use, or can't be bound for another reason.
pub async fn open_listener(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let begin = time::Instant::now();
    let mut waits = false;
    loop {
        match try_open(address) {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse && begin.elapsed() < MAX_WAIT =>
            {
                if !std::mem::replace(&mut waits, true) {
                    let max_wait_ms = MAX_WAIT.as_millis();
                    tracing::warn!(%address, %error, max_wait_ms, "waiting for the address to listen on");
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            opened => return opened,
        }
    }
}

fn try_open(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = match address {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    // Lets a restarted process bind its address while old connections are still closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
