//! Orders to engines under leader changes, late senders, restarts and stragglers.

mod group;

use std::time::{Duration, Instant};

use group::{fake::FakeEngine, ControlGroup};
use usher_state::OrderEnd;

/// A group, one engine that it knows, and the sheet's version so far.
struct OrderBench {
    group: ControlGroup,
    engine: FakeEngine,
    config_version: u64,
}

impl OrderBench {
    async fn start(name: &str, fenced: bool) -> Self {
        Self::start_with(name, fenced, Vec::new()).await
    }

    /// Starts with other engines next to the one under test.
    async fn start_with(name: &str, fenced: bool, mut engines: Vec<FakeEngine>) -> Self {
        let group = ControlGroup::start(name, 3).await;
        let engine = FakeEngine::start("engine-1", fenced).await;
        let nodes = (0..3).map(|place| group.wire_address(place)).collect();
        engines.push(engine.clone());
        let count = engines.len();
        FakeEngine::announce(engines, nodes);
        let bench = Self {
            group,
            engine,
            config_version: 0,
        };
        let known = || async {
            bench.orders_view(|state| (state.targets().present().count() == count).then_some(()))
        };
        group::until("the engines in the registry", known).await;
        bench
    }

    fn orders_view<T>(&self, look: impl Fn(&usher_state::FleetState) -> Option<T>) -> Option<T> {
        let places = self.group.places();
        let views = places.into_iter().rev();
        views.fold(None, |found, place| {
            found.or_else(|| self.group.node(place).replica().view(&look))
        })
    }

    /// Changes the sheet to a version of the model.
    async fn want(&mut self, version: &str) {
        self.change(&format!("gum,{version},,0,0,0..1")).await;
    }

    /// Changes the numbers of the roles.
    async fn want_roles(&mut self, decode: &str, mixed: &str) {
        self.change(&format!("gum,1,,0,{decode},{mixed}")).await;
    }

    async fn change(&mut self, cells: &str) {
        let sheet = format!("{}assist,engine,south-a,{cells},0\n", group::HEADER);
        let request = format!("r{}", self.config_version);
        let body = group::change(&request, self.config_version, &sheet);
        let (status, answer) = group::operate_leader(&self.group, "POST", "/v1/config", body).await;
        assert_eq!(status, 200, "{answer}");
        self.config_version += 1;
    }

    async fn kill_leader(&mut self) {
        let leader = self.group.leader().await;
        self.group.kill(leader).await;
    }

    /// Waits for an order in flight and returns its number.
    async fn in_flight(&self) -> u64 {
        group::until("an order in flight", || async {
            self.orders_view(|state| Some(state.orders().in_flight().next()?.fence))
        })
        .await
    }

    async fn ended(&self, fence: u64) -> OrderEnd {
        group::until("the end of an order", || async {
            self.orders_view(|state| {
                let mut ended = state.orders().ended();
                ended
                    .find(|end| end.order.as_ref().is_some_and(|order| order.fence == fence))
                    .cloned()
            })
        })
        .await
    }

    async fn engine_until(&self, what: &str, look: impl Fn(&group::fake::FakeState) -> bool) {
        group::until(what, || async { look(&self.engine.lock()).then_some(()) }).await;
    }
}

fn succeeded(end: &OrderEnd) -> bool {
    end.result.as_ref().unwrap().succeeded
}

/// Guards against an order that is never sent when its leader dies right after the intent.
async fn check_interrupted_before_sending(fenced: bool) {
    let mut bench = OrderBench::start(&format!("orders-intent-{fenced}"), fenced).await;
    bench.engine.lock().unreadable = true;
    bench.want("2").await;
    let fence = bench.in_flight().await;
    bench.kill_leader().await;
    bench.engine.lock().unreadable = false;
    assert!(succeeded(&bench.ended(fence).await));
    let accepted = bench.engine.accepted();
    assert_eq!(accepted.len(), 1, "{accepted:?}");
    assert_eq!(accepted[0].fence, fence);
}

