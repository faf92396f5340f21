//! Reads the bodies of callers' requests.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    policy::attempt_log::AttemptLog,
    router::request::{
        in_flight::InFlightGuard,
        refusal::{NotRunCause, Refusal},
    },
    routing::CallerLimits,
};

/// Size of the blocks in which a body is collected, in bytes. All have the same size, so that the memory of one body
/// serves the next.
const BLOCK: usize = 8 << 10;

/// Reads the request's body within the size and time limits.
pub(crate) async fn read_body(
    in_flight: &mut InFlightGuard,
    body: Incoming,
    limits: &CallerLimits,
    attempts: &AttemptLog,
) -> Result<Bytes, Refusal> {
    let read = collect_body(in_flight, body, limits.body_bytes, attempts);
    let read = timeout(limits.idle_timeout, read).await;
    read.map_err(|_| Refusal::not_run(NotRunCause::BodyTimeout, attempts))?
}

/// Collects a body as it arrives. Its memory counts before it is allocated, and grows with what has arrived.
async fn collect_body(
    in_flight: &mut InFlightGuard,
    mut body: Incoming,
    max_bytes: usize,
    attempts: &AttemptLog,
) -> Result<Bytes, Refusal> {
    let mut blocks: Vec<BytesMut> = Vec::new();
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Refusal::Malformed)?.into_data() else {
            continue;
        };
        len += data.len();
        if len > max_bytes {
            return Err(Refusal::BodyTooLarge);
        }
        let appended = append(in_flight, &mut blocks, &data).await;
        appended.ok_or_else(|| Refusal::not_run(NotRunCause::OutOfMemory, attempts))?;
    }
    Ok(join(blocks, len))
}

/// Appends data to the blocks; `None` if the process holds too much.
async fn append(
    in_flight: &mut InFlightGuard,
    blocks: &mut Vec<BytesMut>,
    mut data: &[u8],
) -> Option<()> {
    while !data.is_empty() {
        let room = blocks.last().map_or(0, |block| BLOCK - block.len());
        if room == 0 {
            in_flight.hold_body(BLOCK).await?;
            blocks.push(BytesMut::with_capacity(BLOCK));
            continue;
        }
        let (fitting, rest) = data.split_at(room.min(data.len()));
        blocks.last_mut().expect("it has room").extend_from_slice(fitting);
        data = rest;
    }
    Some(())
}

/// Moves the blocks of a complete body into one. Each is freed as soon as it is copied, so that what is held for them
/// is enough.
fn join(mut blocks: Vec<BytesMut>, len: usize) -> Bytes {
    if blocks.len() <= 1 {
        return blocks.pop().unwrap_or_default().freeze();
    }
    let mut joined = BytesMut::with_capacity(len);
    for block in blocks {
        joined.extend_from_slice(&block);
    }
    joined.freeze()
}
