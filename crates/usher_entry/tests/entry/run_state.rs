//! The run state reported in an error after earlier attempts of the same call.

use std::{sync, time};

use tokio::io::AsyncWriteExt as _;

use crate::{
    hostile::{announce_engine, read_request},
    lifecycle::cut_off,
    support::{chat_body, options, wait_for, Fleet, Reply},
};
use usher_fake::{ServiceBehaviour, ServiceOptions};

const UNFINISHED_ERROR: &[u8] =
    b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 1000\r\n\r\nout of memory";

const REFUSAL: &[u8] = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 2\r\n\r\n{}";

/// How an engine handles a request after reading it.
#[derive(Clone, Copy)]
struct Step {
    /// Whether it answers 400; otherwise it closes the connection.
    refuse: bool,
    /// Number of steps that must have started before this one ends.
    after: usize,
    pause: time::Duration,
}

fn step(refuse: bool, after: usize, pause_ms: u64) -> Step {
    Step {
        refuse,
        after,
        pause: time::Duration::from_millis(pause_ms),
    }
}

/// The steps of two engines, in order of the arrival of requests at either of them.
#[derive(Clone)]
struct Script {
    steps: Vec<Step>,
    started: sync::Arc<sync::atomic::AtomicUsize>,
    blocked: sync::Arc<sync::atomic::AtomicBool>,
}

impl Script {
    fn new(steps: &[Step], blocked: bool) -> Self {
        Self {
            steps: steps.to_vec(),
            started: sync::Arc::default(),
            blocked: sync::Arc::new(blocked.into()),
        }
    }

    fn started(&self) -> usize {
        self.started.load(sync::atomic::Ordering::SeqCst)
    }

    fn release(&self) {
        self.blocked.store(false, sync::atomic::Ordering::SeqCst);
    }

    async fn serve(self, listener: tokio::net::TcpListener) {
        while let Ok((mut socket, _)) = listener.accept().await {
            let script = self.clone();
            tokio::spawn(async move {
                if read_request(&mut socket).await.is_none() {
                    return;
                }
                let index = script.started.fetch_add(1, sync::atomic::Ordering::SeqCst);
                let step = script.steps[index];
                wait_for("the engine may continue", || {
                    script.started() >= step.after
                        && !script.blocked.load(sync::atomic::Ordering::SeqCst)
                })
                .await;
                tokio::time::sleep(step.pause).await;
                if step.refuse {
                    let _ = socket.write_all(REFUSAL).await;
                }
            });
        }
    }
}

/// An entry with a filled retry budget and two engines that follow a script.
async fn scripted_fleet(script: &Script) -> Fleet {
    let fleet = Fleet::start(options().with_suspect_after(time::Duration::from_secs(60))).await;
    let _service = fleet.service(ServiceOptions::new("service-1")).await;
    for _ in 0..40 {
        assert_eq!(fleet.get("/svc/rounds/plan").await.status, 200);
    }
    let before = fleet.node.status().targets;
    for name in ["scripted-1", "scripted-2"] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let announcement = serde_json::json!({
            "name": name, "incarnation": 1, "address": listener.local_addr().unwrap(),
            "kind": "engine", "service": "assist", "model": "assist-1", "region": "south-a",
            "domain": "domain-1", "kv_pieces": 512,
        });
        tokio::spawn(script.clone().serve(listener));
        let request = fleet.request("POST", "/v1/targets/announce");
        let reply = fleet.send(request, announcement.to_string()).await;
        assert_eq!(reply.status, 200, "{}", reply.text);
    }
    wait_for("both engines are registered", || {
        fleet.node.status().targets == before + 2
    })
    .await;
    fleet
}

fn assert_unknown(reply: &Reply, status: u16) {
    assert_eq!(
        (reply.status, reply.run()),
        (status, Some("unknown")),
        "{}",
        reply.text
    );
}

/// Guards against reporting "not run" for a plain call whose first attempt broke and whose later
/// attempts weren't sent.
#[tokio::test]
async fn plain_call_that_broke_once_is_unknown() {
    let fleet = Fleet::start(options()).await;
    let service = fleet.service(ServiceOptions::new("service-1")).await;
    for _ in 0..40 {
        assert_eq!(fleet.get("/svc/rounds/plan").await.status, 200);
    }
    service.set_behaviour(ServiceBehaviour {
        die_after: true,
        ..ServiceBehaviour::default()
    });
    assert_unknown(&fleet.get("/svc/rounds/plan").await, 502);
}

fn refused_after_a_break(steps: [Step; 2]) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let script = Script::new(&steps, false);
        let fleet = scripted_fleet(&script).await;
        let reply = fleet.chat(&chat_body(4, true)).await;
        assert_eq!(script.started(), 2, "{}", reply.text);
        assert_unknown(&reply, 400);
    });
}

usher_types::cases! { refused_after_a_break:
    /// Guards against reporting "not run" when an engine refuses a call that an earlier engine may
    /// have run.
    second_attempt_is_refused([step(false, 0, 0), step(true, 0, 0)]);
    /// Guards against reporting "not run" when the hedge broke before the first attempt was
    /// refused.
    hedge_breaks_first([step(true, 2, 300), step(false, 2, 0)]);
    /// Guards against reporting "not run" when the hedge broke after the first attempt was refused.
    hedge_breaks_last([step(true, 2, 0), step(false, 2, 300)]);
}

/// Guards against reporting "not run" when the routing right expires after an attempt that broke.
#[tokio::test]
async fn right_lost_after_a_break_is_unknown() {
    // The second step serves a hedge, which may be sent before the cut on a busy machine.
    let script = Script::new(&[step(false, 0, 0), step(false, 0, 0)], true);
    let fleet = scripted_fleet(&script).await;
    let body = chat_body(4, true);
    let call = fleet.chat(&body);
    let cut = async {
        wait_for("an engine has the call", || script.started() > 0).await;
        cut_off(&fleet).await;
        script.release();
    };
    let (reply, ()) = tokio::join!(call, cut);
    assert_unknown(&reply, 503);
}

/// Guards against reporting "not run" when an engine has failed the call and the body of its error
/// doesn't end.
#[tokio::test]
async fn error_body_that_does_not_end_is_unknown() {
    let timeout = time::Duration::from_millis(300);
    let fleet = Fleet::start(options().with_first_token_timeout(timeout)).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    announce_engine(&fleet, &listener).await;
    let engine = tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut socket, _)) = listener.accept().await {
            if read_request(&mut socket).await.is_some() {
                let _ = socket.write_all(UNFINISHED_ERROR).await;
                open.push(socket);
            }
        }
    });
    assert_unknown(&fleet.chat(&chat_body(4, true)).await, 502);
    engine.abort();
}
