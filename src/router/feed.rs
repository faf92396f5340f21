//! Following the platform's store: configuration, servers, and what was said about roll-outs.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    ids::Revision,
    platform::{
        documents::{
            OperatorChange, read_operator_row, read_server, read_status, service_of_status,
            status_key, write_status,
        },
        store::{Feed, Put, Row, Rows, StoreClient, Table, WriteOutcome},
    },
    policy::lifecycle::LifecycleEvent,
    router::{Router, roll_out::Verdict},
    routing::{BackendServer, Progress, RollOutOrder, RollOutStatus, RoutingTable},
    telemetry::event,
};

/// Part of the time in which a host has to have caught up that a feed leaves for the call after
/// it: a call whose answer is lost shows only when its wait is over.
const CATCH_UP: Duration = Duration::from_millis(1_000);
/// Pause after changes of orders, so that a burst of them takes few calls: each is paid for, and
/// a configuration has two seconds to be in force.
const COALESCE_ORDERS: Duration = Duration::from_millis(250);
/// The same for servers, which come and leave one by one; a leaving one may get requests for two
/// seconds more.
const COALESCE_SERVERS: Duration = Duration::from_millis(800);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(250);
/// Time after the store's return in which a missing server may still come back: just under the
/// 2 s in which a server that is gone must get no more requests.
const RETURN_TIME: Duration = Duration::from_millis(1_900);
/// Time between looks at what this entry can say about roll-outs.
const DRIVE_EVERY: Duration = Duration::from_millis(200);
/// Rest after a verdict that could not be written: each call is paid for, and this entry already
/// keeps to its verdict.
const VERDICT_REST: Duration = Duration::from_secs(1);
/// Such looks between reads of what other entries said: a bad version may get requests for 5 s
/// after its fiftieth bad answer, and each entry finds it on its own, too.
const DRIVES_PER_LOOK: u32 = 8;

/// Whether the store answers, for events and for judging removals.
#[derive(Debug, Default)]
struct Contact {
    is_lost: bool,
    back_at: Option<Duration>,
}

impl Contact {
    fn note_answer(&mut self, table: Table, now: Duration) {
        if self.is_lost {
            self.is_lost = false;
            self.back_at = Some(now);
            event::STORE_BACK.log(format_args!("table={table:?}"));
        }
    }

    fn note_failure(&mut self, router: &Router, table: Table, cause: &str) {
        router.metrics.count_store_error("follow");
        router.views.note_lost(table);
        if !self.is_lost {
            self.is_lost = true;
            event::STORE_UNREACHABLE.log(format_args!("table={table:?} cause=\"{cause}\""));
        }
    }

    /// Until when a server that is removed now may come back: its row may only have lapsed while
    /// the store was away. None when removals are sure.
    fn doubtful_until(&self, now: Duration) -> Option<Duration> {
        self.back_at.map(|back| back + RETURN_TIME).filter(|until| now < *until)
    }
}

/// Follows a table for ever; `apply` gets all rows first and then what changed.
async fn follow(
    router: &Router,
    store: &StoreClient,
    table: Table,
    mut apply: impl FnMut(Rows, bool, &Contact),
) {
    let mut contact = Contact::default();
    let mut at: Option<Revision> = None;
    loop {
        router.metrics.count_store_call("follow");
        let news = ask_store(router, store, table, at, contact.is_lost).await;
        let (rows, is_whole) = match news {
            Ok(News::Rows(rows, is_whole)) => {
                contact.note_answer(table, router.now());
                router.views.note_answer(table, router.now());
                (rows, is_whole)
            }
            Ok(News::HistoryGone) => {
                at = None;
                continue;
            }
            Err(e) => {
                contact.note_failure(router, table, &e.to_string());
                sleep(PAUSE).await;
                let Some(view) = router.views.take_offer(table) else {
                    continue;
                };
                (view.into_rows(), true)
            }
        };
        at = Some(rows.version);
        router.views.note(table, &rows, is_whole);
        let has_news = !rows.rows.is_empty();
        apply(rows, is_whole, &contact);
        if has_news && !contact.is_lost {
            let is_servers = table == Table::Servers;
            sleep(if is_servers { COALESCE_SERVERS } else { COALESCE_ORDERS }).await;
        }
    }
}

