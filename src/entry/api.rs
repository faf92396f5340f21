//! The callers' HTTP API.

use std::{convert::Infallible, sync::Arc};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, Path, Request, State},
    http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE},
    response::{
        IntoResponse, Response,
        sse::{Event, Sse},
    },
    routing::{any, get, post},
};
use futures_util::{Stream, stream::unfold};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::{
    entry::{
        ApiError, Entry,
        request::{ChatRequest, RequestHead},
        serve::serve_chat,
        service::{ServiceRequest, serve_service},
        stream::{Reply, ReplyHead, StreamItem},
        target::visible_names,
    },
    policy::claim::SavedAnswer,
};

/// Router of the caller address.
pub(crate) fn router(entry: Arc<Entry>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/models", get(models))
        .route("/v1/services/{name}/{*path}", any(service))
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready))
        .fallback(|| async { ApiError::not_found("path") })
        // The limit is checked by hand, so that its error has the API's shape.
        .layer(DefaultBodyLimit::disable())
        .with_state(entry)
}

async fn ready(State(entry): State<Arc<Entry>>) -> StatusCode {
    if entry.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

/// Reads a body up to the limit.
async fn read_body(entry: &Entry, req: Request) -> Result<Bytes, ApiError> {
    let limit = entry.settings.max_body_bytes;
    axum::body::to_bytes(req.into_body(), limit).await.map_err(|_| ApiError::too_large(limit))
}

fn check_serving(entry: &Entry) -> Result<(), ApiError> {
    if entry.is_leaving() {
        return Err(ApiError::not_run("this entry is stopping"));
    }
    if !entry.is_ready() {
        return Err(ApiError::not_run("this entry has no configuration yet"));
    }
    Ok(())
}

fn read_head(entry: &Entry, headers: &HeaderMap) -> Result<RequestHead, ApiError> {
    check_serving(entry)?;
    RequestHead::read(headers, &entry.config.snapshot())
}

async fn chat(State(entry): State<Arc<Entry>>, req: Request) -> Result<Response, ApiError> {
    let head = read_head(&entry, req.headers())?;
    let body = read_body(&entry, req).await?;
    let req = ChatRequest::read(head, body)?;
    Ok(match serve_chat(entry, req).await? {
        Reply::Whole(head, body) => with_head(Json(body).into_response(), &head),
        Reply::Saved(saved) => saved_response(saved),
        Reply::Stream(head, rx) => with_head(Sse::new(stream_events(rx)).into_response(), &head),
    })
}

fn with_head(mut res: Response, head: &ReplyHead) -> Response {
    let stage = head.stage.to_string();
    let fields = [
        ("mintmoor-request", &*head.request),
        ("mintmoor-session", &*head.session),
        ("mintmoor-version", &*head.version),
        ("mintmoor-stage", &*stage),
    ];
    for (name, value) in fields {
        if let Ok(value) = HeaderValue::from_str(value) {
            res.headers_mut().insert(name, value);
        }
    }
    res
}

pub(crate) fn saved_response(saved: SavedAnswer) -> Response {
    let status = StatusCode::from_u16(saved.status).unwrap_or(StatusCode::OK);
    let mut res = (status, saved.body.into_string()).into_response();
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res.headers_mut().insert("mintmoor-replayed", HeaderValue::from_static("true"));
    res
}

/// A stream that ends without `[DONE]` is not a whole answer.
fn stream_events(rx: mpsc::Receiver<StreamItem>) -> impl Stream<Item = Result<Event, Infallible>> {
    unfold(rx, |mut rx| async move {
        let event = match rx.recv().await? {
            StreamItem::Chunk(body) | StreamItem::Failed(body) => {
                Event::default().data(body.to_string())
            }
            StreamItem::Done => Event::default().data("[DONE]"),
        };
        Some((Ok(event), rx))
    })
}

async fn models(
    State(entry): State<Arc<Entry>>,
    headers: HeaderMap,
) -> Result<Json<Value>, ApiError> {
    let head = read_head(&entry, &headers)?;
    let snapshot = entry.config.snapshot();
    let data: Vec<Value> = visible_names(&snapshot, &head.organisation)
        .into_iter()
        .map(|name| json!({ "id": name, "object": "model", "created": 0, "owned_by": "mintmoor" }))
        .collect();
    Ok(Json(json!({ "object": "list", "data": data })))
}

async fn service(
    State(entry): State<Arc<Entry>>,
    Path((name, path)): Path<(String, String)>,
    req: Request,
) -> Result<Response, ApiError> {
    let head = read_head(&entry, req.headers())?;
    let method = req.method().as_str().into();
    let query = req.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let content_type =
        req.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).map(Into::into);
    let body = read_body(&entry, req).await?;
    let path = format!("{path}{query}").into();
    let name = name.into();
    let req = ServiceRequest { head, name, method, path, content_type, body };
    serve_service(entry, req).await
}
