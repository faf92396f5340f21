//! Usage by windows of true time: counting, adding up the reports of many entries, true time itself, and the lease
//! under which reports are sent.

use std::time::Duration;

use mintmoor::policy::{
    lease::{Claimant, LeaseAction, LeaseRow, LeaseTiming, LeaseView},
    true_time::TrueTime,
    usage::{
        UsageCheckpoint, UsageCounter, UsageLedger, UsageReport, UsageTotal, WindowCoverage,
        window_at,
    },
};
use proptest::prelude::*;

const LENGTH: Duration = Duration::from_secs(5);

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A report of a process that started at time 0 and includes all requests until a time in milliseconds.
fn report(process: u64, counts_until: u64, totals: Vec<UsageTotal>) -> UsageReport {
    UsageReport { process, counts_from: 0, counts_until, wall_clock: counts_until, totals }
}

fn total(window: u64, organisation: &str, count: u64) -> UsageTotal {
    UsageTotal(window, organisation.into(), count)
}

/// A ledger to which this number of entries reported two requests each in window 1, beyond its end.
fn ledger_of(entries: usize) -> UsageLedger {
    let mut ledger = UsageLedger::default();
    for entry in 0..entries {
        let totals = vec![total(1, "org-a", 1), total(1, &format!("org-{}", entry % 7), 1)];
        ledger.apply(&format!("edge-{entry}"), &report(1, 10_500, totals), at(10.6));
    }
    ledger
}

#[test]
fn windows_are_counted_from_1970() {
    assert_eq!(window_at(1_767_225_600_000, LENGTH), 353_445_120);
    assert_eq!(window_at(4_999, LENGTH), 0);
    assert_eq!(window_at(5_000, LENGTH), 1);
}

#[test]
fn a_counter_reports_only_what_changed() {
    let mut counter = UsageCounter::default();
    counter.record(3, "a");
    counter.record(3, "b");
    let (first, revision) = counter.since(0);
    counter.record(3, "b");

    let (second, _) = counter.since(revision);

    assert_eq!(first, [total(3, "a", 1), total(3, "b", 1)]);
    assert_eq!(second, [total(3, "b", 2)]);
}

#[test]
fn counts_of_all_entries_add_up_at_every_size() {
    for entries in [3, 30, 385, 800] {
        let ledger = ledger_of(entries);

        let totals = ledger.totals(1);

        assert_eq!(totals.values().sum::<u64>(), 2 * entries as u64);
        assert_eq!(ledger.coverage(1, LENGTH, at(10.6)), WindowCoverage::Complete);
    }
}

#[test]
fn a_repeated_report_changes_nothing() {
    let mut ledger = ledger_of(3);
    let again = report(1, 10_500, vec![total(1, "org-a", 1)]);

    ledger.apply("edge-1", &again, at(11.0));

    assert_eq!(ledger.totals(1).values().sum::<u64>(), 6);
}

#[test]
fn counts_of_a_killed_process_stay_beside_those_of_its_successor() {
    let mut ledger = UsageLedger::default();
    ledger.apply("edge-1", &report(1, 7_000, vec![total(1, "a", 4)]), at(7.0));
    let mut successor = report(2, 10_500, vec![total(1, "a", 2)]);
    successor.counts_from = 8_000;

    ledger.apply("edge-1", &successor, at(10.6));

    assert_eq!(ledger.totals(1)["a"], 6);
}

#[test]
fn a_window_awaits_entries_that_have_not_reported_beyond_its_end() {
    let mut ledger = ledger_of(3);
    ledger.apply("edge-9", &report(1, 9_900, vec![total(1, "a", 1)]), at(10.0));

    assert_eq!(ledger.coverage(1, LENGTH, at(10.6)), WindowCoverage::Awaiting(1));
    ledger.apply("edge-9", &report(1, 10_100, vec![total(1, "a", 3)]), at(10.9));
    assert_eq!(ledger.coverage(1, LENGTH, at(10.9)), WindowCoverage::Complete);
    assert_eq!(ledger.totals(1)["a"], 3);
}

