//! Reads the bodies of calls. Not for: how they are charged, which is in `usher_intake`.

use tokio::time as tokio_time;
use usher_intake::{BodyFault, BodyReader, ConnectionMemory};

use crate::answer;

/// Reads the whole body of a call until its deadline. Nothing has been sent to a target, so each
/// refusal states that the call has not run.
pub(crate) async fn read_body(
    body: hyper::body::Incoming,
    memory: &ConnectionMemory,
    limit: usize,
    deadline: tokio_time::Instant,
) -> Result<bytes::Bytes, answer::CallRefusal> {
    let read = BodyReader::new(memory, limit).read(body);
    match tokio_time::timeout_at(deadline, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyFault::TooLong { limit })) => Err(answer::CallRefusal::BodyTooLong { limit }),
        Ok(Err(BodyFault::NoRoom)) => Err(answer::CallRefusal::NoMemory),
        Ok(Err(BodyFault::Incomplete | BodyFault::Stalled)) | Err(_) => {
            Err(answer::CallRefusal::BodyTimeout)
        }
    }
}
