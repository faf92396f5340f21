//! A stand-in for the platform's duty service, which records usage reports and checks what the platform forbids.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::State,
    http::{HeaderMap, StatusCode},
    routing::post,
};
use serde_json::Value;
use tokio::{net::TcpListener, time::sleep};

/// Fault that the service injects into its calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DutyFault {
    #[default]
    None,
    /// Calls are answered with this status and have no effect.
    Status(u16),
    /// Calls take effect and are never answered.
    Silent,
}

#[derive(Default)]
struct ServiceState {
    fault: DutyFault,
    /// Accepted reports by window.
    reports: BTreeMap<u64, Value>,
    /// Holder, token and time of each call that was received.
    calls: Vec<(String, u64, Instant)>,
    violations: Vec<String>,
}

/// A running duty service; clones share its record.
#[derive(Clone)]
pub struct DutyService {
    state: Arc<Mutex<ServiceState>>,
    pub address: SocketAddr,
    /// Time within which calls of two holders must not alternate.
    lease: Duration,
}

impl DutyService {
    pub async fn start(lease: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let service = Self { state: Arc::default(), address, lease };
        let app = Router::new().route("/usage", post(receive_usage)).with_state(service.clone());
        tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
        service
    }

    pub fn set_fault(&self, fault: DutyFault) {
        self.state.lock().unwrap().fault = fault;
    }

    /// Requests in all accepted reports.
    pub fn reported_requests(&self) -> u64 {
        let state = self.state.lock().unwrap();
        let counts = state.reports.values().filter_map(Value::as_object);
        counts.flat_map(|counts| counts.values().filter_map(Value::as_u64)).sum()
    }

    /// Number of windows with an accepted report.
    pub fn reported_windows(&self) -> usize {
        self.state.lock().unwrap().reports.len()
    }

    /// Number of calls received.
    pub fn calls(&self) -> usize {
        self.state.lock().unwrap().calls.len()
    }

    /// The holder and the token of the last call.
    pub fn last_holder(&self) -> Option<(String, u64)> {
        let state = self.state.lock().unwrap();
        state.calls.last().map(|(holder, token, _)| (holder.clone(), *token))
    }

    /// Rules of the duty that calls have broken.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().unwrap().violations.clone()
    }

    /// Panics if any call broke a rule of the duty.
    pub fn assert_rules_kept(&self) {
        let violations = self.violations();
        assert!(violations.is_empty(), "{violations:?}");
    }
}

impl ServiceState {
    /// Checks and records who made a call.
    fn record_call(&mut self, holder: &str, token: u64, lease: Duration) {
        let now = Instant::now();
        if let Some((last, last_token, _)) = self.calls.last() {
            if token < *last_token {
                self.violations.push(format!("token {token} of {holder} after {last_token}"));
            }
            if token == *last_token && holder != last {
                self.violations.push(format!("token {token} from {last} and {holder}"));
            }
        }
        let since = |at: &Instant| now.duration_since(*at) < lease;
        let recent: Vec<_> = self.calls.iter().filter(|(.., at)| since(at)).collect();
        let own = recent.iter().position(|(recent, ..)| recent == holder);
        if own.is_some_and(|own| recent[own..].iter().any(|(other, ..)| other != holder)) {
            self.violations.push(format!("holders alternate around {holder}"));
        }
        self.calls.push((holder.into(), token, now));
    }

    /// Records a report; one that differs from an earlier one for its window breaks a rule.
    fn record_report(&mut self, report: &Value) {
        let window = report["window"].as_u64().unwrap();
        let counts = report["counts"].clone();
        match self.reports.get(&window) {
            Some(earlier) if *earlier != counts => {
                self.violations.push(format!("window {window}: {earlier}, then {counts}"));
            }
            _ => drop(self.reports.insert(window, counts)),
        }
    }
}

async fn receive_usage(
    State(service): State<DutyService>,
    headers: HeaderMap,
    Json(report): Json<Value>,
) -> StatusCode {
    let text = |name: &str| headers[name].to_str().unwrap().to_owned();
    let fault = {
        let mut state = service.state.lock().unwrap();
        let token = text("x-fencing-token").parse().unwrap();
        state.record_call(&text("x-lease-holder"), token, service.lease);
        if !matches!(state.fault, DutyFault::Status(_)) {
            state.record_report(&report);
        }
        state.fault
    };
    match fault {
        DutyFault::None => StatusCode::OK,
        DutyFault::Status(status) => StatusCode::from_u16(status).unwrap(),
        DutyFault::Silent => {
            sleep(Duration::from_secs(3_600)).await;
            StatusCode::OK
        }
    }
}
