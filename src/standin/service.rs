//! Stand-in for a plain application service.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, State},
    http::{HeaderMap, Method},
    routing::any,
};

/// A service that echoes each call and counts it.
#[derive(Clone, Debug, Default)]
pub struct ServiceStandin {
    calls: Arc<Mutex<HashMap<Bytes, u64>>>,
    work: Duration,
}

impl ServiceStandin {
    /// A service whose calls take `work`.
    pub fn new(work: Duration) -> Self {
        Self { calls: Arc::default(), work }
    }

    /// How often a call with each body was carried out.
    pub fn calls(&self) -> HashMap<Bytes, u64> {
        self.calls.lock().expect("no panics under the lock").clone()
    }

    /// The HTTP face.
    pub fn router(&self) -> Router {
        Router::new().route("/{*path}", any(echo)).with_state(self.clone())
    }
}

async fn echo(
    State(service): State<ServiceStandin>,
    method: Method,
    Path(path): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Json<serde_json::Value> {
    let call = {
        let mut calls = service.calls.lock().expect("no panics under the lock");
        let count = calls.entry(body.clone()).or_default();
        *count += 1;
        *count
    };
    tokio::time::sleep(service.work).await;
    let request = headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("");
    Json(serde_json::json!({
        "call": call,
        "method": method.as_str(),
        "path": path,
        "request": request,
        "body": String::from_utf8_lossy(&body),
    }))
}
