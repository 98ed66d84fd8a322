//! The body of an answer that is passed on while it arrives. Not for: its contents.

use std::{io, pin, sync, task};

use tokio::sync::mpsc;

/// A body of chunks, which ends only when its sender says that the answer is complete.
///
/// A sender that is dropped before that, by a fault or with its task, ends the body with an error,
/// which breaks the connection to the caller.
#[derive(Debug)]
pub struct StreamBody {
    chunks: mpsc::Receiver<bytes::Bytes>,
    is_complete: sync::Arc<sync::atomic::AtomicBool>,
}

/// The sending side of a [`StreamBody`].
#[derive(Debug)]
pub struct StreamSender {
    chunks: mpsc::Sender<bytes::Bytes>,
    is_complete: sync::Arc<sync::atomic::AtomicBool>,
}

impl StreamBody {
    /// Makes a body, with a sender that waits while `queue` chunks are not read.
    pub fn new(queue: usize) -> (StreamSender, Self) {
        let (sender, receiver) = mpsc::channel(queue);
        let is_complete = sync::Arc::new(sync::atomic::AtomicBool::new(false));
        let sender = StreamSender {
            chunks: sender,
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
        self.chunks.send(chunk).await.is_ok()
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
            Some(chunk) => Some(Ok(http_body::Frame::data(chunk))),
            None if body.is_complete.load(sync::atomic::Ordering::Acquire) => None,
            None => Some(Err(io::Error::other("the answer was broken off"))),
        })
    }
}
