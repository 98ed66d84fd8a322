//! Reads the body of a caller's request within size and time limits.
//!
//! Not for: its content.

use std::time;

use http_body_util::BodyExt as _;
use usher_intake::{BodyFault, BodyReader, CallMemory};

use crate::error;

/// Time limit for a complete body, as a multiple of the limit for one frame.
const TOTAL_TIMEOUT_FACTOR: u32 = 10;

/// How long the rest of a refused body is read, so that the sender receives the refusal.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Reads a complete body of at most `limit` bytes within the memory of its call.
pub(crate) async fn read_body(
    mut body: axum::body::Body,
    memory: &CallMemory,
    limit: usize,
    caller_timeout: time::Duration,
) -> Result<bytes::Bytes, error::CallError> {
    let total_timeout = caller_timeout.saturating_mul(TOTAL_TIMEOUT_FACTOR);
    let reader = BodyReader::new(memory.connection(), limit).with_stall_limit(caller_timeout);
    let read = tokio::time::timeout(total_timeout, reader.read(&mut body)).await;
    match read.unwrap_or(Err(BodyFault::Stalled)) {
        Ok(body) => Ok(body),
        Err(BodyFault::TooLong { limit }) => {
            discard(body, limit).await;
            Err(error::CallError::too_large(limit))
        }
        Err(BodyFault::Stalled) => Err(error::CallError::body_timeout()),
        Err(BodyFault::NoRoom) => Err(error::CallError::no_memory()),
        Err(fault @ BodyFault::Incomplete) => Err(error::CallError::invalid(
            None,
            format!("failed to read the request body: {fault}"),
        )),
    }
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
