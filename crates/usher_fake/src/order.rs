//! Orders to an engine and their results. Not for: deciding who may give orders.

use std::{collections, time};

/// The loaded model and the role of an engine.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EngineShape {
    /// Model.
    pub model: usher_types::ModelName,
    /// Version of the model.
    pub version: usher_types::VersionName,
    /// Adapters loaded with the model.
    pub adapters: Vec<usher_types::AdapterName>,
    /// Role.
    pub role: usher_types::EngineRole,
}

impl EngineShape {
    /// Creates the shape of a mixed engine with version 1 of a model.
    pub fn new(model: &str) -> Self {
        Self {
            model: usher_types::ModelName::new(model),
            version: usher_types::VersionName::new("1"),
            adapters: Vec::new(),
            role: usher_types::EngineRole::Mixed,
        }
    }
}

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OrderRequest {
    /// Id of the order.
    #[serde(default)]
    pub order: String,
    /// Fencing number.
    pub fence: u64,
    /// `load`, `role` or `drain`.
    pub kind: String,
    /// Model to load.
    #[serde(default)]
    pub model: Option<usher_types::ModelName>,
    /// Adapter to load.
    #[serde(default)]
    pub adapter: Option<usher_types::AdapterName>,
    /// Version to load.
    #[serde(default)]
    pub version: Option<usher_types::VersionName>,
    /// Role to take.
    #[serde(default)]
    pub role: Option<usher_types::EngineRole>,
}

/// An order that the engine accepted.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OrderRecord {
    /// The order.
    pub request: OrderRequest,
    /// Whether it was carried out.
    pub done: bool,
    /// Whether another order was in progress when this one began.
    pub overlapped: bool,
}

/// The response to `GET /v1/orders`.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OrderState {
    /// Highest fencing number received.
    pub fence: u64,
    /// Current shape.
    pub shape: EngineShape,
    /// Whether an order is in progress.
    pub changing: bool,
    /// Whether the engine accepts no new work because of a drain order.
    pub draining: bool,
    /// The most recent orders, oldest first.
    pub orders: Vec<OrderRecord>,
}

/// Number of orders that are retained for readers.
const MAX_ORDER_RECORDS: usize = 1_024;

/// Validates, records and applies orders.
#[derive(Debug)]
pub(crate) struct OrderTracker {
    fenced: bool,
    fence: u64,
    shape: EngineShape,
    draining: bool,
    changing: u32,
    orders: collections::VecDeque<OrderRecord>,
}

/// Result of validating an order.
#[derive(Debug, PartialEq)]
pub(crate) enum OrderDecision {
    /// The order was started and takes this duration.
    Started(OrderDuration),
    /// The order is the same as the last accepted one.
    Repeated,
    /// The fencing number is not higher than the highest one received, and the order is not a
    /// repetition; contains the highest one.
    Stale(u64),
    /// The order is invalid; contains the reason.
    Invalid(&'static str),
}

/// The option that gives the duration of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum OrderDuration {
    Role,
    Load,
    None,
}

impl OrderDuration {
    pub(crate) fn resolve(self, role: time::Duration, load: time::Duration) -> time::Duration {
        match self {
            Self::Role => role,
            Self::Load => load,
            Self::None => time::Duration::ZERO,
        }
    }
}

impl OrderTracker {
    pub(crate) fn new(fenced: bool, shape: EngineShape) -> Self {
        Self {
            fenced,
            fence: 0,
            shape,
            draining: false,
            changing: 0,
            orders: collections::VecDeque::new(),
        }
    }

    pub(crate) fn shape(&self) -> &EngineShape {
        &self.shape
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining
    }

    pub(crate) fn is_changing(&self) -> bool {
        self.changing > 0
    }

    pub(crate) fn begin(&mut self, request: &OrderRequest) -> OrderDecision {
        let duration = match request.kind.as_str() {
            "role" if request.role.is_some() => OrderDuration::Role,
            "role" => return OrderDecision::Invalid("an order of kind role needs a role"),
            "load" => OrderDuration::Load,
            "drain" => OrderDuration::None,
            _ => return OrderDecision::Invalid("kind must be load, role or drain"),
        };
        if self.fenced {
            if request.fence < self.fence {
                return OrderDecision::Stale(self.fence);
            }
            if request.fence == self.fence {
                let same = self.orders.back().map(|record| &record.request) == Some(request);
                return if same {
                    OrderDecision::Repeated
                } else {
                    OrderDecision::Stale(self.fence)
                };
            }
        }
        self.fence = self.fence.max(request.fence);
        if self.orders.len() == MAX_ORDER_RECORDS {
            self.orders.pop_front();
        }
        self.orders.push_back(OrderRecord {
            request: request.clone(),
            done: false,
            overlapped: self.changing > 0,
        });
        self.changing += 1;
        OrderDecision::Started(duration)
    }

    pub(crate) fn finish(&mut self, request: &OrderRequest) {
        self.changing = self.changing.saturating_sub(1);
        match request.kind.as_str() {
            "role" => self.shape.role = request.role.unwrap_or(self.shape.role),
            "drain" => self.draining = true,
            _ => self.load(request),
        }
        let record = self
            .orders
            .iter_mut()
            .rev()
            .find(|record| record.request == *request);
        if let Some(record) = record {
            record.done = true;
        }
    }

    fn load(&mut self, request: &OrderRequest) {
        if let Some(model) = &request.model {
            self.shape.model = model.clone();
        }
        if let Some(version) = &request.version {
            self.shape.version = version.clone();
        }
        if let Some(adapter) = &request.adapter {
            if !self.shape.adapters.contains(adapter) {
                self.shape.adapters.push(adapter.clone());
            }
        }
    }

    pub(crate) fn state(&self) -> OrderState {
        OrderState {
            fence: self.fence,
            shape: self.shape.clone(),
            changing: self.changing > 0,
            draining: self.draining,
            orders: self.orders.iter().cloned().collect(),
        }
    }
}
