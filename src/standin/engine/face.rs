//! The engine's HTTP face: the OpenAI-compatible call and the engine's own calls.

use std::{convert::Infallible, sync::Arc};

use axum::{
    Json, Router,
    extract::{Path, Query, State},
    http::{HeaderMap, StatusCode},
    response::{
        IntoResponse, Response,
        sse::{Event, Sse},
    },
    routing::{delete, get, post, put},
};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::{EngineFaults, EngineLoad, EngineStandin, batch::Sequence, block_hashes, text};
use crate::{ids::VersionId, platform::EngineOrder};

const DEFAULT_MAX_TOKENS: u64 = 40;

#[derive(Debug, Deserialize)]
struct Completion {
    model: VersionId,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    priority: i32,
    #[serde(default)]
    resume: Option<Resume>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: Box<str>,
    #[serde(default)]
    content: Value,
}

#[derive(Debug, Deserialize)]
struct Resume {
    generated: Box<str>,
}

#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Blocks {
    blocks: Vec<u64>,
}

pub(super) fn router(engine: EngineStandin) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/requests/{id}", delete(cancel))
        .route("/v1/engine/load", get(load))
        .route("/v1/engine/events", get(events))
        .route("/v1/engine/orders", post(order))
        .route("/v1/engine/state", get(state))
        .route("/v1/kv/export", post(export))
        .route("/v1/kv/import", post(import))
        .route("/faults", put(faults))
        .with_state(engine)
}

async fn complete(
    State(engine): State<EngineStandin>,
    headers: HeaderMap,
    Json(req): Json<Completion>,
) -> Response {
    let given = headers.get("x-request-id").and_then(|id| id.to_str().ok());
    // Sequences are known by their id, so a caller that gives none gets one of its own.
    let id: Box<str> = match given {
        Some(id) => id.into(),
        None => format!("own-{:016x}", engine.lock().rng.random::<u64>()).into(),
    };
    let faults = engine.lock().faults.clone();
    let bad = faults.bad.get(&req.model).copied().unwrap_or_default();
    if !engine.lock().loaded.contains(&req.model) {
        return (StatusCode::NOT_FOUND, Json(json!({"error": "version not loaded"})))
            .into_response();
    }
    *engine.lock().started.entry(req.model.clone()).or_default() += 1;
    if engine.draw(faults.fail) || engine.draw(bad.fail) {
        return (StatusCode::INTERNAL_SERVER_ERROR, Json(json!({"error": "failed"})))
            .into_response();
    }
    let answer = admit(&engine, &id, &req, engine.draw(bad.poor));
    let stream = futures_util::stream::unfold(answer, next_event);
    Sse::new(stream).into_response()
}

/// What is left to send of one answer.
struct Answer {
    engine: EngineStandin,
    id: Box<str>,
    version: VersionId,
    prompt: Arc<str>,
    poor: bool,
    prompt_tokens: u64,
    first_token: u64,
    end_token: u64,
    sent: u64,
    repeat: Option<Event>,
    stage: Stage,
    rx: UnboundedReceiver<u64>,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Tokens,
    Usage,
    Done,
    Closed,
}

fn admit(engine: &EngineStandin, id: &str, req: &Completion, turned_poor: bool) -> Answer {
    let prompt = prompt_text(&req.messages);
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let blocks = block_hashes(&req.model, &words);
    let total = text::length(&prompt, req.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS));
    let resumed = req.resume.as_ref().map_or(0, |r| r.generated.split_whitespace().count() as u64);
    let quality = engine.settings.quality.get(&req.model).copied().unwrap_or(1.0);
    let gaps: Vec<bool> =
        (0..blocks.len() * 2).map(|_| engine.draw(engine.settings.event_gaps)).collect();
    let next_gap = std::cell::Cell::new(0);
    let (tx, rx) = unbounded_channel();
    let mut inner = engine.lock();
    let hits = inner.cache.admit(&blocks, words.len() as u64, |_| {
        let at = next_gap.replace(next_gap.get() + 1);
        gaps.get(at).copied().unwrap_or(false)
    });
    if resumed < total {
        inner.batch.add(Sequence {
            id: id.into(),
            version: req.model.clone(),
            priority: req.priority,
            prefill_left: (words.len() as u64 + resumed).saturating_sub(hits),
            next_token: resumed,
            end_token: total,
            tx,
        });
    }
    drop(inner);
    engine.wake.notify_one();
    Answer {
        engine: engine.clone(),
        id: id.into(),
        version: req.model.clone(),
        poor: turned_poor || text::difficulty(&prompt) >= quality,
        prompt_tokens: words.len() as u64,
        first_token: resumed,
        end_token: total,
        sent: 0,
        repeat: None,
        stage: Stage::Tokens,
        prompt: prompt.into(),
        rx,
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.engine.lock().batch.cancel(&self.id);
    }
}

