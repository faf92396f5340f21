//! The binary itself: entries and agents as separate processes, with faults while traffic flows.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{Cluster, chat, wait_until};
use mintmoor::{
    load::{ChatOutcome, Client},
    local::operator_key,
    platform::HostState,
};
use serde_json::json;
use tokio::task::JoinSet;

/// Sends `count` chats spread over `entries`, some streamed, a little apart.
async fn send_chats(clients: Vec<Client>, count: usize, tag: &str) -> Vec<ChatOutcome> {
    let mut tasks = JoinSet::new();
    for i in 0..count {
        let client = clients[i % clients.len()].clone();
        let mut call = chat("ricarica/kiosks", "swift", &format!("{tag} question {i}"));
        call.stream = i % 2 == 0;
        tasks.spawn(async move { client.chat(&call).await });
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    tasks.join_all().await
}

/// Sends a chat every 15 ms until stopped, and counts the complete answers as they arrive.
async fn send_chats_until_stopped(
    client: Client,
    answered: Arc<AtomicUsize>,
    is_stopped: Arc<AtomicBool>,
) -> Vec<ChatOutcome> {
    let mut tasks = JoinSet::new();
    for i in 0.. {
        if is_stopped.load(Ordering::SeqCst) {
            break;
        }
        let (client, answered) = (client.clone(), answered.clone());
        let mut call = chat("ricarica/kiosks", "swift", &format!("charged question {i}"));
        call.stream = i % 2 == 0;
        tasks.spawn(async move {
            let outcome = client.chat(&call).await;
            answered.fetch_add(usize::from(&*outcome.code == "ok"), Ordering::SeqCst);
            outcome
        });
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    tasks.join_all().await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_version_gets_no_request_once_the_agents_know() {
    let cluster = Cluster::start().await;
    let key = operator_key("ricarica");
    let clients = vec![cluster.client(0), cluster.client(1)];
    let traffic = tokio::spawn(send_chats(clients.clone(), 120, "before"));
    tokio::time::sleep(Duration::from_millis(300)).await;

    let spec = json!({ "cost_in": 100, "cost_out": 400, "state": "withdrawn" });
    let (status, body) = cluster.call_operator_api("PUT", 0, "version/swift@1", &key, &spec).await;
    assert_eq!(status, 200, "{body}");
    let revision = body["revision"].clone();
    wait_until("both agents have the revision", || async {
        let states = [
            cluster.state_dump(&cluster.agents[0]).await,
            cluster.state_dump(&cluster.agents[1]).await,
        ];
        states.iter().all(|state| state["config_revision"].as_u64() >= revision.as_u64())
    })
    .await;
    let started: Vec<_> = cluster.engines.iter().map(|e| e.started()["ricarica/swift@1"]).collect();
    let before = traffic.await.unwrap();
    let after = send_chats(clients, 20, "after").await;

    // The stable version is withdrawn and no roll-out names another: refused, and not run.
    assert!(before.iter().any(|o| &*o.code == "ok"));
    assert!(after.iter().all(|o| &*o.code == "withdrawn"), "{:?}", after[0]);
    let later: Vec<_> = cluster.engines.iter().map(|e| e.started()["ricarica/swift@1"]).collect();
    assert_eq!(started, later, "a request started on the withdrawn version");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_agent_loses_no_repeatable_answer() {
    let mut cluster = Cluster::start().await;
    let clients = vec![cluster.client(0), cluster.client(1)];
    let traffic = tokio::spawn(send_chats(clients, 60, "kill"));
    tokio::time::sleep(Duration::from_millis(400)).await;

    cluster.agents[0].kill();

    let outcomes = traffic.await.unwrap();
    let lost: Vec<_> = outcomes.iter().filter(|o| &*o.code != "ok").collect();
    assert!(lost.is_empty(), "{lost:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_loses_no_charge_of_a_delivered_answer() {
    let mut cluster = Cluster::start().await;
    let (answered, is_stopped) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
    let traffic = send_chats_until_stopped(cluster.client(0), answered.clone(), is_stopped.clone());
    let traffic = tokio::spawn(traffic);
    wait_until("answers were delivered", || async { answered.load(Ordering::SeqCst) >= 5 }).await;

    cluster.entries[0].kill();
    is_stopped.store(true, Ordering::SeqCst);

    let outcomes = traffic.await.unwrap();
    let answered: Vec<_> = outcomes.iter().filter(|o| &*o.code == "ok").collect();
    assert!(answered.len() < outcomes.len(), "the kill met no traffic");
    let delivered = answered.len() as u64;
    // The agents give the entry up, flush its records, and the other entry settles them.
    wait_until("every delivered answer is in the totals", || async {
        let (_, totals) = cluster
            .call_operator_api("GET", 1, "totals", &operator_key("ricarica"), &json!({}))
            .await;
        totals["ricarica/kiosks"]["requests"].as_u64() >= Some(delivered)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request_off() {
    let mut cluster = Cluster::start().await;
    let clients = vec![cluster.client(0)];
    let traffic = tokio::spawn(send_chats(clients, 30, "stop"));
    tokio::time::sleep(Duration::from_millis(300)).await;

    let agent = cluster.agents[0].stop().await;
    let entry = cluster.entries[0].stop().await;

    assert!(agent.success() && entry.success());
    let outcomes = traffic.await.unwrap();
    // Those that came after the stop found no listener; none was cut off in flight.
    let cut: Vec<_> = outcomes.iter().filter(|o| &*o.code == "cut" && o.status != 0).collect();
    assert!(cut.is_empty(), "{cut:?}");
    assert!(outcomes.iter().any(|o| &*o.code == "ok"));
    let told: Vec<_> = outcomes.iter().filter(|o| &*o.code != "ok" && o.status != 0).collect();
    assert!(told.iter().all(|o| &*o.code == "not_run"), "{told:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_host_gets_no_new_work() {
    let cluster = Cluster::start().await;

    cluster.platform.hosts.mark_leaving("host-engine-1");
    wait_until("the agent knows that it is leaving", || async {
        cluster.state_dump(&cluster.agents[0]).await["leaving"] == true
    })
    .await;
    let before: u64 = cluster.engines[0].started().values().sum();
    let outcomes = send_chats(vec![cluster.client(0), cluster.client(1)], 20, "leave").await;

    assert!(outcomes.iter().all(|o| &*o.code == "ok"));
    assert_eq!(cluster.engines[0].started().values().sum::<u64>(), before);
    let shown = cluster.platform.hosts.shown();
    assert!(shown.iter().any(|host| host.state == HostState::Leaving));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_runs_once_survives_kill_and_retry() {
    let mut cluster = Cluster::start().await;
    let client = cluster.client(0);
    let key = mintmoor::local::caller_key("ricarica/tills");
    let call = |client: Client, id: String| {
        let key = key.clone();
        async move {
            client.service(&key, "confirm/topup", Some(&id), id.clone().into_bytes().into()).await
        }
    };
    let mut tasks = JoinSet::new();
    for i in 0..10 {
        tasks.spawn(call(client.clone(), format!("order-{i}")));
    }
    tokio::time::sleep(Duration::from_millis(60)).await;

    cluster.agents[2].kill();

    let first = tasks.join_all().await;
    let mut second = Vec::new();
    for i in 0..10 {
        second.push(call(cluster.client(1), format!("order-{i}")).await);
    }
    let calls = cluster.service.calls();
    assert!(calls.values().all(|count| *count == 1), "ran twice: {calls:?}");
    let codes: Vec<_> = first.iter().chain(&second).map(|o| &*o.code).collect();
    let known = ["ok", "outcome_unknown", "not_run", "duplicate"];
    assert!(codes.iter().all(|code| known.contains(code)), "{codes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_entry_does_not_hold_the_others_up() {
    let cluster = Cluster::start().await;

    cluster.entries[0].signal("STOP");
    let outcomes = send_chats(vec![cluster.client(1)], 10, "paused").await;
    cluster.entries[0].signal("CONT");
    let resumed = send_chats(vec![cluster.client(0)], 4, "resumed").await;

    let failed: Vec<_> =
        outcomes.iter().chain(&resumed).filter(|outcome| &*outcome.code != "ok").collect();
    assert!(failed.is_empty(), "{failed:?}");
}

#[test]
fn the_first_command_of_the_readme_answers_everything_and_breaks_nothing() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_mintmoor"))
        .args(["local", "--requests", "60", "--seed", "2"])
        .output()
        .unwrap();

    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    assert!(text.contains("promises broken 0"), "{text}");
    assert!(text.contains("majlis/clerks") && text.contains("ricarica/tills"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn local_prints_one_line_that_tells_how_to_use_it() {
    let mut child = tokio::process::Command::new(env!("CARGO_BIN_EXE_mintmoor"))
        .arg("local")
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut line = String::new();
    let stdout = child.stdout.take().unwrap();
    let mut reader = tokio::io::BufReader::new(stdout);
    tokio::io::AsyncBufReadExt::read_line(&mut reader, &mut line).await.unwrap();
    let told: serde_json::Value = serde_json::from_str(&line).unwrap();

    let mut call = chat("ricarica/tills", told["model"].as_str().unwrap(), "first look");
    call.key = told["caller_key"].as_str().unwrap().into();
    let outcome = Client::new(told["caller"].as_str().unwrap()).chat(&call).await;

    assert_eq!(&*outcome.code, "ok");
    assert!(told["keys"]["operator:majlis"].is_string());
}
