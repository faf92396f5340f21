//! A TCP connection to a BackendServer that is reset when it is closed.

use std::{
    io::{IoSlice, Result},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that are read in one turn of a connection's task, before other tasks have theirs. A server may send without a
/// pause, and what reads its bytes one by one, such as the size of a chunk, would keep the thread.
const MAX_TURN: usize = 64 << 10;

/// A stream whose close discards what the kernel has not delivered. A connection is closed when its request is given
/// up, or when it is idle. Closed in order, it would still deliver what a partition holds up, and the server would run
/// what was sent elsewhere in the meantime (docs/incidents/0027).
#[derive(Debug)]
pub(crate) struct ServerStream {
    stream: TcpStream,
    /// Bytes read since there was nothing to read, or since the last turn.
    read_in_turn: usize,
}

impl ServerStream {
    pub(crate) fn new(stream: TcpStream) -> Result<Self> {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        Ok(Self { stream, read_in_turn: 0 })
    }

    fn inner(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.read_in_turn >= MAX_TURN {
            self.read_in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buf.filled().len();
        let polled = self.as_mut().inner().poll_read(cx, buf);
        let read = buf.filled().len() - filled;
        self.read_in_turn = if polled.is_pending() { 0 } else { self.read_in_turn + read };
        polled
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.inner().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.inner().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.inner().poll_flush(cx)
    }

    /// Sends nothing: a receiver that reads an orderly end before the reset takes the bytes before it as sent for good.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}
