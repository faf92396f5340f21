//! Bodies of the answers that callers get.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use tokio::{sync::mpsc, task::JoinHandle};

/// Part of a streamed answer.
#[derive(Debug)]
pub(crate) enum StreamPart {
    /// Whole events.
    Events(Bytes),
    /// The stream ended whole.
    End,
}

/// The stream can't be finished; the caller's connection must not end as if it were whole.
#[derive(Debug, thiserror::Error)]
#[error("the stream broke off")]
pub(crate) struct StreamInterrupted;

/// A stream that a task of its own fills; dropping it ends the task and with it the server's work.
#[derive(Debug)]
pub(crate) struct StreamBody {
    parts: mpsc::Receiver<StreamPart>,
    relay_task: JoinHandle<()>,
    /// Whether the connection had a turn to write what came before the break.
    has_yielded: bool,
}

impl StreamBody {
    pub(crate) fn new(parts: mpsc::Receiver<StreamPart>, relay_task: JoinHandle<()>) -> Self {
        Self { parts, relay_task, has_yielded: false }
    }

    /// The next part; a break is reported one turn late, since the connection drops what it has not
    /// written when it learns of one, and events that are ready are the caller's.
    fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        match ready!(self.parts.poll_recv(cx)) {
            Some(StreamPart::Events(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
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

/// An answer's body.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// All of it is here.
    Whole(Full<Bytes>),
    /// It comes event by event.
    Stream(StreamBody),
}

impl ResponseBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
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
            Self::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never: Infallible| match never {})
            }
            Self::Stream(stream) => stream.poll_part(cx),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
