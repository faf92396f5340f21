//! Quarantine of a request that crashes every server that begins to run it (docs/incidents/0011).

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use mintmoor::{platform::host_settings::HostSettings, router::Released};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    pool::{
        CRASHING_BODY, EVENT_COUNT, Pool, RESTART_DELAY, free_address, post,
        send_crashing_requests, send_other_requests,
    },
    server::{Action, ReceivedRequest, Server},
    site::{
        Answer, Site, list_server, list_server_with_start_time, start_server, store_with_servers,
        wait_until,
    },
    store::Fault,
};

/// Time in which all entries have to know of a server's end, with a margin for a busy machine.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);
/// Sends of the crashing request, over all entries, that are allowed later than [`PROPAGATION_TIME`] after the third
/// server's end.
const MAX_LATE_ARRIVALS: usize = 3;

/// Age from which a link that breaks is opened again at once.
const LINK_AGE: Duration = Duration::from_millis(1_000);

/// Asserts that three servers ended and that hardly any sends followed once all entries had to know of it.
fn assert_few_late_arrivals(pool: &Pool) {
    assert!(pool.crash_record.crash_count() >= 3, "fewer than three servers ended");
    let late = pool.crash_record.arrivals_after_crash(3, PROPAGATION_TIME);
    let (ends, tries) = (pool.crash_record.crash_count(), pool.crash_record.distinct_requests());
    println!("{late} late arrivals, {ends} server ends in total, {tries} requests");
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} late arrivals, {ends} server ends in total, {tries} requests"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ended_three_servers_is_sent_to_no_more_servers() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(4).await;

    send_crashing_requests(&sites, "/chat/a", Duration::from_secs(6)).await;

    assert_few_late_arrivals(&pool);
}

/// The servers end before they have sent any part of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_end_servers_before_any_answer_are_sent_to_no_more_servers() {
    let pool = Pool::start("app", 6, false).await;
    let sites = pool.start_entries(4).await;

    send_crashing_requests(&sites, "/safe/a", Duration::from_secs(6)).await;

    assert_few_late_arrivals(&pool);
}

/// At least nine tenths of the share that is served without a crashing request.
#[tokio::test(flavor = "multi_thread")]
async fn the_other_requests_are_served_while_one_request_ends_servers() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(4).await;
    let lasts = Duration::from_secs(8);
    let (calm_asked, calm_served) = send_other_requests(&sites, Duration::from_secs(2)).await;

    let (_, (asked, served)) = tokio::join!(
        send_crashing_requests(&sites, "/chat/a", lasts),
        send_other_requests(&sites, lasts)
    );

    assert!(pool.crash_record.crash_count() >= 3, "fewer than three servers ended");
    let (calm, beside) = (calm_served as f64 / calm_asked as f64, served as f64 / asked as f64);
    println!(
        "beside the crashing request {served} of {asked} served, {} server ends",
        pool.crash_record.crash_count()
    );
    assert!(
        beside >= 0.9 * calm,
        "served {served} of {asked}, without a crashing request {calm_served} of {calm_asked}"
    );
}

/// Sends the crashing request to an entry until it refuses the request as quarantined.
pub async fn until_refused(site: &Arc<Site>, path: &str) -> Answer {
    for _ in 0..100 {
        let answer = post(site, path, CRASHING_BODY).await;
        if answer.status == 503 && answer.body.contains("servers ended") {
            return answer;
        }
    }
    panic!("the request was not refused in 100 tries");
}

fn is_quarantined(site: &Site) -> bool {
    let dump = site.entry.router.dump();
    dump["quarantine"].as_array().unwrap().iter().any(|case| case["refused"] == true)
}

#[tokio::test(flavor = "multi_thread")]
async fn quarantined_requests_are_refused_with_retry_after_and_not_run() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(2).await;
    until_refused(&sites[0], "/chat/a").await;
    wait_until("the other entry knows of the quarantine", || is_quarantined(&sites[1])).await;
    let arrivals = || pool.crash_record.arrivals.lock().unwrap().len();
    let before = arrivals();

    for site in &sites {
        let answer = post(site, "/chat/a", CRASHING_BODY).await;

        assert_eq!(answer.status, 503);
        assert!(answer.head.contains("retry-after: 2"), "not nearly five minutes: {}", answer.head);
    }
    assert_eq!(arrivals(), before, "a refused request reached a server");
}

