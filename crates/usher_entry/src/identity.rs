//! Reads the request id, account and deadline of a call from its headers.
//!
//! Not for: the service or model that is called.

use std::{sync::atomic, time};

use crate::{accounts, error};

/// Team and firm of callers without an account.
const ANONYMOUS: &str = "anonymous";

/// Longest accepted deadline, in ms: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Request ids, account and deadline of a call.
#[derive(Clone, Debug)]
pub(crate) struct CallIdentity {
    /// Request id reported to the caller.
    pub(crate) id: usher_types::RequestId,
    /// Request id sent to engines; unique even if callers reuse theirs.
    pub(crate) engine_id: usher_types::RequestId,
    pub(crate) team: usher_types::TeamName,
    pub(crate) firm: usher_types::FirmName,
    pub(crate) arrived: time::Instant,
    pub(crate) arrived_wall: time::SystemTime,
    pub(crate) deadline: Option<time::Instant>,
}

/// Generates request ids that are unique across entries and their incarnations.
#[derive(Debug)]
pub(crate) struct IdSource {
    prefix: String,
    next: atomic::AtomicU64,
}

impl IdSource {
    pub(crate) fn new(incarnation: usher_types::IncarnationId) -> Self {
        Self {
            prefix: format!("{:016x}", incarnation.get()),
            next: atomic::AtomicU64::new(1),
        }
    }

    pub(crate) fn next(&self) -> usher_types::RequestId {
        let number = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        usher_types::RequestId::new(format!("{}-{number:x}", self.prefix))
    }
}

/// Returns a header as text.
pub(crate) fn header<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_header<T>(
    headers: &http::HeaderMap,
    name: &'static str,
) -> Result<Option<T>, error::CallError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    if !headers.contains_key(name) {
        return Ok(None);
    }
    let text = header(headers, name).ok_or_else(|| {
        error::CallError::invalid(Some(name), format!("{name} is not ASCII text"))
    })?;
    text.parse()
        .map(Some)
        .map_err(|error| error::CallError::invalid(Some(name), format!("{name}: {error}")))
}

impl CallIdentity {
    /// Returns the identity of a call whose headers haven't been read or are refused.
    pub(crate) fn anonymous(
        ids: &IdSource,
        arrived: time::Instant,
        arrived_wall: time::SystemTime,
    ) -> Self {
        let id = ids.next();
        Self {
            engine_id: id.clone(),
            id,
            team: usher_types::TeamName::new(ANONYMOUS),
            firm: usher_types::FirmName::new(ANONYMOUS),
            arrived,
            arrived_wall,
            deadline: None,
        }
    }

    /// Reads the headers of a call. The firm of a known team can't be overridden by a header.
    pub(crate) fn read(
        &mut self,
        headers: &http::HeaderMap,
        accounts: &accounts::AccountDirectory,
    ) -> Result<(), error::CallError> {
        if let Some(id) = parse_header(headers, "x-request-id")? {
            self.id = id;
        }
        // A known token authenticates the team, so it takes precedence over the header.
        let named = parse_header(headers, "x-team")?;
        let team = authenticated_team(headers, accounts).or(named);
        if let Some(team) = team.or_else(|| team_from_token_hash(headers)) {
            self.team = team;
        }
        let named = parse_header(headers, "x-firm")?;
        if let Some(firm) = accounts.firm_of(&self.team).cloned().or(named) {
            self.firm = firm;
        }
        let deadline: Option<u64> = parse_header(headers, "x-deadline-ms")?;
        if let Some(ms) = deadline {
            if ms == 0 || ms > MAX_DEADLINE_MS {
                let message =
                    format!("x-deadline-ms must be from 1 to {MAX_DEADLINE_MS}, got {ms}");
                return Err(error::CallError::invalid(Some("x-deadline-ms"), message));
            }
            self.deadline = Some(self.arrived + time::Duration::from_millis(ms));
        }
        Ok(())
    }
}

fn bearer_token(headers: &http::HeaderMap) -> Option<&str> {
    let token = header(headers, "authorization")?.strip_prefix("Bearer ")?;
    Some(token.trim())
}

fn authenticated_team(
    headers: &http::HeaderMap,
    accounts: &accounts::AccountDirectory,
) -> Option<usher_types::TeamName> {
    accounts.team_of(bearer_token(headers)?).cloned()
}

/// Derives the team name from a hash of an unknown token, so that tokens never reach logs.
fn team_from_token_hash(headers: &http::HeaderMap) -> Option<usher_types::TeamName> {
    use sha2::Digest as _;
    let hash = sha2::Sha256::digest(bearer_token(headers)?.as_bytes());
    let short = hash.iter().take(6).map(|byte| format!("{byte:02x}"));
    Some(usher_types::TeamName::new(format!(
        "token-{}",
        short.collect::<String>()
    )))
}

impl CallIdentity {
    /// Sets the `x-request-id` header of a response.
    pub(crate) fn set_request_id(&self, response: &mut axum::response::Response) {
        if let Ok(value) = http::HeaderValue::from_str(self.id.as_str()) {
            response.headers_mut().insert("x-request-id", value);
        }
    }
}
