//! Links between entries: an entry follows another one instead of the store.
//!
//! Calls to the store are paid for and limited, so only the entries that the settings name as seeds
//! follow it while all is well; each other entry follows a seed, in its own AvailabilityZone if
//! there is one. An entry that the store refuses or does not reach follows another one, too. What is
//! passed on are rows as the store gave them, taken in by the same code (docs/decisions/0009).

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, broadcast::error::RecvError, watch},
    task::JoinSet,
    time::{Instant, sleep, timeout, timeout_at},
};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async, tungstenite::Message};

use crate::{
    ids::Revision,
    platform::host_settings::HostSettings,
    protocol::{Error, Result, decode, encode},
    router::{
        Router, kept_board::KeptNote, load_board::ServerLoad, packed_rows::PackedUpdate,
        trial::VersionEvidence,
    },
    telemetry::event,
};

/// Time between looks at whether a link is wanted, and between tries to get one.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// The same until there is a configuration: seeds that start at the same time listen a moment later, and
/// whoever has no link by then asks the store for everything.
const LOOK_AT_START: Duration = Duration::from_millis(50);
/// Time to reach another entry and to get its first answer: a few round trips between regions.
const OPENING: Duration = Duration::from_secs(1);
/// Time between heartbeats on a link.
const BEAT_EVERY: Duration = Duration::from_millis(300);
/// Time an entry stays with a seed that the store does not answer, where the other seeds were no better:
/// as long as one of them may have been cut off for a moment.
const STAY_WITH_LOST: Duration = Duration::from_secs(2);
/// Silence after which a link is given up: three heartbeats. The store is asked at once after
/// that, and a new configuration has two seconds to be in force.
const SILENT_AFTER: Duration = Duration::from_millis(900);
/// Links that one entry serves: at 360 entries all report to each seed and follow it, when it is the only
/// one that is left; with 400 the last of them had no link.
const MOST_LINKS: usize = 800;

/// Time between reports of the own load to the seeds; streams last a second or a few.
const REPORT_EVERY: Duration = Duration::from_millis(400);

/// Pause before a seed that could not be reported to is tried again.
const REPORT_AGAIN: Duration = Duration::from_secs(2);

/// What an entry says on a link that it opened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Asked {
    /// It wants to hear what the store says.
    Follow {
        /// Newest rows it has, by the store's count.
        version: Revision,
        /// AvailabilityZone that the other one has to be in; any where there is none. Without it a link that
        /// is left at once brought all rows first.
        #[serde(default)]
        only_in: Option<Box<str>>,
    },
    /// What it has at the servers and has seen of versions; over and over on a link of its own.
    Report { host: Box<str>, report: Report },
}

/// What one entry lets the others know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Report {
    loads: Vec<ServerLoad>,
    evidence: Vec<VersionEvidence>,
    /// Prompt parts that it sent since its last report.
    kept: Vec<KeptNote>,
}

/// What the entry that is followed says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Told {
    /// Its first word.
    Welcome {
        /// Its AvailabilityZone.
        zone: Box<str>,
    },
    /// A heartbeat, and what has come since the last one.
    Beat {
        /// Whether the store answers it.
        is_current: bool,
        updates: Vec<PackedUpdate>,
        /// How many entries report to it, itself included; 0 from one that does not tell.
        #[serde(default)]
        entries: usize,
        /// What all entries together have at the servers.
        loads: Vec<ServerLoad>,
        /// Prompt parts that entries sent since the last heartbeat.
        kept: Vec<KeptNote>,
    },
}

/// Why an entry that was followed is followed no more.
enum Left {
    /// It stands in another AvailabilityZone, and there are entries whose zone is not known yet.
    OtherZone,
    /// No link is wanted any more.
    Unwanted,
}

type Socket = WebSocketStream<TcpStream>;

fn silent() -> Error {
    Error::Broken("no word in time".into())
}

/// The seeds but for this entry itself.
fn other_seeds(settings: &HostSettings) -> Vec<SocketAddr> {
    settings.seeds.iter().copied().filter(|seed| Some(*seed) != settings.peer).collect()
}

/// Serves the entries that follow this one.
pub(crate) async fn answer(router: Arc<Router>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(MOST_LINKS));
    // Ends the links with the control thread's work.
    let mut links = JoinSet::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                event::ACCEPT_FAILED.log(format_args!("cause=\"{e}\""));
                sleep(LOOK_EVERY).await;
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
    match timeout(OPENING, hear(&mut socket)).await.map_err(|_| silent())?? {
        Asked::Follow { version, only_in } => {
            serve_follower(router, socket, version, only_in.as_deref()).await
        }
        Asked::Report { host, report } => take_reports(router, socket, &host, report).await,
    }
}