/// A quarantine covers one body on one path: the same body on another path is sent to a server, and another body on
/// the same path is served.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_body_on_another_path_and_another_body_are_not_refused() {
    let pool = Pool::start("llm", 10, true).await;
    let sites = pool.start_entries(2).await;
    until_refused(&sites[0], "/chat/a").await;
    let arrivals = || pool.crash_record.arrivals.lock().unwrap().len();
    let before = arrivals();

    let _ = post(&sites[0], "/chat/b", CRASHING_BODY).await;
    assert!(arrivals() > before, "another path is another request");
    assert_eq!(post(&sites[0], "/chat/a", "something else").await.status, 200);
}

/// All entries stop at once, and the caller goes on sending the request.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_all_restart_still_refuse_a_quarantined_request() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(3).await;
    until_refused(&sites[0], "/chat/a").await;
    wait_until("the quarantine is in the store", || {
        pool.store.read("mintmoor", "quarantine").is_some()
    })
    .await;
    let arrivals = || pool.crash_record.arrivals.lock().unwrap().len();
    let before = arrivals();
    drop(sites);

    let sites = pool.start_entries(3).await;
    for site in &sites {
        assert_eq!(post(site, "/chat/a", CRASHING_BODY).await.status, 503);
    }

    assert_eq!(arrivals(), before);
}

/// No seed is running, so the entries share nothing but the store.
#[tokio::test(flavor = "multi_thread")]
async fn entries_without_a_seed_learn_of_a_quarantine_from_the_store() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_isolated_entries(3).await;

    until_refused(&sites[0], "/chat/a").await;
    for site in &sites {
        wait_until("the entry knows of the quarantine", || is_quarantined(site)).await;
    }

    assert_eq!(pool.crash_record.crash_count(), 3);
}

/// Three entries without links between them each see another server end.
#[tokio::test(flavor = "multi_thread")]
async fn ends_that_separate_entries_saw_are_combined_in_the_store() {
    let pool = Pool::start("app", 6, false).await;
    let sites = pool.start_isolated_entries(3).await;
    let in_store = || {
        let row = pool.store.read("mintmoor", "quarantine").unwrap_or_default();
        row["cases"][0]["ends"].as_array().map_or(0, Vec::len)
    };

    for (i, site) in sites.iter().enumerate() {
        // The route allows one attempt for each request.
        let _ = post(site, "/once/a", CRASHING_BODY).await;
        wait_until("the server end is in the store", || in_store() == i + 1).await;
    }

    for site in &sites {
        wait_until("the entry knows of the quarantine", || is_quarantined(site)).await;
    }
    assert_eq!(pool.crash_record.crash_count(), 3);
}

/// The same server ends three times, and each time accepts connections again before its row shows the new start time.
#[tokio::test(flavor = "multi_thread")]
async fn server_ends_that_the_server_list_does_not_show_are_combined_in_the_store() {
    let server = start_server("i-1", Action::Crash { after_head: false }).await;
    let store = store_with_servers(&[]).await;
    list_server_with_start_time(&store, &server, "app", 1_000);
    let pool = Pool::with_servers(store, vec![server.clone()]);
    let sites = pool.start_isolated_entries(3).await;

    for (life, site) in sites.iter().enumerate() {
        let _ = post(site, "/once/a", CRASHING_BODY).await;
        server.wait_until_terminated(life).await;
        sleep(RESTART_DELAY).await;
        server.restart();
    }

    for site in &sites {
        wait_until("the entry knows of the quarantine", || is_quarantined(site)).await;
    }
}

