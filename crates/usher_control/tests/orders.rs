//! Tests of orders to engines under leader changes, late orders, restarts and stragglers.

mod group;

use std::time::{Duration, Instant};

use group::{fake::FakeEngine, ControlGroup};
use usher_state::OrderEnd;

/// A group of control nodes, a registered engine, and the current version of the configuration.
struct OrderFixture {
    group: ControlGroup,
    engine: FakeEngine,
    config_version: u64,
}

impl OrderFixture {
    async fn start(name: &str, fenced: bool) -> Self {
        Self::start_with(name, fenced, Vec::new()).await
    }

    /// Starts with additional engines.
    async fn start_with(name: &str, fenced: bool, mut engines: Vec<FakeEngine>) -> Self {
        let group = ControlGroup::start(name, 3).await;
        let engine = FakeEngine::start("engine-1", fenced).await;
        let nodes = (0..3).map(|index| group.wire_address(index)).collect();
        engines.push(engine.clone());
        let count = engines.len();
        FakeEngine::announce(engines, nodes);
        let fixture = Self {
            group,
            engine,
            config_version: 0,
        };
        let known = || async {
            fixture.view_state(|state| (state.targets().present().count() == count).then_some(()))
        };
        group::until("the engines in the registry", known).await;
        fixture
    }

    /// Returns the first value that `read` finds in the state of a running node.
    fn view_state<T>(&self, read: impl Fn(&usher_state::FleetState) -> Option<T>) -> Option<T> {
        let indices = self.group.running_indices();
        let views = indices.into_iter().rev();
        views.fold(None, |found, index| {
            found.or_else(|| self.group.node(index).replica().view(&read))
        })
    }

    /// Changes the version of the model in the sheet.
    async fn request_version(&mut self, version: &str) {
        self.change(&format!("gum,{version},,0,0,0..1")).await;
    }

    /// Changes the numbers of decode and mixed engines in the sheet.
    async fn request_roles(&mut self, decode: &str, mixed: &str) {
        self.change(&format!("gum,1,,0,{decode},{mixed}")).await;
    }

    async fn change(&mut self, cells: &str) {
        let sheet = format!("{}assist,engine,south-a,{cells},0\n", group::HEADER);
        let request = format!("r{}", self.config_version);
        let body = group::config_change(&request, self.config_version, &sheet);
        let (status, answer) = group::send_to_leader(&self.group, "POST", "/v1/config", body).await;
        assert_eq!(status, 200, "{answer}");
        self.config_version += 1;
    }

    async fn kill_leader(&mut self) {
        let leader = self.group.leader().await;
        self.group.kill(leader).await;
    }

    /// Waits for an order in flight and returns its fencing number.
    async fn in_flight(&self) -> u64 {
        group::until("an order in flight", || async {
            self.view_state(|state| Some(state.orders().in_flight().next()?.fence))
        })
        .await
    }

    async fn ended(&self, fence: u64) -> OrderEnd {
        group::until("the end of an order", || async {
            self.view_state(|state| {
                let mut ended = state.orders().ended();
                ended
                    .find(|end| end.order.as_ref().is_some_and(|order| order.fence == fence))
                    .cloned()
            })
        })
        .await
    }

    async fn engine_until(&self, what: &str, condition: impl Fn(&group::fake::FakeState) -> bool) {
        group::until(what, || async {
            condition(&self.engine.lock()).then_some(())
        })
        .await;
    }
}

fn succeeded(end: &OrderEnd) -> bool {
    end.result.as_ref().unwrap().succeeded
}

/// Guards against an order that is never sent when the leader is killed right after committing the
/// intent.
async fn check_interrupted_before_sending(fenced: bool) {
    let mut fixture = OrderFixture::start(&format!("orders-intent-{fenced}"), fenced).await;
    fixture.engine.lock().unreadable = true;
    fixture.request_version("2").await;
    let fence = fixture.in_flight().await;
    fixture.kill_leader().await;
    fixture.engine.lock().unreadable = false;
    assert!(succeeded(&fixture.ended(fence).await));
    let accepted = fixture.engine.accepted();
    assert_eq!(accepted.len(), 1, "{accepted:?}");
    assert_eq!(accepted[0].fence, fence);
}

