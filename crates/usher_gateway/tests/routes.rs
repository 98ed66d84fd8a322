//! A gateway follows the routes and the role changes that registrars tell, over a thin link and
//! beside registrars that don't answer.

mod support;

use std::time;

use support::{Document, GatewayUnderTest, StandInRegistrar, ThinLink};

/// Time within which a confirmed change must be in force at every gateway.
const IN_FORCE_WITHIN: time::Duration = time::Duration::from_secs(3);

/// Link of a gateway of the grown deployments: 10 Mbit/s.
const LINK_BYTES_PER_SECOND: u64 = 1_250_000;

/// Size of a document with 2,500 routes.
const LARGE_DOCUMENT: usize = 600_000;

/// Guards against gateways that stay on old routes because all registrars send them each version of
/// a large document at once.
#[tokio::test(flavor = "multi_thread")]
async fn storm_of_large_documents_is_in_force_in_time() {
    let link = ThinLink::new(LINK_BYTES_PER_SECOND);
    let mut registrars = Vec::new();
    for _ in 0..5 {
        registrars.push(StandInRegistrar::start(link.clone()).await);
    }
    let gateway = GatewayUnderTest::start(&registrars).await;
    let mut offered = Vec::new();
    for version in 1..=16 {
        let document = Document::new(version, LARGE_DOCUMENT);
        for registrar in &registrars {
            registrar.offer(&document);
        }
        offered.push((version, time::Instant::now()));
        tokio::time::sleep(time::Duration::from_millis(250)).await;
    }
    let in_force = gateway.wait_for_routes(16).await;
    let late: Vec<_> = offered
        .iter()
        .filter_map(|(version, at)| {
            let reached = in_force.iter().find(|(known, _)| known >= version)?.1;
            let delay = reached.saturating_duration_since(*at);
            (delay > IN_FORCE_WITHIN).then_some((*version, delay))
        })
        .collect();
    assert!(late.is_empty(), "in force too late: {late:?}");
}

/// Guards against a gateway that never asks again for a version after one request for it was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_request_for_routes_is_repeated() {
    let registrar = StandInRegistrar::start(ThinLink::new(LINK_BYTES_PER_SECOND)).await;
    let gateway = GatewayUnderTest::start(std::slice::from_ref(&registrar)).await;
    registrar.offer(&Document::new(1, 100));
    gateway.wait_for_routes(1).await;
    registrar.lose_route_requests(1);
    registrar.offer(&Document::new(2, 100));
    let offered = time::Instant::now();
    let in_force = gateway.wait_for_routes(2).await;
    let delay = in_force.last().unwrap().1 - offered;
    assert!(delay <= IN_FORCE_WITHIN, "in force after {delay:?}");
}

/// Guards against calls to an engine whose role is changing after a watch was interrupted: the
/// gateway had dropped the list, and asked only for later changes of it.
#[tokio::test(flavor = "multi_thread")]
async fn role_changes_are_known_after_an_interrupted_watch() {
    let registrar = StandInRegistrar::start(ThinLink::new(LINK_BYTES_PER_SECOND)).await;
    registrar.set_engines(&["e1", "e2", "e3"], &["e2"]);
    let gateway = GatewayUnderTest::start(std::slice::from_ref(&registrar)).await;
    gateway.wait_for_targets(2).await;
    registrar.lose_watches(1);
    // A registrar that can't be reached excludes no engine.
    gateway.wait_for_targets(3).await;
    gateway.wait_for_targets(2).await;
}

/// Time after which the next test fails. A thread that waits for itself would keep the runtime, and so
/// the test, from ending.
const DEADLOCK_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Guards against a gateway that waits for itself for good when a registrar that changes the role of an
/// engine is no longer watched.
#[test]
fn role_changes_of_a_removed_registrar_are_dropped() {
    let (finished, is_finished) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let link = ThinLink::new(LINK_BYTES_PER_SECOND);
            let removed = StandInRegistrar::start(link.clone()).await;
            removed.set_engines(&["e1", "e2", "e3"], &["e2"]);
            let kept = StandInRegistrar::start(link).await;
            kept.set_engines(&["e1", "e2", "e3"], &[]);
            let registrars = [kept, removed];
            let gateway = GatewayUnderTest::start(&registrars).await;
            gateway.wait_for_targets(2).await;
            gateway.set_seeds(&registrars[..1]).await;
            registrars[0].offer(&Document::new(1, 100));
            gateway.wait_for_targets(3).await;
            gateway.wait_for_routes(1).await;
        });
        finished.send(()).unwrap();
    });
    let result = is_finished.recv_timeout(DEADLOCK_LIMIT);
    assert_eq!(result, Ok(()), "the gateway does not go on");
}