/// The servers still accept connections after their ends, as behind a proxy, so that only new start times in their rows
/// show the ends, all at the same moment.
#[tokio::test(flavor = "multi_thread")]
async fn ends_of_servers_shown_at_once_by_the_server_list_count_separately() {
    let servers = [
        start_server("i-1", Action::CloseConnection).await,
        start_server("i-2", Action::CloseConnection).await,
        start_server("i-3", Action::CloseConnection).await,
        start_server("i-4", Action::CloseConnection).await,
    ];
    let listed: Vec<_> = servers.iter().map(|server| (server, "app", "v1")).collect();
    let site = Arc::new(Site::start(&listed).await);
    let met_by = |body: &str| {
        let has_met =
            |server: &&Server| server.requests().iter().any(|s| s.body == body.as_bytes());
        servers.iter().filter(has_met).count()
    };
    let is_all_met = || servers.iter().all(|server| !server.requests().is_empty());

    for _ in 0..30 {
        if met_by(CRASHING_BODY) >= 3 {
            break;
        }
        let _ = post(&site, "/once/a", CRASHING_BODY).await;
        sleep(Duration::from_millis(300)).await;
    }
    // The fourth server ends under another request.
    for _ in 0..200 {
        if is_all_met() {
            break;
        }
        let _ = post(&site, "/once/a", "another that ends servers").await;
        sleep(Duration::from_millis(20)).await;
    }
    assert!(met_by(CRASHING_BODY) == 3 && is_all_met());
    for server in &servers {
        list_server_with_start_time(&site.store, server, "app", 2_000);
    }

    wait_until("the request is refused", || is_quarantined(&site)).await;
}

/// Sends a request to a server that closes its connections until it has lasted longer than data may be read late.
async fn send_while_down(site: &Arc<Site>, body: &str) {
    for _ in 0..2 {
        let _ = post(site, "/once/a", body).await;
        sleep(Duration::from_millis(300)).await;
    }
}

/// A server behind a proxy, which accepts connections also while the server is down.
async fn start_proxied_server(id: &str, is_down: &Arc<AtomicBool>) -> Server {
    let is_down = is_down.clone();
    let script = move |_: &ReceivedRequest| match is_down.load(Ordering::SeqCst) {
        true => Action::CloseConnection,
        false => Action::Respond { status: 200, body: "served" },
    };
    Server::start(id, script).await
}

/// Guards against ends of a crashing request that are not counted (soak seed 836): the server answers other requests
/// again, and ends again, before its row shows the new starts.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_counts_when_the_server_answers_again_before_its_row_shows_it() {
    let is_down = Arc::<AtomicBool>::default();
    let server = start_proxied_server("i-1", &is_down).await;
    let site = Arc::new(Site::start(&[(&server, "app", "v1")]).await);
    let ends = || site.entry.router.dump()["quarantine"][0]["ends"].clone();
    for _ in 0..2 {
        is_down.store(true, Ordering::SeqCst);
        send_while_down(&site, CRASHING_BODY).await;
        is_down.store(false, Ordering::SeqCst);
        let is_up = async || post(&site, "/once/a", "harmless").await.status == 200;
        while !is_up().await {
            sleep(Duration::from_millis(50)).await;
        }
    }

    list_server_with_start_time(&site.store, &server, "app", 2_000);
    wait_until("the first end counts", || ends() == 1).await;
    list_server_with_start_time(&site.store, &server, "app", 3_000);

    wait_until("the second end counts", || ends() == 2).await;
}

/// Guards against ends that are not noticed: the address was probed when another connection broke, just before the
/// server ended.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_counts_right_after_another_connection_broke() {
    let script = |request: &ReceivedRequest| match request.body == CRASHING_BODY.as_bytes() {
        true => Action::Crash { after_head: false },
        false => Action::CloseConnection,
    };
    let server = Server::start("i-1", script).await;
    let site = Arc::new(Site::start(&[(&server, "app", "v1")]).await);

    let _ = post(&site, "/once/a", "harmless").await;
    let _ = post(&site, "/once/a", CRASHING_BODY).await;

    let ends = || site.entry.router.dump()["quarantine"][0]["ends"].clone();
    wait_until("the end counts", || ends() == 1).await;
}

