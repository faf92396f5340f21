//! Running a scenario: traffic, changes and faults side by side, then the check.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr};
use tokio::task::JoinSet;

use crate::{
    ids::{VersionId, parse_id},
    load::{
        Baseline, Broken, Client, Kind, Record, Report, Scenario,
        audit::{Charged, read_charges},
        faults::FaultState,
        scenario::{ChangeSpec, FaultKind},
        traffic::{Arrival, arrivals},
    },
    local::LocalSystem,
    resources::Kind as ObjectKind,
    standin::{engine::text, ratings::POOR_MARK},
};

/// Time answers get after the last arrival.
const DRAIN: Duration = Duration::from_secs(30);
/// Time a withdrawal may take to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(10);

/// Everything seen in one run.
struct Run {
    records: Vec<Record>,
    charged: Charged,
    changes: Vec<ChangeSeen>,
    sent: usize,
}

/// A change as the operator saw it.
struct ChangeSeen {
    id: Box<str>,
    kind: ObjectKind,
    accepted: Vec<u64>,
    at: Duration,
}

/// Runs a scenario on a system of its own and reports.
///
/// # Errors
/// When the system can't be started.
pub async fn run(scenario: &Scenario, baseline: Baseline) -> Result<Report> {
    let system = LocalSystem::start(scenario.fleet(baseline)).await.wrap_err("starting")?;
    let system = Arc::new(system);
    let began = Instant::now();
    let clients: Vec<Client> = system.urls.iter().map(|(url, _)| Client::new(url)).collect();
    let events = tokio::spawn(cause_events(system.clone(), scenario.clone(), began));
    let records = send_all(scenario, &clients, began).await;
    let changes = events.await.unwrap_or_default();
    let charged = read_charges(&system).await?;
    let sent = records.len();
    let run = Run { records, charged, changes, sent };
    let mut report = Report::new(scenario, baseline, &run.records);
    report.broken = check(&system, &run);
    report.note_system(&system, &run.charged.totals, run.sent);
    if let Ok(system) = Arc::try_unwrap(system) {
        system.stop().await;
    }
    Ok(report)
}

async fn send_all(scenario: &Scenario, clients: &[Client], began: Instant) -> Vec<Record> {
    let mut all: Vec<Arrival> = Vec::new();
    for (number, stream) in scenario.streams.iter().enumerate() {
        all.extend(arrivals(stream, number, scenario.seed, scenario.duration_s));
    }
    all.sort_by_key(|arrival| arrival.at);
    let mut tasks = JoinSet::new();
    // What is checked of a doubled request is how often it ran, not its second answer.
    let mut twins = JoinSet::new();
    for (i, arrival) in all.into_iter().enumerate() {
        tokio::time::sleep_until((began + arrival.at).into()).await;
        let client = clients[i % clients.len()].clone();
        if arrival.doubled {
            let (other, twin) = (clients[(i + 1) % clients.len()].clone(), arrival.clone());
            twins.spawn(async move { drop(send_one(&other, twin).await) });
        }
        tasks.spawn(async move { send_one(&client, arrival).await });
    }
    let mut records = Vec::new();
    let until = tokio::time::Instant::now() + DRAIN;
    while let Ok(Some(done)) = tokio::time::timeout_at(until, tasks.join_next()).await {
        records.extend(done.ok());
    }
    records.sort_by_key(|record| record.sent);
    records
}

async fn send_one(client: &Client, arrival: Arrival) -> Record {
    let Arrival { at, organisation, kind, call, mark, .. } = arrival;
    let outcome = match kind {
        Kind::ServiceOnce => {
            let partner = crate::ids::partner_of(&organisation);
            let path = format!("{partner}%2Fconfirm/orders");
            let body = mark.to_string().into();
            let service = client.service(&call.key, &path, Some(&mark), body).await;
            crate::load::ChatOutcome {
                status: service.status,
                code: service.code,
                request: service.request,
                text: service.body.into(),
                ..Default::default()
            }
        }
        _ => client.chat(&call).await,
    };
    let text_is_right = match kind {
        Kind::ServiceOnce => outcome.text.contains(&*mark),
        _ => {
            text::is_answer(&call.prompt(), &outcome.version, call.max_tokens, &outcome.text)
                || outcome.replayed
        }
    };
    let is_poor = outcome.text.contains(POOR_MARK);
    let session = call.session.clone();
    Record { sent: at, kind, organisation, session, mark, text_is_right, is_poor, outcome }
}

/// Makes the changes and causes the faults when they are due.
async fn cause_events(
    system: Arc<LocalSystem>,
    scenario: Scenario,
    began: Instant,
) -> Vec<ChangeSeen> {
    enum Due {
        Change(usize),
        Begin(usize),
        End(usize),
    }
    let mut due: Vec<(f64, Due)> = Vec::new();
    due.extend(scenario.changes.iter().enumerate().map(|(i, c)| (c.at_s, Due::Change(i))));
    for (i, fault) in scenario.faults.iter().enumerate() {
        due.push((fault.at_s, Due::Begin(i)));
        if let Some(time) = fault.for_s {
            due.push((fault.at_s + time, Due::End(i)));
        }
    }
    due.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut state = FaultState::default();
    let mut seen = Vec::new();
    for (at, event) in due {
        tokio::time::sleep_until((began + Duration::from_secs_f64(at)).into()).await;
        match event {
            Due::Change(i) => seen.push(make_change(&system, &scenario.changes[i], began).await),
            Due::Begin(i) => state.apply(&system, &scenario.faults[i], true),
            Due::End(i) => state.apply(&system, &scenario.faults[i], false),
        }
    }
    seen
}

