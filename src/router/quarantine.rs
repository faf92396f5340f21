//! What an entry does with requests under which servers ended.

use std::time::Duration;

use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    policy::quarantine::Standing,
    router::{Released, Router, job::Job, quarantine_row::TrialRequest},
    routing::Fingerprint,
    telemetry::event,
};

/// Longest wait for the store's answer about a trial: two calls of 5 ms each, ten times over.
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(100);
/// Age at which what another entry said counts no more: four heartbeats.
const PEER_MESSAGE_LIFETIME: Duration = Duration::from_millis(1_200);
/// `Retry-After` for a request that only an operator can release: as long as it is remembered.
const PERMANENT_RETRY_AFTER: Duration = Duration::from_secs(24 * 60 * 60);
/// Least `Retry-After`: where a trial is due and can't be made now, it is under way at another entry, or
/// the store is away.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(5);

impl Router {
    /// What may be done with a request, by the servers that ended under it.
    pub(crate) fn standing(&self, job: &Job) -> Standing {
        if self.quarantine.is_idle() {
            return Standing::Free;
        }
        self.quarantine.standing(&job.fingerprint(), self.now())
    }

    /// Whether a request reaches no more servers because of those that ended under it.
    pub(crate) fn is_refused(&self, job: &Job) -> bool {
        !job.is_trial && matches!(self.standing(job), Standing::Refused { .. })
    }

    /// Whether a refused request gets its trial now, here and nowhere else; the store is asked only when one
    /// is due.
    pub(crate) async fn claim_trial(&self, job: &Job) -> bool {
        let is_due = self.standing(job) == Standing::Refused { trial_in: Some(Duration::ZERO) };
        if !is_due {
            return false;
        }
        let (answer, answered) = oneshot::channel();
        let request = self.trials.0.try_send((job.fingerprint(), answer));
        // A store that is slow to answer does not hold the caller up.
        request.is_ok() && matches!(timeout(TRIAL_CLAIM_TIMEOUT, answered).await, Ok(Ok(true)))
    }

    /// Takes the end at which trials are asked for; once.
    pub(crate) fn take_trial_requests(&self) -> Option<mpsc::Receiver<TrialRequest>> {
        self.trials.1.lock().expect("no panics under the lock").take()
    }

    /// Whether this entry gets updates from no other one.
    pub(crate) fn is_isolated(&self) -> bool {
        let now = self.now();
        let is_reported = now < self.views.peer_message_at() + PEER_MESSAGE_LIFETIME;
        !is_reported && self.loads.entry_count(now) <= 1
    }

    /// Waits until a request reaches no more servers.
    pub(crate) async fn wait_until_refused(&self, job: &Job) {
        let mut changes = self.quarantine.changes();
        while !self.is_refused(job) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Notes that a server answered a request whole: it does not end servers.
    pub(crate) fn record_complete_answer(&self, job: &Job) {
        if self.standing(job) != Standing::Free {
            self.quarantine.clear(job.fingerprint(), self.now());
        }
    }

    /// When the caller of a refused request may come back.
    pub(crate) fn refusal_retry_after(&self, job: &Job) -> Duration {
        match self.standing(job) {
            Standing::Refused { trial_in: Some(trial_in) } => trial_in.max(MIN_RETRY_AFTER),
            _ => PERMANENT_RETRY_AFTER,
        }
    }

    /// Lets a request go by its fingerprint, as the state dump shows it; all other entries are informed.
    pub fn release(&self, fingerprint: &str) -> Released {
        let Ok(number) = u128::from_str_radix(fingerprint, 16) else {
            return Released::Unreadable;
        };
        if !self.quarantine.clear(Fingerprint(number), self.now()) {
            return Released::Unknown;
        }
        event::QUARANTINE_RELEASED.log(format_args!("fingerprint={fingerprint}"));
        Released::Done
    }
}
