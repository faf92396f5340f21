//! Links between entries: opening them, and serving followers and reporting entries.
//!
//! An entry can follow another one instead of the store ([`peer_follower`](super::peer_follower)),
//! and each entry reports to the seeds ([`seed_reporter`](super::seed_reporter)).
//!
//! Calls to the store are billed and limited. So normally only the entries that the settings name
//! as seeds read it, and each other entry follows a seed, in its own AvailabilityZone if there is
//! one. A seed that cannot reach the store, or is refused by it, follows another entry as well.
//! Rows are forwarded as the store returned them and applied by the same code
//! (docs/decisions/0009).

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async,
    tungstenite::{Message, protocol::WebSocketConfig},
};

use crate::{
    ids::StoreVersion,
    platform::host_settings::HostSettings,
    protocol::{Error, Result, decode, encode},
    router::{
        Router,
        callers::{caller_connection::CallerConnection, connection_table::ConnectionTable},
        peers::{
            follower_link::{FollowRequest, serve_follower},
            messages::{PeerRequest, Report},
            urgent_updates::UrgentUpdates,
        },
    },
    telemetry::event,
};

/// Time limit for connecting to another entry and for its first answer: a few round trips between
/// regions.
pub(crate) const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between heartbeats on a link.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which changes are collected before they are reported. Dozens of entries observe the
/// same server crash within 10 ms, and each message also carries the load, 3 KB. A request that
/// crashes servers may reach any entry within a tenth of a second.
pub(crate) const BATCH_DELAY: Duration = Duration::from_millis(30);
/// Time without a message after which a link is closed: three heartbeats. The store is asked
/// immediately afterwards, and a new configuration has to be in force within two seconds.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of links that one entry serves. If only one seed is left, each of 360 entries
/// opens two links to it, one to report and one to follow; a limit of 400 left the last entries
/// without a link.
const MAX_LINKS: usize = 800;
/// Part of the process's descriptors that links may use.
const DESCRIPTOR_PART: usize = 4;
/// Maximum size of a message of another entry, in bytes. The largest are reports of all records of crashing requests,
/// which take a third of it.
const MAX_MESSAGE: usize = 1 << 20;
/// Size of the buffer that is allocated for reading from a link, in bytes.
const READ_BUFFER: usize = 8 << 10;

pub(crate) type Socket = WebSocketStream<TcpStream>;

pub(crate) fn timed_out() -> Error {
    Error::ConnectionFailed("timed out".into())
}

/// The seeds, without this entry itself.
pub(crate) fn other_seeds(settings: &HostSettings) -> Vec<SocketAddr> {
    settings
        .seed_peers
        .iter()
        .copied()
        .filter(|seed| Some(*seed) != settings.peer_address)
        .collect()
}

/// Accepts and serves links from other entries.
pub(crate) async fn serve_peers(router: Arc<Router>, listener: TcpListener) {
    let limit = MAX_LINKS.min(router.settings.load().descriptor_limit / DESCRIPTOR_PART);
    let connections = Arc::new(ConnectionTable::new(limit));
    // Dropping the set ends the links together with the control thread's work.
    let mut links = JoinSet::new();
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                event::ACCEPT_FAILED.log(format_args!("cause=\"{e}\""));
                sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        while links.try_join_next().is_some() {}
        let Some(open) = connections.open(address) else {
            log_failed_link(&router, format_args!("limit of {limit} links reached"));
            continue;
        };
        let router = router.clone();
        links.spawn(async move {
            let connection = &open.connection;
            tokio::select! {
                served = serve_link(&router, stream, connection) => {
                    if let Err(e) = served {
                        log_failed_link(&router, format_args!("{e}"));
                    }
                }
                () = connection.wait_until_cut() => {
                    log_failed_link(&router, format_args!("closed for another link"));
                }
            }
        });
    }
}

/// Logs a link of another entry that ended, at most once a second: whoever reaches the address can cause it.
fn log_failed_link(router: &Router, cause: std::fmt::Arguments<'_>) {
    if let Some(unlogged) = router.link_log.admit(router.now()) {
        event::PEER_FAILED.log(format_args!("cause=\"{cause}\" unlogged={unlogged}"));
    }
}