/// What is new about a table.
enum News {
    /// Rows of the store: all of them, or those that changed.
    Rows(Rows, bool),
    /// The table has to be read anew.
    HistoryGone,
}

async fn ask_store(
    router: &Router,
    store: &StoreClient,
    table: Table,
    at: Option<Revision>,
    is_lost: bool,
) -> crate::platform::Result<News> {
    let Some(after) = at else {
        return Ok(News::Rows(store.read(table).await?, true));
    };
    // A store that was lost is asked without waiting, so that its return shows at once.
    let catch_up = router.settings.load().catch_up;
    let wait = if is_lost { Duration::ZERO } else { catch_up.saturating_sub(CATCH_UP) };
    Ok(match store.follow(table, after, wait).await? {
        Feed::Changes(rows) => News::Rows(rows, false),
        Feed::HistoryGone => News::HistoryGone,
    })
}

/// Follows the operator's orders.
pub(crate) async fn follow_orders(router: &Router, store: &StoreClient) {
    follow(router, store, Table::Orders, |rows, is_whole, _| {
        if is_whole {
            withdraw_missing(router, &rows);
        }
        for row in &rows.rows {
            match read_operator_row(row) {
                Ok(Some(change)) => apply_change(router, change),
                Ok(None) => {}
                Err(e) => event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"{e}\"")),
            }
        }
    })
    .await;
}

/// Withdraws the roll-outs whose orders are not among all rows.
fn withdraw_missing(router: &Router, rows: &Rows) {
    for order in router.roll_outs.orders() {
        let key = status_key(&order.service);
        if !rows.rows.iter().any(|row| row.key == key) {
            router.roll_outs.withdraw(&order.service);
        }
    }
}

fn apply_change(router: &Router, change: OperatorChange) {
    match change {
        OperatorChange::Configuration(table) => put_in_force(router, *table),
        OperatorChange::RollOut(order) => {
            let told =
                format!("service={} to={} within={:?}", order.service, order.to, order.within);
            if router.roll_outs.order(order, router.now()) {
                event::ROLL_OUT_ORDERED.log(format_args!("{told}"));
                note_versions(router);
            }
        }
        OperatorChange::RollOutWithdrawn(service) => router.roll_outs.withdraw(&service),
    }
}

/// Puts a configuration in force if it is newer than the one that is.
pub(crate) fn put_in_force(router: &Router, table: RoutingTable) {
    let current = router.table.load().as_ref().as_ref().map_or(0, |t| t.version);
    let version = table.version;
    if version < current {
        event::CONFIG_OLDER_SHOWN.log(format_args!("shown={version} in_force={current}"));
        return;
    }
    if version == current {
        return;
    }
    router.metrics.revision.set(i64::try_from(version).unwrap_or(i64::MAX));
    router.table.store(Arc::new(Some(table)));
    event::CONFIG_ADVANCED.log(format_args!("version={version} before={current}"));
    if current == 0 {
        router.advance(LifecycleEvent::Ready);
        event::PROCESS_READY.log(format_args!("version={version}"));
    }
}

/// The servers listed, and those missing since the store came back.
#[derive(Debug, Default)]
struct Listing {
    servers: HashMap<Box<str>, BackendServer>,
    /// Servers that may come back until this time.
    missing: HashMap<Box<str>, Duration>,
}

impl Listing {
    fn apply(&mut self, rows: &Rows, is_whole: bool, doubtful_until: Option<Duration>) {
        if is_whole {
            let listed: Vec<&str> = rows.rows.iter().map(|row| &*row.key).collect();
            let gone: Vec<Box<str>> =
                self.servers.keys().filter(|id| !listed.contains(&&***id)).cloned().collect();
            for id in gone {
                self.remove(&id, doubtful_until);
            }
        }
        for row in &rows.rows {
            if row.is_removed {
                self.remove(&row.key, doubtful_until);
            } else {
                self.put(row);
            }
        }
    }

