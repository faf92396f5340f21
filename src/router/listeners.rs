//! Listening on an entry's addresses, also on those that can't be bound yet.
//!
//! An address may still be in use by the process's predecessor, or its Host may not have it yet. Each address is
//! waited for independently of the others, for as long as the process runs.

use std::{fmt::Display, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpListener, sync::watch, task::JoinSet, time::sleep};

use crate::{
    policy::backoff::Backoff,
    router::{Router, listen_purpose::ListenPurpose},
    telemetry::event,
};

/// Delay before an address is served again after the task that accepted its connections has panicked.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// One address of an entry, from the first attempt to bind it.
#[derive(Debug)]
pub struct Listener {
    router: Arc<Router>,
    purpose: ListenPurpose,
    /// Bound, but not served yet; not registered with a runtime, since another thread may serve it.
    bound: Option<std::net::TcpListener>,
    backoff: Backoff,
}

impl Listener {
    /// A listener that is not bound.
    pub fn new(router: &Arc<Router>, purpose: ListenPurpose) -> Self {
        Self { router: router.clone(), purpose, bound: None, backoff: Backoff::default() }
    }

    /// Makes one attempt to bind the address. A failure is logged; [`keep_serving`](Self::keep_serving) tries again.
    pub async fn try_bind(&mut self) {
        let Some(address) = self.purpose.address(&self.router) else {
            return;
        };
        match TcpListener::bind(address).await.and_then(TcpListener::into_std) {
            Ok(bound) => self.bound = Some(bound),
            Err(e) => self.log_waiting(&e),
        }
    }

    /// The bound address, or the one in the settings if it is not bound yet.
    pub fn address(&self) -> Option<SocketAddr> {
        let bound = self.bound.as_ref().and_then(|bound| bound.local_addr().ok());
        bound.or_else(|| self.purpose.address(&self.router))
    }

    /// Binds the address as soon as that is possible and serves it until `serve` returns. If `serve` panics, the
    /// address is bound and served again. Stops waiting for the address when `closing` turns true.
    pub async fn keep_serving<S>(
        mut self,
        mut closing: watch::Receiver<bool>,
        serve: impl Fn(TcpListener) -> S,
    ) where
        S: Future<Output = ()> + Send + 'static,
    {
        loop {
            let listener = tokio::select! {
                listener = self.listen() => listener,
                // An error means that the entry was dropped without `stop`, which ends it as well.
                _ = closing.wait_for(|closing| *closing) => return,
            };
            self.backoff = Backoff::default();
            self.router.set_listening(self.purpose, true);
            // Ends with this future, so that the address is free for the one that takes its place.
            let mut serving = JoinSet::new();
            serving.spawn(serve(listener));
            let served = serving.join_next().await;
            self.router.set_listening(self.purpose, false);
            let Some(Err(e)) = served else {
                return;
            };
            self.log_waiting(&e);
            self.router.metrics.count_task_restart(&self.purpose.to_string());
            tokio::select! {
                () = sleep(RESTART_DELAY) => {}
                _ = closing.wait_for(|closing| *closing) => return,
            }
            self.try_bind().await;
        }
    }

    /// Waits until the address is bound.
    async fn listen(&mut self) -> TcpListener {
        loop {
            if let Some(bound) = self.bound.take() {
                match TcpListener::from_std(bound) {
                    Ok(listener) => {
                        self.log_listening(&listener);
                        return listener;
                    }
                    Err(e) => self.log_waiting(&e),
                }
            }
            sleep(self.backoff.record_failure(rand::random())).await;
            self.try_bind().await;
        }
    }

    fn log_listening(&self, listener: &TcpListener) {
        let purpose = self.purpose;
        match listener.local_addr() {
            Ok(address) => {
                event::LISTENING.log(format_args!("purpose={purpose} address={address}"));
            }
            Err(e) => event::LISTENING.log(format_args!("purpose={purpose} address=\"{e}\"")),
        }
    }

    fn log_waiting(&self, cause: &impl Display) {
        if !self.backoff.is_logged() {
            return;
        }
        let purpose = self.purpose;
        match self.purpose.address(&self.router) {
            Some(address) => event::LISTEN_WAITS
                .log(format_args!("purpose={purpose} address={address} cause=\"{cause}\"")),
            None => event::LISTEN_WAITS.log(format_args!("purpose={purpose} cause=\"{cause}\"")),
        }
    }
}
