//! Keeping links to the agents this entry should be linked to.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use futures_util::StreamExt;
use tokio::{runtime::Handle, sync::watch};
use tokio_tungstenite::tungstenite::Message;

use crate::{
    control::membership::{distance_class, relay_agent, select_links},
    entry::{
        Entry, guard,
        link::{AttemptFrame, Link},
    },
    platform::{Host, HostState},
    protocol::{
        self, EntryHeartbeat, EntryLinkStream, FrameSender, ToAgent, ToEntry, decode, encode,
    },
    telemetry::event,
};

const OUTGOING: usize = 1024;
const FIRST_REDIAL: Duration = Duration::from_millis(100);
const LONGEST_REDIAL: Duration = Duration::from_secs(5);

/// Dials hosts that should be linked to and lets go of others.
#[derive(Debug, Default)]
pub(crate) struct Dialer {
    wanted: BTreeMap<Box<str>, watch::Sender<bool>>,
}

impl Dialer {
    /// Brings the set of links in line with the host list.
    pub(crate) fn follow(&mut self, entry: &Arc<Entry>, traffic: &Handle) {
        let hosts = entry.hosts.lock().expect("no panics under the lock").clone();
        let me = entry.as_host();
        let snapshot = entry.config.snapshot();
        let chosen = select_links(&me, &hosts, &snapshot, entry.settings.max_links);
        *entry.relay.lock().expect("no panics under the lock") =
            relay_agent(&me, &hosts).map(|host| host.name.clone());
        let names: BTreeSet<&str> = chosen.iter().map(|host| &*host.name).collect();
        self.wanted.retain(|name, stop| {
            let kept = names.contains(&**name);
            if !kept {
                stop.send_replace(true);
            }
            kept
        });
        for host in chosen {
            if self.wanted.contains_key(&host.name) {
                continue;
            }
            let (stop, stopped) = watch::channel(false);
            self.wanted.insert(host.name.clone(), stop);
            traffic.spawn(keep_link(entry.clone(), host, stopped));
        }
        tell_leaving(entry, traffic, &hosts);
    }
}

/// Tells agents whose hosts the list shows as leaving.
fn tell_leaving(entry: &Arc<Entry>, traffic: &Handle, hosts: &[Host]) {
    let leaving: BTreeSet<&str> =
        hosts.iter().filter(|h| h.state == HostState::Leaving).map(|h| &*h.name).collect();
    for link in entry.all_links() {
        if leaving.contains(&*link.host.name) && link.takes_work() {
            traffic.spawn(async move { link.send(&ToAgent::Leave).await });
        }
    }
}

/// Dials one host again and again until it is no longer wanted.
async fn keep_link(entry: Arc<Entry>, host: Host, mut stopped: watch::Receiver<bool>) {
    let mut pause = FIRST_REDIAL;
    let mut killed = entry.killed.subscribe();
    while !*stopped.borrow() && !entry.is_dead() {
        let key = entry.settings.link_key.as_bytes();
        match protocol::connect(host.address, &entry.peer(), key).await {
            Ok((ws, peer)) => {
                pause = FIRST_REDIAL;
                tokio::select! {
                    () = serve(&entry, &host, ws, peer, stopped.clone()) => {}
                    _ = killed.wait_for(|killed| *killed) => return,
                }
            }
            Err(e) => {
                event::LINK_REFUSED.log(format_args!("agent={} problem={e}", host.name));
            }
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = stopped.wait_for(|stopped| *stopped) => {}
        }
        pause = (pause * 2).min(LONGEST_REDIAL);
    }
}

/// Marks the link as down however its task ends.
struct Closing<'a> {
    entry: &'a Arc<Entry>,
    link: Arc<Link>,
}

impl Drop for Closing<'_> {
    fn drop(&mut self) {
        let name = &self.link.host.name;
        {
            let mut links = self.entry.links.lock().expect("no panics under the lock");
            if links.get(name).is_some_and(|held| Arc::ptr_eq(held, &self.link)) {
                links.remove(name);
            }
        }
        self.entry.rebuild_routes();
        self.link.close();
        self.entry.metrics.links.dec();
        event::LINK_DOWN.log(format_args!("agent={name}"));
    }
}

