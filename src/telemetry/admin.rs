//! HTTP endpoints of the admin address of every process: health, metrics and the state dump.

use std::sync::Arc;

use axum::{Json, Router, http::StatusCode, routing::get};
use serde_json::Value;

/// Handlers that a process provides for its admin address.
#[derive(Clone)]
pub struct AdminHandlers {
    /// Renders the metrics in the OpenMetrics text format.
    pub render_metrics: Arc<dyn Fn() -> String + Send + Sync>,
    /// Whether the process accepts work.
    pub is_ready: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Returns the state dump. It contains no secret keys.
    pub dump_state: Arc<dyn Fn() -> Value + Send + Sync>,
}

/// Router of the admin address.
pub fn router(handlers: AdminHandlers) -> Router {
    let AdminHandlers { render_metrics, is_ready, dump_state } = handlers;
    Router::new()
        .route("/healthz", get(|| async { "ok" }))
        .route(
            "/readyz",
            get(move || async move {
                if is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
            }),
        )
        .route("/metrics", get(move || async move { render_metrics() }))
        .route("/debug/state", get(move || async move { Json(dump_state()) }))
}
