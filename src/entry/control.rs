//! The control work of an entry.

use std::{sync::Arc, time::Duration};

use tokio::runtime::Handle;

use crate::{
    control::membership::Scope,
    entry::{Entry, charges, guard, jobs, links, links::Dialer},
    platform::HostsClient,
    policy::lifecycle::LifecycleEvent,
    telemetry::event,
};

/// Time between looks at the host list. Each entry looks for itself, so 3, 32 or 360 of them make as many
/// calls a second; but for one each 43 s, the hosts that fail and are replaced at the largest size, the answer
/// says only that nothing has changed (docs/CAPACITY.md).
const HOSTS_EVERY: Duration = Duration::from_secs(1);
/// Entries of a zone that poll the store's head; the others learn from their links.
const POLLERS: usize = 2;
/// Polls that the others leave out, so that an entry without links still catches up.
const POLLS_LEFT_OUT: u32 = 9;
const GUARD_EVERY: Duration = Duration::from_millis(200);

/// Runs until the entry dies; a killed one does not even finish what it was writing.
pub(crate) async fn run(entry: Arc<Entry>, traffic: Handle) {
    let mut killed = entry.killed.subscribe();
    let work = async {
        tokio::join!(
            follow_store(entry.clone()),
            follow_hosts(entry.clone(), traffic),
            links::beat(entry.clone()),
            charges::flush(entry.clone()),
            watch_versions(entry.clone()),
            jobs::run(entry.clone()),
        )
    };
    tokio::select! {
        _ = work => {}
        _ = killed.wait_for(|killed| *killed) => {}
    }
}

async fn follow_store(entry: Arc<Entry>) {
    let mut left_out = 0;
    while !entry.is_dead() {
        let leaves_out = entry.config.revision() > 0 && !is_poller(&entry);
        if leaves_out && left_out < POLLS_LEFT_OUT {
            left_out += 1;
        } else {
            left_out = 0;
            // The store's outage is logged where it is noticed; what is in force stays so.
            let _ = entry.config.poll(&entry.table, &entry.health).await;
        }
        note_ready(&entry);
        tokio::time::sleep(entry.settings.poll).await;
    }
}

/// Takes requests once a configuration is in force, from the store or from a link.
fn note_ready(entry: &Entry) {
    let revision = entry.config.revision();
    if revision > 0 && !entry.is_ready() && !entry.is_leaving() {
        entry.advance(LifecycleEvent::Ready);
        event::PROCESS_READY.log(format_args!("revision={revision}"));
    }
}

fn is_poller(entry: &Entry) -> bool {
    entry.has_duty("poll", POLLERS, Scope::Zone)
}

async fn follow_hosts(entry: Arc<Entry>, traffic: Handle) {
    let hosts = HostsClient::over_http(entry.http.clone(), &entry.settings.platform.hosts);
    let mut dialer = Dialer::default();
    let mut revision = entry.config.subscribe();
    while !entry.is_dead() {
        if let Ok(Some(list)) = hosts.poll().await {
            *entry.hosts.lock().expect("no panics under the lock") = list;
            dialer.follow(&entry, &traffic);
        }
        tokio::select! {
            () = tokio::time::sleep(HOSTS_EVERY) => {}
            _ = revision.changed() => dialer.follow(&entry, &traffic),
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
        entry.suspicion.lock().expect("no panics under the lock").forget_ended(&snapshot);
    }
}
