//! Tests of billing, leases, group commit and store health against in-process stand-ins of the
//! stores, with lost replies, outages and a paused clock.

use std::{collections::VecDeque, time::Duration};

use mintmoor::{
    control::{
        lease::{Lease, Permit},
        store_health::StoreHealth,
    },
    ledger::{ChargeBuffer, GroupCommit, Settler, read_totals, write_batches},
    platform::{InsertOutcome, Transaction},
    policy::{
        charge::{ChargeRecord, ChargedAttempt, Delivery, WINDOW_MS},
        lease::LeaseTiming,
    },
    standin::{faults::Faults, objects::ObjectsStandin, table::TableStandin},
    telemetry::Metrics,
};
use serde_json::json;

/// A current window at which all windows used in these tests are closed.
const LATER_WINDOW: u64 = 1_000;

struct Stores {
    table: TableStandin,
    objects: ObjectsStandin,
    health: StoreHealth,
}

fn stores() -> Stores {
    let health = StoreHealth::new(Metrics::default());
    Stores { table: TableStandin::new(1), objects: ObjectsStandin::new(2), health }
}

impl Stores {
    fn settler(&self) -> Settler {
        Settler {
            table: self.table.client(),
            objects: self.objects.client(),
            health: self.health.clone(),
        }
    }

    async fn lease(&self, me: u128) -> (Lease, Permit) {
        let mut lease = Lease::new("settler", me, LeaseTiming::default());
        lease.acquire_or_renew(&self.table.client(), &self.health).await.unwrap();
        let permit = lease.permit().expect("no other process holds the lease");
        (lease, permit)
    }

    async fn billed_requests(&self) -> u64 {
        let totals = read_totals(&self.table.client()).await.unwrap();
        totals.values().map(|total| total.requests).sum()
    }
}

/// A record of a request that arrived in the given window.
fn record(window: u128, number: u128, delivery: Delivery) -> ChargeRecord {
    let attempt = ChargedAttempt {
        version: "p/m@1".into(),
        server: "p/s".into(),
        tokens_in: 10,
        tokens_out: 20,
        cost: 7,
    };
    let request = ((window * WINDOW_MS) << 80) | number;
    ChargeRecord { request, organisation: "p/o".into(), attempts: vec![attempt], delivery }
}

async fn write_charges(stores: &Stores, writer: u128, records: Vec<ChargeRecord>) {
    let mut buffer = ChargeBuffer::new(1_000);
    records.into_iter().for_each(|record| buffer.push(record));
    let mut pending: VecDeque<_> = buffer.take_batches(writer).into();
    for _ in 0..100 {
        if write_batches(&stores.objects.client(), &mut pending).await.1.is_ok() {
            return;
        }
    }
    panic!("batches not written after 100 tries");
}

#[tokio::test]
async fn duplicate_records_from_entry_and_agent_are_billed_once() {
    let stores = stores();
    let (_lease, permit) = stores.lease(1).await;
    let records = |delivery| (0..10).map(|i| record(5, i, delivery)).collect();

    write_charges(&stores, 1, records(Delivery::Whole)).await;
    write_charges(&stores, 2, records(Delivery::Presumed)).await;
    let report = stores.settler().settle_closed_windows(&permit, LATER_WINDOW).await.unwrap();

    assert_eq!((report.requests, report.duplicates), (10, 10));
    assert_eq!(stores.billed_requests().await, 10);
}

#[tokio::test]
async fn a_batch_written_after_settlement_adds_only_new_requests() {
    let stores = stores();
    let (_lease, permit) = stores.lease(1).await;
    write_charges(&stores, 1, (0..5).map(|i| record(5, i, Delivery::Whole)).collect()).await;
    stores.settler().settle_closed_windows(&permit, LATER_WINDOW).await.unwrap();

    write_charges(&stores, 2, (3..8).map(|i| record(5, i, Delivery::Presumed)).collect()).await;
    let report = stores.settler().settle_closed_windows(&permit, LATER_WINDOW).await.unwrap();

    assert_eq!((report.requests, report.duplicates), (3, 2));
    assert_eq!(stores.billed_requests().await, 8);
}

#[tokio::test]
async fn an_open_window_is_not_settled() {
    let stores = stores();
    let (_lease, permit) = stores.lease(1).await;
    write_charges(&stores, 1, vec![record(99, 1, Delivery::Whole)]).await;

    let report = stores.settler().settle_closed_windows(&permit, 100).await.unwrap();

    assert_eq!(report.requests, 0);
}

#[tokio::test]
async fn lost_replies_of_both_stores_cause_no_double_billing_and_no_loss() {
    let stores = stores();
    let (_lease, permit) = stores.lease(1).await;
    let lossy = Faults { lose_replies: 0.3, ..Faults::default() };
    stores.table.faults.set(lossy);
    stores.objects.faults.set(lossy);

    for window in 0..10 {
        write_charges(&stores, 1, (0..20).map(|i| record(window, i, Delivery::Whole)).collect())
            .await;
    }
    let mut passes = 0;
    while stores.settler().settle_closed_windows(&permit, LATER_WINDOW).await.is_err() {
        passes += 1;
        assert!(passes < 1_000, "settlement failed 1000 times");
    }

    stores.table.faults.set(Faults::default());
    assert_eq!(stores.billed_requests().await, 200);
}

