//! Routing rights, configuration versions, drain and leaving targets.

use std::time;

use crate::support::{chat_body, instant, options, steady, wait_for, Fleet, Reply};
use usher_entry::{EntryOptions, OutcomeCause};

/// Longer than any routing right.
const AFTER_RIGHT_EXPIRY: time::Duration = time::Duration::from_secs(4);

/// Cuts the entry off from control and lets its routing right expire.
pub(crate) async fn cut_off(fleet: &Fleet) {
    fleet.control.set_answering(false);
    let sync_count = fleet.control.sync_count();
    // Checks that no heartbeat sent before the cut is answered after it.
    tokio::time::sleep(time::Duration::from_millis(20)).await;
    assert_eq!(fleet.control.sync_count(), sync_count);
    fleet.clock.advance(AFTER_RIGHT_EXPIRY);
}

/// Guards against new work from an entry that control no longer reaches.
#[tokio::test]
async fn entry_without_right_refuses_new_work() {
    // The engine must not become suspect before its next announcement.
    let long_suspect_options = options().with_suspect_after(AFTER_RIGHT_EXPIRY * 2);
    let fleet = Fleet::start(long_suspect_options).await;
    let engine = fleet.engine(instant("engine-1")).await;
    cut_off(&fleet).await;
    let reply = fleet.stream(3).await;
    assert_eq!((reply.status, reply.run()), (503, Some("not-run")));
    assert_eq!(reply.code(), "no_routing_right");
    assert_eq!(fleet.get("/readyz").await.status, 503);
    assert_eq!(fleet.get("/healthz").await.status, 200);
    assert!(engine.requests().is_empty());
    assert_eq!(fleet.outcomes.causes(), [OutcomeCause::Region]);
    fleet.control.set_answering(true);
    wait_for("the right is back", || fleet.node.status().right).await;
    fleet.stream(3).await.assert_complete(3);
}

/// Shows that a cut-off entry keeps starting work if the routing right isn't checked.
#[tokio::test]
pub(crate) async fn cut_off_entry_goes_on_without_right() {
    // The engine must not become suspect, which would also prevent the call.
    let long_suspect_options = options().with_suspect_after(AFTER_RIGHT_EXPIRY * 2);
    let fleet = Fleet::start(long_suspect_options.without_right()).await;
    let engine = fleet.engine(instant("engine-1")).await;
    cut_off(&fleet).await;
    fleet.stream(3).await.assert_complete(3);
    assert_eq!(engine.requests().len(), 1);
}

/// Guards against a running stream that is cut because the routing right expired.
#[tokio::test]
async fn running_stream_outlives_the_right() {
    let fleet = Fleet::start(options()).await;
    let engine = fleet.engine(steady("engine-1")).await;
    let cut = async {
        wait_for("the stream runs", || engine.generated_tokens() > 2).await;
        cut_off(&fleet).await;
    };
    let (reply, ()) = tokio::join!(fleet.stream(60), cut);
    reply.assert_complete(60);
}

