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
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between probes of a connection on which nothing is said.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Time a connection may have been idle and still carry a request that can be repeated.
const REUSE_WITHIN: Duration = Duration::from_secs(2);
/// The same for a request that may run only once: a server that closes an idle connection just
/// as the request leaves would make it unknown whether it ran.
const REUSE_ONCE_ONLY_WITHIN: Duration = Duration::from_millis(800);
/// Idle connections kept to one server.
const MOST_IDLE: usize = 16;

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
    pub(crate) is_used: bool,
}

/// Takes an idle connection to a server, or makes one.
pub(crate) async fn check_out(
    member: &Member,
    now: Duration,
    is_once_only: bool,
) -> Result<Checkout, ConnectError> {
    if let Some(connection) = take_idle(member, now, is_once_only) {
        return Ok(Checkout { connection, is_used: true });
    }
    Ok(Checkout { connection: connect(member).await?, is_used: false })
}

fn take_idle(member: &Member, now: Duration, is_once_only: bool) -> Option<Connection> {
    let within = if is_once_only { REUSE_ONCE_ONLY_WITHIN } else { REUSE_WITHIN };
    let mut record = member.record();
    record.idle.retain(|idle| now < idle.since + REUSE_WITHIN && idle.connection.is_ready());
    // The longest idle first: a second answer to its last request has had time to show.
    let i = record.idle.iter().position(|idle| now < idle.since + within)?;
    Some(record.idle.remove(i).connection)
}

/// Makes a new connection.
pub(crate) async fn connect(member: &Member) -> Result<Connection, ConnectError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(member.server.address))
        .await
        .map_err(|_| ConnectError::Timeout)??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE).with_retries(1);
    socket.set_tcp_keepalive(&probes)?;
    let (connection, work) = http1::handshake(TokioIo::new(stream)).await?;
    // What ends a connection shows in the answer that was waited for on it.
    tokio::spawn(async move { drop(work.await) });
    Ok(connection)
}

/// Keeps a connection whose answer was read to its end.
pub(crate) fn check_in(member: &Arc<Member>, connection: Connection, now: Duration) {
    let mut record = member.record();
    let is_draining = record.announced.draining_since().is_some();
    if !is_draining && record.idle.len() < MOST_IDLE {
        record.idle.push(IdleConnection { connection, since: now });
    }
}
