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

/// A stream whose close discards what the kernel has not delivered. A connection is closed when its request is given
/// up, or when it is idle. Closed in order, it would still deliver what a partition holds up, and the server would run
/// what was sent elsewhere in the meantime (docs/incidents/0027).
#[derive(Debug)]
pub(crate) struct ServerStream {
    stream: TcpStream,
}

impl ServerStream {
    pub(crate) fn new(stream: TcpStream) -> Result<Self> {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        Ok(Self { stream })
    }

    fn inner(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.inner().poll_read(cx, buf)
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
