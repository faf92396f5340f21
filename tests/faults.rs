//! The promises under faults, on a local system over real sockets.

mod common;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use common::{chat, wait_until};
use http::{Method, StatusCode};
use mintmoor::{
    load::{ChatOutcome, Client},
    local::{Fleet, LocalSystem, caller_key, operator_key},
    platform::{HttpClient, TableClient, Transaction},
    policy::claim::{Claim, ClaimState},
    resources::Kind,
    standin::{
        engine::{EngineFaults, EngineModel},
        faults::Faults,
        ratings::POOR_MARK,
    },
};
use serde_json::{Value, json};
use tokio::task::JoinSet;

async fn start() -> Arc<LocalSystem> {
    start_with(|_| {}).await
}

async fn start_with(change: impl FnOnce(&mut Fleet)) -> Arc<LocalSystem> {
    let mut fleet = Fleet::standard(5);
    change(&mut fleet);
    Arc::new(LocalSystem::start(fleet).await.unwrap())
}

fn client(system: &LocalSystem, entry: usize) -> Client {
    Client::new(&system.urls[entry].0)
}

fn store_faults(system: &LocalSystem, faults: Faults) {
    system.platform.table.faults.set(faults);
}

async fn roll_out(system: &LocalSystem, share: f64) {
    let spec = json!({
        "model": "swift", "from": "1", "to": "2", "steps": [share],
        "guard": { "step_samples": 1_000_000 },
    });
    system.put(Kind::RollOut, "ricarica/swift-2", &spec).await.unwrap();
}

async fn withdraw(system: &LocalSystem, version: &str) -> u64 {
    let spec = json!({ "cost_in": 100, "cost_out": 400, "state": "withdrawn" });
    let reply = system.put(Kind::Version, version, &spec).await.unwrap();
    reply["revision"].as_u64().unwrap()
}

async fn wait_in_force(system: &LocalSystem, revision: u64) {
    wait_until("the revision is in force everywhere", || async {
        let entries = system.entries.lock().unwrap();
        let agents = system.agents.lock().unwrap();
        entries.iter().flatten().all(|e| e.entry.config.revision() >= revision)
            && agents.values().all(|a| a.agent.config.revision() >= revision)
    })
    .await;
}

/// Sends a chat request with this body to the first entry; returns its response without reading the body.
async fn post_chat(
    system: &LocalSystem,
    http: &HttpClient,
    body: &Value,
) -> http::Response<hyper::body::Incoming> {
    let mut headers = http::HeaderMap::new();
    let key = caller_key("ricarica/kiosks");
    headers.insert("authorization", format!("Bearer {key}").parse().unwrap());
    let uri = format!("{}/v1/chat/completions", system.urls[0].0);
    http.open(Method::POST, &uri, headers, body.to_string().into_bytes().into()).await.unwrap()
}

