//! Handshake of a link: both sides prove that they have the shared key before other messages are read.
//!
//! The agent sends a [`Challenge`] with a nonce. The entry answers with a [`Hello`]: its own nonce, its
//! identity and a MAC over both nonces and the identity. The agent verifies it and sends a [`Welcome`]
//! with its identity and its MAC.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use rand::RngExt;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{
        Message,
        protocol::{Role, WebSocketConfig},
    },
};

use crate::{
    ids::{Incarnation, ServerId},
    protocol::{Error, Result, decode, encode},
};

/// Maximum frame size in bytes until the peer is authenticated.
const MAX_UNAUTHENTICATED_FRAME: usize = 4 << 10;
/// Maximum frame size in bytes of an authenticated peer.
const MAX_FRAME: usize = 16 << 20;
/// Maximum duration of the handshake, including the TCP connect of an entry.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Identity of a process at one end of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Host name.
    pub host: Box<str>,
    /// Region of the Host.
    pub region: Box<str>,
    /// AvailabilityZone of the Host.
    pub zone: Box<str>,
    /// Identifies this run of the process; a restart changes it.
    pub incarnation: Incarnation,
    /// BackendServer that an agent runs beside; empty for an entry.
    pub server: ServerId,
}

/// First message, from the agent.
#[derive(Debug, Serialize, Deserialize)]
struct Challenge {
    nonce: u128,
}

/// Reply of the entry.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    nonce: u128,
    peer: Peer,
    #[serde(with = "serde_bytes")]
    proof: Vec<u8>,
}

/// Last message of the handshake, from the agent.
#[derive(Debug, Serialize, Deserialize)]
struct Welcome {
    peer: Peer,
    #[serde(with = "serde_bytes")]
    proof: Vec<u8>,
}

/// The entry's end of an open link.
pub type EntryLinkStream = WebSocketStream<TcpStream>;
/// The agent's end of an open link.
pub type AgentLinkStream = WebSocketStream<TcpStream>;

/// Opens a link from an entry to an agent.
///
/// # Errors
/// If the agent can't be reached, is not authenticated, or the handshake takes too long.
pub async fn connect(
    address: SocketAddr,
    local: &Peer,
    key: &[u8],
) -> Result<(EntryLinkStream, Peer)> {
    let handshake = async {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let uri = format!("ws://{address}/link");
        let config = Some(size_limits(MAX_FRAME));
        let (mut ws, _) = client_async_with_config(uri, tcp, config).await?;
        let challenge: Challenge = receive(&mut ws).await?;
        let nonce: u128 = rand::rng().random();
        let proof = compute_proof(key, "entry", challenge.nonce, nonce, local);
        send(&mut ws, &Hello { nonce, peer: local.clone(), proof }).await?;
        let welcome: Welcome = receive(&mut ws).await?;
        verify_proof(key, "agent", (nonce, challenge.nonce), &welcome.peer, &welcome.proof)?;
        Ok((ws, welcome.peer))
    };
    tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await.unwrap_or(Err(Error::HandshakeTimeout))
}

/// Accepts a link at an agent.
///
/// # Errors
/// If the connection fails, the entry is not authenticated, or the handshake takes too long.
pub async fn accept(tcp: TcpStream, local: &Peer, key: &[u8]) -> Result<(AgentLinkStream, Peer)> {
    let handshake = async {
        tcp.set_nodelay(true)?;
        let mut ws =
            accept_async_with_config(tcp, Some(size_limits(MAX_UNAUTHENTICATED_FRAME))).await?;
        let nonce: u128 = rand::rng().random();
        send(&mut ws, &Challenge { nonce }).await?;
        let hello: Hello = receive(&mut ws).await?;
        verify_proof(key, "entry", (nonce, hello.nonce), &hello.peer, &hello.proof)?;
        let proof = compute_proof(key, "agent", hello.nonce, nonce, local);
        send(&mut ws, &Welcome { peer: local.clone(), proof }).await?;
        // Rebuilds the stream with the larger frame limit. The entry sends nothing before it has received the
        // welcome, so no buffered bytes are lost.
        let tcp = ws.into_inner();
        let ws =
            WebSocketStream::from_raw_socket(tcp, Role::Server, Some(size_limits(MAX_FRAME))).await;
        Ok((ws, hello.peer))
    };
    tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await.unwrap_or(Err(Error::HandshakeTimeout))
}

fn size_limits(max: usize) -> WebSocketConfig {
    WebSocketConfig::default().max_message_size(Some(max)).max_frame_size(Some(max))
}

/// HMAC-SHA256 over the role of the signing side, both nonces and the identity of the signer.
fn handshake_mac(
    key: &[u8],
    side: &str,
    verifier_nonce: u128,
    signer_nonce: u128,
    signer: &Peer,
) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(side.as_bytes());
    mac.update(&verifier_nonce.to_be_bytes());
    mac.update(&signer_nonce.to_be_bytes());
    mac.update(&encode(signer));
    mac
}

fn compute_proof(
    key: &[u8],
    side: &str,
    verifier_nonce: u128,
    signer_nonce: u128,
    local: &Peer,
) -> Vec<u8> {
    handshake_mac(key, side, verifier_nonce, signer_nonce, local).finalize().into_bytes().to_vec()
}

/// Verifies the proof of a peer. `nonces` are the nonce of this process and that of the peer.
fn verify_proof(
    key: &[u8],
    side: &str,
    nonces: (u128, u128),
    peer: &Peer,
    proof: &[u8],
) -> Result<()> {
    let expected = handshake_mac(key, side, nonces.0, nonces.1, peer);
    expected.verify_slice(proof).map_err(|_| Error::NotAuthenticated)
}

async fn send<T: Serialize>(ws: &mut WebSocketStream<TcpStream>, message: &T) -> Result<()> {
    Ok(ws.send(Message::Binary(encode(message))).await?)
}

async fn receive<T: DeserializeOwned>(ws: &mut WebSocketStream<TcpStream>) -> Result<T> {
    decode(&receive_bytes(ws).await?)
}

async fn receive_bytes(ws: &mut WebSocketStream<TcpStream>) -> Result<Bytes> {
    loop {
        match ws.next().await {
            Some(Ok(Message::Binary(buf))) => return Ok(buf),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(_)) => return Err(Error::NotAuthenticated),
            Some(Err(e)) => return Err(e.into()),
            None => return Err(Error::ConnectionFailed("closed".into())),
        }
    }
}