/// Guards against requests that look innocent: the end of a server where this entry had lost one was seen only by
/// another entry, so that it counted as an end elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_seen_by_another_entry_counts_for_requests_lost_here() {
    let script = |request: &ReceivedRequest| match request.body == CRASHING_BODY.as_bytes() {
        true => Action::CloseConnection,
        false => Action::Hang,
    };
    let server = Server::start("i-1", script).await;
    let store = store_with_servers(&[(&server, "app", "v1")]).await;
    let pool = Pool::with_servers(store, vec![server.clone()]);
    let sites = pool.start_entries(2).await;
    let beside = sites[0].clone();
    let beside = tokio::spawn(async move { post(&beside, "/once/a", "beside").await });
    wait_until("the other request has arrived", || server.requests().len() == 1).await;
    let _ = post(&sites[1], "/once/a", CRASHING_BODY).await;

    server.crash();
    beside.await.unwrap();

    for site in &sites {
        let suspects = || site.entry.router.dump()["quarantine"].as_array().unwrap().len();
        wait_until("both requests are suspected", || suspects() == 2).await;
    }
}

/// Waits until the entry has read the row with a server's new start.
pub async fn wait_for_start(site: &Site, started_at: u64) {
    let is_listed = || {
        let fleet = site.entry.router.fleet.load();
        fleet.of_service("app").iter().any(|m| m.server.started_at == Some(started_at))
    };
    wait_until("the server list shows the new start", is_listed).await;
}

/// A server that has crashed and runs again, while its row still shows the former start; it answers other requests
/// after `delay`.
pub async fn start_restarted_server(delay: Duration) -> (Server, Arc<Site>) {
    let script = move |request: &ReceivedRequest| match request.body == CRASHING_BODY.as_bytes() {
        true => Action::Crash { after_head: false },
        false => Action::RespondAfter { delay, body: "served" },
    };
    let server = Server::start("i-1", script).await;
    let store = store_with_servers(&[]).await;
    list_server_with_start_time(&store, &server, "app", 1_000);
    let site = Arc::new(Site::start_with_settings(store, |_| {}).await);
    site.wait_for_servers(1).await;
    let _ = post(&site, "/once/a", CRASHING_BODY).await;
    server.wait_until_terminated(0).await;
    server.restart();
    (server, site)
}

/// Guards against answers that are given up when the row of the server that is working on them is read.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_before_the_row_shows_the_new_start_is_answered() {
    let (server, site) = start_restarted_server(Duration::from_millis(600)).await;
    let asking = site.clone();
    let answer = tokio::spawn(async move { post(&asking, "/once/a", "harmless").await });
    wait_until("the request has arrived", || server.requests().len() == 2).await;

    list_server_with_start_time(&site.store, &server, "app", 2_000);
    wait_for_start(&site, 2_000).await;

    let answer = answer.await.unwrap();
    assert_eq!((answer.status, &*answer.body), (200, "served"));
}

/// Guards against ends that count for nothing: the server ends just after the row with its new start was read, so that a
/// harmless request beside the crashing one looked guilty and was refused for five minutes.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_counts_for_requests_sent_before_the_row_shows_the_new_start() {
    let (server, site) = start_restarted_server(Duration::from_secs(60)).await;
    let asking = site.clone();
    let answer = tokio::spawn(async move { post(&asking, "/once/a", "running").await });
    wait_until("the request has arrived", || server.requests().len() == 2).await;
    list_server_with_start_time(&site.store, &server, "app", 2_000);
    wait_for_start(&site, 2_000).await;

    server.crash();
    answer.await.unwrap();

    let suspects = || site.entry.router.dump()["quarantine"].as_array().unwrap().len();
    wait_until("both requests are suspected", || suspects() == 2).await;
}

/// Guards against pauses that are forgotten (soak seed 836): the restarted server asks for one before its row is read.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_asked_for_before_the_row_shows_the_new_start_is_kept() {
    let (server, site) = start_restarted_server(Duration::ZERO).await;
    server.set_retry_after(Some("30"));
    assert_eq!(post(&site, "/once/a", "harmless").await.status, 503);
    let arrived = server.requests().len();

    list_server_with_start_time(&site.store, &server, "app", 2_000);
    wait_for_start(&site, 2_000).await;

    for _ in 0..3 {
        assert_eq!(post(&site, "/once/a", "harmless").await.status, 503);
    }
    assert_eq!(server.requests().len(), arrived, "requests reached a paused server");
}

