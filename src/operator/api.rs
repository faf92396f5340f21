//! The operators' HTTP API: `/api/v1/{kind}` and `/api/v1/{kind}/{name}`.

use std::{convert::Infallible, sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::{Body, Bytes},
    extract::{Path, Query, State},
    http::{HeaderMap, HeaderValue, StatusCode},
    response::{IntoResponse, Response},
    routing::get,
};
use futures_util::stream::unfold;
use serde::Deserialize;
use serde_json::{Value, json};
use subtle::ConstantTimeEq;

use crate::{
    entry::Entry,
    ids::{ObjectId, PartnerId, Revision, format_id, new_incarnation, parse_id, partner_of},
    ledger::read_totals,
    operator::{
        commands::{Expected, WriteError, WriteRequest},
        queries::{ObjectView, WatchError, WatchLine, collect_after, view_object},
    },
    resources::{Kind, Object, Spec},
};

/// A watch line at least this often, so that a lost connection is noticed.
const WATCH_KEEPALIVE: Duration = Duration::from_secs(10);

/// Who calls.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Caller {
    /// Declares partners, and nothing else.
    Root,
    /// A partner's operator.
    Partner(PartnerId),
}

/// An error of this API.
#[derive(Debug)]
struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: Box<str>,
    details: Value,
}

impl Refusal {
    fn new(status: StatusCode, code: &'static str, message: impl Into<Box<str>>) -> Self {
        Self { status, code, message: message.into(), details: Value::Null }
    }

    fn not_found() -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", "there is no such object")
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let body = json!({
            "error": { "code": self.code, "message": self.message, "details": self.details }
        });
        let mut res = (self.status, Json(body)).into_response();
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            res.headers_mut().insert("retry-after", HeaderValue::from_static("1"));
        }
        res
    }
}

impl From<WriteError> for Refusal {
    fn from(e: WriteError) -> Self {
        let message = e.to_string();
        let (status, code, details) = match e {
            WriteError::Invalid(errors) => {
                (StatusCode::UNPROCESSABLE_ENTITY, "invalid", json!({ "fields": errors }))
            }
            WriteError::Conflict(current) => {
                let current = current.map(|object| view_object(&object, Default::default()));
                (StatusCode::CONFLICT, "conflict", json!({ "current": current }))
            }
            WriteError::InUse(users) => (StatusCode::CONFLICT, "in_use", json!({ "users": users })),
            WriteError::Missing => (StatusCode::NOT_FOUND, "not_found", Value::Null),
            WriteError::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "not_run", Value::Null),
            WriteError::Unknown => (StatusCode::BAD_GATEWAY, "outcome_unknown", Value::Null),
        };
        Self { status, code, message: message.into(), details }
    }
}

