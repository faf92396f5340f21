//! Parsed request of a caller.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

/// Hash of a prompt part's content, as callers send it.
pub type PartId = u64;

/// Part of a prompt. Requests that begin with the same parts can share KV cache entries on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u64,
}

/// A caller's request without its body.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method, passed on unchanged.
    pub method: Method,
    /// Path and query, passed on unchanged.
    pub uri: Uri,
    /// Host that the request is addressed to.
    pub host: Box<str>,
    /// Id of this attempt by the caller; used to match responses to requests.
    pub id: Box<str>,
    /// API key sent by the caller.
    pub api_key: Option<Box<str>>,
    /// Time for which the caller will wait.
    pub caller_timeout: Option<Duration>,
    /// Model requested by the caller; `None` leaves the choice to the router.
    pub model: Option<Box<str>>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer in tokens.
    pub max_answer_tokens: u64,
    /// Parts of the prompt in order; the last one belongs to this request or its session only.
    pub prompt_parts: Vec<PromptPart>,
    /// Session the request belongs to.
    pub session: Option<Box<str>>,
    /// Last event of an interrupted stream that the caller received.
    pub last_event_id: Option<u64>,
    /// Headers to pass on: all except hop-by-hop headers, the API key and headers that the router sets.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Key of the session; without a session, the id of the request.
    pub fn session_key(&self) -> &str {
        self.session.as_deref().unwrap_or(&self.id)
    }

    /// Parts of the prompt that other requests may have as well: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.prompt_parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Last part of the prompt's longest prefix that other requests may share.
    pub fn last_shared_part(&self) -> Option<&PromptPart> {
        self.shared_parts().last()
    }
}

/// A request with its body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Head of the request.
    pub head: RequestHead,
    /// Body, passed on unchanged.
    pub body: Bytes,
}
