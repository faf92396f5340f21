//! Fault controls common to the platform's stand-ins.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{Request, State},
    http::StatusCode,
    middleware::Next,
    response::{IntoResponse, Response},
    routing::put,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Faults in force; all off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Refuse every call with 503.
    pub down: bool,
    /// Answer this many milliseconds late.
    pub slow_ms: u64,
    /// Share of calls whose answer is lost after the call took effect.
    pub lose_replies: f64,
}

#[derive(Debug)]
struct Inner {
    faults: Faults,
    rng: ChaCha8Rng,
}

/// Handle on the faults of one stand-in.
#[derive(Clone, Debug)]
pub struct FaultControl {
    inner: Arc<Mutex<Inner>>,
}

impl FaultControl {
    /// No faults; losses are drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        let inner = Inner { faults: Faults::default(), rng: ChaCha8Rng::seed_from_u64(seed) };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    /// Sets the faults in force.
    pub fn set(&self, faults: Faults) {
        self.inner.lock().expect("no panics under the lock").faults = faults;
    }

    /// Faults in force.
    pub fn get(&self) -> Faults {
        self.inner.lock().expect("no panics under the lock").faults
    }

    /// Draws whether the answer to this call is lost.
    pub fn loses_reply(&self) -> bool {
        let mut inner = self.inner.lock().expect("no panics under the lock");
        let share = inner.faults.lose_replies;
        share > 0.0 && inner.rng.random_bool(share.min(1.0))
    }

    /// Puts the faults in front of a router and a `PUT /faults` beside it.
    pub fn wrap(&self, router: Router) -> Router {
        let control = self.clone();
        router.layer(axum::middleware::from_fn_with_state(self.clone(), interfere)).route(
            "/faults",
            put(move |Json(faults): Json<Faults>| async move {
                control.set(faults);
                StatusCode::NO_CONTENT
            }),
        )
    }
}

async fn interfere(State(control): State<FaultControl>, req: Request, next: Next) -> Response {
    let faults = control.get();
    if faults.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    let res = next.run(req).await;
    if control.loses_reply() {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    res
}
