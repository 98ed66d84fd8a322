//! A fake engine whose order handling tests can delay and inspect, and an entry that announces it.

use std::{
    net,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use axum::{extract::State, http::StatusCode, routing, Json};
use usher_wire::message;

use super::{engine, load, FakeEntry};

/// An order that the engine has processed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ReceivedOrder {
    pub(crate) fence: u64,
    pub(crate) kind: String,
    pub(crate) version: Option<String>,
    pub(crate) role: Option<String>,
    pub(crate) accepted: bool,
}

#[derive(Debug)]
pub(crate) struct FakeState {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) fenced: bool,
    pub(crate) version: String,
    pub(crate) role: String,
    pub(crate) fence: u64,
    pub(crate) draining: bool,
    pub(crate) running: u32,
    /// Reads of the state fail while set.
    pub(crate) unreadable: bool,
    /// The first order that arrives while set is carried out only after `released` is set, as if it
    /// were in flight until then.
    pub(crate) hold_next: bool,
    pub(crate) released: bool,
    /// Orders are carried out but not answered while set.
    pub(crate) silent: bool,
    /// The engine is carrying out a change while set.
    pub(crate) changing: bool,
    /// Whether an order sets `changing`, which the test must clear.
    pub(crate) slow: bool,
    /// Number of orders that have arrived, including held ones.
    pub(crate) arrived: usize,
    pub(crate) orders: Vec<ReceivedOrder>,
}

/// A fake engine that listens on loopback.
#[derive(Clone)]
pub(crate) struct FakeEngine {
    state: Arc<Mutex<FakeState>>,
    address: net::SocketAddr,
}

impl FakeEngine {
    pub(crate) async fn start(name: &str, fenced: bool) -> Self {
        let state = Arc::new(Mutex::new(FakeState {
            name: name.to_owned(),
            incarnation: 1,
            fenced,
            version: "1".to_owned(),
            role: "mixed".to_owned(),
            fence: 0,
            draining: false,
            running: 0,
            unreadable: false,
            hold_next: false,
            released: false,
            silent: false,
            changing: false,
            slow: false,
            arrived: 0,
            orders: Vec::new(),
        }));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let routes = axum::Router::new()
            .route("/v1/orders", routing::post(receive_order).get(read_orders))
            .route("/v1/load", routing::get(read_load))
            .with_state(state.clone());
        tokio::spawn(async move { axum::serve(listener, routes).await });
        Self { state, address }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap()
    }

    /// Returns the accepted orders.
    pub(crate) fn accepted(&self) -> Vec<ReceivedOrder> {
        let state = self.lock();
        let orders = state.orders.iter().filter(|order| order.accepted);
        orders.cloned().collect()
    }

    fn record(&self) -> message::TargetRecord {
        let state = self.lock();
        let mut record = engine(&state.name, state.incarnation, &self.address.to_string());
        record.fenced = state.fenced;
        let shape = record.shape.as_mut().unwrap();
        shape.version = state.version.clone();
        shape.role = state.role.clone();
        record
    }

    /// Starts an entry that announces engines to any available node until the test ends.
    pub(crate) fn announce(engines: Vec<Self>, nodes: Vec<net::SocketAddr>) {
        tokio::spawn(async move {
            let mut entry = FakeEntry::new("announcer", 1, nodes[0]);
            for turn in 0_usize.. {
                entry.announced = engines.iter().map(Self::record).collect();
                let loads = entry.announced.iter();
                entry.loads = loads.map(|one| load(&one.name, one.incarnation)).collect();
                // The entry reconnects to another node if its node is down or doesn't answer.
                let answer = tokio::time::timeout(Duration::from_millis(500), entry.sync()).await;
                if !answer.is_ok_and(|answer| answer.is_ok_and(|reply| reply.right_ms > 0)) {
                    entry.move_to(nodes[turn % nodes.len()]);
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
    }
}

type Shared = State<Arc<Mutex<FakeState>>>;

#[derive(serde::Deserialize)]
struct OrderBody {
    fence: u64,
    kind: String,
    version: Option<String>,
    role: Option<String>,
}

async fn receive_order(
    State(state): Shared,
    Json(body): Json<OrderBody>,
) -> (StatusCode, Json<serde_json::Value>) {
    // A separate task continues when the sender's connection is reset.
    let work = tokio::spawn(async move {
        let held = {
            let mut state = state.lock().unwrap();
            state.arrived += 1;
            std::mem::take(&mut state.hold_next)
        };
        while held && !state.lock().unwrap().released {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let answer = carry_out(&mut state.lock().unwrap(), body);
        while state.lock().unwrap().silent {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        answer
    });
    work.await.unwrap()
}

fn carry_out(state: &mut FakeState, body: OrderBody) -> (StatusCode, Json<serde_json::Value>) {
    let late = state.fenced && body.fence < state.fence;
    let repeated = state.fenced && body.fence == state.fence;
    state.orders.push(ReceivedOrder {
        fence: body.fence,
        kind: body.kind.clone(),
        version: body.version.clone(),
        role: body.role.clone(),
        accepted: !late && !repeated,
    });
    if late {
        let answer = serde_json::json!({ "fence": state.fence });
        return (StatusCode::CONFLICT, Json(answer));
    }
    state.fence = state.fence.max(body.fence);
    state.changing = state.slow;
    match body.kind.as_str() {
        "load" => state.version = body.version.unwrap_or_default(),
        "role" => state.role = body.role.unwrap_or_default(),
        _ => state.draining = true,
    }
    (StatusCode::OK, Json(serde_json::json!({})))
}

async fn read_orders(State(state): Shared) -> (StatusCode, Json<serde_json::Value>) {
    let state = state.lock().unwrap();
    if state.unreadable {
        return (StatusCode::SERVICE_UNAVAILABLE, Json(serde_json::json!({})));
    }
    let body = serde_json::json!({
        "fence": state.fence,
        "shape": {
            "model": "gum",
            "version": state.version,
            "adapters": [],
            "role": state.role,
        },
        "changing": state.changing,
        "draining": state.draining,
        "orders": [],
    });
    (StatusCode::OK, Json(body))
}

async fn read_load(State(state): Shared) -> Json<serde_json::Value> {
    let state = state.lock().unwrap();
    Json(serde_json::json!({ "at_ms": 0, "running": state.running, "waiting": 0 }))
}
