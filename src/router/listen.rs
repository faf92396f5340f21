//! Listeners of an entry: one for callers and one for the load balancer's readiness check.

use std::{sync::Arc, time::Duration};

use axum::{Router as HttpRouter, http::StatusCode, routing::get};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::Instant,
};

use crate::{
    control::supervisor::supervise,
    router::{
        Router,
        accept_gate::AcceptGate,
        admin_listen::serve_admin,
        callers::{
            caller_connection::CutReason, caller_stream::CallerStream,
            connection_table::OpenConnection,
        },
        request::serve::{DEFAULT_LIMITS, serve},
    },
    telemetry::{admin, event},
};

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_READ_BUFFER: usize = 8 << 10;
/// Pause after a failed accept: when file descriptors have run out, an immediate retry fails again.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// What the kernel may receive from a caller before it is read, in bytes; it counts towards the process's memory.
const RECEIVE_BUFFER: usize = 32 << 10;
/// What the kernel may hold of a response that its caller has not taken, in bytes. With more, the kernel would take
/// megabytes of a stream before it shows that its caller is behind.
const SEND_BUFFER: usize = 128 << 10;
/// Time for which a connection stays usable beyond the idle timeout that callers are told.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Accepts connections from callers until `closing` turns true, then closes idle connections and waits for the
/// others to finish.
pub(crate) async fn serve_callers(
    router: Arc<Router>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let connections = GracefulShutdown::new();
    let gate = Arc::new(AcceptGate::new(router.clone()));
    let _measuring = gate.spawn_measuring();
    let accept = || accept_callers(&router, &gate, &listener, &connections, closing.clone());
    supervise("callers", &router.metrics, accept).await;
    drop(listener);
    connections.shutdown().await;
}

/// Accepts connections until `closing` turns true.
async fn accept_callers(
    router: &Arc<Router>,
    gate: &Arc<AcceptGate>,
    listener: &TcpListener,
    connections: &GracefulShutdown,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            // Dropping the connection closes it unread.
            Ok(_) if !gate.admit() => {}
            Ok((stream, caller)) => match router.connections.open(caller) {
                Some(open) => serve_connection(router, gate, stream, open, connections),
                None => router.record_cut(caller, CutReason::Connections),
            },
            Err(e) => {
                event::ACCEPT_FAILED.log(format_args!("cause=\"{e}\""));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Sets the options of a caller's connection.
fn configure(stream: &TcpStream) -> std::io::Result<()> {
    // Nagle's algorithm would hold back a small event until the caller has acknowledged the previous one.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.set_send_buffer_size(SEND_BUFFER)
}

/// Serves the requests of one connection in a task of its own.
fn serve_connection(
    router: &Arc<Router>,
    gate: &Arc<AcceptGate>,
    stream: TcpStream,
    open: OpenConnection,
    connections: &GracefulShutdown,
) {
    let accepted_at = Instant::now();
    if let Err(e) = configure(&stream) {
        event::ACCEPT_FAILED.log(format_args!("cause=\"{e}\""));
        return;
    }
    let caller = open.connection.clone();
    let stream = CallerStream::new(stream, caller.clone(), router.policy.callers);
    let table = router.table.load();
    let limits = table.as_ref().as_ref().and_then(|t| t.limits).unwrap_or(DEFAULT_LIMITS);
    let (serving, router, connected_at) = (router.clone(), router.clone(), router.now());
    let gate = gate.clone();
    let served = caller.clone();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper also applies this timeout to the time between requests, so it has to be the longer of the two.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_SLACK)
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER))
        .serve_connection(
            TokioIo::new(stream),
            service_fn(move |req| serve(serving.clone(), req, served.clone(), connected_at)),
        );
    let connection = connections.watch(connection);
    tokio::spawn(async move {
        // Leaves the table once the connection is closed.
        let _open = open;
        if gate.is_too_late(accepted_at) {
            return;
        }
        tokio::select! {
            // Connection errors can be ignored: if a request was in flight, its handling fails as well.
            _ = connection => {}
            () = caller.wait_until_cut() => {}
        }
        if let Some(reason) = caller.cut_reason() {
            router.record_cut(caller.address, reason);
        }
    });
}

/// Serves the load balancer's readiness check, and metrics and the state dump on the same address.
pub(crate) async fn serve_readiness(router: Arc<Router>, listener: TcpListener) {
    let readiness_router = router.clone();
    let ready = get(move || {
        let is_ready = readiness_router.is_ready();
        async move { if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE } }
    });
    let app = HttpRouter::new()
        .route(crate::platform::READINESS_PATH, ready)
        .merge(admin::router(router.admin()));
    serve_admin(router, listener, app).await;
}