    fn put(&mut self, row: &Row) {
        match read_server(row) {
            Ok(server) => {
                self.missing.remove(&server.id);
                self.servers.insert(server.id.clone(), server);
            }
            Err(e) => event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"{e}\"")),
        }
    }

    fn remove(&mut self, id: &str, doubtful_until: Option<Duration>) {
        let is_leaving = self.servers.get(id).is_none_or(|server| server.is_leaving);
        match doubtful_until {
            Some(until) if !is_leaving => {
                self.missing.entry(id.into()).or_insert(until);
            }
            _ => {
                self.missing.remove(id);
                self.servers.remove(id);
            }
        }
    }

    /// Drops servers that did not come back in time; whether there were any.
    fn expire(&mut self, now: Duration) -> bool {
        let before = self.servers.len();
        self.servers.retain(|id, _| self.missing.get(id).is_none_or(|until| now < *until));
        self.missing.retain(|_, until| now < *until);
        self.servers.len() != before
    }
}

/// Follows the list of servers.
pub(crate) async fn follow_servers(router: &Router, store: &StoreClient) {
    let listing = std::sync::Mutex::new(Listing::default());
    let apply = |rows: Rows, is_whole: bool, contact: &Contact| {
        let mut listing = listing.lock().expect("no panics under the lock");
        listing.apply(&rows, is_whole, contact.doubtful_until(router.now()));
        if is_whole || !rows.rows.is_empty() {
            publish(router, &listing);
        }
    };
    let expire = async {
        loop {
            sleep(PAUSE).await;
            let mut listing = listing.lock().expect("no panics under the lock");
            if listing.expire(router.now()) {
                publish(router, &listing);
            }
        }
    };
    tokio::join!(follow(router, store, Table::Servers, apply), expire);
}

fn publish(router: &Router, listing: &Listing) {
    let next = router.fleet.load().with(listing.servers.values().cloned());
    event::SERVERS_CHANGED.log(format_args!("servers={}", next.len()));
    router.fleet.store(Arc::new(next));
    note_versions(router);
}

fn note_versions(router: &Router) {
    let fleet = router.fleet.load();
    for order in router.roll_outs.running() {
        for member in fleet.of_service(&order.service) {
            router.roll_outs.note_servers(&order.service, &member.server.version);
        }
    }
}

/// Our own row about a roll-out.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RollOutRow {
    /// Order it is about.
    revision: Revision,
    /// When it began, on the store's clock.
    began_ms: u64,
}

/// What is known of the store's rows about roll-outs.
#[derive(Debug, Default)]
struct Told {
    /// Versions of the rows, 0 where there is none.
    status: HashMap<Box<str>, (Revision, RollOutStatus)>,
    own: HashMap<Box<str>, (Revision, RollOutRow)>,
}

impl Told {
    fn note(&mut self, row: &Row) {
        let Some(service) = service_of_status(&row.key) else {
            return;
        };
        if row.is_removed {
            return;
        }
        match row.table {
            Table::Status => match read_status(row) {
                Ok(status) => {
                    self.status.insert(service.into(), (row.version, status));
                }
                Err(e) => event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"{e}\"")),
            },
            Table::Own => match serde_json::from_slice(&row.value) {
                Ok(own) => {
                    self.own.insert(service.into(), (row.version, own));
                }
                Err(e) => event::DOCUMENT_UNREADABLE.log(format_args!("cause=\"{e}\"")),
            },
            _ => {}
        }
    }

    /// Progress the store tells of an order; none when it has not been begun.
    fn progress(&self, order: &RollOutOrder) -> Option<(Progress, u64)> {
        let (_, own) = self.own.get(&order.service)?;
        if own.revision != order.revision {
            return None;
        }
        let (_, status) = self.status.get(&order.service)?;
        Some((status.progress, own.began_ms))
    }

    fn own_version(&self, service: &str) -> Revision {
        self.own.get(service).map_or(0, |(version, _)| *version)
    }

    fn status_version(&self, service: &str) -> Revision {
        self.status.get(service).map_or(0, |(version, _)| *version)
    }
}