/// Takes in an entry's reports until it leaves.
async fn take_reports(
    router: &Router,
    mut socket: Socket,
    host: &str,
    mut report: Report,
) -> Result<()> {
    loop {
        router.loads.take_report(host, report.loads, router.now());
        router.roll_outs.take_evidence(host, report.evidence);
        router.kept.take_report(&report.kept, &router.fleet.load(), router.now());
        report = match hear(&mut socket).await? {
            Asked::Report { report, .. } => report,
            Asked::Follow { .. } => return Err(Error::Broken("reports were expected".into())),
        };
    }
}

/// Tells a follower what the store says until it leaves.
async fn serve_follower(
    router: &Router,
    mut socket: Socket,
    version: Revision,
    only_in: Option<&str>,
) -> Result<()> {
    let zone = router.settings.load().zone.clone();
    let is_wanted = only_in.is_none_or(|wanted| *wanted == *zone);
    tell(&mut socket, &Told::Welcome { zone }).await?;
    if !is_wanted {
        return Ok(());
    }
    let (mut updates, mut news) = router.views.subscribe(version);
    let mut next_kept = 0;
    loop {
        let is_current = router.is_current();
        let loads = router.loads.sums(router.now());
        let (kept, next) = router.kept.all_from(next_kept, router.now());
        next_kept = next;
        let entries = router.loads.entries(router.now());
        tell(&mut socket, &Told::Beat { is_current, updates, entries, loads, kept }).await?;
        updates = tokio::select! {
            update = news.recv() => match update {
                Ok(update) => vec![update],
                Err(RecvError::Lagged(_) | RecvError::Closed) => return Ok(()),
            },
            () = sleep(BEAT_EVERY) => Vec::new(),
            message = socket.next() => match message {
                Some(Ok(Message::Close(_))) | None => return Ok(()),
                Some(message) => { message?; Vec::new() }
            },
        };
    }
}

async fn tell<T: Serialize>(socket: &mut Socket, told: &T) -> Result<()> {
    let message = Message::binary(encode(told));
    timeout(SILENT_AFTER, socket.send(message)).await.map_err(|_| silent())??;
    Ok(())
}

/// Follows another entry whenever that is wanted.
pub(crate) async fn follow(router: &Router) {
    let mut zones: HashMap<SocketAddr, Box<str>> = HashMap::new();
    let mut turn = 0;
    loop {
        if router.wants_link() {
            let settings = router.settings.load_full();
            let mut others = other_seeds(&settings);
            // Those in this zone first, then those not asked yet.
            others.sort_by_key(|seed| match zones.get(seed) {
                Some(zone) => (*zone != settings.zone, true),
                None => (false, false),
            });
            if let Some(peer) = others.get(turn % others.len().max(1)) {
                // One that was left for its zone and comes up again is followed: the others may be gone.
                let is_new = |seed: &SocketAddr| !zones.contains_key(seed);
                let has_choice =
                    is_new(peer) && others.iter().any(|seed| seed != peer && is_new(seed));
                let is_last = turn % others.len() == others.len() - 1;
                let stay = if is_last { STAY_WITH_LOST } else { Duration::ZERO };
                match follow_one(router, *peer, &mut zones, has_choice, stay).await {
                    Ok(Left::Unwanted) => turn = 0,
                    Ok(Left::OtherZone) => continue,
                    Err(e) => {
                        event::PEER_FAILED.log(format_args!("peer={peer} cause=\"{e}\""));
                        turn += 1;
                    }
                }
                let was_followed = router.link.set_current(false);
                if was_followed {
                    event::PEER_LEFT.log(format_args!("peer={peer}"));
                }
                router.link.reset();
                // The next seed may have what this one no longer tells.
                let is_round_over = turn % others.len() == 0;
                if (was_followed || !is_round_over) && others.len() > 1 {
                    continue;
                }
            }
        }
        let is_starting = router.table.load().is_none();
        sleep(if is_starting { LOOK_AT_START } else { LOOK_EVERY }).await;
    }
}

