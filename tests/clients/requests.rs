//! Clients that send requests slowly, without an end, or in an expensive form.

use std::net::SocketAddr;

use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    crowd::{Behaviour, Crowd},
    process::Log,
    site::{request_bytes, request_bytes_with_id},
    system::{SMALL_MACHINE, System, play_crowd},
};

/// Bytes of a header line that keeps a head below the largest allowed one, 16 KB.
const LONG_LINE: usize = 15 << 10;
/// Size of a body that stays unfinished, below the largest that the configuration allows.
const UNFINISHED_BODY: usize = 60 << 10;

/// Clients whose requests all have names of their own, requests of each, and bytes of a name.
const NAMES: (usize, usize, usize) = (16, 400, 8 << 10);

/// The head of a request with a body in chunks.
fn chunked_head() -> String {
    let request = request_bytes("POST", "/once/c", "", "");
    request.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_that_never_end_stay_within_the_memory() {
    let head =
        format!("GET /safe/h HTTP/1.1\r\nHost: h.example\r\nX-Long: {}", "x".repeat(LONG_LINE));
    play_crowd(SMALL_MACHINE, 1_280, Behaviour::sending(head)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_never_end_leave_room_for_others() {
    let request = request_bytes("POST", "/once/b", "", &"x".repeat(UNFINISHED_BODY));
    play_crowd(SMALL_MACHINE, 384, Behaviour::sending(&request.as_bytes()[..request.len() - 1]))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_one_byte_chunks_stay_within_the_memory() {
    let behaviour = Behaviour::sending(chunked_head()).repeating("1\r\nx\r\n".repeat(100));
    play_crowd(SMALL_MACHINE, 64, behaviour).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunk_extensions_without_end_stay_within_the_memory() {
    let head = format!("{}1;", chunked_head());
    play_crowd(SMALL_MACHINE, 64, Behaviour::sending(head).repeating("x".repeat(1_000))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn trailers_without_end_stay_within_the_memory() {
    let head = format!("{}0\r\n", chunked_head());
    play_crowd(
        SMALL_MACHINE,
        64,
        Behaviour::sending(head).repeating("X-Trailer: x\r\n".repeat(50)),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_wait_to_be_told_to_continue_and_then_say_nothing_do_no_harm() {
    let head = request_bytes("POST", "/once/e", "Expect: 100-continue\r\n", "");
    play_crowd(
        SMALL_MACHINE,
        384,
        Behaviour::sending(head.replace("Content-Length: 0", "Content-Length: 60000")),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_with_thousands_of_prompt_parts_leave_room_for_others() {
    let parts: Vec<String> = (0..1_000).map(|part| format!("{part:x}:{part}")).collect();
    let headers = format!("X-Model: small\r\nX-Prefix-Hash: {}\r\n", parts.join(","));
    let request = request_bytes("POST", "/chat/p", &headers, "");
    play_crowd(
        SMALL_MACHINE,
        64,
        Behaviour::sending(request.replace("Connection: close\r\n", "").repeat(20)),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn long_ids_in_log_lines_that_nobody_reads_stay_within_the_memory() {
    let mut system = System::start_with_log(SMALL_MACHINE, Log::UnreadPipe).await;
    let request = request_bytes_with_id(&"x".repeat(14 << 10), "GET", "/no-route", "", "");
    let behaviour = Behaviour::sending(request.replace("Connection: close\r\n", "").repeat(100));

    let crowd = Crowd::start(system.caller(), 64, &behaviour);
    crowd.settle(64).await;
    system.assert_ordinary_callers_are_served().await;
    system.process.assert_within_limits();
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_all_name_another_model_stay_within_the_memory() {
    let mut system = System::start(SMALL_MACHINE).await;

    let caller = system.caller();
    join_all((0..NAMES.0).map(|client| name_models(caller, client))).await;
    system.assert_ordinary_callers_are_served().await;
    system.process.assert_within_limits();

    system.assert_largest_request_is_served().await;
    system.process.assert_within_limits();
}

/// Sends requests on one connection, each with another model, session and prompt part.
async fn name_models(caller: SocketAddr, client: usize) {
    let mut stream = TcpStream::connect(caller).await.unwrap();
    for number in 0..NAMES.1 {
        let name = format!("{client}-{number}-{}", "x".repeat(NAMES.2));
        let headers = format!(
            "X-Model: {name}\r\nX-Session-Id: {client}-{number}\r\nX-Prefix-Hash: {client:x}{number:x}:9\r\n"
        );
        let id = format!("n-{client}-{number}");
        let request = request_bytes_with_id(&id, "GET", "/safe/n", &headers, "");
        stream.write_all(request.replace("Connection: close\r\n", "").as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        while !answer.ends_with(b"good") {
            assert!(stream.read_buf(&mut answer).await.unwrap() > 0, "the connection ended");
        }
    }
}
