//! Connections to BackendServers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

use crate::router::Member;

/// Time a connection may take; zones are a millisecond apart, and a lost packet costs more than
/// trying the next server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which bytes that nobody acknowledges end a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between probes of a connection on which nothing is said.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time a connection may have been idle and still carry a request that can be repeated.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// The same for a request that may run only once: a server that closes an idle connection just
/// as the request leaves would make it unknown whether it ran.
const MAX_IDLE_TIME_ONCE_ONLY: Duration = Duration::from_millis(800);
/// Idle connections kept to one server.
const MAX_IDLE: usize = 16;

/// A connection ready for a request.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// A connection that waits for use.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    connection: Connection,
    since: Duration,
}

/// Why no connection could be had.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    Timeout,
    #[error("can't connect: {0}")]
    Refused(#[from] std::io::Error),
    #[error("can't begin HTTP: {0}")]
    Http(#[from] hyper::Error),
}

/// A connection and whether it has been used before.
pub(crate) struct Checkout {
    pub(crate) connection: Connection,
    pub(crate) is_reused: bool,
}

/// Takes an idle connection to a server, or makes one.
pub(crate) async fn check_out(
    member: &Member,
    now: Duration,
    is_once_only: bool,
) -> Result<Checkout, ConnectError> {
    if let Some(connection) = take_idle(member, now, is_once_only) {
        return Ok(Checkout { connection, is_reused: true });
    }
    Ok(Checkout { connection: connect(member).await?, is_reused: false })
}

fn take_idle(member: &Member, now: Duration, is_once_only: bool) -> Option<Connection> {
    let max_idle_time = if is_once_only { MAX_IDLE_TIME_ONCE_ONLY } else { MAX_IDLE_TIME };
    let mut state = member.state();
    state
        .idle_connections
        .retain(|idle| now < idle.since + MAX_IDLE_TIME && idle.connection.is_ready());
    // The longest idle first: a second answer to its last request has had time to show.
    let i = state.idle_connections.iter().position(|idle| now < idle.since + max_idle_time)?;
    Some(state.idle_connections.remove(i).connection)
}

/// Makes a new connection.
pub(crate) async fn connect(member: &Member) -> Result<Connection, ConnectError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(member.server.address))
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
    let (connection, work) = http1::handshake(TokioIo::new(stream)).await?;
    // What ends a connection shows in the answer that was waited for on it.
    tokio::spawn(async move { drop(work.await) });
    Ok(connection)
}

/// Keeps a connection whose answer was read to its end.
pub(crate) fn check_in(member: &Arc<Member>, connection: Connection, now: Duration) {
    let mut state = member.state();
    let is_draining = state.announced.draining_since().is_some();
    if !is_draining && state.idle_connections.len() < MAX_IDLE {
        state.idle_connections.push(IdleConnection { connection, since: now });
    }
}