/// An entry that counted nothing in the window and is gone can't report any more.
#[test]
fn a_window_does_not_await_entries_that_were_gone_before_it() {
    let mut ledger = ledger_of(3);
    ledger.apply("edge-9", &report(1, 1_000, vec![total(0, "a", 1)]), at(1.0));

    assert_eq!(ledger.coverage(1, LENGTH, at(10.6)), WindowCoverage::Complete);
}

#[test]
fn the_counts_of_a_window_are_unknown_if_all_processes_started_later() {
    let mut ledger = UsageLedger::default();
    for entry in 0..4 {
        let mut late = report(1, 10_500, vec![total(1, "a", 1)]);
        late.counts_from = 7_000;
        ledger.apply(&format!("edge-{entry}"), &late, at(10.6));
    }

    assert_eq!(ledger.coverage(1, LENGTH, at(10.6)), WindowCoverage::Unknown);
    assert_eq!(ledger.coverage(2, LENGTH, at(15.6)), WindowCoverage::Unknown, "nobody is left");
}

/// Everything that a holder had counted until a checkpoint, and what new processes counted after it.
#[test]
fn a_checkpoint_stands_in_for_processes_that_are_all_gone() {
    let before = ledger_of(3);
    let checkpoint = UsageCheckpoint { at: 8_000, windows: [(1, before.totals(1))].into() };
    let mut after = UsageLedger::default();
    let mut late = report(2, 10_500, vec![total(1, "org-a", 4)]);
    late.counts_from = 8_500;
    after.apply("edge-0", &late, at(10.6));

    assert_eq!(after.totals_since(1, &checkpoint)["org-a"], 3 + 4);
    assert_eq!(after.totals_since(1, &checkpoint).values().sum::<u64>(), 6 + 4);
    assert_eq!(before.totals_since(1, &checkpoint), before.totals(1), "nothing counts twice");
}

#[test]
fn an_empty_ledger_knows_nothing() {
    assert_eq!(UsageLedger::default().coverage(1, LENGTH, at(1.0)), WindowCoverage::Unknown);
}

#[test]
fn true_time_is_the_median_of_the_clocks() {
    let mut time = TrueTime::new(1_000_000, at(1.0));
    time.record_wall_clock("edge-1", 1_003_010, at(2.0));
    time.record_wall_clock("edge-2", 1_001_000, at(2.0));
    time.record_wall_clock("edge-3", 1_001_020, at(2.0));
    time.record_wall_clock("edge-4", 998_000, at(2.0));

    // The own clock has stepped forwards by four seconds.
    time.update(1_005_000, at(2.0));

    assert_eq!(time.at(at(3.0)), 1_002_020);
}

#[test]
fn true_time_keeps_its_offset_when_too_few_clocks_are_known() {
    let mut time = TrueTime::new(1_000_000, at(1.0));
    time.record_wall_clock("edge-1", 1_001_000, at(2.0));

    time.update(1_009_000, at(2.0));

    assert_eq!(time.at(at(3.0)), 1_002_000);
}

const LEASE: LeaseTiming = LeaseTiming {
    duration: Duration::from_secs(4),
    margin: Duration::from_secs(1),
    claims_absent_row: false,
};

fn claimant(holder: &str, store_now_ms: u64) -> Claimant<'_> {
    Claimant { holder, min_fencing: 7, store_now_ms }
}

fn lease_row(holder: &str, fencing: u64) -> LeaseRow {
    LeaseRow { holder: holder.into(), fencing, renewals: 0, claimed_ms: 1_000, is_released: false }
}

/// A view that claimed the lease at 4 s under token 9.
fn holder_view() -> LeaseView {
    let mut view = LeaseView::default();
    view.observe(Some((lease_row("b", 8), 3)), at(0.0));
    let LeaseAction::Write { row, .. } = view.plan(claimant("a", 5_000), at(4.0), LEASE) else {
        panic!("the lease is not claimed");
    };
    view.record_commit(row, 4, at(4.0), LEASE);
    view
}

