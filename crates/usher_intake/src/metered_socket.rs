//! A caller's socket that charges heads to the memory account and ends those that take too long. Not
//! for: bodies, whose reader charges them.

use std::{future::Future as _, io, pin, task, time};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use usher_memory::{ChargeDecision, HeadShape, HolderPhase, PhaseCost};

use crate::caller_memory;

/// Bytes of a body that are read at a time; the buffer of the library grows to twice as many.
const BODY_STEP: usize = 16 * 1_024;

/// Time after which a head that waits for memory asks again.
const CHARGE_RETRY: time::Duration = time::Duration::from_millis(5);

usher_types::value_type! {
    /// The limits of a caller's connection.
    #[derive(Copy)]
    pub struct ConnectionLimits {
        /// Time from the end of one request to the complete head of the next one.
        pub idle: time::Duration,
        /// Time from the first byte of a head, or of empty lines before it, to its end.
        pub head: time::Duration,
        /// Time for which a caller may take no byte of an answer.
        pub write: time::Duration,
        /// Bytes of a head that are kept while it is read.
        pub head_bytes: usize,
    }
}

type Timer = Option<pin::Pin<Box<tokio::time::Sleep>>>;

/// A caller's socket that is metered.
#[derive(Debug)]
pub struct MeteredSocket<S> {
    socket: S,
    memory: caller_memory::ConnectionMemory,
    limits: ConnectionLimits,
    /// The current head, as far as it has arrived.
    head: HeadShape,
    /// Bytes of it that were read and wait for memory.
    waiting: Vec<u8>,
    /// Whether the caller takes no byte of its answer.
    is_blocked: bool,
    head_timer: Timer,
    write_timer: Timer,
    charge_timer: Timer,
}

fn is_over(timer: &mut Timer, context: &mut task::Context<'_>) -> bool {
    let timer = timer.as_mut();
    timer.is_some_and(|timer| timer.as_mut().poll(context).is_ready())
}

fn timed_out(text: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, text)
}

impl<S> MeteredSocket<S> {
    /// Meters a socket whose first byte has arrived.
    pub fn new(
        socket: S,
        memory: caller_memory::ConnectionMemory,
        limits: ConnectionLimits,
    ) -> Self {
        Self {
            socket,
            memory,
            limits,
            head: HeadShape::default(),
            waiting: Vec::new(),
            is_blocked: false,
            head_timer: None,
            write_timer: None,
            charge_timer: None,
        }
    }

    /// Returns the socket.
    pub fn into_inner(self) -> S {
        self.socket
    }

    /// Returns whether the next bytes belong to a head.
    fn reads_head(&mut self) -> bool {
        let phase = self.memory.phase();
        if phase != HolderPhase::Head {
            self.head = HeadShape::default();
            self.head_timer = None;
        }
        matches!(
            phase,
            HolderPhase::Silent | HolderPhase::Head | HolderPhase::Idle
        )
    }

