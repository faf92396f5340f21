//! Links from entries: accepting them, reading their frames, sending heartbeats.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio_tungstenite::tungstenite::Message;

use crate::{
    agent::{
        Agent, dispatch,
        state::{LinkHandle, LinkId, Pending, SentOnLink},
    },
    platform::InsertOutcome,
    protocol::{
        self, AgentHeartbeat, AgentLinkStream, EntryHeartbeat, FrameSender, RowWrite, ToAgent,
        ToEntry, VersionEvidence, decode, encode,
    },
    telemetry::event,
};

const OUTGOING: usize = 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

pub(super) async fn accept_all(agent: Arc<Agent>, listener: TcpListener) {
    loop {
        let Ok((tcp, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let agent = agent.clone();
        tokio::spawn(async move {
            let key = agent.settings.link_key.as_bytes();
            match protocol::accept(tcp, &agent.peer(), key).await {
                Ok((ws, peer)) => serve(agent, ws, peer).await,
                Err(e) => event::LINK_REFUSED.log(format_args!("from={from} problem={e}")),
            }
        });
    }
}

async fn serve(agent: Arc<Agent>, ws: AgentLinkStream, peer: protocol::Peer) {
    let (sink, mut stream) = ws.split();
    let (tx, rx) = FrameSender::channel(OUTGOING);
    let id = agent.next_link.fetch_add(1, Ordering::Relaxed);
    let handle = Arc::new(LinkHandle {
        peer: peer.clone(),
        tx,
        starts_seen: AtomicU64::new(0),
        sent: Mutex::new(SentOnLink::default()),
    });
    agent.links.lock().expect("no panics under the lock").insert(id, handle.clone());
    agent.copies.lock().expect("no panics under the lock").entry_is_up(peer.incarnation);
    agent.metrics.links.inc();
    event::LINK_UP.log(format_args!("entry={}", peer.host));
    send_beat(&agent, &handle).await;
    let writer = tokio::spawn(protocol::write_frames(rx, sink));
    let mut killed = agent.killed.subscribe();
    loop {
        let message = tokio::select! {
            message = stream.next() => message,
            _ = killed.wait_for(|killed| *killed) => break,
        };
        let Some(Ok(message)) = message else { break };
        let Message::Binary(buf) = message else {
            continue;
        };
        match decode::<ToAgent>(&buf) {
            Ok(frame) => handle_frame(&agent, id, &handle, frame).await,
            Err(e) => {
                event::LINK_REFUSED.log(format_args!("entry={} problem={e}", peer.host));
                break;
            }
        }
    }
    writer.abort();
    agent.links.lock().expect("no panics under the lock").remove(&id);
    agent.copies.lock().expect("no panics under the lock").entry_is_gone(peer.incarnation);
    agent.metrics.links.dec();
    event::LINK_DOWN.log(format_args!("entry={}", peer.host));
    dispatch::link_lost(&agent, id);
}

async fn handle_frame(agent: &Arc<Agent>, id: LinkId, link: &Arc<LinkHandle>, frame: ToAgent) {
    match frame {
        ToAgent::Beat(beat) => note_beat(agent, link, beat).await,
        ToAgent::Start(start) => {
            link.starts_seen.fetch_add(1, Ordering::Relaxed);
            let pending = Pending { start: *start, link: id, received: Instant::now() };
            dispatch::offer(agent, pending).await;
        }
        ToAgent::Cancel(key) => dispatch::cancel(agent, id, key).await,
        ToAgent::Pull(revision) => {
            if let Some(update) = agent.config.update_for(revision) {
                send_control(agent, link, &ToEntry::Config(update)).await;
            }
        }
        ToAgent::Config(update) => {
            agent.config.apply(update);
            agent.pulling.release();
        }
        ToAgent::Rated { version, poor } => {
            let snapshot = agent.config.snapshot();
            let mut evidence = agent.evidence.lock().expect("no panics under the lock");
            evidence.note_rating(&snapshot, &version, poor);
        }
        ToAgent::Charge(record) => {
            let from = link.peer.incarnation;
            agent.copies.lock().expect("no panics under the lock").keep(from, *record);
        }
        ToAgent::Confirm(requests) => {
            agent.copies.lock().expect("no panics under the lock").confirm(&requests);
        }
        ToAgent::WriteRow(row) => {
            tokio::spawn(write_row(agent.clone(), id, *row));
        }
        ToAgent::Leave => dispatch::leave(agent),
        ToAgent::Pin { session, model, version } => agent.remember_pin(session, model, version),
        ToAgent::AskPin { question, session, model } => {
            let version = agent.remembered_pin(session, model);
            agent.send(id, &ToEntry::PinIs { question, version }).await;
        }
    }
}

/// Writes a row for an entry; a value that can't be read is refused, so nothing is written.
async fn write_row(agent: Arc<Agent>, link: LinkId, row: RowWrite) {
    let RowWrite { question, key, expected, value } = row;
    let outcome = match serde_json::from_str(&value) {
        Ok(value) => agent.rows.write(key, expected, value).await,
        Err(_) => InsertOutcome::Refused,
    };
    agent.send(link, &ToEntry::RowWritten { question, outcome }).await;
}

async fn note_beat(agent: &Arc<Agent>, link: &Arc<LinkHandle>, beat: EntryHeartbeat) {
    {
        let mut held = agent.held.lock().expect("no panics under the lock");
        for hold in beat.held {
            let revision = held.entry(hold.version).or_default();
            *revision = (*revision).max(hold.revision);
        }
    }
    pull_if_behind(agent, link, beat.revision).await;
}

/// Asks the peer for what is missing, unless another peer was asked just now.
async fn pull_if_behind(agent: &Arc<Agent>, link: &Arc<LinkHandle>, shown: u64) {
    let held = agent.config.revision();
    if shown <= held {
        return;
    }
    if !agent.pulling.try_acquire() {
        return;
    }
    send_control(agent, link, &ToEntry::Pull(held)).await;
}

async fn send_control(agent: &Agent, link: &LinkHandle, frame: &ToEntry) {
    let buf = encode(frame);
    agent.metrics.control_bytes.inc_by(buf.len() as u64);
    let _ = link.tx.send(buf).await;
}

/// Sends heartbeats: on time, and at once when a newer configuration is in force.
pub(super) async fn beat(agent: Arc<Agent>) {
    let mut revision = agent.config.subscribe();
    while !agent.is_dead() {
        tokio::select! {
            () = tokio::time::sleep(agent.settings.heartbeat) => {}
            _ = revision.changed() => {}
        }
        for link in agent.all_links() {
            send_beat(&agent, &link).await;
        }
    }
}

async fn send_beat(agent: &Agent, link: &LinkHandle) {
    let beat = make_beat(agent, link);
    send_control(agent, link, &ToEntry::Beat(beat)).await;
}

fn make_beat(agent: &Agent, link: &LinkHandle) -> AgentHeartbeat {
    let loaded = agent.loaded.lock().expect("no panics under the lock").clone();
    let evidence = agent.evidence.lock().expect("no panics under the lock").all();
    let held = agent.held.lock().expect("no panics under the lock").clone();
    let mut sent = link.sent.lock().expect("no panics under the lock");
    let changed_loaded = if sent.loaded == loaded { None } else { loaded.clone() };
    sent.loaded = loaded;
    // Only versions under roll-out are judged; the evidence of others is not worth its bytes.
    let mut changed = Vec::new();
    for (version, held) in evidence.into_iter().filter(|(_, held)| held.epoch > 0) {
        if sent.evidence.insert(version.clone(), held) != Some(held) {
            changed.push(VersionEvidence { version, epoch: held.epoch, sums: held.sums });
        }
    }
    drop(sent);
    let work = agent.lock_work();
    AgentHeartbeat {
        revision: agent.config.revision(),
        running: work.started as u32,
        queued: work.queue.len() as u32,
        limit: work.limit.get() as u32,
        service_time_us: work.service.as_micros() as u64,
        token_interval_us: work.token.as_micros() as u64,
        prefill_rate: work.prefill as u32,
        starts_seen: link.starts_seen.load(Ordering::Relaxed),
        leaving: agent.is_leaving(),
        unhealthy: work.failures_in_a_row >= dispatch::FAILURES_TO_UNHEALTHY,
        loaded: changed_loaded,
        evidence: changed,
        held: held
            .into_iter()
            .map(|(version, revision)| protocol::HeldVersion { version, revision })
            .collect(),
    }
}

/// Tells all links at once that this server is leaving.
pub(super) fn announce(agent: &Arc<Agent>) {
    for link in agent.all_links() {
        let beat = make_beat(agent, &link);
        let _ = link.tx.try_send(encode(&ToEntry::Beat(beat)));
    }
}
