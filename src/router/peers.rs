//! Links between entries: an entry that the store refuses or does not reach learns from another
//! what the store said last.
//!
//! Entries keep no state for each other; what is passed on are rows as the store gave them, and
//! they are taken in by the same code (docs/decisions/0009).

use std::{net::SocketAddr, time::Duration};

use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_tungstenite::{accept_async, client_async, tungstenite::Message};

use crate::{
    ids::Revision,
    protocol::{Error, Result, decode, encode},
    router::{Router, views::TableView},
    telemetry::event,
};

/// Time between looks at whether the store gives no answer, and between questions.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Time an exchange with another entry may take: a few round trips between regions.
const EXCHANGE: Duration = Duration::from_secs(1);

/// What one entry asks of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Ask {
    /// Newest rows of the asking entry, by the store's count.
    version: Revision,
}

/// An exchange that takes longer than [`EXCHANGE`], or ends before its answer.
fn no_answer() -> Error {
    Error::Broken("no answer in time".into())
}

/// Answers other entries.
pub(crate) async fn answer(router: &Router, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                event::ACCEPT_FAILED.log(format_args!("cause=\"{e}\""));
                sleep(LOOK_EVERY).await;
                continue;
            }
        };
        // One at a time: an entry asks seldom, and only while it is cut off from the store.
        match timeout(EXCHANGE, answer_one(router, stream)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => event::PEER_FAILED.log(format_args!("cause=\"{e}\"")),
            Err(_) => event::PEER_FAILED.log(format_args!("cause=\"{}\"", no_answer())),
        }
    }
}

async fn answer_one(router: &Router, stream: TcpStream) -> Result<()> {
    let mut socket = accept_async(stream).await?;
    let message = socket.next().await.ok_or_else(no_answer)??;
    let ask: Ask = decode(&message.into_data())?;
    let views = router.views.newer_than(ask.version);
    socket.send(Message::binary(encode(&views))).await?;
    socket.close(None).await?;
    Ok(())
}

/// Asks the other entries in turn while the store is silent.
pub(crate) async fn ask_while_cut_off(router: &Router) {
    let mut turn = 0;
    loop {
        sleep(LOOK_EVERY).await;
        let has_table = router.table.load().is_some();
        if has_table && !router.views.is_cut_off() {
            continue;
        }
        let settings = router.settings.load_full();
        let others: Vec<SocketAddr> =
            settings.seeds.iter().copied().filter(|seed| Some(*seed) != settings.peer).collect();
        if others.is_empty() {
            continue;
        }
        turn += 1;
        let peer = others[turn % others.len()];
        let asked = timeout(EXCHANGE, ask(router, peer)).await;
        match asked.unwrap_or_else(|_| Err(no_answer())) {
            Ok(views) => take_in(router, peer, &views),
            Err(e) => event::PEER_FAILED.log(format_args!("peer={peer} cause=\"{e}\"")),
        }
    }
}

async fn ask(router: &Router, peer: SocketAddr) -> Result<Vec<TableView>> {
    let stream = TcpStream::connect(peer).await?;
    let (mut socket, _) = client_async(format!("ws://{peer}/"), stream).await?;
    let version = router.views.oldest_version();
    socket.send(Message::binary(encode(&Ask { version }))).await?;
    let message = socket.next().await.ok_or_else(no_answer)??;
    decode(&message.into_data())
}

fn take_in(router: &Router, peer: SocketAddr, views: &[TableView]) {
    for view in views {
        let known = router.views.version(view.table);
        if view.version <= known {
            continue;
        }
        event::PEER_VIEW_TAKEN.log(format_args!(
            "peer={peer} table={:?} version={} before={known}",
            view.table, view.version
        ));
        router.views.offer(view.clone());
    }
}
