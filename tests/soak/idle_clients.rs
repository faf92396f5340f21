//! Clients that connect and do nothing useful, beside the ordinary callers of some seeds.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet, time::sleep};

use crate::site::request_bytes;

/// One seed in so many has these clients.
const SEED_INTERVAL: u64 = 5;
/// Its remainder.
const SEED_REMAINDER: u64 = 4;
/// Clients for each entry.
const CLIENTS_PER_ENTRY: u64 = 12;
/// Longest time that a client keeps a connection, milliseconds.
const MAX_STAY_MS: u64 = 2_000;

/// Starts the clients of a seed; they leave when the returned set is dropped.
pub fn start(seed: u64, entries: &[SocketAddr]) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    if seed % SEED_INTERVAL == SEED_REMAINDER {
        for number in 0..CLIENTS_PER_ENTRY * entries.len() as u64 {
            clients.spawn(play(seed * 1_000 + number, entries.to_vec()));
        }
    }
    clients
}

async fn play(seed: u64, entries: Vec<SocketAddr>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    loop {
        let entry = entries[rng.random_range(0..entries.len())];
        let bytes = draw_bytes(&mut rng);
        if let Ok(mut stream) = TcpStream::connect(entry).await {
            // An entry may close the connection at any time.
            let _ = stream.write_all(bytes.as_bytes()).await;
            sleep(Duration::from_millis(rng.random_range(0..MAX_STAY_MS))).await;
        }
        sleep(Duration::from_millis(1)).await;
    }
}

/// Nothing, part of a head, a body without its last byte, or requests without a route whose answers are not read.
fn draw_bytes(rng: &mut impl Rng) -> String {
    let body = request_bytes("POST", "/once/unfinished", "", &"x".repeat(32 << 10));
    match rng.random_range(0..4) {
        0 => String::new(),
        1 => "GET /safe/part HTTP/1.1\r\nHost: h.example\r\n".into(),
        2 => body[..body.len() - 1].into(),
        _ => request_bytes("GET", "/no-route", "", "")
            .replace("Connection: close\r\n", "")
            .repeat(50),
    }
}