async fn serve(
    entry: &Arc<Entry>,
    host: &Host,
    ws: EntryLinkStream,
    peer: protocol::Peer,
    stopped: watch::Receiver<bool>,
) {
    let (sink, mut stream) = ws.split();
    let (tx, rx) = FrameSender::channel(OUTGOING);
    let class = distance_class(&entry.as_host(), host);
    let link = Arc::new(Link::new(host.clone(), class, peer, tx));
    entry.links.lock().expect("no panics under the lock").insert(host.name.clone(), link.clone());
    entry.metrics.links.inc();
    event::LINK_UP.log(format_args!("agent={}", host.name));
    let _closing = Closing { entry, link: link.clone() };
    send_beat(entry, &link).await;
    let writer = tokio::spawn(protocol::write_frames(rx, sink));
    let idle_check = Duration::from_millis(200);
    loop {
        // An unwanted link is let go of once its attempts are done.
        if *stopped.borrow() && link.in_flight() == 0 {
            break;
        }
        let message = match tokio::time::timeout(idle_check, stream.next()).await {
            Err(_) => continue,
            Ok(Some(Ok(message))) => message,
            Ok(_) => break,
        };
        let Message::Binary(buf) = message else {
            continue;
        };
        match decode::<ToEntry>(&buf) {
            Ok(frame) => handle_frame(entry, &link, frame).await,
            Err(e) => {
                event::LINK_REFUSED.log(format_args!("agent={} problem={e}", host.name));
                break;
            }
        }
    }
    writer.abort();
}

async fn handle_frame(entry: &Arc<Entry>, link: &Arc<Link>, frame: ToEntry) {
    let (key, frame) = match frame {
        ToEntry::Beat(beat) => return note_beat(entry, link, beat).await,
        ToEntry::Pull(revision) => {
            if let Some(update) = entry.config.update_for(revision) {
                send_control(entry, link, &ToAgent::Config(update)).await;
            }
            return;
        }
        ToEntry::Config(update) => {
            entry.config.apply(update);
            entry.pulling.release();
            return;
        }
        ToEntry::RowWritten { question, outcome } => return link.note_row(question, outcome),
        ToEntry::PinIs { question, version } => return link.answer_question(question, version),
        ToEntry::Refused { key, reason } => (key, AttemptFrame::Refused(reason)),
        ToEntry::Started(key) => (key, AttemptFrame::Started),
        ToEntry::Chunk { key, sequence, payload } => {
            (key, AttemptFrame::Chunk { sequence, payload })
        }
        ToEntry::End { key, count, digest, status, usage, load } => {
            link.note_load(load);
            (key, AttemptFrame::End { count, digest, status, usage })
        }
        ToEntry::Failed { key, problem, status } => (key, AttemptFrame::Failed { problem, status }),
    };
    // Frames of attempts that were given up come late; nobody waits for them.
    link.deliver(key, frame);
}

async fn note_beat(entry: &Arc<Entry>, link: &Arc<Link>, beat: protocol::AgentHeartbeat) {
    for held in &beat.held {
        guard::note_hold(entry, &held.version, held.revision, "told by an agent");
    }
    let revision = beat.revision;
    if link.note_beat(beat) {
        entry.rebuild_routes();
    }
    let held = entry.config.revision();
    if revision <= held {
        return;
    }
    if !entry.pulling.try_acquire() {
        return;
    }
    send_control(entry, link, &ToAgent::Pull(held)).await;
}

async fn send_control(entry: &Entry, link: &Link, frame: &ToAgent) {
    let buf = encode(frame);
    entry.metrics.control_bytes.inc_by(buf.len() as u64);
    link.send_encoded(buf).await;
}

async fn send_beat(entry: &Entry, link: &Link) {
    let snapshot = entry.config.snapshot();
    let held = entry.suspicion.lock().expect("no panics under the lock").all(&snapshot);
    let beat = EntryHeartbeat { revision: entry.config.revision(), held };
    send_control(entry, link, &ToAgent::Beat(beat)).await;
}

/// Sends heartbeats: on time, and at once when a newer configuration is in force.
pub(crate) async fn beat(entry: Arc<Entry>) {
    let mut revision = entry.config.subscribe();
    while !entry.is_dead() {
        tokio::select! {
            () = tokio::time::sleep(entry.settings.heartbeat) => {}
            _ = revision.changed() => entry.rebuild_routes(),
        }
        for link in entry.all_links() {
            send_beat(&entry, &link).await;
        }
    }
}
