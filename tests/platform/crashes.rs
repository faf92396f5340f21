//! A request that crashes every server that begins to run it (docs/incidents/0011).

use std::{sync::Arc, time::Duration};

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
    server::{Action, Server},
    site::{
        Answer, Site, list_server, list_server_with_start_time, start_server, store_with_servers,
        wait_until,
    },
    store::Fault,
};

/// Time that the news of a server's end may take to all entries, a busy machine included.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);
/// Sends after the third end that are allowed over all entries, beside those that cross the news.
const MAX_LATE_ARRIVALS: usize = 3;

/// Three servers ended, and hardly anything was sent after all had to know of it.
fn assert_few_late_arrivals(pool: &Pool) {
    assert!(pool.crash_record.crash_count() >= 3, "it ended servers");
    let late = pool.crash_record.arrivals_after_third_crash(PROPAGATION_TIME);
    let (ends, tries) = (pool.crash_record.crash_count(), pool.crash_record.distinct_requests());
    println!("{late} arrivals late, {ends} ends in all, in {tries} tries");
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} arrivals late, {ends} ends in all, in {tries} tries"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ended_three_servers_is_sent_to_no_more_servers() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(4).await;

    send_crashing_requests(&sites, "/chat/a", Duration::from_secs(6)).await;

    assert_few_late_arrivals(&pool);
}

/// A server may end before it has answered anything.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_end_servers_before_any_answer_are_sent_to_no_more_servers() {
    let pool = Pool::start("app", 6, false).await;
    let sites = pool.start_entries(4).await;

    send_crashing_requests(&sites, "/safe/a", Duration::from_secs(6)).await;

    assert_few_late_arrivals(&pool);
}

/// Nine in ten of what is served without such a request.
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

    assert!(pool.crash_record.crash_count() >= 3, "it ended servers");
    let (calm, beside) = (calm_served as f64 / calm_asked as f64, served as f64 / asked as f64);
    println!("beside it {served} of {asked} served, {} ends", pool.crash_record.crash_count());
    assert!(beside >= 0.9 * calm, "{served} of {asked}, without it {calm_served} of {calm_asked}");
}

/// Sends the crashing request until it is refused at an entry.
async fn until_refused(site: &Arc<Site>, path: &str) -> Answer {
    for _ in 0..100 {
        let answer = post(site, path, CRASHING_BODY).await;
        if answer.status == 503 && answer.body.contains("servers ended") {
            return answer;
        }
    }
    panic!("it is never refused");
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
    wait_until("the other one knows", || is_quarantined(&sites[1])).await;
    let arrivals = || pool.crash_record.arrivals.lock().unwrap().len();
    let before = arrivals();

    for site in &sites {
        let answer = post(site, "/chat/a", CRASHING_BODY).await;

        assert_eq!(answer.status, 503);
        assert!(answer.head.contains("retry-after: 2"), "nearly five minutes: {}", answer.head);
    }
    assert_eq!(arrivals(), before, "what is said not to have run has not");
}

/// Whoever sends the same bytes with another Organisation's key, or on another path, is served.
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

/// All entries are killed at once, and the caller goes on asking.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_all_restart_still_refuse_a_quarantined_request() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(3).await;
    until_refused(&sites[0], "/chat/a").await;
    wait_until("the store keeps it", || pool.store.read("mintmoor", "quarantine").is_some()).await;
    let arrivals = || pool.crash_record.arrivals.lock().unwrap().len();
    let before = arrivals();
    drop(sites);

    let sites = pool.start_entries(3).await;
    for site in &sites {
        assert_eq!(post(site, "/chat/a", CRASHING_BODY).await.status, 503);
    }

    assert_eq!(arrivals(), before);
}

/// The entries know each other by no seed that lives: the store is all that they share.
#[tokio::test(flavor = "multi_thread")]
async fn entries_without_a_seed_learn_of_a_quarantine_from_the_store() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_isolated_entries(3).await;

    until_refused(&sites[0], "/chat/a").await;
    for site in &sites {
        wait_until("it knows", || is_quarantined(site)).await;
    }

    assert_eq!(pool.crash_record.crash_count(), 3);
}

/// The three ends are seen by an entry each, none of which hears from the others.
#[tokio::test(flavor = "multi_thread")]
async fn ends_that_separate_entries_saw_are_combined_in_the_store() {
    let pool = Pool::start("app", 6, false).await;
    let sites = pool.start_isolated_entries(3).await;
    let in_store = || {
        let row = pool.store.read("mintmoor", "quarantine").unwrap_or_default();
        row["cases"][0]["ends"].as_array().map_or(0, Vec::len)
    };

    for (i, site) in sites.iter().enumerate() {
        // One send a try.
        let _ = post(site, "/once/a", CRASHING_BODY).await;
        wait_until("it is in the store", || in_store() == i + 1).await;
    }

    for site in &sites {
        wait_until("it knows", || is_quarantined(site)).await;
    }
    assert_eq!(pool.crash_record.crash_count(), 3);
}

/// The same of one server, which is back each time before the list tells of its next life.
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
        wait_until("it knows", || is_quarantined(site)).await;
    }
}

/// Servers that hide their ends behind something that takes connections, so that the list alone tells of
/// them, of all in one moment.
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
    // The fourth ends under another request.
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

    wait_until("it is refused", || is_quarantined(&site)).await;
}

