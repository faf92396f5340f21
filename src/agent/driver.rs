//! Runs one attempt at the BackendServer and passes its answer on.

use std::{
    hash::Hasher,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::{BodyExt, BodyStream};
use serde::Deserialize;
use serde_json::{Value, json};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    agent::{Agent, dispatch, state::Pending},
    ids::{VersionId, format_id},
    platform::Error,
    policy::attempt::AttemptKey,
    protocol::{BackendCall, StartAttempt, ToEntry, Usage},
    routing::describes_request,
    telemetry::event,
};

const SERVICE_PART: usize = 64 << 10;

/// How an attempt came out.
#[derive(Debug)]
enum Outcome {
    Ended {
        count: u64,
        digest: u64,
        status: u16,
        usage: Usage,
        between_tokens: Option<Duration>,
    },
    Failed {
        problem: Box<str>,
        status: u16,
    },
    /// The BackendServer was not reached, so nothing ran.
    NotReached,
}

/// The parts of an engine's chunk that are looked at.
#[derive(Debug, Deserialize)]
struct EngineChunk {
    id: Box<str>,
    #[serde(default)]
    index: Option<u64>,
    #[serde(default)]
    usage: Option<EngineUsage>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct EngineUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// Runs an attempt to its end.
pub(super) async fn run(agent: Arc<Agent>, pending: Pending) {
    let Pending { start, link, .. } = pending;
    let key = start.key;
    agent.send(link, &ToEntry::Started(key)).await;
    let began = Instant::now();
    let outcome = match &start.call {
        BackendCall::Chat { version, resume } => {
            chat(&agent, link, &start, version, resume.as_deref()).await
        }
        BackendCall::Service { .. } => service(&agent, link, &start).await,
    };
    learn(&agent, &start, &outcome, began.elapsed());
    let was_reached = !matches!(outcome, Outcome::NotReached);
    let taken_back = dispatch::ended(&agent, key, was_reached).await;
    let frame = match outcome {
        Outcome::Ended { count, digest, status, usage, .. } => {
            let load = agent.load_now(link);
            ToEntry::End { key, count, digest, status, usage, load }
        }
        Outcome::Failed { problem, status } => ToEntry::Failed { key, problem, status },
        Outcome::NotReached if taken_back => {
            ToEntry::Refused { key, reason: crate::policy::gate::RefuseReason::Unreachable }
        }
        Outcome::NotReached => ToEntry::Failed { key, problem: "not reached".into(), status: 0 },
    };
    agent.send(link, &frame).await;
}

/// Takes the outcome into evidence and the speed estimates.
fn learn(agent: &Agent, start: &StartAttempt, outcome: &Outcome, took: Duration) {
    let failed = !matches!(outcome, Outcome::Ended { .. });
    if let BackendCall::Chat { version, .. } = &start.call {
        let snapshot = agent.config.snapshot();
        let mut evidence = agent.evidence.lock().expect("no panics under the lock");
        evidence.note_answer(&snapshot, version, failed);
    }
    // The caller's request is at fault, which says nothing about the engine.
    if matches!(outcome, Outcome::Failed { status, .. } if describes_request(*status)) {
        return;
    }
    let mut work = agent.lock_work();
    let was_unhealthy = work.failures_in_a_row >= dispatch::FAILURES_TO_UNHEALTHY;
    if failed {
        work.failures_in_a_row += 1;
        if !was_unhealthy && work.failures_in_a_row >= dispatch::FAILURES_TO_UNHEALTHY {
            event::ENGINE_UNHEALTHY.log(format_args!("server={}", agent.settings.server));
        }
        return;
    }
    if was_unhealthy {
        event::ENGINE_HEALTHY.log(format_args!("server={}", agent.settings.server));
    }
    work.failures_in_a_row = 0;
    let Outcome::Ended { between_tokens, .. } = outcome else { return };
    work.observe(took, *between_tokens);
}

async fn chat(
    agent: &Arc<Agent>,
    link: u64,
    start: &StartAttempt,
    version: &VersionId,
    resume: Option<&str>,
) -> Outcome {
    let Some(body) = engine_body(start, version, resume) else {
        return Outcome::Failed { problem: "body is not JSON".into(), status: 0 };
    };
    let uri = format!("{}/v1/chat/completions", agent.settings.backend_url);
    let res = match open(agent, Method::POST, &uri, request_headers(start), body).await {
        Ok(res) => res,
        Err(outcome) => return outcome,
    };
    let status = res.status().as_u16();
    if !res.status().is_success() {
        return Outcome::Failed { problem: format!("engine answered {status}").into(), status };
    }
    pass_stream_on(agent, link, start, res).await
}

/// Sends a request to the BackendServer and waits for the answer's headers.
async fn open(
    agent: &Agent,
    method: Method,
    uri: &str,
    headers: HeaderMap,
    body: Bytes,
) -> Result<http::Response<hyper::body::Incoming>, Outcome> {
    agent.http.open(method, uri, headers, body).await.map_err(|e| match e {
        Error::Refused(_) => Outcome::NotReached,
        e => Outcome::Failed { problem: e.to_string().into(), status: 0 },
    })
}

async fn pass_stream_on(
    agent: &Arc<Agent>,
    link: u64,
    start: &StartAttempt,
    res: http::Response<hyper::body::Incoming>,
) -> Outcome {
    let expected_id = format!("chatcmpl-{}", attempt_id(start.key));
    let frames = BodyStream::new(res.into_body())
        .map(|frame| frame.map(|frame| frame.into_data().unwrap_or_default()));
    let mut events = std::pin::pin!(frames.eventsource());
    let mut passed = Passed::default();
    while let Some(event) = events.next().await {
        let Ok(event) = event else { break };
        if event.data == "[DONE]" {
            return passed.into_outcome(200);
        }
        let Ok(chunk) = serde_json::from_str::<EngineChunk>(&event.data) else {
            continue;
        };
        if *chunk.id != *expected_id || passed.is_repeat(&chunk) {
            event::STRAY_CHUNK.log(format_args!("request={expected_id} chunk={}", chunk.id));
            continue;
        }
        passed.note_time(Instant::now());
        if let Some(usage) = chunk.usage {
            passed.usage =
                Usage { tokens_in: usage.prompt_tokens, tokens_out: usage.completion_tokens };
        }
        let payload = event.data.into_bytes();
        let frame = passed.next_frame(start.key, payload);
        agent.send(link, &frame).await;
    }
    Outcome::Failed { problem: "stream ended without its end".into(), status: 0 }
}

/// What has been passed on of one answer.
#[derive(Default)]
struct Passed {
    count: u64,
    digest: Xxh3,
    last_index: Option<u64>,
    usage: Usage,
    first: Option<Instant>,
    last: Option<Instant>,
}

impl Passed {
    /// Whether an engine that numbers its tokens sent this one before.
    fn is_repeat(&mut self, chunk: &EngineChunk) -> bool {
        let Some(index) = chunk.index else {
            return false;
        };
        let repeated = self.last_index.is_some_and(|last| index <= last);
        self.last_index = Some(index).max(self.last_index);
        repeated
    }