#[tokio::test(start_paused = true)]
async fn a_settlement_under_a_superseded_lease_fails() {
    let stores = stores();
    let (_first, old) = stores.lease(1).await;
    write_charges(&stores, 1, (0..5).map(|i| record(5, i, Delivery::Whole)).collect()).await;

    // The first holder is paused while a second one takes over the lease and settles.
    let mut second = Lease::new("settler", 2, LeaseTiming::default());
    second.acquire_or_renew(&stores.table.client(), &stores.health).await.unwrap();
    assert!(second.permit().is_none(), "the lease must not change hands before it expires");
    tokio::time::advance(Duration::from_secs(7)).await;
    second.acquire_or_renew(&stores.table.client(), &stores.health).await.unwrap();
    let new = second.permit().expect("the lease has expired and was taken over");
    stores.settler().settle_closed_windows(&new, LATER_WINDOW).await.unwrap();
    write_charges(&stores, 1, (5..9).map(|i| record(5, i, Delivery::Whole)).collect()).await;
    let late = stores.settler().settle_closed_windows(&old, LATER_WINDOW).await.unwrap();

    assert_eq!(late.requests, 0, "a settlement under the old lease took effect");
    assert!(new.fencing > old.fencing);
    assert_eq!(stores.billed_requests().await, 5);
}

#[tokio::test(start_paused = true)]
async fn a_lease_expires_while_the_store_is_down() {
    let stores = stores();
    let (mut lease, _) = stores.lease(1).await;
    stores.table.faults.set(Faults { down: true, ..Faults::default() });

    tokio::time::advance(Duration::from_secs(3)).await;
    assert!(lease.acquire_or_renew(&stores.table.client(), &stores.health).await.is_err());
    assert!(lease.permit().is_some(), "the lease has not expired yet");
    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(lease.permit().is_none());
}

#[tokio::test(start_paused = true)]
async fn a_lost_reply_to_a_renewal_does_not_lose_the_lease() {
    let stores = stores();
    let (mut lease, permit) = stores.lease(1).await;
    stores.table.faults.set(Faults { lose_replies: 1.0, ..Faults::default() });
    let _ = lease.acquire_or_renew(&stores.table.client(), &stores.health).await;
    stores.table.faults.set(Faults::default());

    tokio::time::advance(Duration::from_secs(1)).await;
    lease.acquire_or_renew(&stores.table.client(), &stores.health).await.unwrap();

    assert_eq!(lease.permit().unwrap().fencing, permit.fencing);
}

#[tokio::test(start_paused = true)]
async fn rows_written_together_share_a_transaction() {
    let stores = stores();
    let linger = Duration::from_millis(5);
    let group = GroupCommit::start(stores.table.client(), stores.health.clone(), linger);
    let writes = (0..50).map(|i| {
        let group = group.clone();
        async move { group.write(format!("claims/{i}").into(), None, json!(i)).await }
    });

    let outcomes = futures_util::future::join_all(writes).await;

    let numbers: std::collections::BTreeSet<u64> = outcomes
        .iter()
        .map(|outcome| match outcome {
            InsertOutcome::Inserted(version) => *version,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(numbers.len(), 1, "all rows must share one transaction");
}

#[tokio::test(start_paused = true)]
async fn a_conflicting_row_does_not_block_its_group() {
    let stores = stores();
    let table = stores.table.client();
    table.transact(Transaction::default().put("claims/3", &1)).await.unwrap().unwrap();
    let linger = Duration::from_millis(5);
    let group = GroupCommit::start(table, stores.health.clone(), linger);
    let writes = (0..6).map(|i| {
        let group = group.clone();
        async move { group.write(format!("claims/{i}").into(), None, json!(i)).await }
    });

    let outcomes = futures_util::future::join_all(writes).await;

    for (i, outcome) in outcomes.iter().enumerate() {
        let conflicts = *outcome == InsertOutcome::Conflict;
        assert_eq!(conflicts, i == 3, "{i}: {outcome:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_insert_is_refused_at_once_while_the_store_is_down() {
    let stores = stores();
    stores.table.faults.set(Faults { down: true, ..Faults::default() });
    let group = GroupCommit::start(stores.table.client(), stores.health.clone(), Duration::ZERO);

    let outcome = group.write("claims/1".into(), None, json!(1)).await;

    assert_eq!(outcome, InsertOutcome::Refused);
    assert!(stores.health.last_call_failed());
}

#[tokio::test(start_paused = true)]
async fn one_lost_reply_is_no_outage_but_a_silent_store_is() {
    let health = StoreHealth::new(Metrics::default());
    let lost = || async { Err::<(), _>(mintmoor::platform::Error::Unknown("lost".into())) };

    let _ = health.track("test", lost()).await;
    assert!(health.last_call_failed() && !health.is_unavailable());
    tokio::time::advance(Duration::from_secs(1)).await;
    let _ = health.track("test", lost()).await;
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(health.is_unavailable(), "the time must count from the first call without an answer");
    let _ = health.track("test", async { Ok(()) }).await;

    assert!(!health.last_call_failed() && !health.is_unavailable());
}

#[tokio::test]
async fn a_read_whose_reply_was_lost_is_retried() {
    let stores = stores();
    let table = stores.table.client();
    table.transact(Transaction::default().put("objects/a", &1)).await.unwrap().unwrap();
    stores.table.faults.set(Faults { lose_replies: 0.3, ..Faults::default() });

    let mut failed = 0;
    for _ in 0..200 {
        failed += usize::from(table.get("objects/a").await.is_err());
    }

    assert!(failed < 10, "{failed} of 200 reads failed");
}
