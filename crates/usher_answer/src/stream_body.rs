//! The body of an answer that is passed on while it arrives. Not for: its contents.

use std::{io, pin, sync, task};

use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};

/// Bytes that are queued for a slow reader. A larger chunk is queued alone.
const QUEUE_BYTES: usize = 16 * 1_024;

/// A chunk with its part of the queue.
type QueuedChunk = (bytes::Bytes, OwnedSemaphorePermit);

/// A body of chunks, which ends only when its sender says that the answer is complete.
///
/// A sender that is dropped before that, by a fault or with its task, ends the body with an error,
/// which breaks the connection to the caller.
#[derive(Debug)]
pub struct StreamBody {
    chunks: mpsc::Receiver<QueuedChunk>,
    is_complete: sync::Arc<sync::atomic::AtomicBool>,
}

/// The sending side of a [`StreamBody`].
#[derive(Debug)]
pub struct StreamSender {
    chunks: mpsc::Sender<QueuedChunk>,
    room: sync::Arc<Semaphore>,
    is_complete: sync::Arc<sync::atomic::AtomicBool>,
}

impl StreamBody {
    /// Makes a body, with a sender that waits while `queue` chunks, or too many bytes, are not
    /// read.
    pub fn new(queue: usize) -> (StreamSender, Self) {
        let (sender, receiver) = mpsc::channel(queue);
        let is_complete = sync::Arc::new(sync::atomic::AtomicBool::new(false));
        let sender = StreamSender {
            chunks: sender,
            room: sync::Arc::new(Semaphore::new(QUEUE_BYTES)),
            is_complete: is_complete.clone(),
        };
        let body = Self {
            chunks: receiver,
            is_complete,
        };
        (sender, body)
    }
}

impl StreamSender {
    /// Sends a chunk; returns whether the caller still reads.
    pub async fn send(&self, chunk: bytes::Bytes) -> bool {
        let bytes = u32::try_from(chunk.len().min(QUEUE_BYTES)).unwrap_or(u32::MAX);
        let Ok(part) = self.room.clone().acquire_many_owned(bytes).await else {
            return false;
        };
        self.chunks.send((chunk, part)).await.is_ok()
    }

    /// Returns whether the caller has stopped reading.
    pub fn is_closed(&self) -> bool {
        self.chunks.is_closed()
    }

    /// Waits until the caller stops reading.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the body of a complete answer.
    pub fn finish(self) {
        self.is_complete
            .store(true, sync::atomic::Ordering::Release);
    }
}

impl http_body::Body for StreamBody {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<http_body::Frame<bytes::Bytes>>>> {
        let body = self.get_mut();
        body.chunks.poll_recv(context).map(|chunk| match chunk {
            Some((chunk, _)) => Some(Ok(http_body::Frame::data(chunk))),
            None if body.is_complete.load(sync::atomic::Ordering::Acquire) => None,
            None => Some(Err(io::Error::other("the answer was broken off"))),
        })
    }
}
