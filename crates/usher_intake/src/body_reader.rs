//! Reads the body of a request into one buffer that is charged before it grows. Not for: answers.

use std::time;

use http_body_util::BodyExt as _;
use usher_memory::HolderPhase;

use crate::caller_memory;

/// Capacity with which a body begins, in bytes.
const FIRST_CAPACITY: usize = 8 * 1_024;

/// Largest buffers of the HTTP library beside that of the body, in bytes.
const MAX_READ_BYTES: usize = 56 * 1_024;

/// Bytes and time after which the progress of a body is recorded, so that very small chunks don't
/// each take the lock of the account.
const RECORD_BYTES: usize = 4 * 1_024;
const RECORD_TIME: time::Duration = time::Duration::from_millis(100);

/// The reason for which a body wasn't read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BodyFault {
    /// The body is larger than allowed.
    #[error("the body is larger than {limit} bytes")]
    TooLong {
        /// Largest allowed body.
        limit: usize,
    },
    /// No byte arrived for too long.
    #[error("the body makes no progress")]
    Stalled,
    /// The connection broke, or the bytes are no body.
    #[error("the body is incomplete")]
    Incomplete,
    /// There is no memory for the body.
    #[error("there is no memory for the body")]
    NoRoom,
}

/// Reads the body of one request.
#[derive(Debug)]
pub struct BodyReader<'c> {
    memory: &'c caller_memory::ConnectionMemory,
    limit: usize,
    /// Time for which a body may make no progress.
    stall_limit: Option<time::Duration>,
    content: bytes::BytesMut,
    /// Bytes that were recorded in the account, and when.
    recorded: (usize, time::Instant),
}

impl<'c> BodyReader<'c> {
    /// Makes a reader of a body of at most `limit` bytes.
    pub fn new(memory: &'c caller_memory::ConnectionMemory, limit: usize) -> Self {
        Self {
            memory,
            limit,
            stall_limit: None,
            content: bytes::BytesMut::new(),
            recorded: (0, time::Instant::now()),
        }
    }

    /// Sets the time for which the body may make no progress.
    #[must_use]
    pub fn with_stall_limit(mut self, limit: time::Duration) -> Self {
        self.stall_limit = Some(limit);
        self
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body is too long or incomplete, or when there is no memory for it. What was
    /// read is dropped; the memory is given back when the connection ends or begins another phase.
    pub async fn read<B>(mut self, mut body: B) -> Result<bytes::Bytes, BodyFault>
    where
        B: http_body::Body<Data = bytes::Bytes> + Unpin,
    {
        let size = body.size_hint();
        let limit = self.limit;
        if size.lower() > limit as u64 {
            return Err(BodyFault::TooLong { limit });
        }
        let most = size.upper().and_then(|upper| usize::try_from(upper).ok());
        let most = most.map_or(limit, |upper| upper.min(limit));
        if body.is_end_stream() {
            return Ok(bytes::Bytes::new());
        }
        self.memory.enter(HolderPhase::Body);
        let told_to_end = self.memory.told_to_end();
        tokio::pin!(told_to_end);
        loop {
            let frame = tokio::select! {
                biased;
                () = &mut told_to_end, if !body.is_end_stream() => {
                    return Err(self.give_up(BodyFault::NoRoom));
                }
                frame = next_frame(&mut body, self.stall_limit) => frame,
            };
            let Some(frame) = frame else {
                return Err(self.give_up(BodyFault::Stalled));
            };
            let frame = match frame {
                None => break,
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Err(self.give_up(BodyFault::Incomplete)),
            };
            // Trailers aren't passed on.
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            let length = self.content.len() + bytes.len();
            if length > limit {
                return Err(self.give_up(BodyFault::TooLong { limit }));
            }
            self.record(length);
            if length > self.content.capacity() && !self.grow(length, most).await {
                return Err(self.give_up(BodyFault::NoRoom));
            }
            self.content.extend_from_slice(&bytes);
        }
        self.memory.enter(HolderPhase::Call);
        Ok(self.content.freeze())
    }

    /// Records the progress of a body of which `length` bytes have arrived.
    fn record(&mut self, length: usize) {
        let (recorded, at) = self.recorded;
        if length - recorded >= RECORD_BYTES || at.elapsed() >= RECORD_TIME {
            self.memory.receive(length - recorded);
            self.recorded = (length, time::Instant::now());
        }
    }

    /// Makes room for `length` bytes of at most `most`; returns whether there is memory for that.
    async fn grow(&mut self, length: usize, most: usize) -> bool {
        let old = self.content.capacity();
        let doubled = old.saturating_mul(2).max(FIRST_CAPACITY).max(length);
        let capacity = doubled.min(most.max(length));
        let read = capacity.min(MAX_READ_BYTES);
        // Both buffers exist while the bytes are copied.
        if !self.memory.charge_body(old + capacity + read).await {
            return false;
        }
        let mut content = bytes::BytesMut::with_capacity(capacity);
        content.extend_from_slice(&self.content);
        self.content = content;
        self.memory.charge_body(capacity + read).await
    }

    /// Drops what was read, and gives its memory back.
    fn give_up(&mut self, fault: BodyFault) -> BodyFault {
        self.content = bytes::BytesMut::new();
        self.memory.release_body();
        fault
    }
}

/// Reads the next frame of a body; returns `None` if none arrives within a time.
async fn next_frame<B>(
    body: &mut B,
    limit: Option<time::Duration>,
) -> Option<Option<Result<http_body::Frame<B::Data>, B::Error>>>
where
    B: http_body::Body + Unpin,
{
    match limit {
        Some(limit) => tokio::time::timeout(limit, body.frame()).await.ok(),
        None => Some(body.frame().await),
    }
}
