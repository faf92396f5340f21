//! Tasks that panic while they apply rows, provoked by a logger that panics.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread::ThreadId,
};

use spdlog::{
    Logger, Record,
    sink::{GetSinkProp, Sink, SinkProp},
};

use crate::{
    server::Action,
    site::{Site, list_server, start_server, store_with_servers, wait_until},
};

const GOOD: Action = Action::Respond { status: 200, body: "good" };
/// Line that each entry logs before it uses a second server.
const LINE: &str = "SERVERS_CHANGED servers=2 ";

/// Panics once at such a line, on the thread of the entry that follows another one.
#[derive(Default)]
struct PanickingSink {
    prop: SinkProp,
    follower: OnceLock<ThreadId>,
    has_panicked: AtomicBool,
}

impl GetSinkProp for PanickingSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for PanickingSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let thread = std::thread::current().id();
        if record.payload().contains("PEER_FOLLOWED") {
            self.follower.get_or_init(|| thread);
        }
        let is_wanted =
            record.payload().contains(LINE) && self.follower.get().is_some_and(|id| *id == thread);
        assert!(!is_wanted || self.has_panicked.swap(true, Ordering::Relaxed), "in a test");
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn an_entry_that_follows_another_one_has_all_servers_after_a_panic_of_the_task() {
    let sink = Arc::new(PanickingSink::default());
    spdlog::set_default_logger(Arc::new(Logger::builder().sink(sink).build().unwrap()));
    let (first, second) = (start_server("i-1", GOOD).await, start_server("i-2", GOOD).await);
    let store = store_with_servers(&[(&first, "app", "v1")]).await;
    let seed = Site::start_seed(store.clone(), None).await;
    let follower = Site::start_follower(store.clone(), &seed).await;
    seed.wait_for_servers(1).await;
    follower.wait_for_servers(1).await;
    wait_until("one follows the other", || {
        follower.entry.router.dump()["follows_another_entry"] == true
    })
    .await;

    list_server(&store, &second, "app", "v1", "ready");

    wait_until("the task has panicked", || {
        let restarted = "tasks_restarted_total{task=\"servers\"} 1";
        follower.entry.router.metrics.render().contains(restarted)
    })
    .await;
    follower.wait_for_servers(2).await;
}