    fn note_time(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// Mean time between the parts, which is what the adaptive limit looks at.
    fn between_tokens(&self) -> Option<Duration> {
        let span = self.last?.duration_since(self.first?);
        let gaps = u32::try_from(self.count.checked_sub(1)?).ok()?;
        span.checked_div(gaps)
    }

    fn next_frame(&mut self, key: AttemptKey, payload: Vec<u8>) -> ToEntry {
        self.digest.write(&payload);
        let sequence = self.count;
        self.count += 1;
        ToEntry::Chunk { key, sequence, payload }
    }

    fn into_outcome(self, status: u16) -> Outcome {
        let between_tokens = self.between_tokens();
        Outcome::Ended {
            count: self.count,
            digest: self.digest.finish(),
            status,
            usage: self.usage,
            between_tokens,
        }
    }
}

/// The caller's body with what the engine needs put in.
fn engine_body(start: &StartAttempt, version: &str, resume: Option<&str>) -> Option<Bytes> {
    let mut body: Value = serde_json::from_slice(&start.body).ok()?;
    let fields = body.as_object_mut()?;
    fields.insert("model".into(), json!(version));
    fields.insert("stream".into(), json!(true));
    fields.insert("stream_options".into(), json!({ "include_usage": true }));
    fields.insert("priority".into(), json!(start.priority));
    if let Some(generated) = resume {
        fields.insert("resume".into(), json!({ "generated": generated }));
    }
    serde_json::to_vec(&body).ok().map(Bytes::from)
}

async fn service(agent: &Arc<Agent>, link: u64, start: &StartAttempt) -> Outcome {
    let BackendCall::Service { method, path, content_type } = &start.call else {
        return Outcome::Failed { problem: "not a service call".into(), status: 0 };
    };
    let Ok(method) = Method::from_bytes(method.as_bytes()) else {
        return Outcome::Failed { problem: "unknown method".into(), status: 0 };
    };
    let uri = format!("{}/{path}", agent.settings.backend_url);
    let mut headers = request_headers(start);
    if let Some(value) = content_type.as_deref().and_then(|t| HeaderValue::from_str(t).ok()) {
        headers.insert("content-type", value);
    }
    let res = match open(agent, method, &uri, headers, start.body.clone().into()).await {
        Ok(res) => res,
        Err(outcome) => return outcome,
    };
    let status = res.status().as_u16();
    let Ok(body) = res.into_body().collect().await else {
        return Outcome::Failed { problem: "answer was cut".into(), status };
    };
    let mut passed = Passed::default();
    for part in body.to_bytes().chunks(SERVICE_PART) {
        let frame = passed.next_frame(start.key, part.to_vec());
        agent.send(link, &frame).await;
    }
    passed.into_outcome(status)
}

/// Names an attempt to the BackendServer: two attempts of one request may meet at one engine.
fn attempt_id(key: AttemptKey) -> String {
    format!("{}-{}", format_id(key.request), key.number)
}

fn request_headers(start: &StartAttempt) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let id = attempt_id(start.key);
    headers.insert("x-request-id", HeaderValue::from_str(&id).expect("hex is a header value"));
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers
}
