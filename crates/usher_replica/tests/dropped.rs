//! A replica stops when all of its handles are dropped.

mod common;

use common::{propose, wait_for, Group};

/// Guards against a driver that spins on its closed queue after its last handle is dropped.
#[tokio::test(flavor = "multi_thread")]
async fn replica_stops_with_its_last_handle() {
    let group = Group::new("dropped", 1, 1);
    let node = group.start(0).await;
    propose(&[&node.handle], b"first").await;
    let applied = node.handle.watch_applied();
    let common::Node { handle, server } = node;
    server.abort();
    let _ = server.await;
    drop(handle);
    wait_for("the end of the driver", || applied.has_changed().is_err()).await;
}
