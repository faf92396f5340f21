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
pub enum LinkCondition {
    /// Nothing.
    Clear,
    /// Each piece is held back for a while.
    Slow,
    /// Nothing arrives, in either direction; it does once the way is clear again.
    Stalled,
    /// What is asked arrives, and no answer comes back.
    RequestsOnly,
    /// Connections, old and new, are reset.
    Reset,
}

const CONDITIONS: [LinkCondition; 5] = [
    LinkCondition::Clear,
    LinkCondition::Slow,
    LinkCondition::Stalled,
    LinkCondition::RequestsOnly,
    LinkCondition::Reset,
];
/// Time that a slow way adds to each piece.
const SLOW_DELAY: Duration = Duration::from_millis(60);
/// Time between looks at whether a held piece may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The proxy; clones share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    condition: Arc<AtomicU8>,
}

impl Proxy {
    pub async fn start(upstream_address: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Self { address, condition: Arc::default() };
        let acceptor = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = acceptor.clone();
                tokio::spawn(async move { proxy.forward(stream, upstream_address).await });
            }
        });
        proxy
    }

    pub fn set_condition(&self, condition: LinkCondition) {
        self.condition.store(condition as u8, Ordering::SeqCst);
    }

    fn condition(&self) -> LinkCondition {
        CONDITIONS[usize::from(self.condition.load(Ordering::SeqCst))]
    }

    async fn forward(&self, downstream: TcpStream, upstream_address: SocketAddr) {
        // Closing without a word is a reset, also for what is still to be read.
        let _ = downstream.set_zero_linger();
        while matches!(self.condition(), LinkCondition::Stalled) {
            sleep(POLL_INTERVAL).await;
        }
        if self.condition() == LinkCondition::Reset {
            return;
        }
        let Ok(upstream) = TcpStream::connect(upstream_address).await else {
            return;
        };
        let _ =
            (downstream.set_nodelay(true), upstream.set_nodelay(true), upstream.set_zero_linger());
        let (downstream_in, downstream_out) = downstream.into_split();
        let (upstream_in, upstream_out) = upstream.into_split();
        let requests = self.copy_direction(downstream_in, upstream_out, &[LinkCondition::Stalled]);
        let responses = self.copy_direction(
            upstream_in,
            downstream_out,
            &[LinkCondition::Stalled, LinkCondition::RequestsOnly],
        );
        let is_reset = async {
            while self.condition() != LinkCondition::Reset {
                sleep(POLL_INTERVAL).await;
            }
        };
        tokio::select! {
            _ = async { tokio::join!(requests, responses) } => {}
            () = is_reset => {}
        }
    }

    /// Carries one direction until it ends, and its end.
    async fn copy_direction(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        stalled_by: &[LinkCondition],
    ) {
        let mut buf = vec![0; 16 << 10];
        loop {
            let n = from.read(&mut buf).await.unwrap_or(0);
            while stalled_by.contains(&self.condition()) {
                sleep(POLL_INTERVAL).await;
            }
            if self.condition() == LinkCondition::Slow {
                sleep(SLOW_DELAY).await;
            }
            if n == 0 || to.write_all(&buf[..n]).await.is_err() {
                let _ = to.shutdown().await;
                return;
            }
        }
    }
}