/// The store is unreachable while servers end: entries inform each other and write the quarantine later.
#[tokio::test(flavor = "multi_thread")]
async fn the_quarantine_is_written_once_the_store_is_back() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(3).await;
    pool.store.set_fault(Fault::Down);

    until_refused(&sites[2], "/chat/a").await;
    for site in &sites {
        wait_until("the entry knows of the quarantine", || is_quarantined(site)).await;
    }
    assert!(pool.store.read("mintmoor", "quarantine").is_none());
    pool.store.set_fault(Fault::None);

    wait_until("the quarantine is in the store", || {
        pool.store.read("mintmoor", "quarantine").is_some()
    })
    .await;
}

/// The store is restored from a backup without the quarantine: the entries that know it write it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_restored_without_a_quarantine_gets_it_again() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(2).await;
    let snapshot = pool.store.snapshot();
    until_refused(&sites[0], "/chat/a").await;
    let in_store = || pool.store.read("mintmoor", "quarantine").is_some();
    wait_until("the quarantine is in the store", in_store).await;

    pool.store.restore(&snapshot);

    wait_until("the quarantine is in the store again", in_store).await;
}

/// A seed and the entry that saw the ends stop; the other entries know of the ends as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_seed_that_is_killed_loses_no_server_end() {
    let pool = Pool::start("llm", 6, true).await;
    let mut sites = pool.start_entries(4).await;
    let last = sites.pop().unwrap();
    until_refused(&last, "/chat/a").await;
    // The entry that saw the ends runs until a seed knows of them, but not until that seed has passed them on.
    wait_until("a seed knows of the quarantine", || {
        is_quarantined(&sites[0]) || is_quarantined(&sites[1])
    })
    .await;
    let first = sites.remove(usize::from(!is_quarantined(&sites[0])));
    drop(first);
    drop(last);

    for site in &sites {
        wait_until("the entry knows of the quarantine", || is_quarantined(site)).await;
    }
    assert_eq!(pool.crash_record.crash_count(), 3);
}

/// Guards against links to the seeds that stay closed for two seconds after a moment's silence: meanwhile nobody learns
/// of the ends that the entry sees, and the other entries send the request on.
#[tokio::test(flavor = "multi_thread")]
async fn ends_seen_just_after_a_suspension_are_known_to_all_entries() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(4).await;
    let resumed = &sites[3];
    sleep(LINK_AGE).await;
    resumed.entry.router.clock.simulate_suspension(Duration::from_secs(2));
    until_refused(resumed, "/chat/a").await;
    sleep(PROPAGATION_TIME).await;
    let crash_count = pool.crash_record.crash_count();

    for site in &sites {
        assert_eq!(post(site, "/chat/a", CRASHING_BODY).await.status, 503);
    }

    assert_eq!(pool.crash_record.crash_count(), crash_count, "the request was sent on");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operators_release_applies_to_all_entries() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(2).await;
    until_refused(&sites[0], "/chat/a").await;
    wait_until("the other entry knows of the quarantine", || is_quarantined(&sites[1])).await;
    wait_until("the quarantine is in the store", || {
        pool.store.read("mintmoor", "quarantine").is_some()
    })
    .await;
    let case = sites[0].entry.router.dump()["quarantine"][0].clone();
    let fingerprint = case["fingerprint"].as_str().unwrap().to_owned();

    let released = sites[1].entry.router.release(&fingerprint);

    assert_eq!(released, Released::Done);
    assert_eq!(sites[1].entry.router.release(&fingerprint), Released::Unknown);
    wait_until("the other entry has released the request", || !is_quarantined(&sites[0])).await;
    let kept = || pool.store.read("mintmoor", "quarantine").unwrap()["cases"].clone();
    wait_until("the quarantine is gone from the store", || kept().as_array().unwrap().is_empty())
        .await;
}

