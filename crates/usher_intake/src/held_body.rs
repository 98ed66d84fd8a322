//! The body of an answer, which hands over no more than its caller reads. Not for: its contents.

use std::{pin, task};

use crate::caller_memory;

/// The body of an answer on a metered connection.
#[derive(Debug)]
pub struct HeldBody<B> {
    body: B,
    memory: caller_memory::ConnectionMemory,
}

impl<B> HeldBody<B> {
    /// Makes the body of the answer to the current call of a connection.
    pub fn new(body: B, memory: caller_memory::ConnectionMemory) -> Self {
        Self { body, memory }
    }
}

impl<B> Drop for HeldBody<B> {
    fn drop(&mut self) {
        self.memory.end_answer();
    }
}

impl<B> http_body::Body for HeldBody<B>
where
    B: http_body::Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<B::Data>, B::Error>>> {
        if self.memory.poll_room(context).is_pending() {
            return task::Poll::Pending;
        }
        let frame = task::ready!(pin::Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            let bytes = frame.data_ref().map_or(0, bytes::Buf::remaining);
            self.memory.hand_over(bytes);
        }
        task::Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