/// Drives roll-outs: notes their begin in the store, gives verdicts and learns of others'.
pub(crate) async fn drive_roll_outs(router: &Router, store: &StoreClient) {
    let mut told = Told::default();
    let mut seen: HashMap<Box<str>, Revision> = HashMap::new();
    let mut drives = 0;
    let mut rest_until = Duration::ZERO;
    loop {
        sleep(DRIVE_EVERY).await;
        drives += 1;
        if drives % DRIVES_PER_LOOK == 0 {
            learn_verdicts(router, store, &mut told, &seen).await;
        }
        for order in router.roll_outs.running() {
            if seen.get(&order.service) == Some(&order.revision) {
                continue;
            }
            match begin(router, store, &mut told, &order).await {
                Ok(()) => {
                    seen.insert(order.service.clone(), order.revision);
                }
                // The feeds tell of a store that is away; it is tried again at the next look.
                Err(_) => router.metrics.count_store_error("roll_out"),
            }
        }
        if router.now() < rest_until {
            continue;
        }
        for verdict in router.roll_outs.verdicts(router.now()) {
            if let Err(e) = give(router, store, &mut told, &verdict).await {
                rest_until = router.now() + VERDICT_REST;
                event::VERDICT_WAITS
                    .log(format_args!("service={} cause=\"{e}\"", verdict.order.service));
            }
        }
    }
}

/// Learns what other entries said about the roll-outs that are under way.
async fn learn_verdicts(
    router: &Router,
    store: &StoreClient,
    told: &mut Told,
    seen: &HashMap<Box<str>, Revision>,
) {
    let mut running = router.roll_outs.running();
    running.retain(|order| seen.get(&order.service) == Some(&order.revision));
    if running.is_empty() {
        return;
    }
    router.metrics.count_store_call("status");
    match store.read(Table::Status).await {
        Ok(rows) => {
            rows.rows.iter().for_each(|row| told.note(row));
            running.iter().for_each(|order| take_over(router, told, order, rows.now));
        }
        // The feeds tell of a store that is away; the next look comes soon.
        Err(_) => router.metrics.count_store_error("status"),
    }
}

/// Reads what the store has about roll-outs and, if nothing about this one, writes its begin.
async fn begin(
    router: &Router,
    store: &StoreClient,
    told: &mut Told,
    order: &RollOutOrder,
) -> crate::platform::Result<()> {
    let now = look(store, told).await?;
    if told.progress(order).is_none() {
        let row = RollOutRow { revision: order.revision, began_ms: now.as_millis() as u64 };
        let status = RollOutStatus { to: order.to.clone(), progress: Progress::Running };
        let key = status_key(&order.service);
        let puts = [
            Put {
                table: Table::Own,
                key: key.clone(),
                expected: told.own_version(&order.service),
                value: serde_json::to_vec(&row).expect("a row of numbers can be written"),
            },
            Put {
                table: Table::Status,
                key,
                expected: told.status_version(&order.service),
                value: write_status(&status),
            },
        ];
        let outcome = store.write(&puts).await?;
        event::ROLL_OUT_BEGUN.log(format_args!("service={} outcome={outcome:?}", order.service));
        look(store, told).await?;
    }
    take_over(router, told, order, now);
    Ok(())
}

async fn look(store: &StoreClient, told: &mut Told) -> crate::platform::Result<Duration> {
    let own = store.read(Table::Own).await?;
    let status = store.read(Table::Status).await?;
    own.rows.iter().chain(&status.rows).for_each(|row| told.note(row));
    Ok(status.now)
}

/// Takes over what the store tells of an order.
fn take_over(router: &Router, told: &Told, order: &RollOutOrder, store_now: Duration) {
    let Some((progress, began_ms)) = told.progress(order) else {
        return;
    };
    let age = store_now.saturating_sub(Duration::from_millis(began_ms));
    let began = router.now().saturating_sub(age);
    router.roll_outs.adopt(&order.service, order.revision, Some(began), progress);
}

/// Writes a verdict, unless another entry has given one.
async fn give(
    router: &Router,
    store: &StoreClient,
    told: &mut Told,
    verdict: &Verdict,
) -> crate::platform::Result<()> {
    let order = &verdict.order;
    let put = Put {
        table: Table::Status,
        key: status_key(&order.service),
        expected: told.status_version(&order.service),
        value: write_status(&verdict.status),
    };
    let outcome = store.write(&[put]).await?;
    event::ROLL_OUT_MOVED.log(format_args!(
        "service={} progress={:?} outcome={outcome:?}",
        order.service, verdict.status.progress
    ));
    match outcome {
        WriteOutcome::Written(_) => {
            let progress = verdict.status.progress;
            router.roll_outs.adopt(&order.service, order.revision, None, progress);
        }
        WriteOutcome::Conflict(_) => {
            let now = look(store, told).await?;
            take_over(router, told, order, now);
        }
    }
    Ok(())
}
