//! The usage duty: one entry at a time reports how many requests of each Organisation began in each window.

use std::{net::SocketAddr, time::Duration};

use mintmoor::platform::host_settings::{DutySettings, HostSettings};
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpListener};

use crate::{
    duty_service::{DutyFault, DutyService},
    pool::free_address,
    server::{Action, Server},
    site::{Site, start_server, store_with_servers, wait_until},
    store::{Fault, Store},
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };
const LEASE: Duration = Duration::from_millis(600);
const WINDOW: Duration = Duration::from_secs(1);

fn duty_settings(service: &DutyService) -> DutySettings {
    DutySettings {
        address: service.address,
        calls_per_second: 50.0,
        lease: LEASE,
        usage_window: WINDOW,
        usage_delay: Duration::from_secs(3),
    }
}

/// A store, a duty service, and entries on them.
struct Deployment {
    store: Store,
    duties: DutyService,
    seeds: Vec<SocketAddr>,
    server: Server,
}

impl Deployment {
    async fn new(seeds: usize) -> Self {
        let server = start_server("i-1", GOOD).await;
        let store = store_with_servers(&[(&server, "app", "v1")]).await;
        let duties = DutyService::start(LEASE).await;
        Self { store, duties, seeds: (0..seeds).map(|_| free_address()).collect(), server }
    }

    async fn start_entry(&self, peer: Option<SocketAddr>) -> Site {
        let change = |host: &mut HostSettings| {
            host.seed_peers.clone_from(&self.seeds);
            host.peer_address = peer.or(host.peer_address);
            host.duties = Some(duty_settings(&self.duties));
        };
        let site = Site::start_with_settings(self.store.clone(), change).await;
        site.wait_for_servers(1).await;
        site
    }

    /// Starts all seeds and waits until one of them has reported usage.
    async fn start_seeds(&self) -> Vec<Site> {
        let mut sites = Vec::new();
        for seed in &self.seeds {
            sites.push(self.start_entry(Some(*seed)).await);
        }
        self.wait_for_reports(1).await;
        sites
    }

    /// Waits until this number of further windows has been reported.
    async fn wait_for_reports(&self, further: usize) {
        let before = self.duties.reported_windows();
        wait_until("windows are reported", || self.duties.reported_windows() >= before + further)
            .await;
    }

    /// Waits until this number of requests has been reported.
    async fn wait_for_requests(&self, requests: u64) {
        wait_until("all requests are reported", || self.duties.reported_requests() >= requests)
            .await;
    }
}

async fn send(site: &Site, requests: usize) {
    for _ in 0..requests {
        assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);
    }
}

fn holds_duty(site: &Site) -> bool {
    site.entry.router.metrics.render().contains("mintmoor_duty_held 1")
}

