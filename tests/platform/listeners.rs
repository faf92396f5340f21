//! Listening on an address again after the task that serves it has panicked.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use mintmoor::{
    policy::lifecycle::LifecycleEvent,
    router::{ListenPurpose, Listener, Router},
    settings::RouteSettings,
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};

use crate::{
    site::{host_settings, wait_until},
    store::Store,
};

/// An entry with a configuration, and a listener for its callers that is bound.
async fn bound_listener() -> (Arc<Router>, Listener) {
    let settings = host_settings(&Store::start().await);
    let router = Arc::new(Router::new(settings, RouteSettings::default()));
    router.advance(LifecycleEvent::Ready);
    let mut listener = Listener::new(&router, ListenPurpose::Callers);
    listener.try_bind().await;
    (router, listener)
}

#[tokio::test]
async fn callers_are_served_again_after_the_task_that_accepts_their_connections_panicked() {
    let (router, listener) = bound_listener().await;
    let (_closing, is_closing) = watch::channel(false);
    let (tx, mut served) = mpsc::channel(2);
    let starts = AtomicUsize::new(0);
    let serve = move |listener: TcpListener| {
        let (start, tx) = (starts.fetch_add(1, Ordering::Relaxed), tx.clone());
        async move {
            assert_ne!(start, 0, "the first task panics");
            tx.send(listener).await.unwrap();
            std::future::pending().await
        }
    };

    tokio::spawn(listener.keep_serving(is_closing, serve));

    served.recv().await.unwrap();
    wait_until("the entry is ready", || router.is_ready()).await;
}

#[tokio::test]
async fn an_entry_is_not_ready_after_the_task_that_accepts_its_callers_panicked() {
    let (router, listener) = bound_listener().await;
    let (closing, is_closing) = watch::channel(false);
    let (tx, mut begun) = mpsc::channel(1);
    let serve = move |_: TcpListener| {
        let tx = tx.clone();
        async move {
            tx.send(()).await.unwrap();
            panic!("the task panics");
        }
    };
    let served = tokio::spawn(listener.keep_serving(is_closing, serve));
    begun.recv().await.unwrap();

    closing.send_replace(true);

    served.await.unwrap();
    assert!(!router.is_ready());
}