/// Guards against a resume without a routing right, and against giving up before it is renewed.
#[tokio::test]
async fn resume_waits_for_the_right() {
    let fleet = Fleet::start(options()).await;
    let engine = fleet.engine(steady("engine-1")).await;
    let other = fleet.engine(steady("engine-2")).await;
    for engine in [&engine, &other] {
        engine.faults().cut_after(30);
    }
    let cut = async {
        let running = || engine.open_streams() + other.open_streams() > 0;
        wait_for("the stream runs", running).await;
        cut_off(&fleet).await;
        let ended = || engine.open_streams() + other.open_streams() == 0;
        wait_for("the stream is cut", ended).await;
        for engine in [&engine, &other] {
            engine.faults().clear();
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        let resumed = engine.requests().len() + other.requests().len();
        assert_eq!(resumed, 1, "resumed without a right");
        fleet.control.set_answering(true);
    };
    let (reply, ()) = tokio::join!(fleet.stream(60), cut);
    reply.assert_complete(60);
}

/// Guards against an entry that is ready before it knows the newest configuration.
#[tokio::test]
async fn entry_is_unready_before_it_knows_the_configuration() {
    let control = usher_entry::MemoryControl::new();
    control.set_answering(false);
    let (_stop, signal) = usher_kernel::StopSource::new();
    let node = usher_entry::EntryBuilder::new(options(), control.link())
        .start(signal)
        .await
        .unwrap();
    assert!(!node.status().ready);
    control.set_answering(true);
    wait_for("the entry is ready", || node.status().ready).await;
}

async fn older_version(options: EntryOptions) -> (Fleet, u64) {
    let fleet = Fleet::start(options).await;
    fleet.control.set_config(5, "");
    wait_for("version 5 is applied", || {
        fleet.node.status().config.get() == 5
    })
    .await;
    fleet.control.set_config(4, "");
    let sync_count = fleet.control.sync_count();
    wait_for("more heartbeats are answered", || {
        fleet.control.sync_count() > sync_count + 2
    })
    .await;
    let version = fleet.node.status().config.get();
    (fleet, version)
}

/// Guards against reverting to an older configuration because a control node lags behind.
#[tokio::test]
async fn older_configuration_is_not_applied() {
    let (fleet, version) = older_version(options()).await;
    assert_eq!(version, 5);
    // Replies of such a node renew no right either.
    fleet.clock.advance(AFTER_RIGHT_EXPIRY);
    assert!(!fleet.node.status().ready);
}

/// Shows that the version goes back if versions aren't compared.
#[tokio::test]
async fn older_configuration_wins_without_versions() {
    let (_fleet, version) = older_version(options().without_versions()).await;
    assert_eq!(version, 4);
}

/// Guards against applying an older registry without leaving marks from a control node that lags
/// behind.
#[tokio::test]
async fn older_registry_is_not_applied() {
    let fleet = Fleet::start(options().with_suspect_after(AFTER_RIGHT_EXPIRY * 2)).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    fleet.control.set_stale();
    let sync_count = fleet.control.sync_count();
    wait_for("more heartbeats are answered", || {
        fleet.control.sync_count() > sync_count + 2
    })
    .await;
    assert_eq!(fleet.node.status().targets, 1);
    // Replies of such a node renew no right either.
    fleet.clock.advance(AFTER_RIGHT_EXPIRY);
    assert!(!fleet.node.status().right);
}

/// Guards against a drain that cuts a straggler or accepts new work.
#[tokio::test]
async fn drain_finishes_the_straggler() {
    let fleet = Fleet::start(options()).await;
    let engine = fleet.engine(steady("engine-1")).await;
    let drain = async {
        wait_for("the straggler runs", || engine.generated_tokens() > 2).await;
        fleet.stop.drain();
        wait_for("the entry is unready", || !fleet.node.status().ready).await;
        let refused = fleet.stream(1).await;
        assert_eq!((refused.status, refused.run()), (503, Some("not-run")));
        assert_eq!(refused.code(), "draining");
        assert_eq!(fleet.get("/readyz").await.status, 503);
    };
    let (straggler, ()) = tokio::join!(fleet.stream(80), drain);
    straggler.assert_complete(80);
    fleet.node.finished().await;
    fleet.stop.stop();
    let causes = fleet.outcomes.causes();
    assert_eq!(causes, [OutcomeCause::Drain, OutcomeCause::Ok]);
}

/// Shows that the straggler is cut if a drain ends streams.
#[tokio::test]
async fn drain_cuts_the_straggler_without_waiting() {
    let fleet = Fleet::start(options().without_drain()).await;
    let engine = fleet.engine(steady("engine-1")).await;
    let drain = async {
        wait_for("the straggler runs", || engine.generated_tokens() > 2).await;
        fleet.stop.drain();
    };
    let (straggler, ()) = tokio::join!(fleet.stream(80), drain);
    assert!(!straggler.chunks().1, "the straggler was finished");
}

/// Guards against refusing callers before the load balancer sees that the entry isn't ready.
#[tokio::test]
async fn drain_is_announced_before_work_is_refused() {
    let notice = time::Duration::from_secs(1);
    let fleet = Fleet::start(options().with_unready_notice(notice)).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    fleet.stop.drain();
    assert_eq!(fleet.get("/readyz").await.status, 503);
    fleet.stream(2).await.assert_complete(2);
    fleet.clock.advance(notice);
    assert_eq!(fleet.stream(2).await.code(), "draining");
}

#[derive(Clone, Copy)]
enum Leave {
    Announced,
    Ordered,
}

async fn call_after_leaving(options: EntryOptions, leave: Leave) -> (Reply, usize) {
    let fleet = Fleet::start(options).await;
    let leaving = fleet.engine(instant("engine-1")).await;
    match leave {
        Leave::Announced => leaving.begin_leaving(),
        Leave::Ordered => fleet.control.drain_target("engine-1"),
    }
    wait_for("control has registered the leaving mark", || {
        fleet.control.is_leaving("engine-1")
    })
    .await;
    let sync_count = fleet.control.sync_count();
    wait_for("more heartbeats are answered", || {
        fleet.control.sync_count() > sync_count + 2
    })
    .await;
    let reply = fleet.stream(1).await;
    (reply, leaving.requests().len())
}

fn no_work_after_leaving(leave: Leave) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (reply, calls) = call_after_leaving(options(), leave).await;
        assert_eq!((reply.status, reply.run()), (503, Some("not-run")));
        assert_eq!((reply.code().as_str(), calls), ("no_target", 0));
    });
}

