//! JSON bodies of the order interface of engines. Not for: sending them.

use usher_state::OrderRecord;
use usher_wire::message;

use crate::plan;

/// Body of `POST /v1/orders`.
#[derive(Debug, serde::Serialize)]
pub(crate) struct OrderBody {
    order: String,
    fence: u64,
    kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<String>,
}

impl OrderBody {
    /// Builds the body of an order; equal orders have equal bodies.
    pub(crate) fn new(order: &OrderRecord) -> Self {
        let intent = order.intent.clone().unwrap_or_default();
        let shape = intent.shape.clone().unwrap_or_default();
        let load = intent.kind() == message::OrderKind::Load;
        let role = intent.kind() == message::OrderKind::Role;
        Self {
            order: format!("order-{}", order.fence),
            fence: order.fence,
            kind: match intent.kind() {
                message::OrderKind::Load => "load",
                message::OrderKind::Role => "role",
                message::OrderKind::Drain | message::OrderKind::Unspecified => "drain",
            },
            model: load.then_some(shape.model),
            adapter: shape.adapters.into_iter().next().filter(|_| load),
            version: load.then_some(shape.version),
            role: role.then_some(shape.role),
        }
    }
}

/// The answer to `GET /v1/orders`; unknown fields are ignored.
#[derive(Debug, serde::Deserialize)]
pub(crate) struct StateBody {
    #[serde(default)]
    fence: u64,
    shape: ShapeBody,
    #[serde(default)]
    changing: bool,
    #[serde(default)]
    draining: bool,
}

#[derive(Debug, serde::Deserialize)]
struct ShapeBody {
    #[serde(default)]
    model: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    adapters: Vec<String>,
    #[serde(default)]
    role: String,
}

/// The answer to `GET /v1/load`, limited to the fields that a drain needs.
#[derive(Debug, Default, serde::Deserialize)]
pub(crate) struct LoadBody {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
}

impl StateBody {
    /// Combines the answers of an engine into a reading.
    pub(crate) fn reading(self, load: &LoadBody) -> plan::EngineReading {
        plan::EngineReading {
            fence: self.fence,
            shape: message::EngineShape {
                model: self.shape.model,
                version: self.shape.version,
                adapters: self.shape.adapters,
                role: self.shape.role,
            },
            changing: self.changing,
            draining: self.draining,
            running: load.running + load.waiting,
        }
    }
}