/// Guards against a second, conflicting order when the leader dies while the engine changes.
async fn check_interrupted_after_sending(fenced: bool) {
    let mut bench = OrderBench::start(&format!("orders-sent-{fenced}"), fenced).await;
    bench.engine.lock().slow = true;
    bench.want("2").await;
    let fence = bench.in_flight().await;
    bench
        .engine_until("the order at the engine", |state| state.changing)
        .await;
    bench.kill_leader().await;
    bench.group.leader().await;
    // A assignment that conflicts with the running order must wait for it.
    bench.want("3").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(bench.engine.accepted().len(), 1);
    {
        let mut engine = bench.engine.lock();
        engine.slow = false;
        engine.changing = false;
    }
    assert!(succeeded(&bench.ended(fence).await));
    bench
        .engine_until("the next order", |state| state.version == "3")
        .await;
    let accepted = bench.engine.accepted();
    assert_eq!(accepted.len(), 2, "{accepted:?}");
    assert!(accepted[1].fence > fence);
}

/// Guards against an order that is sent again although it was carried out, when the leader dies
/// before it commits the result.
async fn check_interrupted_before_result(fenced: bool) {
    let mut bench = OrderBench::start(&format!("orders-result-{fenced}"), fenced).await;
    bench.engine.lock().silent = true;
    bench.want("2").await;
    let fence = bench.in_flight().await;
    bench
        .engine_until("the order carried out", |state| state.version == "2")
        .await;
    bench.kill_leader().await;
    bench.engine.lock().silent = false;
    assert!(succeeded(&bench.ended(fence).await));
    assert_eq!(bench.engine.accepted().len(), 1);
}

macro_rules! engine_cases {
    ($($name:ident($check:ident, $fenced:literal);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                $check($fenced).await;
            }
        )+
    };
}

engine_cases! {
    interrupted_before_sending_with_fences(check_interrupted_before_sending, true);
    interrupted_before_sending_without_fences(check_interrupted_before_sending, false);
    interrupted_after_sending_with_fences(check_interrupted_after_sending, true);
    interrupted_after_sending_without_fences(check_interrupted_after_sending, false);
    interrupted_before_result_with_fences(check_interrupted_before_result, true);
    interrupted_before_result_without_fences(check_interrupted_before_result, false);
    late_order_of_a_frozen_leader_with_fences(check_late_order, true);
    late_order_of_a_frozen_leader_without_fences(check_late_order, false);
}

/// Guards against an order of a frozen leader that arrives after newer ones and stays in force.
async fn check_late_order(fenced: bool) {
    let mut bench = OrderBench::start(&format!("orders-late-{fenced}"), fenced).await;
    bench.engine.lock().hold_next = true;
    bench.want("2").await;
    let fence = bench.in_flight().await;
    bench
        .engine_until("the order on its way", |state| state.arrived == 1)
        .await;
    bench.kill_leader().await;
    // The held order stays on its way; later ones pass it.
    bench.ended(fence).await;
    bench.want("3").await;
    bench
        .engine_until("the newest order", |state| state.version == "3")
        .await;
    let before = bench.engine.lock().orders.len();
    bench.engine.lock().released = true;
    bench
        .engine_until("the late order", |state| state.orders.len() > before)
        .await;
    let late = bench.engine.lock().orders[before].clone();
    assert_eq!((late.fence, late.accepted), (fence, !fenced));
    if fenced {
        assert_eq!(bench.engine.lock().version, "3");
        return;
    }
    // The engine took the old order; it is corrected under a new number.
    bench
        .engine_until("the correction", |state| {
            let last = state.orders.last().unwrap();
            state.version == "3" && last.fence > fence
        })
        .await;
    let orders = bench.engine.accepted();
    let newest = orders.iter().map(|order| order.fence).max();
    assert_eq!(orders.last().map(|order| order.fence), newest);
}

