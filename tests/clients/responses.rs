//! Clients that read long responses slowly or not at all.

use crate::{
    crowd::{Behaviour, Crowd, Reading},
    process::Limits,
    system::{SMALL_MACHINE, System, play_crowd},
};

/// Clients of a crowd.
const CLIENTS: usize = 64;

#[tokio::test(flavor = "multi_thread")]
async fn whole_responses_that_nobody_reads_stay_within_the_memory() {
    play_crowd(
        SMALL_MACHINE,
        CLIENTS,
        Behaviour::requesting("whole", "GET", "/safe/w", Reading::Nothing),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_responses_that_are_read_slowly_stay_within_the_memory() {
    play_crowd(
        SMALL_MACHINE,
        CLIENTS,
        Behaviour::requesting("whole", "GET", "/safe/w", Reading::Drip),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failures_of_streams_that_nobody_reads_stay_within_the_memory() {
    play_crowd(
        SMALL_MACHINE,
        CLIENTS,
        Behaviour::requesting("failure", "POST", "/plain/f", Reading::Nothing),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_for_http_1_0_that_nobody_reads_stay_within_the_memory() {
    let request = Behaviour::requesting("large-events", "POST", "/plain/s", Reading::Nothing);
    let request = String::from_utf8(request.sends.to_vec()).unwrap();
    play_crowd(SMALL_MACHINE, CLIENTS, Behaviour::sending(request.replace("HTTP/1.1", "HTTP/1.0")))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_whose_responses_nobody_reads_stay_within_the_memory() {
    let request = Behaviour::requesting("whole", "GET", "/safe/w", Reading::Nothing);
    let request = String::from_utf8(request.sends.to_vec()).unwrap();
    let request = request.replace("Connection: close\r\n", "");
    play_crowd(SMALL_MACHINE, 16, Behaviour::sending(request.repeat(30))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_huge_events_that_nobody_reads_stay_within_the_memory() {
    play_crowd(
        SMALL_MACHINE,
        CLIENTS,
        Behaviour::requesting("huge-events", "POST", "/chat/s", Reading::Nothing),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_large_events_that_are_read_slowly_leave_room_for_others() {
    play_crowd(
        SMALL_MACHINE,
        CLIENTS,
        Behaviour::requesting("large-events", "POST", "/chat/s", Reading::Drip),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_streams_that_are_read_slowly_leave_room_for_others() {
    play_crowd(
        SMALL_MACHINE,
        CLIENTS,
        Behaviour::requesting("endless", "POST", "/chat/s", Reading::Drip),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_readers_at_the_limit_of_connections_stay_within_the_memory() {
    let limits = Limits { memory_mb: 110, ..SMALL_MACHINE };
    let mut system = System::start(limits).await;
    let behaviour = Behaviour::requesting("large-events", "POST", "/chat/s", Reading::Nothing);

    let crowd = Crowd::start(system.caller(), 800, &behaviour);
    crowd.settle(800).await;
    system.assert_ordinary_callers_are_served().await;
    system.process.assert_within_limits();
    drop(crowd);
}