async fn make_change(system: &LocalSystem, change: &ChangeSpec, began: Instant) -> ChangeSeen {
    let spec = serde_json::to_value(&change.spec).unwrap_or_default();
    let put = || system.put(change.kind, &change.id, &spec);
    let replies = if change.raced {
        let (a, b) = tokio::join!(put(), put());
        vec![a, b]
    } else {
        vec![put().await]
    };
    let accepted = replies.into_iter().flatten().filter_map(|r| r["revision"].as_u64()).collect();
    ChangeSeen { id: change.id.clone(), kind: change.kind, accepted, at: began.elapsed() }
}

/// Compares what callers saw with what backends and stores hold.
fn check(system: &LocalSystem, run: &Run) -> Broken {
    let mut broken = Broken::default();
    check_answers(system, run, &mut broken);
    check_charges(run, &mut broken);
    check_sessions(run, &mut broken);
    check_changes(system, run, &mut broken);
    broken
}

fn check_answers(system: &LocalSystem, run: &Run, broken: &mut Broken) {
    let mut executions: BTreeMap<Box<str>, u64> = BTreeMap::new();
    for service in system.services.values() {
        for (body, count) in service.calls() {
            let mark = String::from_utf8_lossy(&body).into();
            *executions.entry(mark).or_default() += count;
        }
    }
    broken.ran_twice = executions.values().filter(|count| **count > 1).count() as u64;
    for record in &run.records {
        if record.is_answered() && !record.text_is_right {
            broken.wrong_answers += 1;
        }
        let said_not_run = ["not_run", "overloaded", "withdrawn"].contains(&&*record.outcome.code);
        if said_not_run && executions.contains_key(&record.mark) {
            broken.false_not_run += 1;
        }
    }
}

fn check_charges(run: &Run, broken: &mut Broken) {
    for record in &run.records {
        let Some(request) = record.outcome.request.as_deref().and_then(parse_id) else {
            continue;
        };
        let is_charged = run.charged.requests.contains(&request);
        if record.is_answered() && !record.outcome.replayed && !is_charged {
            broken.not_charged += 1;
        }
        if &*record.outcome.code == "not_run" && is_charged {
            broken.charged_not_run += 1;
        }
    }
    let billed: u64 = run.charged.totals.values().map(|totals| totals.requests).sum();
    broken.charged_twice = billed.saturating_sub(run.charged.settled as u64);
}

/// A session may change its version only when its version was withdrawn.
fn check_sessions(run: &Run, broken: &mut Broken) {
    let withdrawn: BTreeSet<&str> = run
        .changes
        .iter()
        .filter(|change| change.kind == ObjectKind::Version && !change.accepted.is_empty())
        .map(|change| &*change.id)
        .collect();
    let mut seen: BTreeMap<[Box<str>; 3], VersionId> = BTreeMap::new();
    for record in &run.records {
        let (Some(session), Some(version)) = (&record.session, record.version()) else {
            continue;
        };
        let model = crate::ids::model_of(version).into();
        let key = [record.organisation.clone(), session.clone(), model];
        if let Some(earlier) = seen.insert(key, version.clone())
            && earlier != *version
            && !withdrawn.contains(&*earlier)
        {
            broken.sessions_moved += 1;
        }
    }
    for change in run.changes.iter().filter(|change| withdrawn.contains(&*change.id)) {
        let late = run.records.iter().filter(|record| {
            record.sent > change.at + IN_FORCE && record.version().is_some_and(|v| *v == change.id)
        });
        broken.ran_withdrawn += late.count() as u64;
    }
}

/// Every accepted change is in force at every process, and of a race only one was accepted.
fn check_changes(system: &LocalSystem, run: &Run, broken: &mut Broken) {
    let newest = run.changes.iter().flat_map(|change| &change.accepted).max().copied();
    let Some(newest) = newest else { return };
    let entries = system.entries.lock().expect("no panics under the lock");
    let behind = entries.iter().flatten().filter(|e| e.entry.config.revision() < newest).count();
    let agents = system.agents.lock().expect("no panics under the lock");
    let agents_behind = agents.values().filter(|a| a.agent.config.revision() < newest).count();
    let raced = run.changes.iter().filter(|change| change.accepted.len() > 1).count();
    broken.changes_lost = (behind + agents_behind + raced) as u64;
}

/// When a version turned bad in a scenario, if it did.
pub(super) fn turned_bad(scenario: &Scenario) -> Option<(VersionId, f64)> {
    let is_bad = |kind| matches!(kind, FaultKind::VersionFails | FaultKind::VersionPoor);
    let fault = scenario.faults.iter().find(|fault| is_bad(fault.kind))?;
    Some((fault.target.clone(), fault.at_s))
}
