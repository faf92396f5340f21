//! From the gate through the queue to the BackendServer.

use std::sync::Arc;

use tokio::runtime::Handle;

use crate::{
    agent::{
        Agent, driver, links,
        state::{LinkId, Pending, Running, Work},
    },
    ids::partner_of,
    policy::{
        attempt::AttemptKey,
        fair_queue::QueuedAttempt,
        gate::{GateDecision, GateView, RefuseReason, is_before_deadline},
        lifecycle::LifecycleEvent,
    },
    protocol::{BackendCall, StartAttempt, ToEntry},
    resources::{BackendKind, Snapshot},
    telemetry::event,
};

/// Failures in a row after which entries are told that the BackendServer is unhealthy.
pub(crate) const FAILURES_TO_UNHEALTHY: u32 = 5;
/// Refusals and frames to send once the lock is released.
type Outbox = Vec<(LinkId, ToEntry)>;

/// Takes an attempt in, or refuses it.
pub(super) async fn offer(agent: &Arc<Agent>, pending: Pending) {
    let outbox = {
        let snapshot = agent.config.snapshot();
        let mut work = agent.lock_work();
        let mut outbox = Outbox::new();
        offer_locked(agent, &snapshot, &mut work, pending, &mut outbox);
        pump(agent, &snapshot, &mut work, &mut outbox);
        outbox
    };
    send_all(agent, outbox).await;
}

fn offer_locked(
    agent: &Agent,
    snapshot: &Snapshot,
    work: &mut Work,
    pending: Pending,
    outbox: &mut Outbox,
) {
    let (key, link) = (pending.start.key, pending.link);
    if let Some(reason) = objection(agent, &pending) {
        let decision = work.gate.refuse(key, reason);
        note_refusal(link, key, decision, outbox);
        return;
    }
    let view = view_of(agent, snapshot, &pending.start);
    match work.gate.offer(key, pending.start.revision, view) {
        GateDecision::Queue => enqueue(snapshot, work, pending, outbox),
        GateDecision::Pull => {
            outbox.push((link, ToEntry::Pull(snapshot.revision)));
            work.behind.push(pending);
        }
        decision => note_refusal(link, key, decision, outbox),
    }
}

/// What stands against an attempt besides the configuration.
fn objection(agent: &Agent, pending: &Pending) -> Option<RefuseReason> {
    if !is_before_deadline(pending.received.elapsed(), pending.start.deadline) {
        return Some(RefuseReason::DeadlinePassed);
    }
    let BackendCall::Chat { version, .. } = &pending.start.call else {
        return None;
    };
    let loaded = agent.loaded.lock().expect("no panics under the lock");
    let missing = loaded.as_ref().is_some_and(|loaded| !loaded.contains(version));
    missing.then_some(RefuseReason::NotLoaded)
}

fn view_of(agent: &Agent, snapshot: &Snapshot, start: &StartAttempt) -> GateView {
    let partner = partner_of(&start.organisation);
    let server = &agent.settings.server;
    let shared = snapshot.server_is_shared(server, partner);
    let (allowed, available) = match &start.call {
        BackendCall::Chat { version, .. } => (
            shared && snapshot.is_allowed(&start.organisation, version),
            snapshot.is_available(version),
        ),
        BackendCall::Service { .. } => {
            let is_service =
                snapshot.servers.get(server).is_some_and(|s| s.kind == BackendKind::Service);
            let known = snapshot.organisations.contains_key(&start.organisation);
            (shared && is_service && known, true)
        }
    };
    GateView { revision: snapshot.revision, allowed, available, leaving: agent.is_leaving() }
}

fn enqueue(snapshot: &Snapshot, work: &mut Work, pending: Pending, outbox: &mut Outbox) {
    let organisation = pending.start.organisation.clone();
    let weight = snapshot.organisations.get(&organisation).map_or(1, |o| o.weight);
    let waiting = QueuedAttempt {
        organisation,
        priority: pending.start.priority,
        cost: pending.start.work.max(1) as f64,
        weight: f64::from(weight),
        item: pending,
    };
    if let Some(dropped) = work.queue.push(waiting) {
        let decision = work.gate.refuse(dropped.start.key, RefuseReason::Full);
        note_refusal(dropped.link, dropped.start.key, decision, outbox);
    }
}

fn note_refusal(link: LinkId, key: AttemptKey, decision: GateDecision, outbox: &mut Outbox) {
    let GateDecision::Refuse(reason) = decision else {
        return;
    };
    event::GATE_REFUSED
        .log(format_args!("request={:032x} attempt={} reason={reason:?}", key.request, key.number));
    outbox.push((link, ToEntry::Refused { key, reason }));
}

/// Starts attempts from the queue while there are places.
fn pump(agent: &Arc<Agent>, snapshot: &Snapshot, work: &mut Work, outbox: &mut Outbox) {
    while work.started < work.limit.get().max(1) {
        let Some(pending) = work.queue.pop() else {
            break;
        };
        let (key, link) = (pending.start.key, pending.link);
        // What could not end in time any more is not begun: the refusal is true, and its place
        // goes to one that can.
        let is_late =
            !is_before_deadline(pending.received.elapsed() + work.service, pending.start.deadline);
        let reason = objection(agent, &pending);
        if let Some(reason) = reason.or(is_late.then_some(RefuseReason::DeadlinePassed)) {
            let decision = work.gate.refuse(key, reason);
            note_refusal(link, key, decision, outbox);
            continue;
        }
        let view = view_of(agent, snapshot, &pending.start);
        match work.gate.take(key, view) {
            GateDecision::Start => {
                work.started += 1;
                let repeatable = pending.start.repeatable;
                let task = tokio::spawn(driver::run(agent.clone(), pending));
                work.running.insert(key, Running { link, repeatable, abort: task.abort_handle() });
            }
            decision => note_refusal(link, key, decision, outbox),
        }
    }
    agent.metrics.in_flight.set(work.started as i64);
    agent.metrics.queued.set(work.queue.len() as i64);
}

