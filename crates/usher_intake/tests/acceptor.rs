//! Connections before their first byte.

use std::time;

use tokio::{io::AsyncWriteExt as _, net};
use usher_intake::CallerMemory;
use usher_memory::{MemoryBudget, PhaseCost};

/// Guards against connections that take the buffers of a request before they have sent a byte.
#[tokio::test]
async fn silent_connection_takes_no_buffers() {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let memory = CallerMemory::new("test", MemoryBudget::default());
    let mut caller = net::TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (socket, connection) = usher_intake::accept(&listener, &memory).await;
    let idle = time::Duration::from_secs(30);
    let begins = usher_intake::begins(&socket, &connection, idle);
    tokio::pin!(begins);
    let early = tokio::time::timeout(time::Duration::from_millis(200), &mut begins).await;
    assert!(early.is_err(), "{early:?}");
    assert_eq!(memory.by_phase()["silent"], (1, PhaseCost::silent()));
    caller.write_all(b"G").await.unwrap();
    assert!(begins.await);
    assert_eq!(memory.by_phase()["head"], (1, PhaseCost::idle()));
}
