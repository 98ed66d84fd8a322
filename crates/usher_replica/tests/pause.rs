//! Pauses of the process between two inputs that are processed in one batch.

mod common;

use std::{future::Future, pin, sync, task, time};

use common::{propose, wait_for, Group, Node};
use usher_consensus::{MembershipChange, NodeId};
use usher_types::{ClockSource, ManualClock};
use usher_wire::message;

/// Simulates a pause of the process: advances the clock by 10 s when the driver answers a command.
struct PauseOnWake(ManualClock);

impl task::Wake for PauseOnWake {
    fn wake(self: sync::Arc<Self>) {
        self.0.advance(time::Duration::from_secs(10));
    }
}

/// Advances the clock at approximately the rate of real time.
async fn run_clock(clock: ManualClock) {
    loop {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
        clock.advance(time::Duration::from_millis(5));
    }
}

/// Advances the clock until a node holds the leader lease; returns the node's position.
async fn wait_for_lease(clock: &ManualClock, nodes: &[Node]) -> usize {
    let limit = time::Instant::now() + time::Duration::from_secs(60);
    loop {
        let now = clock.now();
        if let Some(node_index) = nodes.iter().position(|node| node.handle.holds_lease(now)) {
            return node_index;
        }
        assert!(time::Instant::now() < limit, "no node holds the lease");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
        clock.advance(time::Duration::from_millis(5));
    }
}

/// Guards against a read that is served under an expired lease: the lease expired during a pause of
/// the process after an earlier command of the same batch. The runtime has one thread, so that the
/// driver receives both commands in one batch.
#[tokio::test]
async fn read_after_a_pause_within_a_batch_is_not_answered_under_the_old_lease() {
    let group = Group::new("pause", 3, 3);
    let clock = ManualClock::new();
    let mut nodes = Vec::new();
    for node_index in 0..3 {
        nodes.push(group.start_with_clock(node_index, clock.clone()).await);
    }
    // After a command is committed, the group is bootstrapped and has a stable leader.
    let running = tokio::spawn(run_clock(clock.clone()));
    let handles: Vec<_> = nodes.iter().map(|node| &node.handle).collect();
    propose(&handles, b"first").await;
    running.abort();
    let _ = running.await;
    let node_index = wait_for_lease(&clock, &nodes).await;
    let leader = nodes.swap_remove(node_index);
    for node in nodes {
        node.stop().await;
    }
    // The clock stands still, so that the lease does not expire without the other nodes.
    leader.handle.read().await.unwrap();

    let unknown = MembershipChange::Remove(NodeId::new("unknown", 1));
    let handle = leader.handle.clone();
    let mut change = pin::pin!(handle.change_members(unknown));
    let pause = task::Waker::from(sync::Arc::new(PauseOnWake(clock.clone())));
    assert!(change
        .as_mut()
        .poll(&mut task::Context::from_waker(&pause))
        .is_pending());
    let mut read = pin::pin!(handle.read());
    let mut context = task::Context::from_waker(task::Waker::noop());
    assert!(read.as_mut().poll(&mut context).is_pending());

    let before = clock.now();
    assert!(read.await.is_err(), "read under an expired lease");
    assert_eq!(clock.now() - before, time::Duration::from_secs(10));
    assert!(change.await.is_err());
    leader.stop().await;
}

const STEP: time::Duration = time::Duration::from_millis(1);

/// A clock that, after it is armed, advances by one step with each reading.
#[derive(Clone, Debug, Default)]
struct SteppingClock {
    clock: ManualClock,
    armed: sync::Arc<sync::atomic::AtomicBool>,
}

impl ClockSource for SteppingClock {
    fn now(&self) -> time::Instant {
        let now = self.clock.now();
        if self.armed.load(sync::atomic::Ordering::SeqCst) {
            self.clock.advance(STEP);
        }
        now
    }

    fn wall(&self) -> time::SystemTime {
        self.clock.wall()
    }
}

/// Guards against a heartbeat that is recorded with the time of an earlier message of the same
/// batch. The runtime has one thread, so that the driver receives all messages in one batch.
#[tokio::test]
async fn each_heartbeat_of_a_batch_is_seen_at_its_own_time() {
    let group = Group::new("heartbeats", 2, 2);
    let clock = SteppingClock::default();
    let node = group.start_with_clock(1, clock.clone()).await;
    let heartbeat = message::ConsensusMessage {
        from: Some(NodeId::new("c1", 1).to_message()),
        to: Some(node.handle.identity().to_message()),
        term: 1,
        kind: Some(message::consensus_message::Kind::AppendRequest(
            message::AppendRequest::default(),
        )),
        ..message::ConsensusMessage::default()
    };
    let start = clock.now();
    clock.armed.store(true, sync::atomic::Ordering::SeqCst);
    for _ in 0..10 {
        node.handle.receive(heartbeat.clone());
    }
    let seen = || node.handle.status().last_leader_contact;
    wait_for("a heartbeat", || seen().is_some()).await;
    assert_eq!(seen(), Some(start + 9 * STEP));
    node.stop().await;
}
