//! HTTP handler and body types for announcements of targets.
//!
//! Not for: their registration by control.

use std::net;

use axum::{extract, response, response::IntoResponse as _, Json};
use usher_intake::CallMemory;

use crate::{body, core, error, types};

/// Interval at which targets announce themselves, in ms.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;

/// Maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 << 10;

/// The load part of an announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct AnnouncedLoad {
    /// Wall-clock time of the report, in ms since 1970.
    pub at_ms: u64,
    /// Number of running streams.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Prompt tokens waiting for prefill.
    pub prefill_tokens_waiting: u64,
    /// Pieces of KV cache memory in use.
    pub kv_pieces_used: u64,
}

/// The body of `POST /v1/targets/announce`.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Announcement {
    /// Name of the target.
    pub name: usher_types::TargetName,
    /// Incarnation of the target.
    pub incarnation: usher_types::IncarnationId,
    /// Address that the target listens on.
    pub address: net::SocketAddr,
    /// Whether it is an engine or a plain service.
    pub kind: usher_types::TargetKind,
    /// Service that the target belongs to.
    pub service: usher_types::ServiceName,
    /// Model loaded by an engine.
    #[serde(default)]
    pub model: Option<usher_types::ModelName>,
    /// Adapters loaded by an engine.
    #[serde(default)]
    pub adapters: Vec<usher_types::AdapterName>,
    /// Version of the model.
    #[serde(default)]
    pub version: Option<usher_types::VersionName>,
    /// Role of an engine.
    #[serde(default)]
    pub role: Option<usher_types::EngineRole>,
    /// Region.
    pub region: usher_types::RegionName,
    /// Failure domain.
    pub domain: usher_types::DomainName,
    /// KV cache memory of an engine, in pieces.
    #[serde(default)]
    pub kv_pieces: u64,
    /// Whether an engine checks fencing numbers; `false` if not given.
    #[serde(default)]
    pub fenced: bool,
    /// Whether the target is leaving and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Current load.
    #[serde(default)]
    pub load: AnnouncedLoad,
}

/// The reply to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct AnnounceReply {
    /// Whether the announcement was accepted.
    pub accepted: bool,
    /// Time until the next announcement, in ms.
    pub interval_ms: u64,
}

impl Announcement {
    /// Checks the constraints that the field types don't express.
    fn check(&self) -> Result<(), String> {
        // Deserializing an identifier from JSON doesn't apply the checks of `FromStr`.
        check_id::<usher_types::TargetName>("name", self.name.as_str())?;
        check_id::<usher_types::ServiceName>("service", self.service.as_str())?;
        check_id::<usher_types::RegionName>("region", self.region.as_str())?;
        check_id::<usher_types::DomainName>("domain", self.domain.as_str())?;
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(format!(
                "address: no connection can be made to {}",
                self.address
            ));
        }
        if let Some(model) = &self.model {
            check_id::<usher_types::ModelName>("model", model.as_str())?;
        }
        for adapter in &self.adapters {
            check_id::<usher_types::AdapterName>("adapters", adapter.as_str())?;
        }
        if self.kind == usher_types::TargetKind::Engine && self.model.is_none() {
            return Err("model: required for an engine".to_owned());
        }
        Ok(())
    }
}

fn check_id<T>(field: &str, text: &str) -> Result<(), String>
where
    T: std::str::FromStr<Err = usher_types::ParseIdError>,
{
    let parsed = text.parse::<T>();
    parsed
        .map(drop)
        .map_err(|error| format!("{field}: {error}"))
}

/// Answers `POST /v1/targets/announce`.
pub(crate) async fn announce<P>(
    extract::State(core): core::CoreState<P>,
    axum::Extension(memory): axum::Extension<CallMemory>,
    body: axum::body::Body,
) -> response::Response
where
    P: types::EntryTypes,
{
    let timeout = core.options.caller_timeout;
    let body = match body::read_body(body, &memory, MAX_ANNOUNCEMENT_BYTES, timeout).await {
        Ok(body) => body,
        Err(error) => return error.into_response(),
    };
    let parsed: Result<Announcement, _> = serde_json::from_slice(&body);
    let announcement = match parsed {
        Ok(announcement) => announcement,
        Err(error) => return refuse(error.to_string()),
    };
    if let Err(error) = announcement.check() {
        return refuse(error);
    }
    core.apply_announcement(announcement);
    Json(AnnounceReply {
        accepted: true,
        interval_ms: ANNOUNCE_INTERVAL_MS,
    })
    .into_response()
}

fn refuse(message: String) -> response::Response {
    error::CallError::invalid(None, format!("invalid announcement: {message}")).into_response()
}