usher_types::cases! { no_work_after_leaving:
    /// Guards against new work for a target that has announced that it is leaving.
    leaving_target_gets_no_new_work(Leave::Announced);
    /// Guards against new work for a target that an operator drains.
    drained_target_gets_no_new_work(Leave::Ordered);
}

/// Shows that a leaving target gets work if the leaving mark is ignored.
#[tokio::test]
async fn leaving_target_gets_work_without_the_mark() {
    let options = options().without_leaving();
    let (reply, calls) = call_after_leaving(options, Leave::Announced).await;
    reply.assert_complete(1);
    assert_eq!(calls, 1);
}

/// Guards against a stream that is cut because its engine is leaving.
#[tokio::test]
async fn stream_on_a_leaving_engine_finishes() {
    let fleet = Fleet::start(options()).await;
    let engine = fleet.engine(steady("engine-1")).await;
    let leave = async {
        wait_for("the stream runs", || engine.generated_tokens() > 2).await;
        engine.leave().await;
    };
    let (reply, ()) = tokio::join!(fleet.stream(60), leave);
    reply.assert_complete(60);
    assert_eq!(
        engine.requests().len(),
        1,
        "the stream was resumed elsewhere"
    );
}

/// Guards against new work for a target that has crashed and become silent.
#[tokio::test]
async fn silent_target_gets_no_new_work() {
    let fleet = Fleet::start(options()).await;
    let silent = fleet.engine(instant("engine-1")).await;
    silent.crash();
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    fleet.clock.advance(time::Duration::from_millis(3_100));
    wait_for("the right is renewed", || fleet.node.status().ready).await;
    let sync_count = fleet.control.sync_count();
    wait_for("the liveness of targets is updated", || {
        fleet.control.sync_count() > sync_count + 1
    })
    .await;
    let reply = fleet.chat(&chat_body(1, false)).await;
    assert_eq!((reply.status, reply.run()), (503, Some("not-run")));
    assert_eq!(reply.code(), "no_target");
}

