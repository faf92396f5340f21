//! Quarantine of a prompt part that crashes every server that answers a request with it
//! (docs/incidents/0022).

use std::{sync::Arc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    pool::{Pool, post_with_headers},
    server::ReceivedRequest,
    site::{Site, wait_until},
    store::Fault,
};
use mintmoor::router::Released;

/// Prompt part that crashes servers.
const CRASHING_PART: &str = "bad0:300";
/// Part that all requests have.
const COMMON_PART: &str = "c0:400";
/// Time in which all entries have to know of a crash, with a margin for a busy machine. The platform allows 3 s.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);
/// Crashes after which requests with the part count as late.
const ALLOWED_CRASHES: usize = 5;
/// Arrivals that are allowed after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Time between two requests with the crashing part.
const CRASHING_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(20);

fn has_crashing_part(request: &ReceivedRequest) -> bool {
    request.header("x-prefix-hash").contains("bad0:")
}

/// A header with these parts and a last one that no other request has.
fn prompt(shared: &[&str], number: usize) -> String {
    format!("X-Prefix-Hash: {},f00{number:x}:50\r\n", shared.join(","))
}

/// The parts of a sound request: the common one and one of four subjects.
fn sound_prompt(number: usize) -> String {
    prompt(&[COMMON_PART, &format!("5b{}:200", number % 4)], number)
}

/// Sends requests to the entries in turn, one each `interval` for this duration; returns when each was sent and
/// whether it was answered completely. No two are alike.
async fn send_each(
    sites: &[Arc<Site>],
    (interval, duration): (Duration, Duration),
    prompt: impl Fn(usize) -> String,
) -> Vec<(Instant, bool)> {
    let mut requests = JoinSet::new();
    let end = Instant::now() + duration;
    for (i, site) in sites.iter().cycle().enumerate() {
        if Instant::now() >= end {
            break;
        }
        let (site, headers, sent_at) = (site.clone(), prompt(i), Instant::now());
        requests.spawn(async move {
            let body = format!("{headers} of {sent_at:?}");
            let answer = post_with_headers(&site, "/chat/a", &headers, &body).await;
            (sent_at, answer.status == 200 && answer.is_whole)
        });
        sleep(interval).await;
    }
    requests.join_all().await
}

/// Sends requests with these shared parts beside sound ones and returns the share of the sound ones that were answered
/// among those sent later than `settled` after the start.
async fn send_beside_sound(
    sites: &[Arc<Site>],
    shared: &[&str],
    duration: Duration,
    settled: Duration,
) -> f64 {
    let from = Instant::now() + settled;
    let (_, sound) = tokio::join!(
        send_each(sites, (CRASHING_INTERVAL, duration), |i| prompt(shared, i)),
        send_each(sites, (SOUND_INTERVAL, duration), sound_prompt)
    );
    let later: Vec<bool> =
        sound.iter().filter(|(at, _)| *at > from).map(|(_, is_served)| *is_served).collect();
    later.iter().filter(|is_served| **is_served).count() as f64 / later.len() as f64
}

fn assert_few_late_arrivals(pool: &Pool) {
    let record = &pool.crash_record;
    let late = record.arrivals_after_crash(ALLOWED_CRASHES, PROPAGATION_TIME);
    let crashes = record.crash_count();
    println!("{late} late arrivals, {crashes} crashes, {} requests", record.distinct_requests());
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals, {crashes} crashes");
}

async fn start_pool(after_head: bool) -> Pool {
    Pool::start_crashing_on("llm", 8, after_head, has_crashing_part).await
}

/// Starts entries that have answered sound requests before.
async fn start_warm_entries(pool: &Pool, number: usize) -> Vec<Arc<Site>> {
    let sites = pool.start_entries(number).await;
    let answers = send_each(&sites, (SOUND_INTERVAL, Duration::from_millis(500)), sound_prompt);
    assert!(answers.await.iter().all(|(_, is_served)| *is_served));
    sites
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_crashed_five_servers_are_sent_to_no_more_servers() {
    let pool = start_pool(true).await;
    let sites = start_warm_entries(&pool, 4).await;

    let parts = [COMMON_PART, CRASHING_PART];
    let served =
        send_beside_sound(&sites, &parts, Duration::from_secs(6), Duration::from_secs(3)).await;

    assert_few_late_arrivals(&pool);
    assert!(served >= 0.9, "{served} of the sound requests served");
}

/// The crashing part is the first one of the prompt, and the servers end before they have sent any part of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_first_part_that_crashes_servers_before_any_answer_is_refused() {
    let pool = start_pool(false).await;
    let sites = start_warm_entries(&pool, 4).await;

    let parts = [CRASHING_PART, COMMON_PART];
    let served =
        send_beside_sound(&sites, &parts, Duration::from_secs(6), Duration::from_secs(3)).await;

    assert_few_late_arrivals(&pool);
    assert!(served >= 0.9, "{served} of the sound requests served");
}

