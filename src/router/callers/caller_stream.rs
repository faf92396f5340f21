//! The TCP connection of a caller, with a minimum rate at which the caller takes its responses.

use std::{
    future::Future,
    io::{Error, ErrorKind, IoSlice, Result},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};

use crate::{
    policy::caller_limits::CallerLimits,
    router::callers::caller_connection::{CallerConnection, CutReason},
};

/// A stream whose writes fail when the caller takes too little while more is ready.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    limits: CallerLimits,
    /// End of the current period, while the caller is behind.
    period_end: Pin<Box<Sleep>>,
    is_behind: bool,
    /// Bytes that the caller took in the current period.
    taken: u64,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Arc<CallerConnection>,
        limits: CallerLimits,
    ) -> Self {
        let period_end = Box::pin(sleep_until(Instant::now()));
        Self { stream, connection, limits, period_end, is_behind: false, taken: 0 }
    }

    fn inner(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }

    fn begin_period(&mut self) {
        self.taken = 0;
        self.period_end.as_mut().reset(Instant::now() + self.limits.period);
    }

    /// Records the outcome of a write of `len` bytes; turns a wait into an error when the caller is too slow.
    fn check_pace(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<Result<usize>>,
        len: usize,
    ) -> Poll<Result<usize>> {
        if let Poll::Ready(written) = written {
            let bytes = *written.as_ref().unwrap_or(&0);
            self.taken += bytes as u64;
            self.is_behind &= bytes < len;
            return Poll::Ready(written);
        }
        if !std::mem::replace(&mut self.is_behind, true) {
            self.begin_period();
        }
        while self.period_end.as_mut().poll(cx).is_ready() {
            if self.limits.is_too_slow(self.taken) {
                self.connection.cut(CutReason::Slow);
                return Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "the caller is too slow")));
            }
            self.begin_period();
        }
        Poll::Pending
    }
}

impl Drop for CallerStream {
    /// Resets a connection with an incomplete response: closed in order, the kernel would keep what the caller has not
    /// taken.
    fn drop(&mut self) {
        if self.connection.cut_reason().is_some_and(CutReason::discards_response) {
            // Without the option the connection is closed all the same.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.inner().poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.check_pace(cx, written, buf.len())
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.check_pace(cx, written, bufs.iter().map(|buf| buf.len()).sum())
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.inner().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.inner().poll_shutdown(cx)
    }
}
