//! Accepts connections within a memory account. Not for: serving them.

use std::time;

use tokio::net;
use usher_memory::HolderPhase;

use crate::caller_memory;

/// Delay after a failed accept, for instance when file handles are exhausted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Accepts the next connection for which there is room; others are closed at once.
pub async fn accept(
    listener: &net::TcpListener,
    memory: &caller_memory::CallerMemory,
) -> (net::TcpStream, caller_memory::ConnectionMemory) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if let Some(memory) = memory.open() {
                    return (socket, memory);
                }
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits for the first byte of a connection, and for room for its buffers; returns whether it is to
/// be served.
pub async fn begins(
    socket: &net::TcpStream,
    memory: &caller_memory::ConnectionMemory,
    idle: time::Duration,
) -> bool {
    // The runtime takes a new socket for readable until a read shows that it isn't.
    let mut first = [0];
    let first = tokio::time::timeout(idle, socket.peek(&mut first));
    tokio::select! {
        first = first => if !matches!(first, Ok(Ok(1..))) {
            return false;
        },
        () = memory.told_to_end() => return false,
    }
    memory.enter(HolderPhase::Head);
    memory.charge_connection().await
}
