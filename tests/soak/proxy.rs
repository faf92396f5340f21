//! A loopback proxy that stands between a process and what it talks to, and spoils the way.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::sleep,
};

/// What happens on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Nothing.
    Clear,
    /// Each piece is held back for a while.
    Slow,
    /// Nothing arrives, in either direction; it does once the way is clear again.
    Silent,
    /// What is asked arrives, and no answer comes back.
    AskOnly,
    /// Connections, old and new, are reset.
    Reset,
}

const ALL: [Way; 5] = [Way::Clear, Way::Slow, Way::Silent, Way::AskOnly, Way::Reset];
/// Time that a slow way adds to each piece.
const SLOWNESS: Duration = Duration::from_millis(60);
/// Time between looks at whether a held piece may go on.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// The proxy; clones share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    way: Arc<AtomicU8>,
}

impl Proxy {
    pub async fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Self { address, way: Arc::default() };
        let taken = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = taken.clone();
                tokio::spawn(async move { proxy.carry(stream, upstream).await });
            }
        });
        proxy
    }

    pub fn set(&self, way: Way) {
        self.way.store(way as u8, Ordering::SeqCst);
    }

    fn way(&self) -> Way {
        ALL[usize::from(self.way.load(Ordering::SeqCst))]
    }

    async fn carry(&self, near: TcpStream, upstream: SocketAddr) {
        // Closing without a word is a reset, also for what is still to be read.
        let _ = near.set_zero_linger();
        while matches!(self.way(), Way::Silent) {
            sleep(LOOK_EVERY).await;
        }
        if self.way() == Way::Reset {
            return;
        }
        let Ok(far) = TcpStream::connect(upstream).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true), far.set_zero_linger());
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        let there = self.pump(near_in, far_out, &[Way::Silent]);
        let back = self.pump(far_in, near_out, &[Way::Silent, Way::AskOnly]);
        let is_reset = async {
            while self.way() != Way::Reset {
                sleep(LOOK_EVERY).await;
            }
        };
        tokio::select! {
            _ = async { tokio::join!(there, back) } => {}
            () = is_reset => {}
        }
    }

    /// Carries one direction until it ends, and its end.
    async fn pump(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, held_by: &[Way]) {
        let mut buf = vec![0; 16 << 10];
        loop {
            let n = from.read(&mut buf).await.unwrap_or(0);
            while held_by.contains(&self.way()) {
                sleep(LOOK_EVERY).await;
            }
            if self.way() == Way::Slow {
                sleep(SLOWNESS).await;
            }
            if n == 0 || to.write_all(&buf[..n]).await.is_err() {
                let _ = to.shutdown().await;
                return;
            }
        }
    }
}