/// Serves one link until the other entry closes it. Until its first message it gives way to newer ones.
async fn serve_link(
    router: &Router,
    stream: TcpStream,
    connection: &CallerConnection,
) -> Result<()> {
    stream.set_nodelay(true)?;
    let config = WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE))
        .max_frame_size(Some(MAX_MESSAGE))
        .read_buffer_size(READ_BUFFER);
    let accepted = accept_async_with_config(stream, Some(config));
    let mut socket = timeout(OPEN_TIMEOUT, accepted).await.map_err(|_| timed_out())??;
    let first = timeout(OPEN_TIMEOUT, receive_message(&mut socket));
    let first = first.await.map_err(|_| timed_out())??;
    connection.record_request_begun();
    match first {
        PeerRequest::Follow { version, era, only_in, host, probe } => {
            let version = StoreVersion { era, revision: version };
            serve_follower(router, socket, FollowRequest { version, only_in, host, probe }).await
        }
        PeerRequest::Report { host, report } => serve_reporter(router, socket, &host, report).await,
        PeerRequest::Probe(_) => Err(Error::ConnectionFailed("expected a request".into())),
    }
}

/// Removes the report that an entry sent over a link when the link ends for any reason.
struct RemoveReportOnDrop<'a> {
    router: &'a Router,
    host: &'a str,
    link: u64,
}

impl Drop for RemoveReportOnDrop<'_> {
    fn drop(&mut self) {
        self.router.load_reports.remove_report(self.host, self.link);
    }
}

/// Applies an entry's reports and sends it urgent updates until it closes the link.
async fn serve_reporter(
    router: &Router,
    mut socket: Socket,
    host: &str,
    mut report: Report,
) -> Result<()> {
    let link = router.load_reports.next_link_id();
    let _guard = RemoveReportOnDrop { router, host, link };
    let mut urgent = UrgentUpdates::new(router);
    loop {
        let (loads, now) = (report.loads, router.now());
        router.load_reports.apply_report(host, link, loads, !report.is_new, now);
        router.roll_outs.apply_evidence(host, report.evidence);
        router.prefix_reports.apply_report(&report.kept, &router.fleet.load(), router.now());
        router.apply_quarantine_updates(&report.ends);
        router.apply_limit_updates(&report.limits);
        router.apply_speed_reports(&report.speeds, host);
        if let Some(usage) = &report.usage {
            router.usage.apply_report(host, usage, router.now());
        }
        report = loop {
            let request = tokio::select! {
                request = receive_message(&mut socket) => request?,
                message = urgent.next() => {
                    send_message(&mut socket, &message).await?;
                    continue;
                }
            };
            match request {
                PeerRequest::Report { report, .. } => break report,
                PeerRequest::Follow { .. } | PeerRequest::Probe(_) => {
                    return Err(Error::ConnectionFailed("expected a report".into()));
                }
            }
        };
    }
}

pub(crate) async fn send_message<T: Serialize>(socket: &mut Socket, message: &T) -> Result<()> {
    let message = Message::binary(encode(message));
    timeout(SILENCE_TIMEOUT, socket.send(message)).await.map_err(|_| timed_out())??;
    Ok(())
}

/// Sends a ping. Writes to a dead connection succeed for a while, and without a reply the reports
/// on it would be lost unnoticed.
pub(crate) async fn send_ping(socket: &mut Socket) -> Result<()> {
    socket.send(Message::Ping(Bytes::new())).await?;
    Ok(())
}

/// The next message; an error when the link is closed or silent for [`SILENCE_TIMEOUT`].
pub(crate) async fn next_message(socket: &mut Socket) -> Result<Message> {
    let message = timeout(SILENCE_TIMEOUT, socket.next()).await.map_err(|_| timed_out())?;
    match message.ok_or_else(|| Error::ConnectionFailed("connection closed".into()))?? {
        Message::Close(_) => Err(Error::ConnectionFailed("connection closed".into())),
        message => Ok(message),
    }
}

pub(crate) async fn connect(peer: SocketAddr) -> Result<Socket> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let (socket, _) = client_async(format!("ws://{peer}/"), stream).await?;
    Ok(socket)
}

pub(crate) async fn receive_message<T: DeserializeOwned>(socket: &mut Socket) -> Result<T> {
    loop {
        if let Message::Binary(data) = next_message(socket).await? {
            return decode(&data);
        }
    }
}
