//! The admin address of every process: health, metrics and the state dump.

use std::sync::Arc;

use axum::{Json, Router, http::StatusCode, routing::get};
use serde_json::Value;

/// What differs between processes on the admin address.
#[derive(Clone)]
pub struct AdminHandlers {
    /// The text exposition of the process's metrics.
    pub render_metrics: Arc<dyn Fn() -> String + Send + Sync>,
    /// Whether the process takes work.
    pub is_ready: Arc<dyn Fn() -> bool + Send + Sync>,
    /// The state dump; it holds no keys.
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
