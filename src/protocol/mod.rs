//! Messages between entries and agents, and the authenticated links that carry them.
//!
//! A link is a WebSocket connection; each message is one binary frame in CBOR.
//! `docs/decisions/0002-links.md` describes the frames.

mod codec;
mod error;
mod frame_sender;
mod handshake;
mod message;
mod writer;

pub use codec::{decode, encode};
pub use error::{Error, Result};
pub use frame_sender::{FrameSender, OutgoingFrame};
pub use handshake::{AgentLinkStream, EntryLinkStream, Peer, accept, connect};
pub use message::{
    AgentHeartbeat, AgentLoad, BackendCall, ConfigUpdate, EntryHeartbeat, HeldVersion, RowWrite,
    StartAttempt, ToAgent, ToEntry, Usage, VersionEvidence,
};
pub use writer::write_frames;