    /// Reads the next bytes of a head, and passes them on when what the library will make of them is
    /// charged.
    fn poll_head(
        &mut self,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>>
    where
        S: AsyncRead + Unpin,
    {
        if self.waiting.is_empty() {
            let begin = buffer.filled().len();
            let (read, bytes) = self.poll_step(context, buffer, PhaseCost::HEAD_STEP);
            match read {
                task::Poll::Ready(Ok(())) if bytes > 0 => {}
                other => return self.check_head_time(other, context),
            }
            let read = &buffer.filled()[begin..];
            self.receive_head(bytes, read.iter().filter(|byte| **byte == b'\n').count());
            if self.poll_charge(context, bytes)?.is_ready() {
                return task::Poll::Ready(Ok(()));
            }
            self.waiting = buffer.filled()[begin..].to_vec();
            buffer.set_filled(begin);
            return task::Poll::Pending;
        }
        if self.poll_charge(context, 0)?.is_pending() {
            return self.check_head_time(task::Poll::Pending, context);
        }
        self.pass_on(buffer);
        task::Poll::Ready(Ok(()))
    }

    /// Passes on bytes that have waited for memory.
    fn pass_on(&mut self, buffer: &mut ReadBuf<'_>) {
        let bytes = self.waiting.len().min(buffer.remaining());
        buffer.put_slice(&self.waiting[..bytes]);
        self.waiting.drain(..bytes);
    }

    /// Ends a head that takes too long.
    fn check_head_time(
        &mut self,
        read: task::Poll<io::Result<()>>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if read.is_pending() && is_over(&mut self.head_timer, context) {
            self.memory
                .record_end(caller_memory::EndReason::HeadTimeout);
            return task::Poll::Ready(Err(timed_out("the head of the request took too long")));
        }
        read
    }

    /// Charges the head, of which so many bytes have just arrived; pending while others give memory
    /// back.
    fn poll_charge(
        &mut self,
        context: &mut task::Context<'_>,
        received: usize,
    ) -> task::Poll<io::Result<()>> {
        let mut received = received;
        loop {
            match self
                .memory
                .try_charge_head(self.head, std::mem::take(&mut received))
            {
                ChargeDecision::Granted => return task::Poll::Ready(Ok(())),
                ChargeDecision::Refused => {
                    return task::Poll::Ready(Err(io::Error::other("no memory for the head")))
                }
                ChargeDecision::Wait(_) => {
                    let mut timer = Box::pin(tokio::time::sleep(CHARGE_RETRY));
                    let is_over = timer.as_mut().poll(context).is_ready();
                    self.charge_timer = Some(timer);
                    if !is_over {
                        return task::Poll::Pending;
                    }
                }
            }
        }
    }

    /// Reads at most `step` bytes; returns how many.
    fn poll_step(
        &mut self,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
        step: usize,
    ) -> (task::Poll<io::Result<()>>, usize)
    where
        S: AsyncRead + Unpin,
    {
        let socket = pin::Pin::new(&mut self.socket);
        let (read, bytes) = if buffer.remaining() <= step {
            let filled = buffer.filled().len();
            let read = socket.poll_read(context, buffer);
            (read, buffer.filled().len() - filled)
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(step));
            let read = socket.poll_read(context, &mut part);
            let bytes = part.filled().len();
            buffer.advance(bytes);
            (read, bytes)
        };
        if bytes >= PhaseCost::HEAD_STEP {
            self.memory.record_growth();
        }
        (read, bytes)
    }

    /// Records bytes and lines of a head.
    fn receive_head(&mut self, bytes: usize, lines: usize) {
        if self.head_timer.is_none() {
            self.head_timer = Some(Box::pin(tokio::time::sleep(self.limits.head)));
        }
        self.head.bytes += bytes;
        self.head.headers += lines;
    }

    fn finish_write<T>(
        &mut self,
        written: task::Poll<io::Result<T>>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            if std::mem::take(&mut self.is_blocked) {
                self.memory.set_unwritten(false);
            }
            return written;
        }
        if !std::mem::replace(&mut self.is_blocked, true) {
            self.memory.set_unwritten(true);
        }
        let limit = self.limits.write;
        self.write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        if is_over(&mut self.write_timer, context) {
            self.memory
                .record_end(caller_memory::EndReason::WriteTimeout);
            return task::Poll::Ready(Err(timed_out("the caller doesn't read its answer")));
        }
        task::Poll::Pending
    }
}

impl<S> AsyncRead for MeteredSocket<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.reads_head() {
            return this.poll_head(context, buffer);
        }
        if !this.waiting.is_empty() {
            this.pass_on(buffer);
            return task::Poll::Ready(Ok(()));
        }
        this.poll_step(context, buffer, BODY_STEP).0
    }
}

impl<S> AsyncWrite for MeteredSocket<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = pin::Pin::new(&mut this.socket).poll_write(context, bytes);
        this.finish_write(written, context)
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        let flushed = pin::Pin::new(&mut this.socket).poll_flush(context);
        // The library flushes the socket when it has written all that it holds.
        if matches!(flushed, task::Poll::Ready(Ok(()))) {
            this.memory.record_written();
        }
        flushed
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().socket).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = pin::Pin::new(&mut this.socket).poll_write_vectored(context, parts);
        this.finish_write(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
