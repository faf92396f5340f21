//! Links between entries: opening them, and serving those that follow or report.
//!
//! An entry follows another one instead of the store ([`peer_follower`](super::peer_follower)) and reports to the seeds
//! ([`seed_reporter`](super::seed_reporter)).
//!
//! Calls to the store are paid for and limited, so only the entries that the settings name as seeds
//! follow it while all is well; each other entry follows a seed, in its own AvailabilityZone if
//! there is one. An entry that the store refuses or does not reach follows another one, too. What is
//! passed on are rows as the store gave them, taken in by the same code (docs/decisions/0009).

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, broadcast::error::RecvError},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async, tungstenite::Message};

use crate::{
    ids::StoreVersion,
    platform::host_settings::HostSettings,
    protocol::{Error, Result, decode, encode},
    router::{
        Router,
        messages::{PeerMessage, PeerRequest, Report},
        urgent_updates::UrgentUpdates,
    },
    telemetry::event,
};

/// Time to reach another entry and to get its first answer: a few round trips between regions.
pub(crate) const OPENING: Duration = Duration::from_secs(1);
/// Time between heartbeats on a link.
const BEAT_EVERY: Duration = Duration::from_millis(300);
/// Time for which news of a server's end is gathered before it is reported: dozens of entries see one end within
/// 10 ms, and each message reports the load as well, 3 KB. A request that ends servers may come to any entry
/// within a tenth of a second.
pub(crate) const GATHER: Duration = Duration::from_millis(30);
/// Silence after which a link is given up: three heartbeats. The store is asked at once after
/// that, and a new configuration has two seconds to be in force.
const SILENT_AFTER: Duration = Duration::from_millis(900);
/// Pause after a link could not be taken.
const ACCEPT_AGAIN: Duration = Duration::from_millis(500);
/// Links that one entry serves: at 360 entries all report to each seed and follow it, when it is the only
/// one that is left; with 400 the last of them had no link.
const MOST_LINKS: usize = 800;

pub(crate) type Socket = WebSocketStream<TcpStream>;

pub(crate) fn silent() -> Error {
    Error::Broken("no word in time".into())
}

/// The seeds but for this entry itself.
pub(crate) fn other_seeds(settings: &HostSettings) -> Vec<SocketAddr> {
    settings
        .seed_peers
        .iter()
        .copied()
        .filter(|seed| Some(*seed) != settings.peer_address)
        .collect()
}

/// Serves the entries that follow this one.
pub(crate) async fn serve_peers(router: Arc<Router>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(MOST_LINKS));
    // Ends the links with the control thread's work.
    let mut links = JoinSet::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                event::ACCEPT_FAILED.log(format_args!("cause=\"{e}\""));
                sleep(ACCEPT_AGAIN).await;
                continue;
            }
        };
        while links.try_join_next().is_some() {}
        let Ok(place) = places.clone().try_acquire_owned() else {
            event::PEER_FAILED.log(format_args!("cause=\"{MOST_LINKS} links are open\""));
            continue;
        };
        let router = router.clone();
        links.spawn(async move {
            let _place = place;
            if let Err(e) = serve(&router, stream).await {
                event::PEER_FAILED.log(format_args!("cause=\"{e}\""));
            }
        });
    }
}

/// Serves one entry until it leaves.
async fn serve(router: &Router, stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut socket = timeout(OPENING, accept_async(stream)).await.map_err(|_| silent())??;
    match timeout(OPENING, receive(&mut socket)).await.map_err(|_| silent())?? {
        PeerRequest::Follow { version, era, only_in, host } => {
            let version = StoreVersion { era, revision: version };
            serve_follower(router, socket, version, only_in.as_deref(), &host).await
        }
        PeerRequest::Report { host, report } => take_reports(router, socket, &host, report).await,
    }
}

/// Forgets what an entry reported over a link when that ends, in whatever way.
struct RemoveReportOnDrop<'a> {
    router: &'a Router,
    host: &'a str,
    link: u64,
}

impl Drop for RemoveReportOnDrop<'_> {
    fn drop(&mut self) {
        self.router.loads.remove_report(self.host, self.link);
    }
}

