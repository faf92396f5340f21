//! The addresses for the load balancer and for operators: readiness check, metrics, state dump, release of quarantined
//! requests.
//!
//! They have no callers to serve, but whoever reaches them can open connections, so these are bounded like those of
//! callers (docs/incidents/0029).

use std::{convert::Infallible, sync::Arc, time::Duration};

use http::{Request as HttpRequest, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::{
    body::{Bytes, Incoming},
    server::conn::http1,
    service::{Service, service_fn},
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    control::supervisor::supervise,
    router::{
        Router,
        callers::{
            caller_connection::CallerConnection,
            caller_stream::CallerStream,
            connection_table::{ConnectionTable, OpenConnection},
        },
        listen::ACCEPT_RETRY_DELAY,
        request::{
            body::ResponseBody,
            held_body::{HeldBody, HeldBuffer},
        },
    },
    telemetry::event,
};

/// Maximum number of connections to one address: the load balancer, a collector of metrics and operators have a few
/// each.
const MAX_CONNECTIONS: usize = 64;
/// Time within which the head of a request has to arrive, and for which a connection may be idle.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a request head, in bytes.
const MAX_HEAD: usize = 8 << 10;

type App = TowerToHyperService<axum::Router>;

/// Serves an application on an address that is not for callers.
pub(crate) async fn serve_admin(router: Arc<Router>, listener: TcpListener, app: axum::Router) {
    let connections = Arc::new(ConnectionTable::new(MAX_CONNECTIONS));
    let app = TowerToHyperService::new(app);
    let accept = || accept_connections(&router, &listener, &connections, &app);
    supervise("admin address", &router.metrics, accept).await;
}

async fn accept_connections(
    router: &Arc<Router>,
    listener: &TcpListener,
    connections: &Arc<ConnectionTable>,
    app: &App,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Some(open) = connections.open(peer) {
                    tokio::spawn(serve_connection(router.clone(), stream, open, app.clone()));
                }
            }
            Err(e) => {
                event::ACCEPT_FAILED.log(format_args!("cause=\"{e}\""));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(router: Arc<Router>, stream: TcpStream, open: OpenConnection, app: App) {
    let connection = open.connection.clone();
    let stream = CallerStream::new(stream, connection.clone(), router.policy.callers);
    let served = connection.clone();
    let work = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD)
        .serve_connection(
            TokioIo::new(stream),
            service_fn(move |req| respond(router.clone(), app.clone(), served.clone(), req)),
        );
    tokio::select! {
        // A peer that goes away or violates the protocol needs no log line.
        _ = work => {}
        () = connection.wait_until_cut() => {}
    }
}

/// Answers one request; its answer counts as held until the peer has taken it.
async fn respond(
    router: Arc<Router>,
    app: App,
    connection: Arc<CallerConnection>,
    req: HttpRequest<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    connection.record_request_begun();
    let res = app.call(req).await;
    connection.record_request_ended();
    let (parts, body) = res?.into_parts();
    // Bodies of these answers are generated as a whole, so reading them can't fail.
    let bytes = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let Some(body) = hold(&router, &connection, bytes) else {
        let mut res = Response::new(ResponseBody::short("no memory for the answer now\n"));
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(res);
    };
    Ok(Response::from_parts(parts, ResponseBody::Held(body)))
}

/// Holds an answer if it fits; answers as short as those of the readiness check always do.
fn hold(router: &Router, connection: &Arc<CallerConnection>, bytes: Bytes) -> Option<HeldBody> {
    if bytes.len() <= HeldBody::MAX_UNCOUNTED {
        return Some(HeldBody::from_bytes(bytes));
    }
    let held = router.memory.try_hold(connection, bytes.len())?;
    Some(HeldBody::from_bytes(HeldBuffer::attach(bytes, held, None)))
}
