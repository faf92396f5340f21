//! The addresses an entry listens on: callers, and the balancer's question whether it is ready.

use std::{sync::Arc, time::Duration};

use axum::{Router as HttpRouter, http::StatusCode, routing::get};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    router::{
        Router,
        serve::{DEFAULT_LIMITS, serve},
    },
    telemetry::{admin, event},
};

/// Least buffer hyper takes for a request's head, bytes.
const MIN_READ_BUFFER: usize = 8 << 10;
/// Time an accept that failed is left alone, for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time that callers may use a connection beyond the limit that they were given.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Takes callers' connections until `closing` says so, then closes those that are idle and waits
/// for the others.
pub(crate) async fn serve_callers(
    router: Arc<Router>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    let open = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(&router, stream, &open),
            Err(e) => {
                event::ACCEPT_FAILED.log(format_args!("cause=\"{e}\""));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    open.shutdown().await;
}

fn serve_connection(router: &Arc<Router>, stream: TcpStream, open: &GracefulShutdown) {
    // Without it a small event would wait for the caller's acknowledgement of the one before.
    if let Err(e) = stream.set_nodelay(true) {
        event::ACCEPT_FAILED.log(format_args!("cause=\"{e}\""));
        return;
    }
    let table = router.table.load();
    let limits = table.as_ref().as_ref().and_then(|t| t.limits).unwrap_or(DEFAULT_LIMITS);
    let (router, connected_at) = (router.clone(), router.now());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Covers the time between requests too, so it is the longer of the two limits.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_SLACK)
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER))
        .serve_connection(
            TokioIo::new(stream),
            service_fn(move |req| serve(router.clone(), req, connected_at)),
        );
    let connection = open.watch(connection);
    // A caller that breaks off shows in its request, if one was under way.
    tokio::spawn(async move { drop(connection.await) });
}

/// Answers the balancer, and serves metrics and the state dump beside it.
pub(crate) async fn serve_readiness(
    router: Arc<Router>,
    listener: TcpListener,
) -> std::io::Result<()> {
    let asked = router.clone();
    let ready = get(move || {
        let is_ready = asked.is_ready();
        async move { if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE } }
    });
    let app = HttpRouter::new()
        .route(crate::platform::READINESS_PATH, ready)
        .merge(admin::router(router.admin()));
    axum::serve(listener, app).await
}
