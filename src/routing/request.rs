//! What a request asks for, in our words.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

/// One part of a prompt; requests that begin with the same parts can share their KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// A caller's request without its body.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method, passed on unchanged.
    pub method: Method,
    /// Path and query, passed on unchanged.
    pub uri: Uri,
    /// Host that the caller named.
    pub host: Box<str>,
    /// Id of this try of the caller; answers are matched by it.
    pub id: Box<str>,
    /// Key the caller showed.
    pub api_key: Option<Box<str>>,
    /// Time the caller will wait.
    pub caller_timeout: Option<Duration>,
    /// Model the caller names; none where it leaves the choice to us.
    pub model: Option<Box<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens the answer may have at most.
    pub max_answer_tokens: u64,
    /// Parts of the prompt in their order; the last is the request's or its session's own.
    pub prompt_parts: Vec<PromptPart>,
    /// Session the request belongs to.
    pub session: Option<Box<str>>,
    /// Last event of an interrupted stream that the caller has.
    pub last_event_id: Option<u64>,
    /// Headers to pass on: all but those of the connection, the key and those we set ourselves.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// What the session or, without one, the request itself is known by.
    pub fn session_key(&self) -> &str {
        self.session.as_deref().unwrap_or(&self.id)
    }

    /// The longest run of parts that other requests may share, by its last part.
    pub fn last_shared_part(&self) -> Option<&PromptPart> {
        let shared = self.prompt_parts.len().checked_sub(2)?;
        self.prompt_parts.get(shared)
    }
}

/// A request whose body is here.
#[derive(Clone, Debug)]
pub struct Request {
    /// Everything but the body.
    pub head: RequestHead,
    /// The body, passed on unchanged.
    pub body: Bytes,
}
