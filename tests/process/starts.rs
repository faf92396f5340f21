//! Starts while an address can't be bound yet.

use rustix::process::Signal;

use crate::{
    harness::{Host, METRICS_PORT},
    site::configuration,
    store::Store,
};

/// A store with a configuration and no servers.
async fn store() -> Store {
    let store = Store::start().await;
    store.put("op", "config", &configuration(1));
    store
}

#[tokio::test]
async fn a_process_serves_and_ends_with_code_0_when_it_is_asked_to_stop() {
    let host = Host::new(store().await.address);

    let mut process = host.spawn();
    host.wait_until_ready().await;

    process.assert_lives(&host);
    assert!(host.get(METRICS_PORT, "/metrics").await.contains("mintmoor_in_flight 0"));
    assert!(process.peak_memory() < 110 << 20);
    process.signal(Signal::TERM);
    assert!(process.wait().await.success(), "{}", host.log());
}
