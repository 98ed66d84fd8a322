//! Heads that wait for memory.

use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use usher_intake::{CallerMemory, ConnectionLimits, MeteredSocket};
use usher_memory::{HolderPhase, MemoryBudget, PhaseCost};

const LIMITS: ConnectionLimits = ConnectionLimits {
    idle: time::Duration::from_secs(30),
    head: time::Duration::from_secs(10),
    write: time::Duration::from_secs(30),
    head_bytes: 64 * 1_024,
};

/// Bytes of a head and of what follows it, which arrive together.
const SENT_BYTES: usize = 6_000;

/// Bytes that the reader asks for at a time.
const PART_BYTES: usize = 1_000;

/// Guards against bytes that are lost or change their order when a head waits for others to end, and
/// when the next phase begins before all of them were passed on.
#[tokio::test(start_paused = true)]
async fn waiting_bytes_keep_their_order() {
    let budget = MemoryBudget {
        bytes: 4 * PhaseCost::idle(),
        connections: 8,
    };
    let memory = CallerMemory::new("test", budget);
    let other = memory.open().unwrap();
    assert!(other.charge_connection().await);
    other.enter(HolderPhase::Idle);
    let connection = memory.open().unwrap();
    assert!(connection.charge_connection().await);
    let (mut caller, socket) = tokio::io::duplex(SENT_BYTES);
    let mut socket = MeteredSocket::new(socket, connection.clone(), LIMITS);
    // Each line may be a header, for which there is no room beside the other connection.
    let sent: Vec<u8> = (0..SENT_BYTES)
        .map(|number| {
            if number % 30 == 29 {
                b'\n'
            } else {
                b'a' + (number % 26) as u8
            }
        })
        .collect();
    caller.write_all(&sent).await.unwrap();
    let mut whole = [0; SENT_BYTES];
    let mut part = [0; PART_BYTES];
    let ended = tokio::select! {
        _ = socket.read(&mut whole) => false,
        () = other.told_to_end() => true,
    };
    assert!(ended, "the head was passed on without room");
    drop(other);
    let mut received = Vec::new();
    while received.len() < SENT_BYTES {
        let bytes = socket.read(&mut part).await.unwrap();
        received.extend_from_slice(&part[..bytes]);
        connection.enter(HolderPhase::Call);
    }
    assert!(received == sent, "the bytes differ");
}
