//! TLS for callers and operators, with certificates read anew when their files change.

use std::{
    io,
    path::Path,
    sync::Arc,
    time::{Duration, SystemTime},
};

use arc_swap::ArcSwap;
use axum::{
    Router,
    serve::{Listener, ListenerExt},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};
use tokio_rustls::{
    TlsAcceptor,
    rustls::{
        ServerConfig,
        crypto::ring,
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    },
    server::TlsStream,
};

use crate::{settings::TlsSettings, telemetry::event};

const CHECK: Duration = Duration::from_secs(1);
const HANDSHAKE: Duration = Duration::from_secs(5);
const ACCEPTED: usize = 64;

/// Serves a router on a listener, with TLS where the settings ask for it.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    tls: Option<TlsSettings>,
) -> io::Result<()> {
    let Some(settings) = tls else {
        // Without it small parts of an answer wait for the acknowledgement of earlier ones.
        let listener = listener.tap_io(|tcp| drop(tcp.set_nodelay(true)));
        return axum::serve(listener, router).await;
    };
    let config = Arc::new(ArcSwap::from(read_config(&settings)?));
    tokio::spawn(reload(settings, config.clone()));
    axum::serve(TlsListener::start(listener, config)?, router).await
}

fn read_config(settings: &TlsSettings) -> io::Result<Arc<ServerConfig>> {
    let wrong = |e: &dyn std::fmt::Display| io::Error::other(e.to_string());
    let chain = CertificateDer::pem_file_iter(&settings.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|e| wrong(&e))?;
    let key = PrivateKeyDer::from_pem_file(&settings.key).map_err(|e| wrong(&e))?;
    let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(|e| wrong(&e))?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|e| wrong(&e))?;
    Ok(Arc::new(config))
}

/// Reads the files again when they have changed; a file that can't be read changes nothing.
async fn reload(settings: TlsSettings, config: Arc<ArcSwap<ServerConfig>>) {
    let mut seen = changed_at(&settings);
    loop {
        tokio::time::sleep(CHECK).await;
        let now = changed_at(&settings);
        if now == seen {
            continue;
        }
        seen = now;
        match read_config(&settings) {
            Ok(fresh) => {
                config.store(fresh);
                event::CERTIFICATE_RELOADED
                    .log(format_args!("file={}", settings.certificate.display()));
            }
            Err(e) => event::CERTIFICATE_UNREADABLE
                .log(format_args!("file={} problem={e}", settings.certificate.display())),
        }
    }
}

fn changed_at(settings: &TlsSettings) -> [Option<SystemTime>; 2] {
    let of = |path: &Path| std::fs::metadata(path).and_then(|meta| meta.modified()).ok();
    [of(&settings.certificate), of(&settings.key)]
}

/// Hands out connections whose handshake is done; a slow one holds up no other.
struct TlsListener {
    local: std::net::SocketAddr,
    rx: mpsc::Receiver<(TlsStream<TcpStream>, std::net::SocketAddr)>,
}

impl TlsListener {
    fn start(listener: TcpListener, config: Arc<ArcSwap<ServerConfig>>) -> io::Result<Self> {
        let local = listener.local_addr()?;
        let (tx, rx) = mpsc::channel(ACCEPTED);
        tokio::spawn(async move {
            while !tx.is_closed() {
                let Ok((tcp, from)) = listener.accept().await else {
                    continue;
                };
                let _ = tcp.set_nodelay(true);
                let acceptor = TlsAcceptor::from(config.load_full());
                let tx = tx.clone();
                tokio::spawn(async move {
                    let shaken = tokio::time::timeout(HANDSHAKE, acceptor.accept(tcp)).await;
                    if let Ok(Ok(tls)) = shaken {
                        let _ = tx.send((tls, from)).await;
                    }
                });
            }
        });
        Ok(Self { local, rx })
    }
}

impl Listener for TlsListener {
    type Io = TlsStream<TcpStream>;
    type Addr = std::net::SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        match self.rx.recv().await {
            Some(accepted) => accepted,
            None => std::future::pending().await,
        }
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        Ok(self.local)
    }
}
