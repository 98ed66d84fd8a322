//! Follows an exchange on a connection: bounds the bytes before the head of an answer, and tells
//! whether the request is written. Not for: bodies.

use std::{io, pin, sync, sync::atomic, task};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that are read until the head of an answer is complete: interim answers (status 1xx),
/// the head, and what a read takes of the body along with it. The HTTP library bounds a head, but skips
/// interim answers without end, and leaves its thread no time for anything else meanwhile.
const MAX_BYTES: usize = 256 * 1_024;

/// Bytes that are read at a time. The HTTP library reads into buffers that grow with what a read
/// brings, and each part of an answer keeps its buffer.
const READ_STEP: usize = 8 * 1_024;

/// Value of `left` while no head is awaited.
const NO_LIMIT: usize = usize::MAX;

/// Says when a connection awaits the head of an answer; cheap to clone.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    /// Bytes that may still be read.
    left: sync::Arc<atomic::AtomicUsize>,
    progress: RequestProgress,
}

/// Tells whether the request on a connection has been written completely; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct RequestProgress {
    is_writing: sync::Arc<atomic::AtomicBool>,
}

impl RequestProgress {
    /// Returns whether a part of the request is still to be written, or couldn't be written.
    pub fn is_writing(&self) -> bool {
        self.is_writing.load(atomic::Ordering::Relaxed)
    }

    fn set_writing(&self, is_writing: bool) {
        self.is_writing.store(is_writing, atomic::Ordering::Relaxed);
    }
}

/// A connection on which the bytes of each head are bounded.
#[derive(Debug)]
pub struct LimitedStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl HeadLimit {
    /// Bounds the heads of answers on a connection; no head is awaited yet.
    pub fn new<S>(stream: S) -> (Self, LimitedStream<S>) {
        let limit = Self {
            left: sync::Arc::new(atomic::AtomicUsize::new(NO_LIMIT)),
            progress: RequestProgress::default(),
        };
        let stream = LimitedStream {
            stream,
            limit: limit.clone(),
        };
        (limit, stream)
    }

    /// Marks that a request is sent, whose answer is awaited.
    pub fn begin(&self) {
        self.left.store(MAX_BYTES, atomic::Ordering::Relaxed);
    }

    /// Marks that the head of the answer is complete.
    pub fn end(&self) {
        self.left.store(NO_LIMIT, atomic::Ordering::Relaxed);
    }

    /// Returns the progress of the requests on the connection.
    pub fn progress(&self) -> RequestProgress {
        self.progress.clone()
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.left.load(atomic::Ordering::Relaxed);
        if left == NO_LIMIT {
            return Ok(());
        }
        let left = left.saturating_sub(bytes);
        self.left.store(left, atomic::Ordering::Relaxed);
        if left > 0 {
            return Ok(());
        }
        Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("no complete head of an answer in {MAX_BYTES} bytes"),
        ))
    }
}

impl<S> AsyncRead for LimitedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let stream = pin::Pin::new(&mut self.stream);
        if buffer.remaining() <= READ_STEP {
            let before = buffer.filled().len();
            let read = stream.poll_read(context, buffer);
            let bytes = buffer.filled().len() - before;
            return read.map(|result| result.and_then(|()| self.limit.count(bytes)));
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(READ_STEP));
        let read = stream.poll_read(context, &mut part);
        let bytes = part.filled().len();
        buffer.advance(bytes);
        read.map(|result| result.and_then(|()| self.limit.count(bytes)))
    }
}

impl<S> AsyncWrite for LimitedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.limit.progress.set_writing(true);
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.limit.progress.set_writing(true);
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        // The HTTP library flushes when all that it has of a request is written.
        self.limit.progress.set_writing(false);
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