/// Follows one entry as long as it speaks and the link is wanted. One of another zone is left at
/// once while others have not been asked for theirs, and one that the store does not answer after
/// `stay`.
async fn follow_one(
    router: &Router,
    peer: SocketAddr,
    zones: &mut HashMap<SocketAddr, Box<str>>,
    has_choice: bool,
    stay: Duration,
) -> Result<Left> {
    let opening = Instant::now() + OPENING;
    let mut socket = timeout_at(opening, open(peer)).await.map_err(|_| silent())??;
    let version = router.views.oldest_version();
    let own_zone = router.settings.load().zone.clone();
    let only_in = has_choice.then(|| own_zone.clone());
    tell(&mut socket, &Asked::Follow { version, only_in }).await?;
    let Told::Welcome { zone } = hear(&mut socket).await? else {
        return Err(Error::Broken("no welcome".into()));
    };
    let is_near = zone == own_zone;
    zones.insert(peer, zone);
    if !is_near && has_choice {
        return Ok(Left::OtherZone);
    }
    let mut current_at = Instant::now();
    while router.wants_link() {
        let Told::Beat { is_current, updates, entries, loads, kept } = hear(&mut socket).await?
        else {
            return Err(Error::Broken("a second welcome".into()));
        };
        for update in updates {
            if !router.link.push(update.unpack()?) {
                return Err(Error::Broken("its updates are not taken".into()));
            }
        }
        router.views.note_heard(router.now());
        if entries > 0 {
            router.hear_entries(entries);
        }
        let fleet = router.fleet.load_full();
        router.loads.apply(&loads, &fleet, router.now());
        router.kept.apply(&kept, &fleet);
        if router.link.set_current(is_current) && is_current {
            event::PEER_FOLLOWED.log(format_args!("peer={peer}"));
        }
        if is_current {
            current_at = Instant::now();
        } else if current_at.elapsed() >= stay {
            return Err(Error::Broken("the store does not answer it".into()));
        }
    }
    Ok(Left::Unwanted)
}

async fn open(peer: SocketAddr) -> Result<Socket> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let (socket, _) = client_async(format!("ws://{peer}/"), stream).await?;
    Ok(socket)
}

async fn hear<T: DeserializeOwned>(socket: &mut Socket) -> Result<T> {
    loop {
        let message = timeout(SILENT_AFTER, socket.next()).await.map_err(|_| silent())?;
        match message.ok_or_else(|| Error::Broken("the link ended".into()))?? {
            Message::Binary(data) => return decode(&data),
            Message::Close(_) => return Err(Error::Broken("the link ended".into())),
            _ => {}
        }
    }
}

/// Reports the own load to every seed, and lets a seed know the sums itself.
pub(crate) async fn report_load(router: &Arc<Router>) {
    let mut links: JoinSet<()> = JoinSet::new();
    let mut reported: Vec<SocketAddr> = Vec::new();
    let (reports, _) = watch::channel(Report::default());
    loop {
        let settings = router.settings.load_full();
        let others = other_seeds(&settings);
        if others != reported {
            links.abort_all();
            for seed in &others {
                let host = settings.host.clone();
                links.spawn(keep_reporting(router.clone(), *seed, host, reports.subscribe()));
            }
            reported = others;
        }
        let fleet = router.fleet.load();
        let evidence = router.roll_outs.evidence();
        let loads = router.loads.report(&fleet);
        reports.send_replace(Report { loads, evidence, kept: Vec::new() });
        if router.is_seed() {
            let now = router.now();
            router.hear_entries(router.loads.entries(now));
            router.loads.apply(&router.loads.sums(now), &fleet, now);
        }
        drop(fleet);
        sleep(REPORT_EVERY).await;
    }
}

/// Reports to one seed for ever; a seed that is away is tried again at a pause.
async fn keep_reporting(
    router: Arc<Router>,
    seed: SocketAddr,
    host: Box<str>,
    mut reports: watch::Receiver<Report>,
) {
    loop {
        if let Err(e) = report_to(&router, seed, &host, &mut reports).await {
            event::PEER_FAILED.log(format_args!("peer={seed} cause=\"{e}\""));
        }
        sleep(REPORT_AGAIN).await;
    }
}

async fn report_to(
    router: &Router,
    seed: SocketAddr,
    host: &str,
    reports: &mut watch::Receiver<Report>,
) -> Result<()> {
    let mut socket = timeout(OPENING, open(seed)).await.map_err(|_| silent())??;
    let mut next_kept = 0;
    loop {
        let mut report = reports.borrow_and_update().clone();
        (report.kept, next_kept) = router.kept.own_from(next_kept, router.now());
        tell(&mut socket, &Asked::Report { host: host.into(), report }).await?;
        if reports.changed().await.is_err() {
            return Ok(());
        }
    }
}
