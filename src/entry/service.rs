//! Serving a call of a plain service.

use std::sync::Arc;

use axum::{
    body::Bytes,
    http::{HeaderValue, StatusCode},
    response::{IntoResponse, Response},
};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    entry::{
        ApiError, Entry,
        admission::{InFlight, OrganisationShare},
        api::saved_response,
        charges, claims,
        claims::Claimed,
        collector::Collector,
        explain::keep_story,
        failure::{StageError, describe_failure},
        request::RequestHead,
        stage::{Attempts, Finished, Job, JobCall, run_job},
    },
    ids::{ObjectId, format_id, partner_of, qualify},
    policy::{
        attempt::RequestOutcome,
        charge::{ChargeRecord, ChargedAttempt, Delivery},
        claim::{ClaimState, SavedAnswer},
    },
    resources::{BackendKind, Snapshot},
    routing::promises_not_run,
};

/// A call of a plain service.
pub(crate) struct ServiceRequest {
    pub(crate) head: RequestHead,
    pub(crate) name: Box<str>,
    pub(crate) method: Box<str>,
    pub(crate) path: Box<str>,
    pub(crate) content_type: Option<Box<str>>,
    pub(crate) body: Bytes,
}

/// Serves the call to its end, also when the caller goes away.
pub(crate) async fn serve_service(
    entry: Arc<Entry>,
    mut req: ServiceRequest,
) -> Result<Response, ApiError> {
    let snapshot = entry.config.snapshot();
    let service = find_service(&snapshot, &req.head.organisation, &req.name)?;
    req.head.repeatable &= calls_may_repeat(&snapshot, &service, &req.method);
    let work = tokio::spawn(async move {
        let _in_flight = InFlight::begin(&entry);
        let mut attempts = Attempts::default();
        let res = run(&entry, &req, service, &mut attempts).await;
        let code = res.as_ref().map_or_else(|e| e.code, |_| "ok");
        keep_story(&entry, &req.head, &req.name, code, &mut attempts);
        res
    });
    work.await.unwrap_or_else(|_| Err(ApiError::outcome_unknown("the request was dropped")))
}

/// Full name of a service the organisation may call.
fn find_service(snapshot: &Snapshot, organisation: &str, name: &str) -> Result<ObjectId, ApiError> {
    let partner = partner_of(organisation);
    let full = qualify(partner, name);
    let known = replicas(snapshot, &full).any(|server| snapshot.server_is_shared(server, partner));
    if known { Ok(full) } else { Err(ApiError::not_found(name)) }
}

fn replicas<'a>(snapshot: &'a Snapshot, service: &'a str) -> impl Iterator<Item = &'a ObjectId> {
    snapshot
        .servers
        .iter()
        .filter(move |(id, spec)| {
            let name = if spec.service.is_empty() {
                (*id).clone()
            } else {
                qualify(partner_of(id), &spec.service)
            };
            spec.kind == BackendKind::Service && *name == *service
        })
        .map(|(id, _)| id)
}

/// Reads may always be repeated; other calls only where the operator says so.
fn calls_may_repeat(snapshot: &Snapshot, service: &str, method: &str) -> bool {
    if matches!(method, "GET" | "HEAD" | "OPTIONS") {
        return true;
    }
    replicas(snapshot, service).all(|id| snapshot.servers.get(id).is_some_and(|s| s.repeatable))
}

async fn run(
    entry: &Arc<Entry>,
    req: &ServiceRequest,
    service: ObjectId,
    attempts: &mut Attempts,
) -> Result<Response, ApiError> {
    let snapshot = entry.config.snapshot();
    let _share = OrganisationShare::take(entry, &req.head, &snapshot)?;
    let Some(key) = req.head.claim_key()?.filter(|_| entry.policy.claims) else {
        let saved = call(entry, req, service, attempts).await?;
        return Ok(response(saved, &req.head));
    };
    let (id, deadline) = (req.head.id, req.head.time_left());
    let grant = match claims::claim(entry, key, id, fingerprint(req), deadline).await? {
        Claimed::Replay(answer) => return Ok(saved_response(answer)),
        Claimed::Granted(grant) => grant,
    };
    let res = call(entry, req, service, attempts).await;
    let state = match (&res, attempts.verdict()) {
        (Ok(saved), _) => ClaimState::Done(saved.clone()),
        (Err(_), RequestOutcome::NotRun) => ClaimState::NotRun,
        (Err(_), _) => ClaimState::Unknown,
    };
    let finishing = entry.clone();
    tokio::spawn(async move { claims::finish(&finishing, grant, state).await });
    Ok(response(res?, &req.head))
}

async fn call(
    entry: &Arc<Entry>,
    req: &ServiceRequest,
    name: ObjectId,
    attempts: &mut Attempts,
) -> Result<SavedAnswer, ApiError> {
    let job = Job {
        head: &req.head,
        call: JobCall::Service {
            name: name.clone(),
            method: req.method.clone(),
            path: req.path.clone(),
            content_type: req.content_type.clone(),
        },
        body: &req.body,
        prompt_tokens: 0,
        answer_tokens: 1,
        ring_keys: [0, 0],
        chain: &[],
    };
    let mut collector = Collector::Raw(Vec::new());
    let res = run_job(entry, &job, attempts, &mut collector).await;
    let finished =
        res.map_err(|e: StageError| describe_failure(&e, attempts.verdict(), &req.name))?;
    charge(entry, req, &name, &finished).await;
    if !req.head.repeatable && is_promise(finished.status) {
        let status = finished.status;
        return Err(ApiError::outcome_unknown(&format!("the service answered {status}")));
    }
    let Collector::Raw(body) = collector else {
        return Err(ApiError::not_found(&req.name));
    };
    let body = String::from_utf8_lossy(&body).into();
    Ok(SavedAnswer { status: finished.status, body })
}

/// Whether the caller would take a status for the promise that the call was not carried out; a service's own status
/// proves nothing of the kind.
fn is_promise(status: u16) -> bool {
    StatusCode::from_u16(status).is_ok_and(promises_not_run)
}

async fn charge(entry: &Entry, req: &ServiceRequest, name: &ObjectId, finished: &Finished) {
    let attempt = ChargedAttempt {
        version: name.clone(),
        server: finished.link.server.clone(),
        tokens_in: 0,
        tokens_out: 0,
        cost: 0,
    };
    let record = ChargeRecord {
        request: req.head.id,
        organisation: req.head.organisation.clone(),
        attempts: vec![attempt],
        delivery: Delivery::Whole,
    };
    charges::charge(entry, record, Some(&finished.link)).await;
}

fn response(saved: SavedAnswer, head: &RequestHead) -> Response {
    let status = StatusCode::from_u16(saved.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = (status, saved.body.into_string()).into_response();
    if let Ok(id) = HeaderValue::from_str(&format_id(head.id)) {
        res.headers_mut().insert("mintmoor-request", id);
    }
    res
}

fn fingerprint(req: &ServiceRequest) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [req.name.as_bytes(), req.method.as_bytes(), req.path.as_bytes(), &req.body] {
        hasher.update(part);
        hasher.update(&[0]);
    }
    hasher.digest()
}
