//! Small stand-ins for the platform and the systems served, with fault controls.
//!
//! Each is what the published interface in `docs/PLATFORM.md` says and no more. They serve
//! `mintmoor local`, the load tool and the tests; a site never runs them in production.

pub mod engine;
pub mod faults;
pub mod hosts;
pub mod objects;
pub mod ratings;
pub mod service;
pub mod table;
pub mod weights;

use std::net::SocketAddr;

use axum::{Router, serve::ListenerExt};
use tokio::{net::TcpListener, task::JoinHandle};

/// A stand-in that serves until it is dropped.
#[derive(Debug)]
pub struct Served {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Served {
    /// Base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves a router on a free loopback port.
///
/// # Errors
/// When no port can be had.
pub async fn serve(router: Router) -> std::io::Result<Served> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let listener = listener.tap_io(|tcp| drop(tcp.set_nodelay(true)));
        let _ = axum::serve(listener, router).await;
    });
    Ok(Served { address, task })
}
