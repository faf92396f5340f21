//! Links between entries and agents: authentication of peers and handling of invalid frames.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::{FutureExt, SinkExt, StreamExt};
use mintmoor::{
    agent::{self, RunningAgent},
    local::Platform,
    protocol::{self, FrameSender, Peer},
    settings::AgentSettings,
    telemetry::log::{LogFormat, LogLevel},
};
use tokio::{io::AsyncReadExt, io::AsyncWriteExt, net::TcpStream};
use tokio_tungstenite::tungstenite::Message;

const KEY: &str = "link-key-of-this-test";

async fn start_agent() -> (Platform, RunningAgent) {
    let platform = Platform::start(1).await.unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = AgentSettings {
        host: "host-1".into(),
        region: "sicily".into(),
        zone: "sicily-1".into(),
        link: any,
        admin: any,
        platform: platform.settings(),
        link_key: KEY.into(),
        server: "ricarica/engine-1".into(),
        backend_url: "http://127.0.0.1:1".into(),
        max_running: 4,
        max_queued: 4,
        token_target: Duration::from_millis(80),
        heartbeat: Duration::from_millis(100),
        max_waiting_charges: 100,
        entry_lost_after: Duration::from_secs(1),
        grace: Duration::from_secs(1),
        log_level: LogLevel::default(),
        log_format: LogFormat::default(),
    };
    let agent = agent::start(settings).await.unwrap();
    (platform, agent)
}

fn entry_peer() -> Peer {
    Peer {
        host: "entry-1".into(),
        region: "sicily".into(),
        zone: "sicily-1".into(),
        incarnation: 5,
        server: "".into(),
    }
}

#[tokio::test]
async fn peer_with_the_shared_key_is_accepted_and_gets_a_heartbeat() {
    let (_platform, agent) = start_agent().await;

    let (mut ws, peer) =
        protocol::connect(agent.addresses.link, &entry_peer(), KEY.as_bytes()).await.unwrap();

    assert_eq!(&*peer.server, "ricarica/engine-1");
    let Some(Ok(Message::Binary(buf))) = ws.next().await else { panic!("no frame received") };
    assert!(matches!(protocol::decode(&buf).unwrap(), protocol::ToEntry::Beat(_)));
}

#[tokio::test]
async fn peer_with_another_key_is_rejected() {
    let (_platform, agent) = start_agent().await;

    let refused = protocol::connect(agent.addresses.link, &entry_peer(), b"another key").await;
    let accepted = protocol::connect(agent.addresses.link, &entry_peer(), KEY.as_bytes()).await;

    assert!(refused.is_err());
    assert!(accepted.is_ok(), "the agent accepts other peers");
}

#[tokio::test]
async fn agent_without_the_shared_key_is_rejected() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let impostor = tokio::spawn(async move {
        let (tcp, _) = listener.accept().await.unwrap();
        protocol::accept(tcp, &entry_peer(), b"guessed").await.map(drop)
    });

    let entry = protocol::connect(address, &entry_peer(), KEY.as_bytes()).await;

    assert!(entry.is_err());
    assert!(matches!(impostor.await.unwrap(), Err(protocol::Error::NotAuthenticated)));
}

/// Guards against charges that are lost with a killed entry: the copy for the agent was still queued in the process when the
/// answer was delivered.
#[tokio::test]
async fn a_frame_counts_as_written_only_once_it_has_left_the_process() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = tokio::spawn(async move {
        let (tcp, _) = listener.accept().await.unwrap();
        protocol::accept(tcp, &entry_peer(), KEY.as_bytes()).await.unwrap().0
    });
    let (ws, _) = protocol::connect(address, &entry_peer(), KEY.as_bytes()).await.unwrap();
    let mut received = accepted.await.unwrap();
    let (tx, rx) = FrameSender::channel(4);
    let mut written = std::pin::pin!(tx.send_written(Bytes::from_static(b"copy")));

    assert!(written.as_mut().now_or_never().is_none(), "queued only");
    let writer = tokio::spawn(protocol::write_frames(rx, ws.split().0));
    assert!(written.await);

    writer.abort();
    let _ = writer.await;
    let frame = received.next().await.unwrap().unwrap();
    assert_eq!(frame, Message::Binary(Bytes::from_static(b"copy")));
    assert!(!tx.send_written(Bytes::from_static(b"late")).await, "the link is gone");
}

#[tokio::test]
async fn invalid_bytes_during_the_handshake_end_only_their_connection() {
    let (_platform, agent) = start_agent().await;

    let mut stream = TcpStream::connect(agent.addresses.link).await.unwrap();
    stream.write_all(&[0xff; 4096]).await.unwrap();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;

    assert!(protocol::connect(agent.addresses.link, &entry_peer(), KEY.as_bytes()).await.is_ok());
}

#[tokio::test]
async fn invalid_frame_ends_only_its_link() {
    let (_platform, agent) = start_agent().await;
    let (mut bad, _) =
        protocol::connect(agent.addresses.link, &entry_peer(), KEY.as_bytes()).await.unwrap();
    let (mut good, _) =
        protocol::connect(agent.addresses.link, &entry_peer(), KEY.as_bytes()).await.unwrap();

    bad.send(Message::Binary(Bytes::from_static(&[0xa1, 0x61]))).await.unwrap();
    let mut bad_ended = false;
    while let Ok(Some(message)) = tokio::time::timeout(Duration::from_secs(10), bad.next()).await {
        bad_ended = message.is_err() || matches!(message, Ok(Message::Close(_)));
        if bad_ended {
            break;
        }
    }

    assert!(bad_ended || bad.next().await.is_none());
    assert!(matches!(good.next().await, Some(Ok(Message::Binary(_)))));
}
