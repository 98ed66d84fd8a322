//! Failover between control nodes when replies grant no routing right.

use std::sync::{atomic, Arc};

use usher_entry::{ControlLink, EntryBuilder, LinkError, MemoryControl, MemoryLink};
use usher_wire::message;

use crate::support::{options, wait_for};

/// Duration of a granted right, in ms.
const RIGHT_MS: u64 = 3_000;

/// Returns the duration of the right in a node's n-th reply, counted from 0.
type RightOf = fn(node: usize, reply: usize) -> u64;

/// A link to two control nodes that counts replies and failovers.
#[derive(Clone)]
struct PairLink {
    control: MemoryLink,
    right_of: RightOf,
    state: Arc<PairState>,
}

#[derive(Default)]
struct PairState {
    current: atomic::AtomicUsize,
    failovers: atomic::AtomicUsize,
    replies: [atomic::AtomicUsize; 2],
}

impl PairLink {
    fn new(right_of: RightOf) -> Self {
        Self {
            control: MemoryControl::new().link(),
            right_of,
            state: Arc::default(),
        }
    }

    fn failovers(&self) -> usize {
        self.state.failovers.load(atomic::Ordering::SeqCst)
    }

    fn replies(&self, node: usize) -> usize {
        self.state.replies[node].load(atomic::Ordering::SeqCst)
    }
}

impl ControlLink for PairLink {
    async fn sync(&self, request: message::SyncRequest) -> Result<message::SyncReply, LinkError> {
        let node = self.state.current.load(atomic::Ordering::SeqCst);
        let reply = self.state.replies[node].fetch_add(1, atomic::Ordering::SeqCst);
        let mut answer = self.control.sync(request).await?;
        answer.right_ms = (self.right_of)(node, reply);
        Ok(answer)
    }

    async fn claim(&self, call: message::ClaimCall) -> Result<message::ClaimReply, LinkError> {
        self.control.claim(call).await
    }

    async fn finish(&self, finish: message::FinishClaim) -> Result<(), LinkError> {
        self.control.finish(finish).await
    }

    fn fail_over(&self) {
        self.state.failovers.fetch_add(1, atomic::Ordering::SeqCst);
        self.state.current.fetch_xor(1, atomic::Ordering::SeqCst);
    }
}

/// Guards against an entry that keeps using a node that can't renew rights because it is cut off
/// from the leader.
#[tokio::test]
async fn entry_leaves_a_node_that_gives_no_right() {
    let link = PairLink::new(|node, _| if node == 0 { 0 } else { RIGHT_MS });
    let (_stop, signal) = usher_kernel::StopSource::new();
    let node = EntryBuilder::new(options(), link.clone())
        .start(signal)
        .await
        .unwrap();
    wait_for("ten heartbeats are answered", || {
        link.replies(0) + link.replies(1) >= 10
    })
    .await;
    assert!(node.status().right, "the entry stays without a right");
    assert_eq!((link.failovers(), link.replies(0)), (1, 2));
}

/// Guards against entries that switch between nodes during an election, when single replies grant
/// no right.
#[tokio::test]
async fn entry_stays_after_a_single_reply_without_right() {
    let link = PairLink::new(|_, reply| if reply % 2 == 0 { 0 } else { RIGHT_MS });
    let (_stop, signal) = usher_kernel::StopSource::new();
    let _node = EntryBuilder::new(options(), link.clone())
        .start(signal)
        .await
        .unwrap();
    wait_for("ten heartbeats are answered", || {
        link.replies(0) + link.replies(1) >= 10
    })
    .await;
    assert_eq!((link.failovers(), link.replies(1)), (0, 0));
}
