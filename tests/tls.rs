//! TLS for callers, with a certificate that is replaced while the entry runs.

mod common;

use std::{path::Path, time::Duration};

use common::wait_until;
use http::{HeaderMap, Method};
use mintmoor::{
    entry::{self, RoutingPolicy},
    local::Platform,
    platform::HttpClient,
    settings::load_entry,
};
use tokio_rustls::rustls::{RootCertStore, pki_types::CertificateDer};

/// Writes a fresh certificate for 127.0.0.1 and returns what trusts only it.
fn write_certificate(dir: &Path) -> RootCertStore {
    let made = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap();
    std::fs::write(dir.join("key.pem"), made.signing_key.serialize_pem()).unwrap();
    std::fs::write(dir.join("certificate.pem"), made.cert.pem()).unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from(made.cert.der().to_vec())).unwrap();
    roots
}

/// Whether a new connection is accepted under these roots.
async fn answers(roots: &RootCertStore, url: &str) -> bool {
    let client = HttpClient::with_root_certificates(roots.clone());
    let timeout = Duration::from_secs(5);
    let reply = client.call(Method::GET, url, HeaderMap::new(), bytes::Bytes::new(), timeout).await;
    reply.is_ok_and(|reply| reply.status.is_success())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_certificate_is_used_without_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let old = write_certificate(dir.path());
    for name in ["link", "session"] {
        std::fs::write(dir.path().join(format!("{name}.key")), "a-key-of-enough-bytes").unwrap();
    }
    let platform = Platform::start(1).await.unwrap();
    let at = platform.settings();
    let path = dir.path().display();
    let text = format!(
        "[process]\nhost = \"e\"\nregion = \"r\"\nzone = \"z\"\n[listen]\n\
         caller = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n[platform]\ntable = \"{}\"\n\
         objects = \"{}\"\nhosts = \"{}\"\nratings = \"{}\"\n[keys]\n\
         link_file = \"{path}/link.key\"\nsession_file = \"{path}/session.key\"\n[tls]\n\
         certificate_file = \"{path}/certificate.pem\"\nkey_file = \"{path}/key.pem\"\n",
        at.table, at.objects, at.hosts, at.ratings
    );
    let settings = load_entry("entry.toml", &text).unwrap();
    let running = entry::start(settings, RoutingPolicy::default()).await.unwrap();
    let url = format!("https://{}/healthz", running.addresses.caller);
    assert!(answers(&old, &url).await);

    // A broken file changes nothing; a good one takes over.
    std::fs::write(dir.path().join("certificate.pem"), "not a certificate").unwrap();
    assert!(answers(&old, &url).await);
    let new = write_certificate(dir.path());
    wait_until("the new certificate is served", || answers(&new, &url)).await;

    assert!(!answers(&old, &url).await, "the old certificate is still served");
    running.kill();
}
