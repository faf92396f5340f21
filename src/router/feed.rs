//! Following a table of the platform's store, by its own answers or by those that another entry passes on.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::{
    ids::{Era, StoreVersion},
    platform::{
        documents::is_configuration,
        store::{Feed, Rows, StoreClient, Table},
    },
    policy::catch_up::{Offer, Position, Taking},
    router::{
        Router,
        restore::{self, Extent},
        table_views::TableUpdate,
    },
    telemetry::event,
};

/// Part of the time in which a host has to have caught up that a feed leaves for the call after
/// it: a call whose answer is lost shows only when its wait is over.
const CATCH_UP_MARGIN: Duration = Duration::from_millis(1_000);
/// Pause after changes of orders, so that a burst of them takes few calls: each is paid for, and
/// a configuration has two seconds to be in force.
const ORDERS_COALESCE_PAUSE: Duration = Duration::from_millis(250);
/// The same for servers, which come and leave one by one; a leaving one may get requests for two
/// seconds more.
const SERVERS_COALESCE_PAUSE: Duration = Duration::from_millis(800);
/// Wait of a feed that other entries follow: what keeps it from the store must show soon enough for
/// them to ask the store themselves while a new configuration still has time.
const WAIT_WITH_FOLLOWERS: Duration = Duration::from_millis(1_000);
/// Pause after a call that failed.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The same for an entry that follows another one, which reports the store's return: in an outage
/// of several seconds, 32 entries that asked four times a second made a third of a day's calls.
const FOLLOWER_RETRY_PAUSE: Duration = Duration::from_millis(2_000);
/// Time an entry that has read all rows waits for a link before it asks the store for changes; a
/// link to a running seed takes a few round trips, one to a seed that starts too under a second.
const LINK_WAIT_AFTER_READ: Duration = Duration::from_millis(1_000);
/// Time an entry that starts waits for another one to report what the store says, before it asks the
/// store itself, while callers wait: a link to a running seed takes a few round trips, and callers wait
/// half a second at most.
const FIRST_LINK_WAIT: Duration = Duration::from_millis(250);
/// The same while no caller waits: seeds that start too, late and on small hosts, have read their tables
/// by then.
const IDLE_FIRST_LINK_WAIT: Duration = Duration::from_millis(1_000);
/// Time between looks at whether a caller waits.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time an entry whose link has just ended waits for another one before it asks the store: another seed
/// answers within a round trip or two, and a new configuration still has time.
const RELINK_WAIT: Duration = Duration::from_millis(300);
/// Time after the store's return in which a missing server may still come back: just under the
/// 2 s in which a server that is gone must get no more requests.
const RETURN_WINDOW: Duration = Duration::from_millis(1_900);
/// Whether the store answers, for events and for judging removals.
#[derive(Debug, Default)]
pub(super) struct StoreReachability {
    is_lost: bool,
    reachable_since: Option<Duration>,
}

impl StoreReachability {
    fn record_answer(&mut self, table: Table, now: Duration) {
        if self.is_lost {
            self.is_lost = false;
            self.reachable_since = Some(now);
            event::STORE_BACK.log(format_args!("table={table:?}"));
        }
    }

    /// Notes that the store came back from an older copy: rows written since are written again.
    fn record_restored(&mut self, table: Table, era: Era, now: Duration) {
        self.reachable_since = Some(now);
        event::STORE_RESTORED.log(format_args!("table={table:?} era={era}"));
    }

    fn record_failure(&mut self, router: &Router, table: Table, cause: &str) {
        router.metrics.count_store_error("follow");
        router.views.record_failure(table);
        if !self.is_lost {
            self.is_lost = true;
            event::STORE_UNREACHABLE.log(format_args!("table={table:?} cause=\"{cause}\""));
        }
    }

    /// Until when a server that is removed now may come back: its row may only have lapsed while
    /// the store was away. None when removals are sure.
    pub(super) fn removals_uncertain_until(&self, now: Duration) -> Option<Duration> {
        self.reachable_since.map(|back| back + RETURN_WINDOW).filter(|until| now < *until)
    }
}