async fn ask(client: &Client, session: Option<&str>, tag: &str) -> ChatOutcome {
    let mut call = chat("ricarica/kiosks", "swift", tag);
    call.session = session.map(Into::into);
    client.chat(&call).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_keeps_its_version_at_every_entry_while_shares_change() {
    let system = start().await;
    roll_out(&system, 0.5).await;
    let mut first = Vec::new();
    for i in 0..16 {
        first.push(ask(&client(&system, 0), Some(&format!("s{i}")), "one").await.version);
    }
    let versions: BTreeSet<_> = first.iter().collect();
    assert_eq!(versions.len(), 2, "the share is not used: {versions:?}");

    for share in [0.0, 1.0] {
        roll_out(&system, share).await;
        for (i, version) in first.iter().enumerate() {
            let again = ask(&client(&system, 1), Some(&format!("s{i}")), "two").await;
            assert_eq!(again.version, *version, "session s{i} at share {share}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawal_moves_a_session_once_and_it_stays_moved() {
    let system = start().await;
    roll_out(&system, 1.0).await;
    let before = ask(&client(&system, 0), Some("s"), "one").await;
    assert_eq!(&*before.version, "ricarica/swift@2");

    let revision = withdraw(&system, "ricarica/swift@2").await;
    wait_in_force(&system, revision).await;
    let moved = ask(&client(&system, 1), Some("s"), "two").await;
    // The version comes back, and the session does not follow it.
    let spec = json!({ "cost_in": 100, "cost_out": 400 });
    let reply = system.put(Kind::Version, "ricarica/swift@2", &spec).await.unwrap();
    wait_in_force(&system, reply["revision"].as_u64().unwrap()).await;
    let stayed = ask(&client(&system, 0), Some("s"), "three").await;

    assert_eq!((&*moved.version, &*stayed.version), ("ricarica/swift@1", "ricarica/swift@1"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_token_needs_no_store() {
    let system = start().await;
    roll_out(&system, 1.0).await;
    let first = ask(&client(&system, 0), None, "one").await;
    assert_eq!(&*first.version, "ricarica/swift@2");
    store_faults(&system, Faults { down: true, ..Faults::default() });

    let again = ask(&client(&system, 1), first.session.as_deref(), "two").await;

    assert_eq!(again.version, first.version);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_id_keeps_its_version_through_a_store_outage() {
    let system = start().await;
    roll_out(&system, 1.0).await;
    let first = ask(&client(&system, 0), Some("known"), "one").await;
    store_faults(&system, Faults { down: true, ..Faults::default() });

    // The other entry has never seen the session; an agent's memory has.
    let again = ask(&client(&system, 1), Some("known"), "two").await;
    let fresh = ask(&client(&system, 1), Some("fresh"), "three").await;

    assert_eq!(again.version, first.version);
    assert_eq!(&*fresh.version, "ricarica/swift@1", "new sessions stay off the roll-out");
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_store_is_down_repeatable_requests_go_on_and_others_are_refused() {
    let system = start().await;
    store_faults(&system, Faults { down: true, ..Faults::default() });
    let client = client(&system, 0);

    let plain = ask(&client, None, "plain").await;
    let mut call = chat("ricarica/kiosks", "swift", "once");
    call.once_key = Some("k1".into());
    let once = client.chat(&call).await;
    store_faults(&system, Faults::default());
    let again = client.chat(&call).await;

    assert_eq!(&*plain.code, "ok");
    assert_eq!((once.status, &*once.code), (503, "not_run"));
    assert_eq!(&*again.code, "ok", "the refusal was true, so the key is free");
}

#[tokio::test(flavor = "multi_thread")]
async fn charges_wait_out_an_object_store_outage() {
    let system = start().await;
    system.platform.objects.faults.set(Faults { down: true, ..Faults::default() });
    let mut tasks = JoinSet::new();
    for i in 0..20 {
        let client = client(&system, i % 2);
        tasks.spawn(async move { ask(&client, None, &format!("q{i}")).await });
    }
    let outcomes = tasks.join_all().await;
    assert!(outcomes.iter().all(|o| &*o.code == "ok"));

    system.platform.objects.faults.set(Faults::default());
    wait_until("every answer is charged once", || async {
        let key = operator_key("ricarica");
        let totals = system.operator_call(Method::GET, "totals", &key, &json!({})).await.unwrap();
        totals["ricarica/kiosks"]["requests"] == 20
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_doubled_and_cut_chunks_never_reach_a_caller() {
    let system = start().await;
    let faults = EngineFaults { cross: 0.2, duplicate: 0.2, cut: 0.01, ..EngineFaults::default() };
    for engine in system.engines.values() {
        engine.set_faults(faults.clone());
    }
    let mut tasks = JoinSet::new();
    for i in 0..60 {
        let client = client(&system, i % 2);
        let mut call = chat("ricarica/kiosks", "swift", &format!("question {i}"));
        call.stream = i % 2 == 0;
        tasks.spawn(async move {
            let clean = client.chat(&call).await;
            (call, clean)
        });
    }

    let outcomes = tasks.join_all().await;

    for engine in system.engines.values() {
        engine.set_faults(EngineFaults::default());
    }
    let answered = outcomes.iter().filter(|(_, o)| &*o.code == "ok");
    let mut compared = 0;
    for (call, outcome) in answered {
        // A clean engine gives the same text to the same prompt and version.
        let mut call = call.clone();
        call.model = outcome.version.trim_start_matches("ricarica/").into();
        let clean = client(&system, 0).chat(&call).await;
        assert_eq!(outcome.text, clean.text);
        compared += 1;
    }
    assert!(compared >= 50, "only {compared} answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_two_entries_runs_once() {
    let system = start().await;
    let key = caller_key("ricarica/tills");
    let mut tasks = JoinSet::new();
    for i in 0..40 {
        let (client, key) = (client(&system, i % 2), key.clone());
        let id = format!("order-{}", i / 4);
        tasks.spawn(async move {
            client.service(&key, "confirm/topup", Some(&id), id.clone().into_bytes().into()).await
        });
    }

    let outcomes = tasks.join_all().await;

    let calls = system.services["ricarica/confirm"].calls();
    assert_eq!(calls.len(), 10);
    assert!(calls.values().all(|count| *count == 1), "{calls:?}");
    let codes: BTreeSet<_> = outcomes.iter().map(|o| &*o.code).collect();
    assert!(codes.is_subset(&BTreeSet::from(["ok", "duplicate"])), "{codes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_replies_of_the_store_make_nothing_run_twice() {
    let system = start().await;
    store_faults(&system, Faults { lose_replies: 0.3, ..Faults::default() });
    let key = caller_key("ricarica/tills");
    let mut tasks = JoinSet::new();
    for i in 0..40 {
        let (client, key) = (client(&system, i % 2), key.clone());
        tasks.spawn(async move {
            let id = format!("order-{}", i / 2);
            let body = id.clone().into_bytes().into();
            let outcome = client.service(&key, "confirm/topup", Some(&id), body).await;
            (id, outcome)
        });
    }

    let outcomes = tasks.join_all().await;

    let calls = system.services["ricarica/confirm"].calls();
    assert!(calls.values().all(|count| *count == 1), "{calls:?}");
    assert!(outcomes.iter().any(|(_, o)| &*o.code == "ok"));
    // Also of the twin of a request that ran, nobody is told that it has not run.
    let told = outcomes.iter().filter(|(_, o)| &*o.code == "not_run");
    let lied: Vec<_> = told.filter(|(id, _)| calls.contains_key(id.as_bytes())).collect();
    assert!(lied.is_empty(), "{lied:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_death_of_the_relay_makes_nothing_run_twice_and_stops_nothing() {
    let system = start().await;
    let relay = {
        let entries = system.entries.lock().unwrap();
        entries[0].as_ref().unwrap().entry.relay_server().expect("a relay is chosen")
    };
    let key = caller_key("ricarica/tills");
    let order = |i: usize, round: usize| {
        let (client, key) = (client(&system, 0), key.clone());
        async move {
            let id = format!("order-{round}-{i}");
            client.service(&key, "confirm/topup", Some(&id), id.clone().into_bytes().into()).await
        }
    };
    let mut tasks = JoinSet::new();
    for i in 0..20 {
        tasks.spawn(order(i, 1));
    }
    tokio::time::sleep(Duration::from_millis(20)).await;

    system.kill_agent(&relay);

    let first = tasks.join_all().await;
    let mut second = Vec::new();
    // Without the service's own agent there is nothing to serve; any other relay is replaced.
    for i in (0..5).filter(|_| &*relay != "ricarica/confirm") {
        second.push(order(i, 2).await);
    }
    let calls = system.services["ricarica/confirm"].calls();
    assert!(calls.values().all(|count| *count == 1), "{calls:?}");
    assert!(second.iter().all(|o| &*o.code == "ok"), "{second:?}");
    let known = BTreeSet::from(["ok", "not_run", "outcome_unknown", "duplicate"]);
    assert!(first.iter().all(|o| known.contains(&*o.code)), "{first:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cascade_never_runs_a_once_only_request_twice() {
    let system = start().await;
    let client = client(&system, 0);
    let before: u64 = system.engines.values().flat_map(|e| e.started().into_values()).sum();

    for i in 0..12 {
        let mut call = chat("ricarica/tills", "topup", &format!("hearing {i}"));
        call.once_key = Some(format!("notice-{i}").into());
        let first = client.chat(&call).await;
        let second = client.chat(&call).await;
        assert_eq!((&*first.code, &*second.code), ("ok", "ok"));
        assert_eq!(first.text, second.text);
        assert!(second.replayed || first.text == second.text);
    }

    let after: u64 = system.engines.values().flat_map(|e| e.started().into_values()).sum();
    assert_eq!(after - before, 12, "one stage and one run for each");
}

/// Guards against a service's own status that tells the caller of a call that runs once to make it again under another key.
#[tokio::test(flavor = "multi_thread")]
async fn a_services_own_promise_is_not_passed_on_for_a_call_that_runs_once() {
    let system = start().await;
    let client = client(&system, 0);
    let key = caller_key("ricarica/tills");
    for status in [408, 421, 429, 503] {
        let carried_out =
            || -> u64 { system.services.values().flat_map(|s| s.calls().into_values()).sum() };
        let before = carried_out();
        let own = StatusCode::from_u16(status).unwrap();
        system.services.values().for_each(|service| service.answer_with(own));

        let id = format!("promise-{status}");
        let outcome = client.service(&key, "confirm/topup", Some(&id), id.clone().into()).await;

        assert_eq!((outcome.status, &*outcome.code), (502, "outcome_unknown"), "{status}");
        assert_eq!(carried_out() - before, 1, "{status}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_that_comes_before_the_end_was_written_gets_the_answer() {
    let system = start().await;
    let client = client(&system, 0);
    let mut call = chat("ricarica/tills", "topup", "hearing at nine");
    call.once_key = Some("notice-early".into());
    let first = client.chat(&call).await;
    let table = system.platform.table.client();
    let key = "claims/ricarica/tills/notice-early";
    let is_done = || async { claim_at(&table, key).await.0.state != ClaimState::Held };
    wait_until("the end is written", is_done).await;
    let (done, version) = claim_at(&table, key).await;
    let held = Claim { state: ClaimState::Held, ..done.clone() };
    let version = write_claim(&table, key, version, &held).await;

    let repeat = tokio::spawn(async move { client.chat(&call).await });
    tokio::time::sleep(Duration::from_millis(150)).await;
    write_claim(&table, key, version, &done).await;
    let second = repeat.await.unwrap();

    assert_eq!((&*first.code, &*second.code), ("ok", "ok"));
    assert_eq!(first.text, second.text);
    assert!(second.replayed);
}

async fn claim_at(table: &TableClient, key: &str) -> (Claim, u64) {
    let row = table.get(key).await.unwrap().expect("the request was claimed");
    (row.parse().unwrap(), row.version)
}

async fn write_claim(table: &TableClient, key: &str, version: u64, claim: &Claim) -> u64 {
    let tx = Transaction::default().check(key, Some(version)).put(key, claim);
    table.transact(tx).await.unwrap().expect("nobody else writes the claim")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_is_held_and_an_operators_resume_wins() {
    let system = start().await;
    let spec = json!({
        "model": "swift", "from": "1", "to": "2", "steps": [0.5],
        "guard": { "step_samples": 1_000_000 },
    });
    system.put(Kind::RollOut, "ricarica/swift-2", &spec).await.unwrap();
    let bad = mintmoor::standin::engine::BadVersion { poor: 1.0, ..Default::default() };
    let faults =
        EngineFaults { bad: [("ricarica/swift@2".into(), bad)].into(), ..EngineFaults::default() };
    for engine in system.engines.values() {
        engine.set_faults(faults.clone());
    }
    let state = || async {
        let key = operator_key("ricarica");
        let path = "roll_out/swift-2";
        system.operator_call(Method::GET, path, &key, &json!({})).await.unwrap()
    };
    let mut sent = 0;
    let mut seen: Value = state().await;
    while seen["spec"]["state"] == "running" {
        let mut tasks = JoinSet::new();
        for _ in 0..10 {
            sent += 1;
            let client = client(&system, sent % 2);
            tasks.spawn(async move { ask(&client, None, &format!("question {sent}")).await });
        }
        tasks.join_all().await;
        seen = state().await;
        assert!(sent < 2_000, "never held: {seen}");
    }
    assert_eq!(seen["spec"]["state"], "held", "{seen}");

    // The operator has looked into it; what was judged before does not count any more.
    for engine in system.engines.values() {
        engine.set_faults(EngineFaults::default());
    }
    let reply = system.put(Kind::RollOut, "ricarica/swift-2", &spec).await.unwrap();
    wait_in_force(&system, reply["revision"].as_u64().unwrap()).await;
    let outcomes: Vec<_> = futures_util::future::join_all((0..40).map(|i| {
        let client = client(&system, i % 2);
        async move { ask(&client, None, &format!("resumed {i}")).await }
    }))
    .await;
    assert!(outcomes.iter().any(|o| &*o.version == "ricarica/swift@2"));
    assert_eq!(state().await["spec"]["state"], "running");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hold_spreads_over_links_while_the_store_is_down() {
    let system = start().await;
    roll_out(&system, 0.5).await;
    let bad = mintmoor::standin::engine::BadVersion { fail: 1.0, ..Default::default() };
    for engine in system.engines.values() {
        let bad = [("ricarica/swift@2".into(), bad)].into();
        engine.set_faults(EngineFaults { bad, ..EngineFaults::default() });
    }
    store_faults(&system, Faults { down: true, ..Faults::default() });
    // Tokens keep sessions on the new version, so that evidence comes in despite the outage.
    let pinned = chat("ricarica/kiosks", "swift@2", "pinned");
    let held = |entry: usize| {
        let entries = system.entries.lock().unwrap();
        let dump = entries[entry].as_ref().unwrap().addresses.admin;
        drop(entries);
        async move {
            let base = format!("http://{dump}");
            let (_, body) = Client::new(&base).get("", "/debug/state").await.unwrap();
            let state: Value = serde_json::from_slice(&body).unwrap();
            state["held"].to_string().contains("swift@2")
        }
    };

    // Nothing is known of the old version, so it takes some forty failures.
    for _ in 0..60 {
        client(&system, 0).chat(&pinned).await;
    }

    wait_until("both entries hold the version", || async { held(0).await && held(1).await }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_pool_sheds_at_once_and_says_when_to_come_back() {
    let system = start_with(|fleet| {
        fleet.max_running = 2;
        fleet.max_queued = 2;
        fleet.model = EngineModel { step_base: Duration::from_millis(40), ..fleet.model };
    })
    .await;
    let mut tasks = JoinSet::new();
    for i in 0..80 {
        let client = client(&system, i % 2);
        tasks.spawn(async move { ask(&client, None, &format!("burst {i}")).await });
    }

    let outcomes = tasks.join_all().await;

    let codes: BTreeSet<_> = outcomes.iter().map(|o| &*o.code).collect();
    assert_eq!(codes, BTreeSet::from(["ok", "overloaded"]));
    let started: u64 = system.engines.values().flat_map(|e| e.started().into_values()).sum();
    let answered = outcomes.iter().filter(|o| &*o.code == "ok").count() as u64;
    assert_eq!(started, answered, "what was shed did not run, and nothing ran twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_below_the_target_is_escalated() {
    let system = start().await;
    let client = client(&system, 0);
    let mut poor = 0;
    let mut deep = 0;
    for i in 0..40 {
        let outcome = client.chat(&chat("ricarica/tills", "topup", &format!("question {i}"))).await;
        poor += usize::from(outcome.text.contains(POOR_MARK));
        deep += usize::from(&*outcome.version == "ricarica/deep@1");
    }
    assert!(poor <= 6, "{poor} of 40 poor");
    assert!((3..25).contains(&deep), "{deep} of 40 escalated");
}

#[tokio::test(flavor = "multi_thread")]
async fn with_ratings_down_answers_go_on() {
    let system = start().await;
    system.platform.ratings.set(Faults { down: true, ..Faults::default() });
    let client = client(&system, 0);

    for i in 0..5 {
        let outcome = client.chat(&chat("ricarica/tills", "topup", &format!("question {i}"))).await;
        assert_eq!(&*outcome.code, "ok");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_that_can_not_be_met_is_told_as_not_run() {
    let system = start_with(|fleet| {
        fleet.max_running = 1;
        fleet.model = EngineModel { step_base: Duration::from_millis(50), ..fleet.model };
    })
    .await;
    let mut tasks = JoinSet::new();
    for i in 0..12 {
        let client = client(&system, 0);
        let mut call = chat("ricarica/kiosks", "swift", &format!("late {i}"));
        call.deadline = Some(Duration::from_millis(if i < 4 { 20_000 } else { 60 }));
        tasks.spawn(async move { client.chat(&call).await });
    }

    let outcomes = tasks.join_all().await;

    let codes: BTreeSet<_> = outcomes.iter().map(|o| &*o.code).collect();
    let known = BTreeSet::from(["ok", "not_run", "overloaded", "outcome_unknown"]);
    assert!(codes.is_subset(&known), "{codes:?}");
    assert!(codes.contains("not_run") || codes.contains("overloaded"), "{codes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_frees_its_place_and_is_charged_for_its_part() {
    let system = start_with(|fleet| {
        fleet.model = EngineModel { step_base: Duration::from_millis(60), ..fleet.model };
    })
    .await;
    let body = json!({
        "model": "swift", "stream": true, "max_tokens": 40,
        "messages": [{ "role": "user", "content": "why has my recharge not landed" }],
    });
    // A client of its own, so that dropping it closes the connection.
    let http = HttpClient::default();
    let res = post_chat(&system, &http, &body).await;
    let mut answer = res.into_body();
    http_body_util::BodyExt::frame(&mut answer).await.unwrap().unwrap();

    drop(answer);
    drop(http);

    wait_until("the entry and the engines are idle", || async {
        let entries = system.entries.lock().unwrap();
        let agents = system.agents.lock().unwrap();
        entries.iter().flatten().all(|e| e.entry.in_flight() == 0)
            && agents.values().all(|a| a.agent.is_idle())
    })
    .await;
    wait_until("the part is charged", || async {
        let key = operator_key("ricarica");
        let totals = system.operator_call(Method::GET, "totals", &key, &json!({})).await.unwrap();
        let total = &totals["ricarica/kiosks"];
        total["requests"] == 1 && total["tokens_out"].as_u64().unwrap() < 30
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_can_be_explained_to_its_own_partner_only() {
    let system = start().await;
    let outcome = ask(&client(&system, 0), None, "why").await;
    let path = format!("explain/{}", outcome.request.unwrap());

    let story = system
        .operator_call(Method::GET, &path, &operator_key("ricarica"), &json!({}))
        .await
        .unwrap();
    let foreign =
        system.operator_call(Method::GET, &path, &operator_key("majlis"), &json!({})).await;

    let steps = story["steps"].to_string();
    assert!(steps.contains("chose") && steps.contains("expected first token"), "{steps}");
    assert!(foreign.is_err());
}

/// Guards against one caller's odd requests that take servers out of use: the engine's 4xx counted as its failure.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_engines_reject_make_no_server_unhealthy() {
    let system = start().await;
    let body = json!({
        "model": "swift", "stream": true, "resume": 5,
        "messages": [{ "role": "user", "content": "why has my recharge not landed" }],
    });
    let http = HttpClient::default();

    for _ in 0..20 {
        let res = post_chat(&system, &http, &body).await;
        assert_eq!(res.status(), StatusCode::BAD_REQUEST);
    }

    let agents = system.agents.lock().unwrap();
    let failures: Vec<_> =
        agents.values().map(|a| a.agent.dump()["failures_in_a_row"].clone()).collect();
    assert!(failures.iter().all(|failures| *failures == 0), "{failures:?}");
    let entries = system.entries.lock().unwrap();
    let dumps: Vec<String> = entries.iter().flatten().map(|e| e.entry.dump().to_string()).collect();
    assert!(dumps.iter().all(|dump| !dump.contains("\"out\":true")), "{dumps:?}");
}
