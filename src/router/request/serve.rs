//! Handles one HTTP request of a caller: validates it, reads its body, and hands it to the relay.

use std::{convert::Infallible, sync::Arc, time::Duration};

use http::{HeaderValue, Request as HttpRequest, Response, Version, header::CONNECTION};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{
    platform::request_headers::{parse_request_head, request_id},
    policy::{attempt_log::AttemptLog, exposure::hash_fraction},
    router::{
        Router,
        callers::caller_connection::CallerConnection,
        request::{
            body::ResponseBody,
            buffered::MAX_BUFFERED_BODY,
            held_body::HeldBodyWriter,
            in_flight::InFlightGuard,
            refusal::{NotRunCause, Refusal},
            relay,
            request_body::read_body,
            request_context::RequestContext,
            request_panic::refuse_on_panic,
        },
    },
    routing::{CallerLimits, Organisation, Request, RequestHead, Route, RoutingTable},
    telemetry::event,
};

/// Limits that apply until a configuration sets them; both first deployments use these values.
pub(crate) const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Serves one request. Refusals become responses, so this never fails.
pub(crate) async fn serve(
    router: Arc<Router>,
    req: HttpRequest<Incoming>,
    connection: Arc<CallerConnection>,
    connected_at: Duration,
) -> Result<Response<ResponseBody>, Infallible> {
    let id: Box<str> = request_id(req.headers()).unwrap_or("-").into();
    // Boxed, so that an idle connection doesn't keep the state of a request.
    let serving = Box::pin(try_serve(&router, req, &connection, connected_at));
    let mut res = match refuse_on_panic(&id, serving).await {
        Ok(res) => {
            router.metrics.count_request("", "ok");
            res
        }
        Err(refusal) => {
            router.metrics.count_request("", refusal.code());
            event::REQUEST_REFUSED.log(format_args!("request={id} cause=\"{refusal}\""));
            refusal.response()
        }
    };
    if router.is_leaving() {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(res)
}

/// Serves one request, or returns the reason for refusing it.
async fn try_serve(
    router: &Arc<Router>,
    req: HttpRequest<Incoming>,
    connection: &Arc<CallerConnection>,
    connected_at: Duration,
) -> Result<Response<ResponseBody>, Refusal> {
    router.notice_suspension();
    // Attempts are made only once there is a context, which has a log of its own.
    let attempts = AttemptLog::default();
    let mut in_flight = InFlightGuard::new(router, connection, connected_at);
    let (parts, body) = req.into_parts();
    let head = parse_request_head(&parts.method, &parts.uri, &parts.headers)?;
    router.wait_for_view().await;
    let table = router.table.load_full();
    let Some(table) = table.as_ref() else {
        return Err(Refusal::not_run(NotRunCause::NoConfiguration, &attempts));
    };
    let (route, organisation) = admit(table, &head)?;
    if head.model.as_ref().is_some_and(|model| !route.may_name(model)) {
        return Err(Refusal::not_run(NotRunCause::UnknownModel, &attempts));
    }
    let max_wait = head.caller_timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = in_flight.arrived_at + max_wait;
    if !router.accepts(&route, deadline) {
        return Err(router.leaving_refusal(connected_at, &attempts));
    }
    let limits = table.limits.unwrap_or(DEFAULT_LIMITS);
    let reading = read_body(&mut in_flight, body, &limits, &attempts);
    let latest = || router.latest_first_send(&route, deadline);
    let Some(body) = router.clock.timeout_until(latest, reading).await else {
        return Err(router.leaving_refusal(connected_at, &attempts));
    };
    let body = body?;
    in_flight.mark_received();
    let service = choose_service(&route, &head);
    router.record_request(&service);
    let req = Request { head, body };
    let ctx = RequestContext::new(req, route, service, organisation, deadline, in_flight);
    // Boxed, so that a request whose body is awaited has no memory for its response yet.
    let res = Box::pin(relay::respond(router, ctx)).await?;
    if parts.version >= Version::HTTP_11 || !matches!(res.body(), ResponseBody::Stream(_)) {
        return Ok(res);
    }
    store_stream(router, connection, res).await
}

/// Reads a stream to its end. HTTP/1.0 has no chunks, so that an interrupted stream would look complete to its caller.
async fn store_stream(
    router: &Router,
    connection: &Arc<CallerConnection>,
    res: Response<ResponseBody>,
) -> Result<Response<ResponseBody>, Refusal> {
    let (parts, mut body) = res.into_parts();
    let mut stored = HeldBodyWriter::new(&router.memory, connection, None).await;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Refusal::Lost)?.into_data() else {
            continue;
        };
        if stored.len() + data.len() > MAX_BUFFERED_BODY {
            return Err(Refusal::Lost);
        }
        stored.push(&data).await;
    }
    Ok(Response::from_parts(parts, ResponseBody::Held(stored.finish())))
}

/// Finds the request's route and authenticates its Organisation.
fn admit(
    table: &RoutingTable,
    head: &RequestHead,
) -> Result<(Arc<Route>, Option<Arc<Organisation>>), Refusal> {
    let route = table.route(&head.host, head.uri.path()).ok_or(Refusal::NoRoute)?;
    let find_organisation = |keys: &std::collections::HashMap<Box<str>, Arc<Organisation>>| {
        head.api_key.as_ref().and_then(|key| keys.get(key)).cloned()
    };
    let organisation = table.organisations_by_key.as_ref().and_then(find_organisation);
    if table.organisations_by_key.is_some() && !route.is_public && organisation.is_none() {
        return Err(Refusal::UnknownKey);
    }
    Ok((route.clone(), organisation))
}

/// Chooses the route's target service by weight. All requests of a session get the same service.
fn choose_service(route: &Route, head: &RequestHead) -> Box<str> {
    let total: f64 = route.targets.iter().map(|target| target.weight).sum();
    let mut remaining = hash_fraction(head.session_key(), &route.name) * total;
    for target in &route.targets {
        remaining -= target.weight;
        if remaining < 0.0 {
            return target.service.clone();
        }
    }
    route.targets.last().map(|target| target.service.clone()).unwrap_or_default()
}
