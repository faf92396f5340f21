//! Links between entries: an entry follows another one instead of the store.
//!
//! Calls to the store are paid for and limited, so only the entries that the settings name as seeds
//! follow it while all is well; each other entry follows a seed, in its own AvailabilityZone if
//! there is one. An entry that the store refuses or does not reach follows another one, too. What is
//! passed on are rows as the store gave them, taken in by the same code (docs/decisions/0009).

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, broadcast::error::RecvError},
    task::JoinSet,
    time::{Instant, sleep, timeout, timeout_at},
};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async, tungstenite::Message};

use crate::{
    ids::Revision,
    protocol::{Error, Result, decode, encode},
    router::{Router, views::TableUpdate},
    telemetry::event,
};

/// Time between looks at whether a link is wanted, and between tries to get one.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Time to reach another entry and to get its first answer: a few round trips between regions.
const OPENING: Duration = Duration::from_secs(1);
/// Time between heartbeats on a link.
const BEAT_EVERY: Duration = Duration::from_millis(300);
/// Silence after which a link is given up: three heartbeats. The store is asked at once after
/// that, and a new configuration has two seconds to be in force.
const SILENT_AFTER: Duration = Duration::from_millis(900);
/// Links that one entry serves; 360 entries share three seeds.
const MOST_LINKS: usize = 400;

/// What an entry says first on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Subscribe {
    /// Newest rows it has, by the store's count.
    version: Revision,
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
        updates: Vec<TableUpdate>,
    },
}

type Socket = WebSocketStream<TcpStream>;

fn silent() -> Error {
    Error::Broken("no word in time".into())
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
    let asked = timeout(OPENING, socket.next()).await.map_err(|_| silent())?;
    let subscribe: Subscribe = decode(&asked.ok_or_else(silent)??.into_data())?;
    let zone = router.settings.load().zone.clone();
    tell(&mut socket, &Told::Welcome { zone }).await?;
    let (mut updates, mut news) = router.views.subscribe(subscribe.version);
    loop {
        let is_current = router.is_current();
        tell(&mut socket, &Told::Beat { is_current, updates }).await?;
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

async fn tell(socket: &mut Socket, told: &Told) -> Result<()> {
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
            let mut others: Vec<SocketAddr> = settings.seeds.clone();
            others.retain(|seed| Some(*seed) != settings.peer);
            // Those in this zone first, then those not asked yet.
            others.sort_by_key(|seed| match zones.get(seed) {
                Some(zone) => (*zone != settings.zone, true),
                None => (false, false),
            });
            if let Some(peer) = others.get(turn % others.len().max(1)) {
                let has_choice = zones.len() < others.len();
                match follow_one(router, *peer, &mut zones, has_choice).await {
                    Ok(()) => turn = 0,
                    Err(e) => {
                        event::PEER_FAILED.log(format_args!("peer={peer} cause=\"{e}\""));
                        turn += 1;
                    }
                }
                if router.link.set_current(false) {
                    event::PEER_LEFT.log(format_args!("peer={peer}"));
                }
                router.link.reset();
            }
        }
        sleep(LOOK_EVERY).await;
    }
}

/// Follows one entry as long as it speaks and the link is wanted. One of another zone is left at
/// once while others have not been asked for theirs.
async fn follow_one(
    router: &Router,
    peer: SocketAddr,
    zones: &mut HashMap<SocketAddr, Box<str>>,
    has_choice: bool,
) -> Result<()> {
    let opening = Instant::now() + OPENING;
    let mut socket = timeout_at(opening, open(peer)).await.map_err(|_| silent())??;
    let version = router.views.oldest_version();
    socket.send(Message::binary(encode(&Subscribe { version }))).await?;
    let Told::Welcome { zone } = hear(&mut socket).await? else {
        return Err(Error::Broken("no welcome".into()));
    };
    let is_near = zone == router.settings.load().zone;
    zones.insert(peer, zone);
    if !is_near && has_choice && zones.len() < router.settings.load().seeds.len() {
        return Ok(());
    }
    while router.wants_link() {
        let Told::Beat { is_current, updates } = hear(&mut socket).await? else {
            return Err(Error::Broken("a second welcome".into()));
        };
        for update in updates {
            if !router.link.push(update) {
                return Err(Error::Broken("its updates are not taken".into()));
            }
        }
        router.views.note_heard(router.now());
        if router.link.set_current(is_current) && is_current {
            event::PEER_FOLLOWED.log(format_args!("peer={peer}"));
        }
    }
    Ok(())
}

async fn open(peer: SocketAddr) -> Result<Socket> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let (socket, _) = client_async(format!("ws://{peer}/"), stream).await?;
    Ok(socket)
}

async fn hear(socket: &mut Socket) -> Result<Told> {
    loop {
        let message = timeout(SILENT_AFTER, socket.next()).await.map_err(|_| silent())?;
        match message.ok_or_else(|| Error::Broken("the link ended".into()))?? {
            Message::Binary(data) => return decode(&data),
            Message::Close(_) => return Err(Error::Broken("the link ended".into())),
            _ => {}
        }
    }
}
