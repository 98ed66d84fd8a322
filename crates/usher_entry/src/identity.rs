//! Who calls, with which id and until when. Not for: what is called.

use std::{sync::atomic, time};

use crate::{accounts, error};

/// Team and firm of callers that don't name theirs.
const ANONYMOUS: &str = "anonymous";

/// The longest deadline that is accepted, in ms: a day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// What the headers of a call say, beyond its content.
#[derive(Clone, Debug)]
pub(crate) struct CallIdentity {
    /// Id that the caller knows.
    pub(crate) id: usher_types::RequestId,
    /// Id that targets know; unique even when callers repeat theirs.
    pub(crate) engine_id: usher_types::RequestId,
    pub(crate) team: usher_types::TeamName,
    pub(crate) firm: usher_types::FirmName,
    pub(crate) arrived: time::Instant,
    pub(crate) arrived_wall: time::SystemTime,
    pub(crate) deadline: Option<time::Instant>,
}

/// Makes ids that no other entry and no other life of this entry makes.
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

/// Reads a header as text.
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
    let text = header(headers, name)
        .ok_or_else(|| error::CallError::invalid(Some(name), format!("{name} is not text")))?;
    text.parse()
        .map(Some)
        .map_err(|error| error::CallError::invalid(Some(name), format!("{name}: {error}")))
}

impl CallIdentity {
    /// Makes the identity of a call without headers, as a base and for refusals.
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

    /// Reads the headers of a call; the firm of a known team can't be named otherwise.
    pub(crate) fn read(
        &mut self,
        headers: &http::HeaderMap,
        accounts: &accounts::AccountDirectory,
    ) -> Result<(), error::CallError> {
        if let Some(id) = parse_header(headers, "x-request-id")? {
            self.id = id;
        }
        // A known token proves the team; the header only names it.
        let named = parse_header(headers, "x-team")?;
        let team = known_token(headers, accounts).or(named);
        if let Some(team) = team.or_else(|| hashed_token(headers)) {
            self.team = team;
        }
        let named = parse_header(headers, "x-firm")?;
        if let Some(firm) = accounts.firm_of(&self.team).cloned().or(named) {
            self.firm = firm;
        }
        let deadline: Option<u64> = parse_header(headers, "x-deadline-ms")?;
        if let Some(ms) = deadline {
            if ms == 0 || ms > MAX_DEADLINE_MS {
                let message = format!("x-deadline-ms must be from 1 to {MAX_DEADLINE_MS}");
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

fn known_token(
    headers: &http::HeaderMap,
    accounts: &accounts::AccountDirectory,
) -> Option<usher_types::TeamName> {
    accounts.team_of(bearer_token(headers)?).cloned()
}

/// Names the team by a hash of an unknown token, so that tokens never reach logs.
fn hashed_token(headers: &http::HeaderMap) -> Option<usher_types::TeamName> {
    use sha2::Digest as _;
    let hash = sha2::Sha256::digest(bearer_token(headers)?.as_bytes());
    let short = hash.iter().take(6).map(|byte| format!("{byte:02x}"));
    Some(usher_types::TeamName::new(format!(
        "token-{}",
        short.collect::<String>()
    )))
}

impl CallIdentity {
    /// Puts the id into a response.
    pub(crate) fn set_request_id(&self, response: &mut axum::response::Response) {
        if let Ok(value) = http::HeaderValue::from_str(self.id.as_str()) {
            response.headers_mut().insert("x-request-id", value);
        }
    }
}