/// Guards against a second, conflicting order when the leader is killed while the engine is
/// changing.
async fn check_interrupted_after_sending(fenced: bool) {
    let mut fixture = OrderFixture::start(&format!("orders-sent-{fenced}"), fenced).await;
    fixture.engine.lock().slow = true;
    fixture.request_version("2").await;
    let fence = fixture.in_flight().await;
    fixture
        .engine_until("the order at the engine", |state| state.changing)
        .await;
    fixture.kill_leader().await;
    fixture.group.leader().await;
    // A change of the sheet that conflicts with the order in flight must wait for it.
    fixture.request_version("3").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(fixture.engine.accepted().len(), 1);
    {
        let mut engine = fixture.engine.lock();
        engine.slow = false;
        engine.changing = false;
    }
    assert!(succeeded(&fixture.ended(fence).await));
    fixture
        .engine_until("the next order", |state| state.version == "3")
        .await;
    let accepted = fixture.engine.accepted();
    assert_eq!(accepted.len(), 2, "{accepted:?}");
    assert!(accepted[1].fence > fence);
}

/// Guards against an order that is sent again although it was carried out, when the leader is
/// killed before committing the result.
async fn check_interrupted_before_result(fenced: bool) {
    let mut fixture = OrderFixture::start(&format!("orders-result-{fenced}"), fenced).await;
    fixture.engine.lock().silent = true;
    fixture.request_version("2").await;
    let fence = fixture.in_flight().await;
    fixture
        .engine_until("the order carried out", |state| state.version == "2")
        .await;
    fixture.kill_leader().await;
    fixture.engine.lock().silent = false;
    assert!(succeeded(&fixture.ended(fence).await));
    assert_eq!(fixture.engine.accepted().len(), 1);
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

/// Guards against an order of a frozen leader that arrives after newer ones and keeps its effect.
async fn check_late_order(fenced: bool) {
    let mut fixture = OrderFixture::start(&format!("orders-late-{fenced}"), fenced).await;
    fixture.engine.lock().hold_next = true;
    fixture.request_version("2").await;
    let fence = fixture.in_flight().await;
    fixture
        .engine_until("the order in flight to the engine", |state| {
            state.arrived == 1
        })
        .await;
    fixture.kill_leader().await;
    // The held order stays in flight while later ones overtake it.
    fixture.ended(fence).await;
    fixture.request_version("3").await;
    fixture
        .engine_until("the newest order", |state| state.version == "3")
        .await;
    let before = fixture.engine.lock().orders.len();
    fixture.engine.lock().released = true;
    fixture
        .engine_until("the late order", |state| state.orders.len() > before)
        .await;
    let late = fixture.engine.lock().orders[before].clone();
    assert_eq!((late.fence, late.accepted), (fence, !fenced));
    if fenced {
        assert_eq!(fixture.engine.lock().version, "3");
        return;
    }
    // The engine accepted the old order, so it gets a correction with a new fencing number.
    fixture
        .engine_until("the correction", |state| {
            let last = state.orders.last().unwrap();
            state.version == "3" && last.fence > fence
        })
        .await;
    let orders = fixture.engine.accepted();
    let newest = orders.iter().map(|order| order.fence).max();
    assert_eq!(orders.last().map(|order| order.fence), newest);
}

/// Guards against a late role order that keeps its effect because the sheet allows both roles.
#[tokio::test(flavor = "multi_thread")]
async fn late_role_order_is_corrected_by_reading_back() {
    let other = FakeEngine::start("engine-2", false).await;
    let mut fixture = OrderFixture::start_with("orders-correction", false, vec![other]).await;
    fixture.engine.lock().hold_next = true;
    fixture.request_roles("1", "1").await;
    let first = fixture.in_flight().await;
    fixture
        .engine_until("the order in flight to the engine", |state| {
            state.arrived == 1
        })
        .await;
    fixture.kill_leader().await;
    assert!(succeeded(&fixture.ended(first).await));
    fixture.request_roles("0", "2").await;
    fixture
        .engine_until("the newer order", |state| state.role == "mixed")
        .await;
    fixture.request_roles("0..1", "1..2").await;
    fixture.engine.lock().released = true;
    fixture
        .engine_until("the late order", |state| state.role == "decode")
        .await;
    fixture
        .engine_until("the correction", |state| state.role == "mixed")
        .await;
    let orders = fixture.engine.accepted();
    let last = orders.last().unwrap();
    assert!(orders
        .iter()
        .rev()
        .skip(1)
        .all(|order| order.fence < last.fence));
    let end = fixture.ended(last.fence).await;
    let intent = end.order.unwrap().intent.unwrap();
    assert!(intent.reason.contains("correction"), "{}", intent.reason);
}

/// Guards against a drain order that reaches an engine while entries may still send calls to it,
/// and against a drain that ends before the stragglers do.
#[tokio::test(flavor = "multi_thread")]
async fn drain_waits_for_entries_and_stragglers() {
    let fixture = OrderFixture::start("orders-drain", true).await;
    fixture.engine.lock().running = 2;
    let marked = Instant::now();
    let body = Some(serde_json::json!({ "operator": "ops", "target": "engine-1" }));
    let (status, _) = group::send_to_leader(&fixture.group, "POST", "/v1/drain", body).await;
    assert_eq!(status, 202);
    fixture
        .engine_until("the drain order", |state| state.draining)
        .await;
    assert!(marked.elapsed() >= Duration::from_secs(4));
    let fence = fixture.in_flight().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(fixture.in_flight().await, fence);
    fixture.engine.lock().running = 0;
    assert!(succeeded(&fixture.ended(fence).await));
    let (_, explained) =
        group::send_to_leader(&fixture.group, "GET", "/v1/explain/engine-1", None).await;
    assert!(
        explained["records"].as_array().unwrap().len() >= 3,
        "{explained}"
    );
}

/// Guards against an order that counts as done, or is never replaced, when the engine restarts
/// while it is changing.
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_restarts_in_an_order_gets_a_new_one() {
    let mut fixture = OrderFixture::start("orders-restart", true).await;
    fixture.engine.lock().slow = true;
    fixture.request_version("2").await;
    let fence = fixture.in_flight().await;
    fixture
        .engine_until("the order at the engine", |state| state.changing)
        .await;
    {
        let mut engine = fixture.engine.lock();
        engine.incarnation = 2;
        engine.version = "1".to_owned();
        engine.fence = 0;
        engine.slow = false;
        engine.changing = false;
    }
    let end = fixture.ended(fence).await;
    assert!(!succeeded(&end), "{end:?}");
    fixture
        .engine_until("the new order", |state| state.version == "2")
        .await;
    let accepted = fixture.engine.accepted();
    assert!(accepted.last().unwrap().fence > fence);
}

/// Guards against an order that stays in flight at an engine that does not carry it out.
#[tokio::test(flavor = "multi_thread")]
async fn order_without_effect_fails_and_is_replaced_later() {
    let mut fixture = OrderFixture::start("orders-no-effect", true).await;
    fixture.engine.lock().hold_next = true;
    fixture.request_version("2").await;
    let fence = fixture.in_flight().await;
    let end = fixture.ended(fence).await;
    assert!(!succeeded(&end), "{end:?}");
    fixture
        .engine_until("the next order", |state| state.version == "2")
        .await;
    assert!(fixture.engine.accepted()[0].fence > fence);
}