#[tokio::test(flavor = "multi_thread")]
async fn every_request_is_reported_once_through_whichever_entry_it_came() {
    let deployment = Deployment::new(2).await;
    let seeds = deployment.start_seeds().await;
    let follower = deployment.start_entry(None).await;

    send(&seeds[0], 7).await;
    send(&seeds[1], 5).await;
    send(&follower, 9).await;

    deployment.wait_for_requests(21).await;
    deployment.wait_for_reports(2).await;
    assert_eq!(deployment.duties.reported_requests(), 21);
    deployment.duties.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_an_entry_that_was_killed_are_reported() {
    let deployment = Deployment::new(1).await;
    let _seeds = deployment.start_seeds().await;
    let follower = deployment.start_entry(None).await;
    wait_until("the entry reports to the seed", || follower.entry.router.dump()["entries"] == 2)
        .await;

    send(&follower, 8).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    drop(follower.entry);

    deployment.wait_for_requests(8).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_seed_takes_over_from_a_holder_that_is_killed() {
    let deployment = Deployment::new(2).await;
    let mut seeds = deployment.start_seeds().await;
    let holder = seeds.iter().position(holds_duty).unwrap();
    let (_, token) = deployment.duties.last_holder().unwrap();

    drop(seeds.remove(holder).entry);
    send(&seeds[0], 6).await;

    deployment.wait_for_requests(6).await;
    let (name, next_token) = deployment.duties.last_holder().unwrap();
    assert_eq!(*name, *seeds[0].entry.router.settings.load().host);
    assert!(next_token > token);
    deployment.duties.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_the_duty_over() {
    let deployment = Deployment::new(2).await;
    let mut seeds = deployment.start_seeds().await;
    let holder = seeds.iter().position(holds_duty).unwrap();

    let leaving = tokio::spawn(seeds.remove(holder).entry.stop());
    wait_until("the other seed holds the duty", || holds_duty(&seeds[0])).await;

    leaving.await.unwrap();
    deployment.wait_for_reports(2).await;
    deployment.duties.assert_rules_kept();
}

/// The former holder's report was received, but its answer was lost; its successor must not send other counts.
#[tokio::test(flavor = "multi_thread")]
async fn a_report_whose_answer_was_lost_is_repeated_exactly_by_the_next_holder() {
    let deployment = Deployment::new(2).await;
    let mut seeds = deployment.start_seeds().await;
    let holder = seeds.iter().position(holds_duty).unwrap();
    deployment.duties.set_fault(DutyFault::Silent);
    send(&seeds[1 - holder], 4).await;
    deployment.wait_for_requests(4).await;

    drop(seeds.remove(holder).entry);
    let calls = deployment.duties.calls();
    deployment.duties.set_fault(DutyFault::None);

    wait_until("the report is repeated", || deployment.duties.calls() > calls).await;
    deployment.wait_for_reports(1).await;
    assert_eq!(deployment.duties.reported_requests(), 4);
    deployment.duties.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread")]
async fn reports_are_repeated_while_the_duty_service_is_busy_or_down() {
    for status in [429, 503, 500] {
        let deployment = Deployment::new(1).await;
        let seeds = deployment.start_seeds().await;
        deployment.duties.set_fault(DutyFault::Status(status));
        send(&seeds[0], 3).await;
        let calls = deployment.duties.calls();
        wait_until("a report was refused", || deployment.duties.calls() > calls + 1).await;
        assert_eq!(deployment.duties.reported_requests(), 0);

        deployment.duties.set_fault(DutyFault::None);

        deployment.wait_for_requests(3).await;
        deployment.duties.assert_rules_kept();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_loses_the_store_stops_and_reports_late_when_it_is_back() {
    let deployment = Deployment::new(2).await;
    let seeds = deployment.start_seeds().await;
    send(&seeds[0], 3).await;
    deployment.store.set_fault(Fault::Down);
    wait_until("nobody holds the duty", || !seeds.iter().any(holds_duty)).await;
    let calls = deployment.duties.calls();
    tokio::time::sleep(WINDOW).await;
    assert_eq!(deployment.duties.calls(), calls, "a report was sent without a lease");

    deployment.store.set_fault(Fault::None);

    deployment.wait_for_requests(3).await;
    deployment.duties.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_replies_of_the_store_change_no_report() {
    let deployment = Deployment::new(2).await;
    let seeds = deployment.start_seeds().await;
    for round in 1..=3 {
        deployment.store.set_fault(Fault::RepliesLost);
        send(&seeds[0], 2).await;
        tokio::time::sleep(LEASE).await;
        deployment.store.set_fault(Fault::None);
        deployment.wait_for_requests(2 * round).await;
    }

    deployment.wait_for_reports(2).await;
    assert_eq!(deployment.duties.reported_requests(), 6);
    deployment.duties.assert_rules_kept();
}

/// The copy knows nothing of the lease and of the reports that were sent since.
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_store_leads_to_no_lower_token_and_no_second_report() {
    let deployment = Deployment::new(2).await;
    let copy = deployment.store.snapshot();
    let seeds = deployment.start_seeds().await;
    send(&seeds[0], 5).await;
    deployment.wait_for_requests(5).await;
    let (_, token) = deployment.duties.last_holder().unwrap();

    deployment.store.restore(&copy);
    deployment.wait_for_reports(2).await;
    send(&seeds[1], 4).await;
    deployment.wait_for_requests(9).await;

    assert!(deployment.duties.last_holder().unwrap().1 > token);
    assert_eq!(deployment.duties.reported_requests(), 9);
    deployment.duties.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread")]
async fn rows_of_another_writer_do_not_stop_the_duty() {
    let rows = [
        json!("junk"),
        json!({"holder": 7}),
        json!({"holder": "x", "fencing": 1, "renewals": 0, "next_window": u64::MAX, "unsent": [1, 2]}),
    ];
    for row in rows {
        let deployment = Deployment::new(1).await;
        deployment.store.put("mintmoor-duties", "usage", &row);
        deployment.store.put("mintmoor-duties", "usage-report/03", &json!({"window": "?"}));

        let seeds = deployment.start_seeds().await;
        send(&seeds[0], 3).await;

        deployment.wait_for_requests(3).await;
        deployment.duties.assert_rules_kept();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_no_server_ran_are_not_reported() {
    let deployment = Deployment::new(1).await;
    let seeds = deployment.start_seeds().await;
    send(&seeds[0], 2).await;
    deployment.server.crash();
    deployment.server.wait_until_terminated(0).await;

    assert_ne!(seeds[0].request("GET", "/safe/a", "").await.status, 200);

    deployment.wait_for_requests(2).await;
    deployment.wait_for_reports(2).await;
    assert_eq!(deployment.duties.reported_requests(), 2);
}

/// Answers every connection with bytes that are no HTTP.
async fn start_junk_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            // The entry may have closed the connection already.
            let _ = stream.write_all(b"200 thanks\r\n\r\n").await;
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_none_counts_as_lost_and_the_report_is_repeated() {
    let mut deployment = Deployment::new(1).await;
    deployment.duties.address = start_junk_service().await;
    let site = deployment.start_entry(Some(deployment.seeds[0])).await;

    let lost = || {
        let metrics = site.entry.router.metrics.render();
        let line =
            metrics.lines().find(|line| line.contains(r#"usage_reports_total{outcome="lost"}"#));
        line.and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).unwrap_or(0)
    };
    wait_until("reports are repeated", || lost() >= 3).await;

    assert_eq!(site.request("GET", "/safe/a", "").await.status, 200);
}