/// Takes in an entry's reports until it leaves.
async fn take_reports(
    router: &Router,
    mut socket: Socket,
    host: &str,
    mut report: Report,
) -> Result<()> {
    let link = router.loads.next_link_id();
    let _forgets = RemoveReportOnDrop { router, host, link };
    let mut news = UrgentUpdates::of(router);
    loop {
        let (loads, now) = (report.loads, router.now());
        router.loads.apply_report(host, link, loads, !report.is_new, now);
        router.roll_outs.apply_evidence(host, report.evidence);
        router.kept.apply_report(&report.kept, &router.fleet.load(), router.now());
        router.quarantine.apply_updates(&report.ends, router.now());
        router.apply_limit_updates(&report.limits);
        report = loop {
            let asked = tokio::select! {
                asked = receive(&mut socket) => asked?,
                message = news.next() => {
                    send_message(&mut socket, &message).await?;
                    continue;
                }
            };
            match asked {
                PeerRequest::Report { report, .. } => break report,
                PeerRequest::Follow { .. } => {
                    return Err(Error::Broken("reports were expected".into()));
                }
            }
        };
    }
}

/// Passes on to a follower what the store says until it leaves.
async fn serve_follower(
    router: &Router,
    mut socket: Socket,
    version: StoreVersion,
    only_in: Option<&str>,
    host: &str,
) -> Result<()> {
    let zone = router.settings.load().zone.clone();
    let is_wanted = only_in.is_none_or(|wanted| *wanted == *zone);
    send_message(&mut socket, &PeerMessage::Welcome { zone }).await?;
    if !is_wanted {
        return Ok(());
    }
    let (mut updates, mut news) = router.views.subscribe(version);
    let (mut next_kept, mut next_end, mut next_limit) = (0, None, 0);
    let mut suspicions = router.quarantine.changes();
    let mut urgent_limits = router.limits.urgent_changes();
    loop {
        let is_current = router.is_current();
        let loads = router.loads.sums(router.now());
        let (kept, next) = router.kept.all_since(next_kept, router.now());
        next_kept = next;
        suspicions.mark_unchanged();
        let (ends, next) = router.quarantine.all_since(next_end, router.now());
        next_end = Some(next);
        urgent_limits.mark_unchanged();
        let (limits, next) = router.limits.all_since(next_limit);
        next_limit = next;
        let entries = router.loads.entry_count(router.now());
        let place = router.place_of(host);
        let is_informed = router.quarantine.is_informed();
        let beat = PeerMessage::Beat {
            is_current,
            updates,
            entries,
            place,
            loads,
            kept,
            ends,
            is_informed,
            limits,
        };
        send_message(&mut socket, &beat).await?;
        updates = tokio::select! {
            update = news.recv() => match update {
                Ok(update) => vec![update],
                Err(RecvError::Lagged(_) | RecvError::Closed) => return Ok(()),
            },
            () = sleep(BEAT_EVERY) => Vec::new(),
            _ = suspicions.changed() => {
                sleep(GATHER).await;
                Vec::new()
            }
            _ = urgent_limits.changed() => {
                sleep(GATHER).await;
                Vec::new()
            }
            message = socket.next() => match message {
                Some(Ok(Message::Close(_))) | None => return Ok(()),
                Some(message) => { message?; Vec::new() }
            },
        };
    }
}

pub(crate) async fn send_message<T: Serialize>(socket: &mut Socket, message: &T) -> Result<()> {
    let message = Message::binary(encode(message));
    timeout(SILENT_AFTER, socket.send(message)).await.map_err(|_| silent())??;
    Ok(())
}

/// Asks the other end to show that it lives. A link that has gone silent for good takes what is written to it, and
/// what was reported would reach nobody.
pub(crate) async fn ask_if_alive(socket: &mut Socket) -> Result<()> {
    socket.send(Message::Ping(Bytes::new())).await?;
    Ok(())
}

/// The next message, unless the link ends or is silent for too long.
pub(crate) async fn next_message(socket: &mut Socket) -> Result<Message> {
    let message = timeout(SILENT_AFTER, socket.next()).await.map_err(|_| silent())?;
    match message.ok_or_else(|| Error::Broken("the link ended".into()))?? {
        Message::Close(_) => Err(Error::Broken("the link ended".into())),
        message => Ok(message),
    }
}

pub(crate) async fn open(peer: SocketAddr) -> Result<Socket> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let (socket, _) = client_async(format!("ws://{peer}/"), stream).await?;
    Ok(socket)
}

pub(crate) async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> Result<T> {
    loop {
        if let Message::Binary(data) = next_message(socket).await? {
            return decode(&data);
        }
    }
}