/// A table that is followed.
struct FollowedTable {
    table: Table,
    position: Position,
    reachability: StoreReachability,
}

impl FollowedTable {
    /// Takes in rows that are shown, as far as they are newer than what is known, and hands them on to what they
    /// are for; false where they are older than what another entry reported.
    fn apply_rows(
        &mut self,
        router: &Router,
        mut rows: Rows,
        offer: Offer,
        apply: &mut impl FnMut(Rows, Extent, &StoreReachability),
    ) -> bool {
        let known = self.position.at;
        let extent = match self.position.taking(&offer) {
            Taking::Nothing => return Some(offer.version.era) >= self.position.era,
            Taking::Configuration => {
                rows.rows.retain(|row| is_configuration(&row.key));
                apply(rows, Extent::Changes, &self.reachability);
                return true;
            }
            Taking::Changes => Extent::Changes,
            Taking::Whole => Extent::Whole,
            Taking::Restored => Extent::Restored,
        };
        self.position.advance(offer.version);
        if extent == Extent::Changes {
            // A removal may carry no version of its own.
            rows.rows.retain(|row| row.version == 0 || Some(row.written_at()) > known);
        }
        let is_restored = extent == Extent::Restored;
        if is_restored {
            self.reachability.record_restored(self.table, offer.version.era, router.now());
        }
        let is_amended = is_restored && restore::restore_lost_rows(router, self.table, &mut rows);
        router.views.update_amended(self.table, &rows, offer.is_whole, is_amended);
        apply(rows, extent, &self.reachability);
        true
    }

    /// Takes in all that another entry has passed on so far.
    fn apply_pending(
        &mut self,
        router: &Router,
        apply: &mut impl FnMut(Rows, Extent, &StoreReachability),
    ) {
        while let Some(update) = router.link.take(self.table) {
            apply_update(router, update, self, apply);
        }
    }

    /// Takes in what another entry passes on, until it no longer stands in for the store.
    async fn follow_link(
        &mut self,
        router: &Router,
        apply: &mut impl FnMut(Rows, Extent, &StoreReachability),
    ) {
        // The store answers the entry that is followed; whether it answers this one no longer matters.
        self.reachability.record_answer(self.table, router.now());
        self.apply_pending(router, apply);
        record_applied(router, self.table);
        match router.link.next(self.table).await {
            Some(update) => apply_update(router, update, self, apply),
            None => wait_for_link(router, RELINK_WAIT).await,
        }
    }
}

/// Follows a table for ever; `apply` gets all rows first and then what changed.
pub(super) async fn follow_table(
    router: &Router,
    store: &StoreClient,
    table: Table,
    mut apply: impl FnMut(Rows, Extent, &StoreReachability),
) {
    let (position, reachability) = (Position::default(), StoreReachability::default());
    let mut followed = FollowedTable { table, position, reachability };
    wait_for_first_link(router).await;
    loop {
        if router.follows_link() {
            followed.follow_link(router, &mut apply).await;
            continue;
        }
        router.metrics.count_store_call("follow");
        let is_urgent = followed.reachability.is_lost || !router.is_view_fresh();
        let mut wakes = router.clock.wakes();
        let answer = tokio::select! {
            biased;
            // What the call was to wait for is long over.
            _ = wakes.changed() => continue,
            answer = query_store(router, store, table, followed.position.at, is_urgent) => answer,
        };
        if router.notice_suspension() {
            continue;
        }
        let (rows, is_whole) = match answer {
            Ok(StoreAnswer::Rows(rows, is_whole)) => {
                followed.reachability.record_answer(table, router.now());
                (rows, is_whole)
            }
            Ok(StoreAnswer::HistoryGone) => {
                followed.position.at = None;
                continue;
            }
            Err(e) => {
                followed.reachability.record_failure(router, table, &e.to_string());
                pause_after_failure(router, table).await;
                followed.apply_pending(router, &mut apply);
                continue;
            }
        };
        let is_first = followed.position.at.is_none();
        let has_changes = !rows.rows.is_empty();
        let offer = Offer { version: rows.version, is_whole, is_amended: false };
        if !followed.apply_rows(router, rows, offer, &mut apply) {
            // An answer from before the store came back, which another entry reported meanwhile.
            sleep(RETRY_PAUSE).await;
            continue;
        }
        record_applied(router, table);
        if is_first {
            wait_for_link(router, LINK_WAIT_AFTER_READ).await;
        } else if has_changes && !followed.reachability.is_lost {
            let is_servers = table == Table::Servers;
            sleep(if is_servers { SERVERS_COALESCE_PAUSE } else { ORDERS_COALESCE_PAUSE }).await;
        }
    }
}