/// A second crashing part comes at the same time; some requests have both.
#[tokio::test(flavor = "multi_thread")]
async fn two_parts_that_crash_servers_at_the_same_time_are_both_refused() {
    let pool = Pool::start_crashing_on("llm", 8, true, |request| {
        let parts = request.header("x-prefix-hash");
        parts.contains("bad0:") || parts.contains("bad1:")
    })
    .await;
    let sites = start_warm_entries(&pool, 4).await;
    let second = |i: usize| match i % 3 {
        0 => prompt(&[COMMON_PART, "bad1:300", CRASHING_PART], i),
        _ => prompt(&[COMMON_PART, "bad1:300"], i),
    };

    let (served, _) = tokio::join!(
        send_beside_sound(
            &sites,
            &[COMMON_PART, CRASHING_PART],
            Duration::from_secs(8),
            Duration::from_secs(5)
        ),
        send_each(&sites, (CRASHING_INTERVAL, Duration::from_secs(8)), second),
    );

    // Five crashes and three more sends for each part.
    let late = pool.crash_record.arrivals_after_crash(2 * ALLOWED_CRASHES, PROPAGATION_TIME);
    assert!(late <= 2 * MAX_LATE_ARRIVALS, "{late} late arrivals");
    assert!(served >= 0.9, "{served} of the sound requests served");
}

/// Each crash has another cause, the last part of its prompt; the parts that all requests share were present at each.
#[tokio::test(flavor = "multi_thread")]
async fn shared_parts_of_requests_that_crash_servers_for_another_reason_stay_in_service() {
    let pool = Pool::start_crashing_on("llm", 8, true, |request| {
        request.header("x-prefix-hash").contains("dead")
    })
    .await;
    let sites = start_warm_entries(&pool, 4).await;
    let is_part_refused = || {
        let dumps = sites.iter().map(|site| site.entry.router.dump()["quarantine"].clone());
        let cases: Vec<_> = dumps.flat_map(|dump| dump.as_array().unwrap().clone()).collect();
        cases.iter().any(|case| case["kind"] == "part" && case["refused"] == true)
    };

    let crashing =
        |i: usize| format!("X-Prefix-Hash: {COMMON_PART},5b{}:200,dead{i:x}:50\r\n", i % 4);
    let interval = Duration::from_millis(400);
    let (_, beside) = tokio::join!(
        send_each(&sites, (interval, Duration::from_secs(5)), crashing),
        send_each(&sites, (SOUND_INTERVAL, Duration::from_secs(5)), sound_prompt)
    );

    assert!(pool.crash_record.crash_count() > 20, "too few crashes for a test");
    assert!(!is_part_refused());
    let served = beside.iter().filter(|(_, is_served)| *is_served).count();
    println!(
        "{served} of {} served beside {} crashes",
        beside.len(),
        pool.crash_record.crash_count()
    );
    sleep(Duration::from_secs(2)).await;
    let after = send_each(&sites, (SOUND_INTERVAL, Duration::from_secs(1)), sound_prompt).await;
    assert!(after.iter().all(|(_, is_served)| *is_served), "not all served after the last crash");
}

/// Half of the servers lose power at once, three times, beside requests that share all their parts.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_end_together_for_another_reason_refuse_no_part() {
    let pool = start_pool(true).await;
    let sites = start_warm_entries(&pool, 4).await;
    let crashes = async {
        for _ in 0..3 {
            sleep(Duration::from_millis(1_500)).await;
            pool.servers.iter().step_by(2).for_each(crate::server::Server::crash);
        }
    };

    let send = send_each(&sites, (SOUND_INTERVAL, Duration::from_secs(7)), sound_prompt);
    let (_, answers) = tokio::join!(crashes, send);

    let last: Vec<_> = answers.iter().rev().take(50).collect();
    assert!(last.iter().all(|(_, is_served)| *is_served), "not all served after the last end");
    for site in &sites {
        let dump = site.entry.router.dump()["quarantine"].clone();
        let is_refused = |case: &&serde_json::Value| case["refused"] == true;
        assert_eq!(dump.as_array().unwrap().iter().filter(is_refused).count(), 0, "{dump}");
    }
}

/// Sends requests with the crashing part until one is refused because of it.
async fn until_refused(site: &Arc<Site>) {
    for i in 0..200 {
        let headers = prompt(&[COMMON_PART, CRASHING_PART], i);
        let answer = post_with_headers(site, "/chat/a", &headers, &format!("request {i}")).await;
        if answer.status == 503 && answer.body.contains("part bad0 of its prompt") {
            return;
        }
        sleep(Duration::from_millis(30)).await;
    }
    panic!("not refused in 200 requests");
}

async fn assert_refused_unsent(pool: &Pool, sites: &[Arc<Site>]) {
    let arrivals = || pool.crash_record.arrivals.lock().unwrap().len();
    let before = arrivals();
    for (i, site) in sites.iter().enumerate() {
        let headers = prompt(&[CRASHING_PART, "5b9:100"], 1_000 + i);
        let answer = post_with_headers(site, "/chat/b", &headers, "a new request").await;
        assert_eq!(answer.status, 503);
        assert!(answer.head.contains("retry-after: "), "{}", answer.head);
    }
    assert_eq!(arrivals(), before, "a refused request reached a server");
}