/// Many callers send the popular request, so it runs on every server that the crashing one ends. A trial tells
/// the two apart about a second later.
#[tokio::test(flavor = "multi_thread")]
async fn a_popular_request_that_ran_beside_the_crashing_one_is_served_again_soon() {
    let pool = Pool::start("llm", 3, true).await;
    let sites = pool.start_entries(2).await;
    let lasts = Duration::from_secs(3);
    let popular = async {
        let until = Instant::now() + lasts;
        let mut asking = JoinSet::new();
        for site in sites.iter().cycle() {
            if Instant::now() >= until {
                break;
            }
            let site = site.clone();
            asking.spawn(async move { post(&site, "/chat/a", "popular").await });
            sleep(Duration::from_millis(5)).await;
        }
        asking.join_all().await
    };

    tokio::join!(send_crashing_requests(&sites, "/chat/a", lasts), popular);

    let mut served = 0;
    for _ in 0..200 {
        let answer = post(&sites[served % 2], "/chat/a", "popular").await;
        served += usize::from(answer.status == 200 && answer.is_whole);
        sleep(Duration::from_millis(50)).await;
        if served >= 20 {
            break;
        }
    }
    assert_eq!(served, 20, "too few answers within ten seconds");
    assert!(
        sites.iter().any(|site| is_quarantined(site)),
        "the crashing request is not quarantined"
    );
}

/// A server that crashes on the crashing request and answers a popular one only once it has crashed three times.
async fn start_server_that_crashes_thrice() -> Server {
    let crashes = AtomicUsize::new(0);
    let script = move |request: &ReceivedRequest| {
        if request.body == CRASHING_BODY.as_bytes() {
            crashes.fetch_add(1, Ordering::SeqCst);
            return Action::Crash { after_head: false };
        }
        match crashes.load(Ordering::SeqCst) {
            3.. => Action::Respond { status: 200, body: "served" },
            _ => Action::Hang,
        }
    };
    Server::start("i-1", script).await
}

/// Has the popular request running at three ends of the server, so that it is refused together with the crashing one.
/// The server is down afterwards.
async fn quarantine_popular_request(server: &Server, site: &Arc<Site>) {
    for life in 0..3 {
        if life > 0 {
            sleep(RESTART_DELAY).await;
            server.restart();
        }
        let (asking, arrived) = (site.clone(), server.requests().len());
        let popular = tokio::spawn(async move { post(&asking, "/once/a", "popular").await });
        wait_until("the popular request runs", || server.requests().len() > arrived).await;
        let _ = post(site, "/once/a", CRASHING_BODY).await;
        server.wait_until_terminated(life).await;
        popular.await.unwrap();
    }
    let is_refused = || {
        let dump = site.entry.router.dump();
        dump["quarantine"].as_array().unwrap().iter().filter(|case| case["refused"] == true).count()
            == 2
    };
    wait_until("both requests are refused", is_refused).await;
}

