//! Measures how late ready tasks run, and closes new connections unread while that is too late.

use std::{sync::Arc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    control::supervisor::supervise, policy::accept_control::AcceptControl, router::Router,
    sync::Mutex, telemetry::event,
};

/// Time between two measurements: a fraction of the delay that matters.
const MEASURE_INTERVAL: Duration = Duration::from_millis(30);
/// Time from accepting a connection after which it is closed instead of being read: its caller has been waiting for
/// longer than that and gives up after a second.
const MAX_READ_DELAY: Duration = Duration::from_millis(600);

/// Decides whether new connections are served. Its clock stops during a suspension of the Host, which says nothing
/// about the load.
#[derive(Debug)]
pub(crate) struct AcceptGate {
    router: Arc<Router>,
    started_at: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    control: AcceptControl,
    /// Connections closed unread since the process began to lack processor time.
    closed: u64,
}

impl AcceptGate {
    pub(crate) fn new(router: Arc<Router>) -> Self {
        Self { router, started_at: Instant::now(), state: Mutex::default() }
    }

    /// Measures in a task that ends when the returned set is dropped.
    pub(crate) fn spawn_measuring(self: &Arc<Self>) -> JoinSet<()> {
        let (gate, mut tasks) = (self.clone(), JoinSet::new());
        tasks.spawn(async move {
            supervise("accept gate", &gate.router.metrics, || gate.measure()).await;
        });
        tasks
    }

    async fn measure(&self) {
        loop {
            let ready_at = Instant::now() + MEASURE_INTERVAL;
            sleep(MEASURE_INTERVAL).await;
            self.lock().control.record(ready_at.elapsed(), self.started_at.elapsed());
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Admits a connection that was just accepted, or returns false if it is to be closed.
    pub(crate) fn admit(&self) -> bool {
        let mut state = self.lock();
        let is_served = state.control.admit(self.started_at.elapsed());
        if is_served && state.closed > 0 && !state.control.is_limiting() {
            event::ACCEPT_RESUMED.log(format_args!("closed={}", state.closed));
            state.closed = 0;
        }
        if !is_served {
            if state.closed == 0 {
                event::ACCEPT_PAUSED.log(format_args!("in_flight={}", self.router.in_flight()));
            }
            state.closed += 1;
            self.router.metrics.connections_unread.inc();
        }
        is_served
    }

    /// Whether a connection has waited for too long since it was accepted; it is to be closed then.
    pub(crate) fn is_too_late(&self, accepted_at: Instant) -> bool {
        let is_late = accepted_at.elapsed() > MAX_READ_DELAY;
        if is_late {
            self.router.metrics.connections_unread.inc();
        }
        is_late
    }
}