/// Guards against accepting a call whose deadline can't be met.
#[tokio::test]
async fn impossible_deadline_is_refused() {
    let fleet = Fleet::start(options()).await;
    let engine = fleet.engine(instant("engine-1")).await;
    let request = fleet
        .request("POST", "/v1/chat/completions")
        .header("x-deadline-ms", "5");
    let reply = fleet.send(request, chat_body(500, true).to_string()).await;
    assert_eq!(
        (reply.status, reply.run()),
        (429, Some("not-run")),
        "{}",
        reply.text
    );
    assert!(reply.headers.contains_key("retry-after"));
    assert!(engine.requests().is_empty());
    assert_eq!(fleet.outcomes.causes(), [OutcomeCause::Refused]);
}

/// Guards against a registry delta that keeps a removed target or drops one that it doesn't list.
#[tokio::test]
async fn partial_registry_removes_only_what_is_gone() {
    let fleet = Fleet::start(options()).await;
    let gone = fleet.engine(instant("engine-1")).await;
    let kept = fleet.engine(instant("engine-2")).await;
    fleet.control.remove_target("engine-1");
    let before = fleet.control.sync_count();
    wait_for("two heartbeats", || fleet.control.sync_count() > before + 1).await;
    let calls = gone.requests().len();
    for _ in 0..8 {
        let reply = fleet.chat(&chat_body(1, false)).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(gone.requests().len(), calls);
    assert_eq!(kept.requests().len(), 8);
}

/// The kind of call during which connecting outlasts the routing right.
#[derive(Clone, Copy, Eq, PartialEq)]
enum LateCall {
    Stream,
    ClaimedPlain,
}

/// Fills the accept queue of a listener, so that further connects block.
async fn fill_queue(address: std::net::SocketAddr) -> Vec<tokio::net::TcpStream> {
    let mut fillers = Vec::new();
    let wait = time::Duration::from_millis(100);
    while let Ok(filler) = tokio::time::timeout(wait, tokio::net::TcpStream::connect(address)).await
    {
        fillers.push(filler.unwrap());
    }
    fillers
}

fn no_byte_without_right(call: LateCall) {
    use tokio::io::AsyncReadExt as _;
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let long_suspect_options = options().with_suspect_after(time::Duration::from_secs(60));
        let fleet =
            Fleet::start(long_suspect_options.with_connect_timeout(time::Duration::from_secs(10)))
                .await;
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let fillers = fill_queue(address).await;
        let (kind, service) = match call {
            LateCall::Stream => ("engine", "assist"),
            LateCall::ClaimedPlain => ("plain", "rounds"),
        };
        let announcement = serde_json::json!({
            "name": "target-1", "incarnation": 1, "address": address, "kind": kind,
            "service": service, "model": "assist-1", "region": "south-a", "domain": "domain-1",
            "kv_pieces": 512,
        });
        let request = fleet.request("POST", "/v1/targets/announce");
        let reply = fleet.send(request, announcement.to_string()).await;
        assert_eq!(reply.status, 200, "{}", reply.text);
        wait_for("the target is registered", || {
            fleet.node.status().targets == 1
        })
        .await;
        let target = async {
            wait_for("the call is being sent", || {
                fleet.node.status().outstanding > 0
            })
            .await;
            cut_off(&fleet).await;
            for _ in &fillers {
                listener.accept().await.unwrap();
            }
            let (mut socket, _) = listener.accept().await.unwrap();
            socket.read(&mut [0; 4_096]).await.unwrap_or(0)
        };
        let caller = async {
            match call {
                LateCall::Stream => fleet.stream(3).await,
                LateCall::ClaimedPlain => {
                    let request = fleet.request("POST", "/svc/rounds/call-outs");
                    fleet.send(request, "{}".to_owned()).await
                }
            }
        };
        let (reply, read) = tokio::join!(caller, target);
        assert_eq!(read, 0, "the request was written without a right");
        assert_eq!(reply.run(), Some("not-run"), "{}", reply.text);
    });
}

usher_types::cases! { no_byte_without_right:
    /// Guards against a request that is written after the routing right expired while connecting.
    right_is_checked_after_connecting(LateCall::Stream);
    right_is_checked_after_connecting_for_claimed_calls(LateCall::ClaimedPlain);
}