/// Sends the popular request until it is served, for ten seconds at most.
async fn is_served_again_soon(site: &Site) -> bool {
    for _ in 0..100 {
        if post(site, "/once/a", "popular").await.status == 200 {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}

/// Guards against trials that are used up without having been made: the store grants the trial only after the request
/// that asked for it was refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_trial_that_a_slow_store_grants_late_is_made_by_the_next_request() {
    let server = start_server_that_crashes_thrice().await;
    let site = Arc::new(Site::start(&[(&server, "app", "v1")]).await);
    quarantine_popular_request(&server, &site).await;
    sleep(RESTART_DELAY).await;
    server.restart();

    site.store.set_fault(Fault::Slow);

    assert!(is_served_again_soon(&site).await, "refused for ten seconds");
}

/// Guards against trials that are used up without having been made: no server takes the request when it is granted.
#[tokio::test(flavor = "multi_thread")]
async fn a_trial_that_reaches_no_server_is_made_later() {
    let server = start_server_that_crashes_thrice().await;
    let site = Arc::new(Site::start(&[(&server, "app", "v1")]).await);
    quarantine_popular_request(&server, &site).await;
    let is_granted = || site.entry.router.dump()["quarantine"].to_string().contains("\"trials\":1");
    while !is_granted() {
        assert_eq!(post(&site, "/once/a", "popular").await.status, 503);
        sleep(Duration::from_millis(100)).await;
    }

    server.restart();

    assert!(is_served_again_soon(&site).await, "refused for ten seconds");
}

/// A server that breaks off answers but keeps running is no evidence against a request.
#[tokio::test(flavor = "multi_thread")]
async fn broken_answers_of_running_servers_quarantine_nothing() {
    let servers = [
        start_server("i-1", Action::CloseConnection).await,
        start_server("i-2", Action::Truncated).await,
    ];
    let listed: Vec<_> = servers.iter().map(|server| (server, "app", "v1")).collect();
    let site = Arc::new(Site::start(&listed).await);

    for _ in 0..20 {
        post(&site, "/safe/a", "asked often").await;
    }

    assert_eq!(site.entry.router.dump()["quarantine"], serde_json::json!([]));
}

/// A request that was running on a server when it crashed is suspected until its first complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspected_request_is_cleared_by_a_complete_answer() {
    let slow =
        Action::PacedStream { last_event: EVENT_COUNT, interval: Duration::from_millis(200) };
    let (dies, serves) = (start_server("i-1", Action::Hang).await, start_server("i-2", slow).await);
    let site = Arc::new(Site::start(&[(&dies, "llm", "v1")]).await);
    let asking = site.clone();
    let asked = tokio::spawn(async move { post(&asking, "/chat/a", "innocent").await });
    wait_until("the request has reached the server", || dies.requests().len() == 1).await;
    list_server(&site.store, &serves, "llm", "v1", "ready");
    wait_until("both servers are known", || site.entry.router.fleet.load().len() == 2).await;

    dies.crash();
    let suspects = || site.entry.router.dump()["quarantine"].as_array().unwrap().len();
    wait_until("the request is suspected", || suspects() == 1).await;
    asked.await.unwrap();

    wait_until("the request is cleared", || suspects() == 0).await;
}

/// The server accepts connections again before its row shows the new start, and gets the request again.
#[tokio::test(flavor = "multi_thread")]
async fn each_end_of_a_server_counts_while_its_row_is_out_of_date() {
    let server = start_server("i-1", Action::Crash { after_head: false }).await;
    let site = Arc::new(Site::start(&[(&server, "app", "v1")]).await);
    let ends = || site.entry.router.dump()["quarantine"][0]["ends"].as_u64().unwrap_or(0);

    for life in 0..3 {
        for _ in 0..50 {
            if ends() > life {
                break;
            }
            let _ = post(&site, "/once/a", CRASHING_BODY).await;
            sleep(Duration::from_millis(50)).await;
        }
        server.wait_until_terminated(life as usize).await;
        sleep(RESTART_DELAY).await;
        server.restart();
    }

    assert!(is_quarantined(&site));
    assert_eq!(server.requests().len(), 3);
}

/// Two entries lose their connections to the same server 700 ms apart, and the server list shows the end to each of
/// them later. It must count as one end although the times that the entries recorded differ by more than half a second.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_of_a_server_seen_by_two_entries_at_different_times_counts_once() {
    let server = start_server("i-1", Action::CloseConnection).await;
    let seeds = [free_address(), free_address()];
    let mut sites = Vec::new();
    for seed in seeds {
        let store = store_with_servers(&[]).await;
        list_server_with_start_time(&store, &server, "app", 1_000);
        let change = |host: &mut HostSettings| {
            (host.seed_peers, host.peer_address) = (seeds.to_vec(), Some(seed));
        };
        let site = Arc::new(Site::start_with_settings(store, change).await);
        site.wait_for_servers(1).await;
        sites.push(site);
    }
    for site in &sites {
        wait_until("both entries report to each other", || {
            site.entry.router.dump()["entries"] == 2
        })
        .await;
    }
    let ends = |site: &Site| site.entry.router.dump()["quarantine"][0]["ends"].clone();
    post(&sites[0], "/once/a", CRASHING_BODY).await;
    sleep(Duration::from_millis(700)).await;
    post(&sites[1], "/once/a", CRASHING_BODY).await;

    list_server_with_start_time(&sites[0].store, &server, "app", 2_000);
    wait_until("the second entry knows of the end", || ends(&sites[1]) == 1).await;
    list_server_with_start_time(&sites[1].store, &server, "app", 2_000);
    wait_for_start(&sites[1], 2_000).await;

    assert_eq!(ends(&sites[1]), 1);
}