#[test]
fn an_absent_lease_is_claimed_only_after_its_whole_duration() {
    let mut view = LeaseView::default();
    view.observe(None, at(1.0));

    assert_eq!(view.plan(claimant("a", 0), at(4.9), LEASE), LeaseAction::Wait);
    let LeaseAction::Write { row, expected } = view.plan(claimant("a", 0), at(5.0), LEASE) else {
        panic!("the lease is not claimed");
    };
    assert_eq!((row.fencing, expected), (7, None));
}

#[test]
fn a_lease_given_up_is_claimed_at_once_by_those_who_saw_it_held_for_its_duration() {
    let released = LeaseRow { is_released: true, ..lease_row("b", 8) };
    let plan_after = |seen_held: bool, store_now_ms| {
        let mut view = LeaseView::default();
        if seen_held {
            view.observe(Some((lease_row("b", 8), 3)), at(0.0));
        }
        view.observe(Some((released.clone(), 4)), at(1.0));
        view.plan(claimant("a", store_now_ms), at(1.0), LEASE)
    };

    assert!(matches!(plan_after(true, 5_000), LeaseAction::Write { .. }));
    assert_eq!(plan_after(false, 5_000), LeaseAction::Wait, "it may come from an older copy");
    assert_eq!(plan_after(true, 4_999), LeaseAction::Wait, "its holder held it too shortly");
}

#[test]
fn a_lease_is_no_longer_held_when_another_write_has_replaced_its_row() {
    for row in [None, Some((lease_row("a", 5), 6)), Some((lease_row("b", 10), 6))] {
        let mut view = holder_view();
        assert_eq!(view.fencing_token(at(5.0)), Some(9));

        view.observe(row, at(5.0));

        assert_eq!(view.fencing_token(at(5.0)), None);
    }
}

#[test]
fn a_row_of_an_earlier_claim_of_the_same_process_is_not_renewed() {
    let mut view = holder_view();
    view.forget();

    view.observe(Some((lease_row("a", 9), 4)), at(6.0));

    assert_eq!(view.plan(claimant("a", 9_000), at(6.0), LEASE), LeaseAction::Wait);
}

#[test]
fn a_lease_is_not_relied_on_in_its_margin() {
    let view = holder_view();

    assert_eq!(view.fencing_token(at(6.9)), Some(9));
    assert_eq!(view.fencing_token(at(7.0)), None);
}

proptest! {
    /// Reports that are lost, repeated or late change no total, as long as the last one of each entry arrives.
    #[test]
    fn totals_do_not_depend_on_which_reports_arrive(
        requests in proptest::collection::vec((0_usize..5, 1_u64..4), 1..200),
        lost in proptest::collection::vec(any::<bool>(), 200),
    ) {
        let mut counters = vec![UsageCounter::default(); 5];
        let mut ledger = UsageLedger::default();
        for ((entry, window), lost) in requests.iter().zip(lost) {
            counters[*entry].record(*window, "a");
            if !lost {
                let (totals, _) = counters[*entry].since(0);
                ledger.apply(&format!("edge-{entry}"), &report(1, 0, totals), at(1.0));
            }
        }
        for (entry, counter) in counters.iter().enumerate() {
            ledger.apply(&format!("edge-{entry}"), &report(1, 0, counter.since(0).0), at(1.0));
        }

        let reported: u64 = (1..4).flat_map(|w| ledger.totals(w).into_values()).sum();
        prop_assert_eq!(reported, requests.len() as u64);
    }

    /// Fewer than half of the clocks are wrong by up to an hour.
    #[test]
    fn a_minority_of_wrong_clocks_does_not_move_true_time(
        right in proptest::collection::vec(-20_i64..20, 16),
        wrong in proptest::collection::vec(-3_600_000_i64..3_600_000, 15),
    ) {
        let mut time = TrueTime::new(10_000_000, at(0.0));
        for (i, error) in right.iter().chain(&wrong).enumerate() {
            let wall = 10_005_000_u64.checked_add_signed(*error).unwrap();
            time.record_wall_clock(&format!("edge-{i}"), wall, at(5.0));
        }
        time.update(10_005_000, at(5.0));

        prop_assert!(time.at(at(5.0)).abs_diff(10_005_000) <= 20);
    }
}