/// Notes that all that was received of a table is in force; requests may wait for that after a suspension.
fn record_applied(router: &Router, table: Table) {
    let was_fresh = router.is_view_fresh();
    router.views.record_answer(table, router.now());
    if !was_fresh {
        router.wake_waiters();
    }
}

/// Waits for a link as an entry starts, shorter once a caller waits.
async fn wait_for_first_link(router: &Router) {
    let caller_waits = async {
        sleep(FIRST_LINK_WAIT).await;
        while router.in_flight() == 0 {
            sleep(CALLER_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        () = wait_for_link(router, IDLE_FIRST_LINK_WAIT) => {}
        () = caller_waits => {}
    }
}

/// Waits for a link that stands in for the store; without one the store is asked.
async fn wait_for_link(router: &Router, max_wait: Duration) {
    if router.may_follow() {
        let _ = timeout(max_wait, router.link.wait_until_current()).await;
    }
}

/// Pauses after a call that failed; a follower learns of the store's return from the entry it follows.
async fn pause_after_failure(router: &Router, table: Table) {
    sleep(RETRY_PAUSE).await;
    if router.is_seed() || router.table.load().is_none() {
        return;
    }
    // Either way the store is asked next.
    let _ = timeout(
        FOLLOWER_RETRY_PAUSE.saturating_sub(RETRY_PAUSE),
        router.link.wait_for_change(table),
    )
    .await;
}

/// Takes in what another entry passed on, as far as it is newer than what is known.
fn apply_update(
    router: &Router,
    update: TableUpdate,
    followed: &mut FollowedTable,
    apply: &mut impl FnMut(Rows, Extent, &StoreReachability),
) {
    let TableUpdate { version, is_whole, is_amended, .. } = update;
    let known = followed.position.at;
    if followed.reachability.is_lost && Some(version) > known {
        let table = update.table;
        event::PEER_VIEW_TAKEN
            .log(format_args!("table={table:?} version={version:?} before={known:?}"));
    }
    // What is older than what the store reported is left; the entry that is followed learns of that, too.
    followed.apply_rows(router, update.into_rows(), Offer { version, is_whole, is_amended }, apply);
}

/// What is new about a table.
enum StoreAnswer {
    /// Rows of the store: all of them, or those that changed.
    Rows(Rows, bool),
    /// The table has to be read anew.
    HistoryGone,
}

async fn query_store(
    router: &Router,
    store: &StoreClient,
    table: Table,
    at: Option<StoreVersion>,
    is_urgent: bool,
) -> crate::platform::Result<StoreAnswer> {
    let Some(after) = at else {
        return Ok(StoreAnswer::Rows(store.read(table).await?, true));
    };
    // A store that was lost, or a Host that was suspended: what holds now has to show at once.
    let catch_up = router.settings.load().catch_up;
    let wait = match () {
        () if is_urgent => Duration::ZERO,
        () if router.views.has_subscribers() => WAIT_WITH_FOLLOWERS,
        () => catch_up.saturating_sub(CATCH_UP_MARGIN),
    };
    Ok(match store.follow(table, after, wait).await? {
        Feed::Changes(rows) => StoreAnswer::Rows(rows, false),
        Feed::HistoryGone => StoreAnswer::HistoryGone,
    })
}
