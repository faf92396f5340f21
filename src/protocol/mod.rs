//! Messages between entries and agents and the authenticated link that carries them.
//!
//! CBOR over WebSocket; the frames are described in `docs/decisions/0002-links.md`.

mod codec;
mod error;
mod handshake;
mod message;
mod writer;

pub use codec::{decode, encode};
pub use error::{Error, Result};
pub use handshake::{AgentLinkStream, EntryLinkStream, Peer, accept, connect};
pub use message::{
    AgentHeartbeat, AgentLoad, BackendCall, ConfigUpdate, EntryHeartbeat, HeldVersion, RowWrite,
    StartAttempt, ToAgent, ToEntry, Usage, VersionEvidence,
};
pub use writer::write_frames;
