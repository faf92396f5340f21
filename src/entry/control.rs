//! The control work of an entry.

use std::{sync::Arc, time::Duration};

use tokio::runtime::Handle;

use crate::{
    entry::{Entry, charges, guard, jobs, links, links::Dialer},
    platform::HostsClient,
    policy::lifecycle::LifecycleEvent,
    telemetry::event,
};

const HOSTS_EVERY: Duration = Duration::from_secs(1);
const GUARD_EVERY: Duration = Duration::from_millis(200);

/// Runs until the entry dies.
pub(crate) async fn run(entry: Arc<Entry>, traffic: Handle) {
    tokio::join!(
        follow_store(entry.clone()),
        follow_hosts(entry.clone(), traffic),
        links::beat(entry.clone()),
        charges::flush(entry.clone()),
        watch_versions(entry.clone()),
        jobs::run(entry),
    );
}

async fn follow_store(entry: Arc<Entry>) {
    while !entry.is_dead() {
        // The store's outage is logged where it is noticed; what is in force stays in force.
        let _ = entry.config.poll(&entry.table, &entry.health).await;
        if entry.config.revision() > 0 && !entry.is_ready() && !entry.is_leaving() {
            entry.advance(LifecycleEvent::Ready);
            event::PROCESS_READY.log(format_args!("revision={}", entry.config.revision()));
        }
        tokio::time::sleep(entry.settings.poll).await;
    }
}

async fn follow_hosts(entry: Arc<Entry>, traffic: Handle) {
    let hosts = HostsClient::over_http(entry.http.clone(), &entry.settings.platform.hosts);
    let mut dialer = Dialer::default();
    let mut revision = entry.config.subscribe();
    while !entry.is_dead() {
        if let Ok(list) = hosts.list().await {
            *entry.hosts.lock().expect("no panics under the lock") = list;
        }
        let list = entry
            .hosts
            .lock()
            .expect("no panics under the lock")
            .clone();
        dialer.follow(&entry, &traffic, &list);
        tokio::select! {
            () = tokio::time::sleep(HOSTS_EVERY) => {}
            _ = revision.changed() => {}
        }
    }
}

async fn watch_versions(entry: Arc<Entry>) {
    while !entry.is_dead() {
        tokio::time::sleep(GUARD_EVERY).await;
        if entry.policy.guard {
            guard::hold_suspects(&entry).await;
        }
        let snapshot = entry.config.snapshot();
        entry
            .suspicion
            .lock()
            .expect("no panics under the lock")
            .forget_ended(&snapshot);
    }
}
