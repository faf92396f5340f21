//! Clients of the address for other entries.

use crate::{
    crowd::{Behaviour, Crowd},
    process::Limits,
    system::{SMALL_MACHINE, System},
};

const FEW_DESCRIPTORS: Limits = Limits { max_fds: 600, ..SMALL_MACHINE };
const HANDSHAKE: &str = "GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

/// Plays a crowd on the address for other entries.
async fn play(size: usize, behaviour: Behaviour) {
    let mut system = System::start(FEW_DESCRIPTORS).await;

    let crowd = Crowd::start(system.process.peer, size, &behaviour);
    crowd.settle(size).await;
    system.assert_ordinary_callers_are_served().await;

    system.process.assert_within_limits();
    drop(crowd);
}

/// The start of a WebSocket message of 60 MB, with a masking key of zero.
fn start_of_large_message() -> Vec<u8> {
    let mut bytes = HANDSHAKE.as_bytes().to_vec();
    bytes.extend([0x82, 0x80 | 127]);
    bytes.extend((60_u64 << 20).to_be_bytes());
    bytes.extend([0; 4]);
    bytes
}

#[tokio::test(flavor = "multi_thread")]
async fn handshakes_that_never_end_leave_descriptors_for_others() {
    play(1_280, Behaviour::sending("GET / HTTP/1.1\r\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_first_message_stays_within_the_memory() {
    play(16, Behaviour::sending(start_of_large_message()).repeating([0; 64 << 10])).await;
}