/// Notes that an attempt has ended and lets the next one start.
pub(super) async fn ended(agent: &Arc<Agent>, key: AttemptKey, was_reached: bool) -> bool {
    let (outbox, taken_back) = {
        let snapshot = agent.config.snapshot();
        let mut work = agent.lock_work();
        let taken_back = !was_reached && work.gate.revert_start(key) != GateDecision::Ignore;
        work.gate.end(key);
        if work.running.remove(&key).is_some() {
            work.started -= 1;
        }
        let mut outbox = Outbox::new();
        pump(agent, &snapshot, &mut work, &mut outbox);
        (outbox, taken_back)
    };
    send_all(agent, outbox).await;
    taken_back
}

/// Stops an attempt; one that has not started is refused for good.
pub(super) async fn cancel(agent: &Arc<Agent>, link: LinkId, key: AttemptKey) {
    let outbox = {
        let snapshot = agent.config.snapshot();
        let mut work = agent.lock_work();
        let mut outbox = Outbox::new();
        let decision = work.gate.refuse(key, RefuseReason::Cancelled);
        note_refusal(link, key, decision, &mut outbox);
        work.queue.remove_if(|pending| pending.start.key == key);
        work.behind.retain(|pending| pending.start.key != key);
        abort(&mut work, key);
        pump(agent, &snapshot, &mut work, &mut outbox);
        outbox
    };
    send_all(agent, outbox).await;
}

fn abort(work: &mut Work, key: AttemptKey) {
    if let Some(running) = work.running.remove(&key) {
        running.abort.abort();
        work.started -= 1;
        work.gate.end(key);
    }
}

/// Settles what a link that went away has left here.
///
/// Waiting attempts are refused, so that none starts for nobody. Running ones are stopped,
/// except those that may run only once: they run to their end, which is what was asked for.
pub(super) fn link_lost(agent: &Arc<Agent>, link: LinkId) {
    let snapshot = agent.config.snapshot();
    let mut work = agent.lock_work();
    let mut gone = work.queue.remove_if(|pending| pending.link == link);
    let behind = std::mem::take(&mut work.behind);
    let (lost, kept): (Vec<_>, Vec<_>) = behind.into_iter().partition(|p| p.link == link);
    work.behind = kept;
    gone.extend(lost);
    for pending in gone {
        work.gate.refuse(pending.start.key, RefuseReason::Cancelled);
    }
    let stopped = work.running.iter().filter(|(_, r)| r.link == link && r.repeatable);
    let stopped: Vec<AttemptKey> = stopped.map(|(key, _)| *key).collect();
    for key in stopped {
        abort(&mut work, key);
    }
    let mut outbox = Outbox::new();
    pump(agent, &snapshot, &mut work, &mut outbox);
    drop(work);
    let agent = agent.clone();
    tokio::spawn(async move { send_all(&agent, outbox).await });
}

/// Begins the planned stop: what waits is handed back as not run, what runs goes on.
pub(super) fn leave(agent: &Arc<Agent>) {
    if agent.is_leaving() {
        return;
    }
    agent.advance(LifecycleEvent::Leave);
    event::PROCESS_LEAVING.log(format_args!("role=agent server={}", agent.settings.server));
    let mut outbox = Outbox::new();
    {
        let mut work = agent.lock_work();
        let mut waiting = work.queue.remove_if(|_| true);
        waiting.append(&mut work.behind);
        for pending in waiting {
            let decision = work.gate.refuse(pending.start.key, RefuseReason::Leaving);
            note_refusal(pending.link, pending.start.key, decision, &mut outbox);
        }
    }
    links::announce(agent);
    let agent = agent.clone();
    tokio::spawn(async move { send_all(&agent, outbox).await });
}

/// Offers attempts again that waited for a newer configuration, and drops holds it ended.
pub(super) async fn follow_config(agent: Arc<Agent>, traffic: Handle) {
    let mut revision = agent.config.subscribe();
    while !agent.is_dead() {
        if revision.changed().await.is_err() {
            return;
        }
        agent.advance(LifecycleEvent::Ready);
        forget_ended_holds(&agent);
        let waiting = std::mem::take(&mut agent.lock_work().behind);
        let agent = agent.clone();
        traffic.spawn(async move {
            for pending in waiting {
                offer(&agent, pending).await;
            }
        });
    }
}

fn forget_ended_holds(agent: &Agent) {
    let snapshot = agent.config.snapshot();
    let mut held = agent.held.lock().expect("no panics under the lock");
    held.retain(|version, revision| {
        let roll_out = snapshot.roll_out_of(crate::ids::model_of(version));
        roll_out.is_some_and(|(id, _)| {
            let changed =
                snapshot.object_revisions.get(&(crate::resources::Kind::RollOut, id.clone()));
            changed.is_none_or(|changed| changed <= revision)
        })
    });
}

async fn send_all(agent: &Agent, outbox: Outbox) {
    for (link, frame) in outbox {
        agent.send(link, &frame).await;
    }
}