/// Guards against a late role order that stays in force because the sheet allows both roles.
#[tokio::test(flavor = "multi_thread")]
async fn late_role_order_is_corrected_by_reading_back() {
    let other = FakeEngine::start("engine-2", false).await;
    let mut bench = OrderBench::start_with("orders-correction", false, vec![other]).await;
    bench.engine.lock().hold_next = true;
    bench.want_roles("1", "1").await;
    let first = bench.in_flight().await;
    bench
        .engine_until("the order on its way", |state| state.arrived == 1)
        .await;
    bench.kill_leader().await;
    assert!(succeeded(&bench.ended(first).await));
    bench.want_roles("0", "2").await;
    bench
        .engine_until("the newer order", |state| state.role == "mixed")
        .await;
    bench.want_roles("0..1", "1..2").await;
    bench.engine.lock().released = true;
    bench
        .engine_until("the late order", |state| state.role == "decode")
        .await;
    bench
        .engine_until("the correction", |state| state.role == "mixed")
        .await;
    let orders = bench.engine.accepted();
    let last = orders.last().unwrap();
    assert!(orders
        .iter()
        .rev()
        .skip(1)
        .all(|order| order.fence < last.fence));
    let end = bench.ended(last.fence).await;
    let intent = end.order.unwrap().intent.unwrap();
    assert!(intent.reason.contains("correction"), "{}", intent.reason);
}

/// Guards against a drain order that reaches an engine while entries may still send to it, and
/// against a drain that ends before the stragglers do.
#[tokio::test(flavor = "multi_thread")]
async fn drain_waits_for_entries_and_stragglers() {
    let bench = OrderBench::start("orders-drain", true).await;
    bench.engine.lock().running = 2;
    let marked = Instant::now();
    let body = Some(serde_json::json!({ "operator": "ops", "target": "engine-1" }));
    let (status, _) = group::operate_leader(&bench.group, "POST", "/v1/drain", body).await;
    assert_eq!(status, 202);
    bench
        .engine_until("the drain order", |state| state.draining)
        .await;
    assert!(marked.elapsed() >= Duration::from_secs(4));
    let fence = bench.in_flight().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(bench.in_flight().await, fence);
    bench.engine.lock().running = 0;
    assert!(succeeded(&bench.ended(fence).await));
    let (_, explained) =
        group::operate_leader(&bench.group, "GET", "/v1/explain/engine-1", None).await;
    assert!(
        explained["records"].as_array().unwrap().len() >= 3,
        "{explained}"
    );
}

/// Guards against an order that is believed done, or never given again, when the engine restarts
/// while it changes.
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_restarts_in_an_order_gets_a_new_one() {
    let mut bench = OrderBench::start("orders-restart", true).await;
    bench.engine.lock().slow = true;
    bench.want("2").await;
    let fence = bench.in_flight().await;
    bench
        .engine_until("the order at the engine", |state| state.changing)
        .await;
    {
        let mut engine = bench.engine.lock();
        engine.incarnation = 2;
        engine.version = "1".to_owned();
        engine.fence = 0;
        engine.slow = false;
        engine.changing = false;
    }
    let end = bench.ended(fence).await;
    assert!(!succeeded(&end), "{end:?}");
    bench
        .engine_until("the new order", |state| state.version == "2")
        .await;
    let accepted = bench.engine.accepted();
    assert!(accepted.last().unwrap().fence > fence);
}

/// Guards against orders that go on to an engine that never does what it is told.
#[tokio::test(flavor = "multi_thread")]
async fn order_without_effect_fails_and_is_given_again_later() {
    let mut bench = OrderBench::start("orders-no-effect", true).await;
    bench.engine.lock().hold_next = true;
    bench.want("2").await;
    let fence = bench.in_flight().await;
    let end = bench.ended(fence).await;
    assert!(!succeeded(&end), "{end:?}");
    bench
        .engine_until("the next order", |state| state.version == "2")
        .await;
    assert!(bench.engine.accepted()[0].fence > fence);
}
