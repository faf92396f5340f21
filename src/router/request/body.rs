//! Bodies of responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::{sync::mpsc, task::JoinHandle};

use crate::router::request::{held_body::HeldBody, stream_queue::StreamPart};

/// The stream can't be completed, so the caller's connection must be closed without the terminating chunk.
#[derive(Debug, thiserror::Error)]
#[error("the response stream was interrupted")]
pub(crate) struct StreamInterrupted;

/// A streamed body that is filled by a separate relay task. Dropping it aborts the task, which closes the
/// connection to the server and so cancels the server's work.
#[derive(Debug)]
pub(crate) struct StreamBody {
    parts: mpsc::UnboundedReceiver<StreamPart>,
    relay_task: JoinHandle<()>,
    /// Whether the connection has been given one poll to write the events before an interruption.
    has_yielded: bool,
}

impl StreamBody {
    pub(crate) fn new(
        parts: mpsc::UnboundedReceiver<StreamPart>,
        relay_task: JoinHandle<()>,
    ) -> Self {
        Self { parts, relay_task, has_yielded: false }
    }

    /// Polls for the next part. An interruption is reported one poll late: hyper discards unwritten data when the
    /// body fails, and events that have already arrived must still reach the caller.
    fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        match ready!(self.parts.poll_recv(cx)) {
            Some(StreamPart::Events(events)) => Poll::Ready(Some(Ok(Frame::data(events)))),
            Some(StreamPart::End) => Poll::Ready(None),
            None if self.has_yielded => Poll::Ready(Some(Err(StreamInterrupted))),
            None => {
                self.has_yielded = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.relay_task.abort();
    }
}

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Stored as a whole.
    Held(HeldBody),
    /// Streamed event by event.
    Stream(StreamBody),
}

impl ResponseBody {
    /// A body of the entry's own.
    pub(crate) fn short(bytes: impl Into<Bytes>) -> Self {
        Self::Held(HeldBody::from_bytes(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        match self.get_mut() {
            Self::Held(body) => Poll::Ready(body.next_block().map(|block| Ok(Frame::data(block)))),
            Self::Stream(stream) => stream.poll_part(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(body) => body.len() == 0,
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(body) => SizeHint::with_exact(body.len() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