type Answer<T> = Result<T, Refusal>;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ListQuery {
    watch: bool,
    since: Revision,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WriteQuery {
    dry_run: bool,
}

/// Router of the operator address.
pub fn router(entry: Arc<Entry>) -> Router {
    Router::new()
        .route("/api/v1/{kind}", get(list))
        .route("/api/v1/{kind}/{name}", get(read).put(replace).delete(remove))
        .route("/api/v1/totals", get(totals))
        .route("/api/v1/explain/{request}", get(explain))
        .fallback(|| async { Refusal::not_found() })
        .with_state(entry)
}

fn authenticate(entry: &Entry, headers: &HeaderMap) -> Answer<Caller> {
    let refused = || {
        Refusal::new(StatusCode::UNAUTHORIZED, "unauthorized", "the key is missing or not known")
    };
    let key = headers
        .get("authorization")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(refused)?
        .trim();
    if let Some(root) = &entry.settings.root_key
        && bool::from(root.as_bytes().ct_eq(key.as_bytes()))
    {
        return Ok(Caller::Root);
    }
    let snapshot = entry.config.snapshot();
    snapshot.partner_by_key(key).map(|partner| Caller::Partner(partner.into())).ok_or_else(refused)
}

fn parse_kind(kind: &str) -> Answer<Kind> {
    kind.parse::<Kind>()
        .map_err(|e| Refusal::new(StatusCode::NOT_FOUND, "unknown_kind", e.to_string()))
}

/// Full name of an object the caller may touch; another partner's looks like no object at all.
fn full_name(caller: &Caller, kind: Kind, name: &str) -> Answer<ObjectId> {
    match (caller, kind) {
        (Caller::Root, Kind::Partner) => Ok(format!("{name}/{name}").into()),
        (Caller::Root, _) => {
            let message = "the root key only declares partners";
            Err(Refusal::new(StatusCode::FORBIDDEN, "forbidden", message))
        }
        (Caller::Partner(partner), Kind::Partner) if **partner != *name => {
            Err(Refusal::not_found())
        }
        (Caller::Partner(partner), _) => match name.split_once('/') {
            None => Ok(format!("{partner}/{name}").into()),
            Some((owner, _)) if *owner == **partner => Ok(name.into()),
            Some(_) => Err(Refusal::not_found()),
        },
    }
}

fn is_visible(caller: &Caller, kind: Kind, object: &Object) -> bool {
    object.spec.kind() == kind
        && match caller {
            Caller::Root => kind == Kind::Partner,
            Caller::Partner(partner) => object.owner() == &**partner,
        }
}

async fn list(
    State(entry): State<Arc<Entry>>,
    Path(kind): Path<String>,
    Query(query): Query<ListQuery>,
    headers: HeaderMap,
) -> Answer<Response> {
    let caller = authenticate(&entry, &headers)?;
    let kind = parse_kind(&kind)?;
    if query.watch {
        let Caller::Partner(partner) = caller else {
            let message = "only a partner's operator can watch";
            return Err(Refusal::new(StatusCode::FORBIDDEN, "forbidden", message));
        };
        return watch(entry, partner, kind, query.since);
    }
    let revision = entry.config.revision();
    let items: Vec<ObjectView> = entry
        .config
        .objects()
        .iter()
        .filter(|object| is_visible(&caller, kind, object))
        .map(|object| view_object(object, entry.status_of(object)))
        .collect();
    Ok(Json(json!({ "revision": revision, "items": items })).into_response())
}

async fn read(
    State(entry): State<Arc<Entry>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> Answer<Response> {
    let caller = authenticate(&entry, &headers)?;
    let kind = parse_kind(&kind)?;
    let id = full_name(&caller, kind, &name)?;
    let objects = entry.config.objects();
    let object = objects
        .iter()
        .find(|object| object.id == id && is_visible(&caller, kind, object))
        .ok_or_else(Refusal::not_found)?;
    Ok(with_etag(Json(view_object(object, entry.status_of(object))), object.revision))
}

fn with_etag(body: impl IntoResponse, revision: Revision) -> Response {
    let mut res = body.into_response();
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        res.headers_mut().insert("etag", tag);
    }
    res
}

/// Reads `If-Match` and `If-None-Match`.
fn expected(headers: &HeaderMap) -> Answer<Expected> {
    let wrong = |name: &str| {
        let message = format!("`{name}` must be a revision, such as \"12\"");
        Refusal::new(StatusCode::BAD_REQUEST, "bad_request", message)
    };
    if headers.get("if-none-match").is_some_and(|value| value == "*") {
        return Ok(Expected::Absent);
    }
    let Some(value) = headers.get("if-match") else {
        return Ok(Expected::Current);
    };
    let text = value.to_str().map_err(|_| wrong("If-Match"))?;
    let revision = text.trim().trim_matches('"').parse().map_err(|_| wrong("If-Match"))?;
    Ok(Expected::Revision(revision))
}

fn write_request(
    caller: &Caller,
    kind: Kind,
    id: ObjectId,
    headers: &HeaderMap,
    query: &WriteQuery,
) -> Answer<WriteRequest> {
    let given = headers.get("mintmoor-change-id").and_then(|value| value.to_str().ok());
    let owner = partner_of(&id);
    let change_id = match given {
        // Scoped by owner, so that partners can't meet each other's ids.
        Some(given) => format!("{owner}.{}", crate::resources::hash_key(given)),
        None => format_id(new_incarnation()).into(),
    };
    let actor = match caller {
        Caller::Root => "root".into(),
        Caller::Partner(partner) => format!("operator:{partner}").into(),
    };
    Ok(WriteRequest {
        kind,
        id,
        spec: None,
        expected: expected(headers)?,
        actor,
        change_id: change_id.into(),
        dry_run: query.dry_run,
    })
}

async fn replace(
    State(entry): State<Arc<Entry>>,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<WriteQuery>,
    headers: HeaderMap,
    body: Bytes,
) -> Answer<Response> {
    let caller = authenticate(&entry, &headers)?;
    let kind = parse_kind(&kind)?;
    let id = full_name(&caller, kind, &name)?;
    let mut req = write_request(&caller, kind, id, &headers, &query)?;
    req.spec = Some(read_spec(kind, &body)?);
    let revision = entry.writer.write(&req).await?;
    let body = json!({ "id": req.id, "revision": revision, "dry_run": query.dry_run });
    Ok(with_etag(Json(body), revision))
}

/// Takes a bare spec, or an object with a `spec` as the API gives it out.
fn read_spec(kind: Kind, body: &[u8]) -> Answer<Spec> {
    let wrong = |message: String| Refusal::new(StatusCode::BAD_REQUEST, "bad_request", message);
    let json: Value =
        serde_json::from_slice(body).map_err(|e| wrong(format!("body is not JSON: {e}")))?;
    let json = json.get("spec").cloned().unwrap_or(json);
    Spec::from_json(kind, json).map_err(|e| {
        let mut refusal = Refusal::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid", e.to_string());
        refusal.details = json!({ "fields": [{ "field": "spec", "problem": e.to_string() }] });
        refusal
    })
}

async fn remove(
    State(entry): State<Arc<Entry>>,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<WriteQuery>,
    headers: HeaderMap,
) -> Answer<Response> {
    let caller = authenticate(&entry, &headers)?;
    let kind = parse_kind(&kind)?;
    let id = full_name(&caller, kind, &name)?;
    let req = write_request(&caller, kind, id, &headers, &query)?;
    let revision = entry.writer.write(&req).await?;
    Ok(Json(json!({ "id": req.id, "revision": revision, "dry_run": query.dry_run }))
        .into_response())
}

/// State of one watch.
struct Watch {
    entry: Arc<Entry>,
    partner: PartnerId,
    kind: Kind,
    since: Revision,
    ended: bool,
}

fn watch(entry: Arc<Entry>, partner: PartnerId, kind: Kind, since: Revision) -> Answer<Response> {
    let too_old = |e: WatchError| Refusal::new(StatusCode::GONE, "revision_too_old", e.to_string());
    collect_after(&entry.config, &partner, kind, since).map_err(too_old)?;
    let start = Watch { entry, partner, kind, since, ended: false };
    let stream = unfold(start, |mut watch| async move {
        if watch.ended {
            return None;
        }
        let lines = watch.next_lines().await;
        Some((Ok::<_, Infallible>(Bytes::from(lines)), watch))
    });
    let mut res = Body::from_stream(stream).into_response();
    let json_lines = HeaderValue::from_static("application/x-ndjson");
    res.headers_mut().insert("content-type", json_lines);
    Ok(res)
}

impl Watch {
    /// The next changes as JSON lines, or an empty line when there were none for a while.
    async fn next_lines(&mut self) -> String {
        let mut revision = self.entry.config.subscribe();
        loop {
            revision.mark_unchanged();
            match collect_after(&self.entry.config, &self.partner, self.kind, self.since) {
                Err(e) => {
                    self.ended = true;
                    return format!("{}\n", json!({ "error": e.to_string() }));
                }
                Ok((lines, reached)) => {
                    self.since = reached;
                    if !lines.is_empty() {
                        return lines.iter().map(json_line).collect();
                    }
                }
            }
            if tokio::time::timeout(WATCH_KEEPALIVE, revision.changed()).await.is_err() {
                return "\n".into();
            }
        }
    }
}

fn json_line(line: &WatchLine) -> String {
    let mut text = serde_json::to_string(line).unwrap_or_default();
    text.push('\n');
    text
}

async fn totals(State(entry): State<Arc<Entry>>, headers: HeaderMap) -> Answer<Json<Value>> {
    let Caller::Partner(partner) = authenticate(&entry, &headers)? else {
        return Err(Refusal::not_found());
    };
    let all = read_totals(&entry.table).await.map_err(|_| Refusal::from(WriteError::NotRun))?;
    let own: serde_json::Map<String, Value> = all
        .into_iter()
        .filter(|(organisation, _)| partner_of(organisation) == &*partner)
        .map(|(organisation, totals)| (organisation.into(), json!(totals)))
        .collect();
    Ok(Json(Value::Object(own)))
}

async fn explain(
    State(entry): State<Arc<Entry>>,
    Path(request): Path<String>,
    headers: HeaderMap,
) -> Answer<Json<Value>> {
    let Caller::Partner(partner) = authenticate(&entry, &headers)? else {
        return Err(Refusal::not_found());
    };
    let id = parse_id(&request).ok_or_else(Refusal::not_found)?;
    entry.explanation(id, &partner).map(Json).ok_or_else(Refusal::not_found)
}
