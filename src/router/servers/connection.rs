//! HTTP/1.1 connections to BackendServers and the pool of idle ones.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpSocket, time::timeout};

use crate::{
    clock::Clock,
    router::{Member, servers::server_stream::ServerStream},
};

/// Timeout for opening a TCP connection. The round trip between zones takes about a millisecond, so after a lost
/// packet it is faster to try the next server than to wait for the retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which unacknowledged data closes the connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between TCP keepalive probes on a quiet connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest idle time after which a connection is reused for an idempotent request.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// The same for a request that must not run twice. It is shorter because a server that closes an idle connection
/// just as the request is sent would leave it unknown whether the request ran.
const MAX_IDLE_TIME_ONCE_ONLY: Duration = Duration::from_millis(800);
/// Maximum size of a response head, and of what is read of a body and not yet relayed, in bytes: the smallest that hyper
/// accepts, since every connection may keep several times as much; heads take one or two kilobytes.
const MAX_READ_BUFFER: usize = 8 << 10;
/// What the kernel may receive for a connection before it is read, in bytes. It counts towards the process's memory, and
/// by itself the kernel lets it grow to several megabytes. A round trip of 3 ms leaves 10 MB a second.
const RECEIVE_BUFFER: u32 = 32 << 10;
/// Maximum number of idle connections to one server.
const MAX_IDLE: usize = 16;

/// An open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Its sending half.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// When it was opened, on the entry's clock.
    pub(crate) opened_at: Duration,
    /// Whether the server has signed a response on it.
    pub(crate) is_signed: bool,
}

/// A pooled connection and when it became idle.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    connection: Connection,
    since: Duration,
}

/// Why no connection could be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error("connect timed out after {CONNECT_TIMEOUT:?}")]
    Timeout,
    #[error("can't connect: {0}")]
    Refused(#[from] std::io::Error),
    #[error("HTTP handshake failed: {0}")]
    Http(#[from] hyper::Error),
}

/// A connection to send one request on, and whether it was reused from the pool.
pub(crate) struct Checkout {
    pub(crate) connection: Connection,
    pub(crate) is_reused: bool,
}

/// Returns an idle connection to a server, or opens a new one.
pub(crate) async fn check_out(
    member: &Member,
    clock: &Clock,
    is_once_only: bool,
) -> Result<Checkout, ConnectError> {
    if let Some(connection) = take_idle(member, clock.now(), is_once_only) {
        return Ok(Checkout { connection, is_reused: true });
    }
    Ok(Checkout { connection: connect(member, clock).await?, is_reused: false })
}

fn take_idle(member: &Member, now: Duration, is_once_only: bool) -> Option<Connection> {
    let max_idle_time = if is_once_only { MAX_IDLE_TIME_ONCE_ONLY } else { MAX_IDLE_TIME };
    let mut state = member.state();
    state
        .idle_connections
        .retain(|idle| now < idle.since + MAX_IDLE_TIME && idle.connection.sender.is_ready());
    // Prefer the connection that has been idle longest: if its server wrongly sent a second response to the last
    // request, that response has arrived by now and `is_ready` has excluded the connection.
    let i = state.idle_connections.iter().position(|idle| now < idle.since + max_idle_time)?;
    Some(state.idle_connections.remove(i).connection)
}

/// Opens a new connection.
pub(crate) async fn connect(member: &Member, clock: &Clock) -> Result<Connection, ConnectError> {
    let address = member.server.address;
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(address))
        .await
        .map_err(|_| ConnectError::Timeout)??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(1);
    socket.set_tcp_keepalive(&probes)?;
    let io = TokioIo::new(ServerStream::new(stream)?);
    let opened_at = clock.now();
    let (sender, work) = http1::Builder::new().max_buf_size(MAX_READ_BUFFER).handshake(io).await?;
    // Errors of the connection task can be ignored: the request that is waiting on the connection fails as well.
    tokio::spawn(async move { drop(work.await) });
    Ok(Connection { sender, opened_at, is_signed: false })
}

/// Returns a connection to the pool after its response was read to the end.
pub(crate) fn check_in(member: &Arc<Member>, connection: Connection, now: Duration) {
    let mut state = member.state();
    let is_draining = state.announced.draining_since().is_some();
    if !is_draining && state.idle_connections.len() < MAX_IDLE {
        state.idle_connections.push(IdleConnection { connection, since: now });
    }
}
