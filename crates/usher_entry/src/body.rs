//! Reads the body of a caller's request within size and time limits.
//!
//! Not for: its content.

use std::time;

use http_body_util::BodyExt as _;

use crate::{error, options};

/// Time limit for a complete body, as a multiple of the limit for one frame.
const TOTAL_TIMEOUT_FACTOR: u32 = 10;

/// How long the rest of a refused body is read, so that the sender receives the refusal.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Reads a complete body.
pub(crate) async fn read_body(
    mut body: axum::body::Body,
    options: &options::EntryOptions,
) -> Result<bytes::Bytes, error::CallError> {
    use http_body::Body as _;
    let limit = options.max_body;
    if body.size_hint().lower() > limit as u64 {
        discard(body, limit).await;
        return Err(error::CallError::too_large(limit));
    }
    let total_timeout = options.caller_timeout.saturating_mul(TOTAL_TIMEOUT_FACTOR);
    let read = read_frames(&mut body, limit, options.caller_timeout);
    let read = tokio::time::timeout(total_timeout, read).await;
    let result = read.unwrap_or_else(|_| Err(error::CallError::body_timeout()));
    if matches!(&result, Err(error) if error.status == http::StatusCode::PAYLOAD_TOO_LARGE) {
        discard(body, limit).await;
    }
    result
}

async fn read_frames(
    body: &mut axum::body::Body,
    limit: usize,
    frame_timeout: time::Duration,
) -> Result<bytes::Bytes, error::CallError> {
    let mut first: Option<bytes::Bytes> = None;
    let mut rest = bytes::BytesMut::new();
    loop {
        let frame = tokio::time::timeout(frame_timeout, body.frame()).await;
        let frame = frame.map_err(|_| error::CallError::body_timeout())?;
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(|error| {
            error::CallError::invalid(None, format!("failed to read the request body: {error}"))
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let buffered = first.as_ref().map_or(0, bytes::Bytes::len).max(rest.len());
        if buffered + data.len() > limit {
            return Err(error::CallError::too_large(limit));
        }
        // Most bodies consist of one frame, which isn't copied.
        match &first {
            None => first = Some(data),
            Some(begin) => {
                if rest.is_empty() {
                    rest.extend_from_slice(begin);
                }
                rest.extend_from_slice(&data);
            }
        }
    }
    if rest.is_empty() {
        return Ok(first.unwrap_or_default());
    }
    Ok(rest.freeze())
}

async fn discard(mut body: axum::body::Body, limit: usize) {
    let read = async {
        let mut read = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, bytes::Bytes::len);
            if read > limit {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}