async fn next_event(mut answer: Answer) -> Option<(Result<Event, Infallible>, Answer)> {
    if let Some(event) = answer.repeat.take() {
        return Some((Ok(event), answer));
    }
    match answer.stage {
        Stage::Tokens => next_token(answer).await,
        Stage::Usage => {
            answer.stage = Stage::Done;
            let event = usage_event(&answer);
            Some((Ok(event), answer))
        }
        Stage::Done => {
            answer.stage = Stage::Closed;
            Some((Ok(Event::default().data("[DONE]")), answer))
        }
        Stage::Closed => None,
    }
}

async fn next_token(mut answer: Answer) -> Option<(Result<Event, Infallible>, Answer)> {
    let Some(index) = answer.rx.recv().await else {
        // A sequence cancelled from outside ends without its last token: no usage, no end.
        if answer.first_token + answer.sent < answer.end_token {
            return None;
        }
        answer.stage = Stage::Usage;
        let event = chunk(&answer, &answer.id, &json!({}), Some("stop"));
        return Some((Ok(event), answer));
    };
    let faults = answer.engine.lock().faults.clone();
    if answer.engine.draw(faults.cut) {
        return None;
    }
    answer.sent += 1;
    let word = text::token(&answer.prompt, &answer.version, index, answer.poor);
    let crossed = answer.engine.draw(faults.cross);
    let id = if crossed { "00000000000000000000000000000000".into() } else { answer.id.clone() };
    let event = chunk(&answer, &id, &json!({ "content": word }), None);
    if crossed {
        // The true chunk follows the stray one.
        answer.repeat = Some(chunk(&answer, &answer.id, &json!({ "content": word }), None));
    } else if answer.engine.draw(faults.duplicate) {
        answer.repeat = Some(event.clone());
    }
    Some((Ok(event), answer))
}

fn chunk(answer: &Answer, id: &str, delta: &Value, finish: Option<&str>) -> Event {
    let body = json!({
        "id": format!("chatcmpl-{id}"),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": answer.version,
        "index": answer.first_token + answer.sent + u64::from(finish.is_some()),
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
    });
    Event::default().data(body.to_string())
}

fn usage_event(answer: &Answer) -> Event {
    let generated = answer.first_token + answer.sent;
    let body = json!({
        "id": format!("chatcmpl-{}", answer.id),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": answer.version,
        "choices": [],
        "usage": {
            "prompt_tokens": answer.prompt_tokens,
            "completion_tokens": generated,
            "total_tokens": answer.prompt_tokens + generated,
        },
    });
    Event::default().data(body.to_string())
}

fn prompt_text(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push(' ');
        prompt.push_str(message.content.as_str().unwrap_or_default());
        prompt.push(' ');
    }
    prompt
}

async fn cancel(State(engine): State<EngineStandin>, Path(id): Path<Box<str>>) -> StatusCode {
    let found = engine.lock().batch.cancel(&id);
    if found { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND }
}

async fn load(State(engine): State<EngineStandin>) -> Json<EngineLoad> {
    Json(engine.lock().batch.lagged_load(engine.settings.lag))
}

async fn events(
    State(engine): State<EngineStandin>,
    Query(after): Query<After>,
) -> Json<Vec<super::CacheEvent>> {
    Json(engine.lock().cache.events_after(after.after))
}

async fn state(State(engine): State<EngineStandin>) -> Json<EngineOrder> {
    let inner = engine.lock();
    let mut versions: Vec<VersionId> = inner.loaded.iter().cloned().collect();
    versions.sort();
    Json(EngineOrder { fencing: inner.fencing, versions })
}

async fn order(State(engine): State<EngineStandin>, Json(order): Json<EngineOrder>) -> StatusCode {
    let missing: Vec<VersionId> = {
        let mut inner = engine.lock();
        if engine.settings.checks_fencing && order.fencing < inner.fencing {
            return StatusCode::CONFLICT;
        }
        inner.fencing = order.fencing;
        let unwanted: Vec<VersionId> = inner
            .loaded
            .iter()
            .filter(|version| !order.versions.contains(version) && !inner.batch.uses(version))
            .cloned()
            .collect();
        for version in unwanted {
            inner.loaded.remove(&version);
        }
        let wanted = order.versions.iter();
        let missing: Vec<VersionId> = wanted
            .filter(|v| !inner.loaded.contains(*v) && !inner.loading.contains(*v))
            .cloned()
            .collect();
        inner.loading.extend(missing.iter().cloned());
        missing
    };
    for version in missing {
        let engine = engine.clone();
        tokio::spawn(async move {
            engine.settings.weights.fetch().await;
            let mut inner = engine.lock();
            inner.loading.remove(&version);
            inner.loaded.insert(version);
        });
    }
    StatusCode::ACCEPTED
}

async fn export(State(engine): State<EngineStandin>, Json(req): Json<Blocks>) -> Json<Blocks> {
    Json(Blocks { blocks: engine.lock().cache.export(&req.blocks) })
}

async fn import(State(engine): State<EngineStandin>, Json(req): Json<Blocks>) -> StatusCode {
    engine.lock().cache.admit(&req.blocks, 0, |_| false);
    StatusCode::NO_CONTENT
}

async fn faults(
    State(engine): State<EngineStandin>,
    Json(faults): Json<EngineFaults>,
) -> StatusCode {
    engine.set_faults(faults);
    StatusCode::NO_CONTENT
}
