//! Parses a plain call and builds the request for its target.
//!
//! Not for: sending it.

use std::net;

use crate::{error::CallError, identity, plain::key};

/// Headers that aren't forwarded: connection-specific ones and those that the entry sets itself.
const RESERVED_HEADERS: [&str; 13] = [
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
    "expect",
];

/// A validated plain call.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    pub(crate) service: usher_types::ServiceName,
    pub(crate) method: http::Method,
    /// Path and query on the target.
    pub(crate) path: String,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: bytes::Bytes,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<String>,
}

impl PlainCall {
    /// Parses a call from its head and complete body.
    pub(crate) fn parse(
        service: &str,
        parts: &http::request::Parts,
        body: bytes::Bytes,
    ) -> Result<Self, CallError> {
        let service = service
            .parse()
            .map_err(|error| CallError::invalid(Some("service"), format!("{error}")))?;
        Ok(Self {
            service,
            method: parts.method.clone(),
            path: target_path(&parts.uri),
            headers: forwarded_headers(&parts.headers),
            body,
            idempotent: is_idempotent(&parts.method, &parts.headers)?,
            key: key::caller_key(&parts.headers)?,
        })
    }

    /// Returns a hash that distinguishes this call from a different call with the same key.
    pub(crate) fn fingerprint(&self, identity: &identity::CallIdentity) -> Vec<u8> {
        use sha2::Digest as _;
        let mut hash = sha2::Sha256::new();
        let parts: [&[u8]; 4] = [
            identity.team.as_str().as_bytes(),
            self.method.as_str().as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ];
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(self.service.as_str().as_bytes());
        hash.finalize().to_vec()
    }

    /// Returns the request for a target.
    pub(crate) fn to_http(
        &self,
        address: net::SocketAddr,
        id: &usher_types::RequestId,
    ) -> Result<http::Request<http_body_util::Full<bytes::Bytes>>, http::Error> {
        let mut request = http::Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .header(http::header::HOST, address.to_string())
            .header("x-request-id", id.as_str());
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(headers) = request.headers_mut() {
            headers.extend(self.headers.clone());
        }
        request.body(http_body_util::Full::from(self.body.clone()))
    }
}

/// Strips `/svc/{service}` from a path.
fn target_path(uri: &http::Uri) -> String {
    let path = uri.path().strip_prefix("/svc/").unwrap_or_default();
    let path = path.find('/').and_then(|at| path.get(at..)).unwrap_or("/");
    match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

fn forwarded_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let kept = headers
        .iter()
        .filter(|(name, _)| !RESERVED_HEADERS.contains(&name.as_str()));
    let mut forwarded = http::HeaderMap::with_capacity(headers.len());
    for (name, value) in kept {
        forwarded.append(name, value.clone());
    }
    forwarded
}

fn is_idempotent(method: &http::Method, headers: &http::HeaderMap) -> Result<bool, CallError> {
    const NAME: &str = "x-idempotent";
    match identity::header(headers, NAME) {
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(CallError::invalid(
            Some(NAME),
            "x-idempotent must be true or false",
        )),
        None => Ok(method.is_idempotent()),
    }
}

/// Returns the headers of a target's answer that are passed on to the caller.
pub(crate) fn answer_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = forwarded_headers(headers);
    kept.remove("x-request-id");
    kept
}