/// All entries stop at once, and further requests with the part come.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_all_restart_still_refuse_a_quarantined_part() {
    let pool = start_pool(true).await;
    let sites = start_warm_entries(&pool, 3).await;
    until_refused(&sites[0]).await;
    wait_until("the part is in the store", || pool.store.read("mintmoor", "quarantine").is_some())
        .await;
    drop(sites);

    let sites = pool.start_entries(3).await;

    assert_refused_unsent(&pool, &sites).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operators_release_of_a_part_applies_to_all_entries() {
    let pool = start_pool(true).await;
    let sites = start_warm_entries(&pool, 2).await;
    for site in &sites {
        until_refused(site).await;
    }
    let is_refused = |site: &Site| {
        let dump = site.entry.router.dump()["quarantine"].clone();
        dump.as_array().unwrap().iter().any(|case| {
            case["fingerprint"] == "0000000000000000000000000000bad0" && case["refused"] == true
        })
    };
    assert_refused_unsent(&pool, &sites).await;

    let released = sites[1].entry.router.release("bad0");

    assert_eq!(released, Released::Done);
    wait_until("both have released it", || sites.iter().all(|site| !is_refused(site))).await;
}

/// The entries have just started and know of no answers, so that the common part looks as suspicious as the crashing
/// one.
#[tokio::test(flavor = "multi_thread")]
async fn sound_requests_are_served_soon_when_no_answer_is_known_yet() {
    let pool = start_pool(true).await;
    let sites = pool.start_entries(4).await;

    let parts = [COMMON_PART, CRASHING_PART];
    let served =
        send_beside_sound(&sites, &parts, Duration::from_secs(9), Duration::from_secs(6)).await;

    assert_few_late_arrivals(&pool);
    assert!(served >= 0.9, "{served} of the sound requests served");
}

fn refuses_part(site: &Site) -> bool {
    let dump = site.entry.router.dump()["quarantine"].clone();
    let is_it = |case: &serde_json::Value| case["kind"] == "part" && case["refused"] == true;
    dump.as_array().unwrap().iter().any(is_it)
}

/// No seed is running, so the entries share nothing but the store; each sees some of the crashes.
#[tokio::test(flavor = "multi_thread")]
async fn entries_without_a_seed_learn_of_a_part_from_the_store() {
    let pool = start_pool(true).await;
    let sites = pool.start_isolated_entries(3).await;
    let answers = send_each(&sites, (SOUND_INTERVAL, Duration::from_millis(500)), sound_prompt);
    assert!(answers.await.iter().all(|(_, is_served)| *is_served));

    until_refused(&sites[0]).await;

    for site in &sites {
        wait_until("the entry refuses the part", || refuses_part(site)).await;
    }
    assert_refused_unsent(&pool, &sites).await;
}

/// The store is unreachable, and a seed and the entry that saw the crashes stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_is_refused_without_the_store_and_the_entry_that_saw_the_crashes() {
    let pool = start_pool(true).await;
    let mut sites = start_warm_entries(&pool, 4).await;
    pool.store.set_fault(Fault::Down);
    until_refused(&sites[3]).await;
    wait_until("a seed refuses the part", || sites[..2].iter().any(|site| refuses_part(site)))
        .await;

    drop(sites.pop());
    let informed = sites.iter().position(|site| refuses_part(site)).unwrap();
    drop(sites.remove(usize::from(informed == 0)));

    for site in &sites {
        wait_until("the entry refuses the part", || refuses_part(site)).await;
    }
    assert_refused_unsent(&pool, &sites).await;
}

/// Only the entry that has not lost a request knows that a server answered the common part.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_one_entry_knows_of_clears_a_part_at_all_entries() {
    let pool = start_pool(true).await;
    let sites = pool.start_entries(3).await;
    for i in 0..100 {
        // The others may count one end fewer or more, since each has its own clock.
        if refuses_part(&sites[0]) {
            break;
        }
        let headers = prompt(&[COMMON_PART, CRASHING_PART], i);
        post_with_headers(&sites[0], "/chat/a", &headers, &format!("request {i}")).await;
        sleep(Duration::from_millis(30)).await;
    }
    assert!(refuses_part(&sites[0]));
    assert_few_late_arrivals(&pool);

    let is_served = async || {
        let answer = post_with_headers(&sites[2], "/chat/a", &sound_prompt(7), "sound").await;
        answer.status == 200 && answer.is_whole
    };
    let until = Instant::now() + Duration::from_secs(15);
    while !is_served().await {
        assert!(Instant::now() < until, "a sound request was not served within 15 s");
        sleep(Duration::from_millis(100)).await;
    }

    let is_clear = |site: &Arc<Site>| {
        let dump = site.entry.router.dump()["quarantine"].to_string();
        !dump.contains("\"fingerprint\":\"000000000000000000000000000000c0\"")
    };
    wait_until("all entries have cleared the common part", || sites.iter().all(is_clear)).await;
    // Entries may count the fourth end differently, since each has its own clock; a fifth may follow.
    for site in &sites {
        until_refused(site).await;
    }
}
