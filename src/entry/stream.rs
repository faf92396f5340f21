//! An answer on its way to the caller, whole or part by part.

use std::future::Future;

use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::{
    entry::{ApiError, failure::StageError, stage::Finished},
    ids::VersionId,
    policy::claim::SavedAnswer,
};

/// Parts of an answer waiting for the caller.
pub(crate) const CHUNKS_WAITING: usize = 64;

/// What goes into the answer's headers.
#[derive(Clone, Debug)]
pub(crate) struct ReplyHead {
    pub(crate) request: Box<str>,
    pub(crate) session: Box<str>,
    pub(crate) version: VersionId,
    pub(crate) stage: usize,
}

/// An answer on its way to the caller.
#[derive(Debug)]
pub(crate) enum Reply {
    Whole(ReplyHead, Value),
    Saved(SavedAnswer),
    Stream(ReplyHead, mpsc::Receiver<StreamItem>),
}

/// A part of a streamed answer.
#[derive(Debug)]
pub(crate) enum StreamItem {
    Chunk(Value),
    Done,
    Failed(Value),
}

/// Runs a stage while its chunks go to the caller; the reply opens with the first chunk.
pub(crate) async fn pass_on(
    run: impl Future<Output = Result<Finished, StageError>>,
    mut rx: mpsc::Receiver<Value>,
    mut reply: Option<oneshot::Sender<Result<Reply, ApiError>>>,
    head: ReplyHead,
) -> (
    Result<Finished, StageError>,
    Option<oneshot::Sender<Result<Reply, ApiError>>>,
    Option<mpsc::Sender<StreamItem>>,
) {
    let mut stream: Option<mpsc::Sender<StreamItem>> = None;
    let mut run = std::pin::pin!(run);
    let mut result = None;
    let mut is_drained = false;
    loop {
        tokio::select! {
            biased;
            chunk = rx.recv(), if !is_drained => {
                let Some(chunk) = chunk else {
                    is_drained = true;
                    continue;
                };
                if let Some(reply) = reply.take() {
                    let (tx, items) = mpsc::channel(CHUNKS_WAITING);
                    stream = Some(tx);
                    let _ = reply.send(Ok(Reply::Stream(head.clone(), items)));
                }
                let Some(tx) = &stream else { continue };
                if tx.send(StreamItem::Chunk(chunk)).await.is_err() {
                    // The caller is gone: closing the channel tells the stage.
                    rx.close();
                }
            }
            res = &mut run, if result.is_none() => {
                result = Some(res);
                // No more chunks come; those under way are still passed on.
                rx.close();
            }
            else => break,
        }
    }
    let result = result.unwrap_or(Err(StageError::NoServer));
    (result, reply, stream)
}

/// A completion as the chunks a streaming caller expects.
pub(crate) fn as_chunks(completion: &Value, include_usage: bool) -> Vec<Value> {
    let base = |choices: Value| {
        let mut chunk = completion.clone();
        chunk["object"] = "chat.completion.chunk".into();
        chunk["choices"] = choices;
        if let Some(fields) = chunk.as_object_mut() {
            fields.remove("usage");
        }
        chunk
    };
    let empty = Vec::new();
    let choices = completion["choices"].as_array().unwrap_or(&empty);
    let mut chunks = Vec::new();
    for choice in choices {
        let delta = serde_json::json!([{
            "index": choice["index"], "delta": choice["message"], "finish_reason": null,
        }]);
        chunks.push(base(delta));
        let end = serde_json::json!([{
            "index": choice["index"], "delta": {}, "finish_reason": choice["finish_reason"],
        }]);
        chunks.push(base(end));
    }
    if include_usage {
        let mut usage = base(serde_json::json!([]));
        usage["usage"] = completion["usage"].clone();
        chunks.push(usage);
    }
    chunks
}
