//! Collecting an answer from the parts that a server sends.

use std::hash::Hasher;

use serde_json::Value;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    entry::answer::Answer,
    ids::{RequestId, VersionId},
};

/// Where the parts of an answer go.
#[derive(Debug)]
pub(crate) enum Collector {
    /// A chat answer, passed on as it comes when there is a sink.
    Chat { answer: Answer, sink: Option<mpsc::Sender<Value>>, include_usage: bool },
    /// A plain service's body.
    Raw(Vec<u8>),
}

impl Collector {
    /// Whether an attempt that broke off can be followed by another.
    pub(crate) fn can_go_on(&self) -> bool {
        match self {
            Collector::Chat { answer, .. } => answer.resumable_text().is_some(),
            Collector::Raw(_) => true,
        }
    }

    pub(crate) fn resume_text(&self) -> Option<Box<str>> {
        let Collector::Chat { answer, .. } = self else {
            return None;
        };
        answer.resumable_text().filter(|text| !text.is_empty())
    }

    /// Drops what can't be part of the next attempt's answer.
    pub(crate) fn restart(&mut self) {
        if let Collector::Raw(body) = self {
            body.clear();
        }
    }

    /// Takes a part in, of a chat answer with its version, and passes it on to a streaming caller.
    pub(crate) async fn take(
        &mut self,
        payload: Vec<u8>,
        request: RequestId,
        version: Option<&VersionId>,
    ) {
        match self {
            Collector::Raw(body) => body.extend_from_slice(&payload),
            Collector::Chat { answer, sink, include_usage } => {
                let Some(version) = version else {
                    return;
                };
                let Some(chunk) = answer.take(&payload, request, version) else {
                    return;
                };
                let Some(sink) = sink.as_ref().filter(|_| !chunk.is_usage || *include_usage) else {
                    return;
                };
                // A caller that went away is noticed by the closed channel.
                let _ = sink.send(chunk.body).await;
            }
        }
    }

    pub(crate) fn caller_is_gone(&self) -> bool {
        matches!(self, Collector::Chat { sink: Some(sink), .. } if sink.is_closed())
    }
}

/// Parts of one attempt's answer so far.
#[derive(Default)]
pub(crate) struct Progress {
    pub(crate) count: u64,
    digest: Xxh3,
}

impl Progress {
    pub(crate) fn accepts(&mut self, sequence: u64, payload: &[u8]) -> bool {
        if sequence != self.count {
            return false;
        }
        self.count += 1;
        self.digest.write(payload);
        true
    }

    pub(crate) fn is_whole(&self, count: u64, digest: u64) -> bool {
        self.count == count && self.digest.finish() == digest
    }
}
