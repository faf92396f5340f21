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
    http::{HeaderMap, Method, StatusCode},
    routing::any,
};

/// A service that echoes each call and counts it.
#[derive(Clone, Debug, Default)]
pub struct ServiceStandin {
    calls: Arc<Mutex<HashMap<Bytes, u64>>>,
    work: Duration,
    /// Status with which calls are answered once they were carried out; 200 unless set.
    status: Arc<Mutex<StatusCode>>,
}

impl ServiceStandin {
    /// A service whose calls take `work`.
    pub fn new(work: Duration) -> Self {
        Self { calls: Arc::default(), work, status: Arc::default() }
    }

    /// How often a call with each body was carried out.
    pub fn calls(&self) -> HashMap<Bytes, u64> {
        self.calls.lock().expect("no panics under the lock").clone()
    }

    /// Answers all further calls with this status, after it has carried them out.
    pub fn answer_with(&self, status: StatusCode) {
        *self.status.lock().expect("no panics under the lock") = status;
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
) -> (StatusCode, Json<serde_json::Value>) {
    let call = {
        let mut calls = service.calls.lock().expect("no panics under the lock");
        let count = calls.entry(body.clone()).or_default();
        *count += 1;
        *count
    };
    tokio::time::sleep(service.work).await;
    let request = headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("");
    let status = *service.status.lock().expect("no panics under the lock");
    let answer = serde_json::json!({
        "call": call,
        "method": method.as_str(),
        "path": path,
        "request": request,
        "body": String::from_utf8_lossy(&body),
    });
    (status, Json(answer))
}