/// The store is away while servers end: entries tell each other, and the store hears of it later.
#[tokio::test(flavor = "multi_thread")]
async fn the_quarantine_is_written_once_the_store_is_back() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(3).await;
    pool.store.set_fault(Fault::Down);

    until_refused(&sites[2], "/chat/a").await;
    for site in &sites {
        wait_until("it knows", || is_quarantined(site)).await;
    }
    assert!(pool.store.read("mintmoor", "quarantine").is_none());
    pool.store.set_fault(Fault::None);

    wait_until("the store keeps it", || pool.store.read("mintmoor", "quarantine").is_some()).await;
}

/// The store comes back from a copy that lacks it: who knows it writes it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_restored_without_a_quarantine_gets_it_again() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(2).await;
    let snapshot = pool.store.snapshot();
    until_refused(&sites[0], "/chat/a").await;
    let in_store = || pool.store.read("mintmoor", "quarantine").is_some();
    wait_until("the store keeps it", in_store).await;

    pool.store.restore(&snapshot);

    wait_until("the store keeps it again", in_store).await;
}

/// A seed hears of the ends and is killed; others have heard of them as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_seed_that_is_killed_loses_no_server_end() {
    let pool = Pool::start("llm", 6, true).await;
    let mut sites = pool.start_entries(4).await;
    let last = sites.pop().unwrap();
    until_refused(&last, "/chat/a").await;
    // Whoever saw the ends lives until a seed has heard of them, and not until that has told others.
    wait_until("a seed knows", || is_quarantined(&sites[0]) || is_quarantined(&sites[1])).await;
    let first = sites.remove(usize::from(!is_quarantined(&sites[0])));
    drop(first);
    drop(last);

    for site in &sites {
        wait_until("it knows", || is_quarantined(site)).await;
    }
    assert_eq!(pool.crash_record.crash_count(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operators_release_applies_to_all_entries() {
    let pool = Pool::start("llm", 6, true).await;
    let sites = pool.start_entries(2).await;
    until_refused(&sites[0], "/chat/a").await;
    wait_until("the other one knows", || is_quarantined(&sites[1])).await;
    wait_until("the store keeps it", || pool.store.read("mintmoor", "quarantine").is_some()).await;
    let case = sites[0].entry.router.dump()["quarantine"][0].clone();
    let fingerprint = case["fingerprint"].as_str().unwrap().to_owned();

    let released = sites[1].entry.router.release(&fingerprint);

    assert_eq!(released, Released::Done);
    assert_eq!(sites[1].entry.router.release(&fingerprint), Released::Unknown);
    wait_until("the other one lets it go", || !is_quarantined(&sites[0])).await;
    let kept = || pool.store.read("mintmoor", "quarantine").unwrap()["cases"].clone();
    wait_until("so does the store", || kept().as_array().unwrap().is_empty()).await;
}

/// Many callers send it, so it is wherever the guilty one is. A trial tells them apart a second later.
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
    assert_eq!(served, 20, "within ten seconds");
    assert!(sites.iter().any(|site| is_quarantined(site)), "the guilty one is refused");
}

/// A server that breaks connections and lives on proves nothing.
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

/// A request that ran beside the guilty one is cleared by its first whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspected_request_is_cleared_by_a_complete_answer() {
    let slow =
        Action::PacedStream { last_event: EVENT_COUNT, interval: Duration::from_millis(200) };
    let (dies, serves) = (start_server("i-1", Action::Hang).await, start_server("i-2", slow).await);
    let site = Arc::new(Site::start(&[(&dies, "llm", "v1")]).await);
    let asking = site.clone();
    let asked = tokio::spawn(async move { post(&asking, "/chat/a", "innocent").await });
    wait_until("it is there", || dies.requests().len() == 1).await;
    list_server(&site.store, &serves, "llm", "v1", "ready");
    wait_until("both are in view", || site.entry.router.fleet.load().len() == 2).await;

    dies.crash();
    let suspects = || site.entry.router.dump()["quarantine"].as_array().unwrap().len();
    wait_until("it is suspected", || suspects() == 1).await;
    asked.await.unwrap();

    wait_until("it is cleared", || suspects() == 0).await;
}

/// It comes back before its row tells of its next life, and meets the request again.
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

/// Two entries lose their connections to one end of a server at different times, and the list tells each of it later:
/// it is one end, though the second entry's own date for it is more than half a second later.
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
        wait_until("all report", || site.entry.router.dump()["entries"] == 2).await;
    }
    let ends = |site: &Site| site.entry.router.dump()["quarantine"][0]["ends"].clone();
    post(&sites[0], "/once/a", CRASHING_BODY).await;
    sleep(Duration::from_millis(700)).await;
    post(&sites[1], "/once/a", CRASHING_BODY).await;

    list_server_with_start_time(&sites[0].store, &server, "app", 2_000);
    wait_until("the second one is told", || ends(&sites[1]) == 1).await;
    list_server_with_start_time(&sites[1].store, &server, "app", 2_000);
    let is_reborn = || {
        let fleet = sites[1].entry.router.fleet.load();
        fleet.of_service("app").iter().any(|member| member.server.started_at == Some(2_000))
    };
    wait_until("the list tells it, too", is_reborn).await;

    assert_eq!(ends(&sites[1]), 1);
}
