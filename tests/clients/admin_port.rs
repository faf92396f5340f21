//! Clients of the readiness address, which also serves metrics and the state dump.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    crowd::{Behaviour, Crowd},
    process::Limits,
    system::{SMALL_MACHINE, System},
};

const FEW_DESCRIPTORS: Limits = Limits { max_fds: 600, ..SMALL_MACHINE };

/// Plays a crowd on the readiness address, and checks that the load balancer and callers are answered beside it.
async fn play(size: usize, behaviour: Behaviour) {
    let mut system = System::start(FEW_DESCRIPTORS).await;

    let crowd = Crowd::start(system.process.readiness, size, &behaviour);
    crowd.settle(size).await;
    let answer = check_readiness(&system).await;
    system.assert_ordinary_callers_are_served().await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    system.process.assert_within_limits();
    drop(crowd);
}

/// Performs one readiness check.
async fn check_readiness(system: &System) -> String {
    let mut stream = TcpStream::connect(system.process.readiness).await.unwrap();
    let request = "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_readiness_address_leave_descriptors_for_others() {
    play(1_280, Behaviour::sending("")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn long_heads_to_the_readiness_address_stay_within_the_memory() {
    let line = format!("X-Long: {}\r\n", "x".repeat(1_000));
    let behaviour = Behaviour::sending("GET /metrics HTTP/1.1\r\nHost: h\r\n").repeating(line);
    play(64, behaviour).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn state_dumps_that_nobody_reads_stay_within_the_memory() {
    let request =
        "GET /debug/state HTTP/1.1\r\nHost: h\r\n\r\nGET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
    play(64, Behaviour::sending(request.repeat(100))).await;
}
