//! An entry that gets far more new connections than it has processor time for (docs/incidents/0022).

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use mintmoor::policy::accept_control::AcceptControl;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::oneshot,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    server::{Action, Server},
    site::{Site, request_bytes, start_server, store_with_servers},
    store::Store,
};

/// Processor time that the entry takes for a request: it serves 33 a second.
const REQUEST_COST: Duration = Duration::from_millis(30);
/// Time between two new connections: three times as many as it can serve.
const CONNECT_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which a caller gives up on an entry that has not read its request.
const CALLER_PATIENCE: Duration = Duration::from_secs(1);
/// Time from the begin of the load after which it is measured.
const SETTLED: Duration = Duration::from_millis(1_500);
const LOAD_DURATION: Duration = Duration::from_secs(5);

/// What a caller sees of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Closed,
    GaveUp,
}

/// Starts an entry on a thread of its own, which is kept busy for each request that reaches the server.
async fn start_busy_entry(store: Store, server: Server, is_over: Arc<AtomicBool>) -> SocketAddr {
    let (tx, rx) = oneshot::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let site = Site::start_with_store(store).await;
            site.wait_for_servers(1).await;
            tx.send(site.caller).unwrap();
            let mut seen = 0;
            while !is_over.load(Ordering::SeqCst) {
                let count = server.requests().len();
                std::thread::sleep(REQUEST_COST * u32::try_from(count - seen).unwrap());
                seen = count;
                sleep(Duration::from_millis(1)).await;
            }
        });
    });
    rx.await.unwrap()
}

async fn call(caller: SocketAddr, path: &str) -> Outcome {
    let exchange = async {
        let mut stream = TcpStream::connect(caller).await.ok()?;
        stream.write_all(request_bytes("GET", path, "", "").as_bytes()).await.ok()?;
        let mut first = [0; 12];
        stream.read_exact(&mut first).await.ok()?;
        first.ends_with(b"200").then_some(())
    };
    match timeout(CALLER_PATIENCE, exchange).await {
        Ok(Some(())) => Outcome::Answered,
        Ok(None) => Outcome::Closed,
        Err(_) => Outcome::GaveUp,
    }
}

/// Guards against requests that are read when their callers have given up.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_with_too_many_new_connections_serves_what_it_reads_and_closes_the_rest() {
    let server = start_server("i-1", Action::Respond { status: 200, body: "ok" }).await;
    let store = store_with_servers(&[(&server, "app", "v1")]).await;
    let is_over = Arc::<AtomicBool>::default();
    let caller = start_busy_entry(store, server.clone(), is_over.clone()).await;

    let (mut calls, started_at) = (JoinSet::new(), Instant::now());
    for i in 0.. {
        if started_at.elapsed() > LOAD_DURATION {
            break;
        }
        let is_counted = started_at.elapsed() > SETTLED;
        calls.spawn(async move {
            let path = format!("/safe/{i}");
            (is_counted, call(caller, &path).await, path)
        });
        sleep(CONNECT_INTERVAL).await;
    }
    let outcomes = calls.join_all().await;
    is_over.store(true, Ordering::SeqCst);

    let requests = server.requests();
    let is_read = |path: &str| {
        requests.iter().any(|request| request.request_line == format!("GET {path} HTTP/1.1"))
    };
    let counted = outcomes.iter().filter(|(is_counted, ..)| *is_counted);
    let (read, unread): (Vec<_>, Vec<_>) = counted.partition(|(.., path)| is_read(path));
    let answered = read.iter().filter(|(_, outcome, _)| *outcome == Outcome::Answered).count();
    let closed = unread.iter().filter(|(_, outcome, _)| *outcome == Outcome::Closed).count();
    println!(
        "{answered} answered of {} read, {closed} closed of {} unread",
        read.len(),
        unread.len()
    );
    assert!(answered * 4 >= read.len() * 3, "{answered} answered of {} read", read.len());
    assert!(closed * 10 >= unread.len() * 9, "{closed} closed of {} unread", unread.len());
    assert!(read.len() >= 20, "only {} read in {:?}", read.len(), LOAD_DURATION - SETTLED);
}

#[test]
fn a_single_pause_of_the_host_limits_no_connections_afterwards() {
    let ms = Duration::from_millis;
    let mut control = AcceptControl::default();
    assert!((0..1_000).step_by(50).all(|at| control.admit(ms(at))));

    control.record(ms(900), ms(2_000));
    assert!(!control.admit(ms(2_000)), "right after a delay of 900 ms");
    control.record(ms(1), ms(2_030));

    assert!((2_030..3_000).step_by(20).all(|at| control.admit(ms(at))));
}

/// Guards against long delays in turn with short ones, each of which was taken for a pause of the Host.
#[test]
fn delays_that_return_after_a_moment_limit_the_connections() {
    let ms = Duration::from_millis;
    let mut control = AcceptControl::default();
    let mut served = 0;
    for second in 0..10 {
        control.record(ms(600), ms(second * 1_000));
        control.record(ms(1), ms(second * 1_000 + 30));
        let offered = (second * 1_000 + 40..second * 1_000 + 400).step_by(10);
        served += offered.filter(|at| control.admit(ms(*at))).count();
    }

    assert!(served < 180, "{served} of 360 served although each second brings a delay");
}

#[test]
fn connections_are_not_limited_for_long_after_delays() {
    let ms = Duration::from_millis;
    let mut control = AcceptControl::default();
    assert!((0..1_000).step_by(50).all(|at| control.admit(ms(at))));
    for at in (1_000..3_000).step_by(200) {
        control.record(ms(200), ms(at));
    }
    assert!(!control.admit(ms(3_000)));

    for at in (3_030..10_000).step_by(30) {
        control.record(ms(1), ms(at));
        control.admit(ms(at));
    }

    assert!((10_000..11_000).step_by(10).all(|at| control.admit(ms(at))));
}

/// Twice as many connections as the process has time for: what it serves stays near its capacity, with short delays.
#[test]
fn a_process_serves_near_its_capacity_under_twice_the_load() {
    let (step_ms, cost_ms) = (10, 20);
    let mut control = AcceptControl::default();
    let (mut backlog_ms, mut served, mut delays) = (0_u64, 0, Vec::new());
    for at in (0..20_000).step_by(step_ms) {
        let now = Duration::from_millis(at);
        if at % 30 == 0 {
            control.record(Duration::from_millis(backlog_ms), now);
        }
        if control.admit(now) {
            (backlog_ms, served) = (backlog_ms + cost_ms, served + 1);
            delays.push(backlog_ms);
        }
        backlog_ms = backlog_ms.saturating_sub(step_ms as u64);
    }

    assert!(served > 700, "{served} of 1,000 that it has time for");
    let in_time = delays.iter().filter(|delay| **delay < 500).count();
    assert!(in_time * 100 > delays.len() * 98, "{in_time} of {} in time", delays.len());
}
