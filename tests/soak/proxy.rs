//! A loopback TCP proxy that can delay, stall or reset the connections between a process and its peer.

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

/// Condition of the link that a proxy forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkCondition {
    /// Data is forwarded without delay.
    Clear,
    /// Each chunk is delayed by [`SLOW_DELAY`].
    Slow,
    /// No data is forwarded in either direction until the link is clear again.
    Stalled,
    /// Requests are forwarded, but no responses.
    RequestsOnly,
    /// Existing and new connections are reset.
    Reset,
}

/// All conditions, indexed by their discriminant.
const CONDITIONS: [LinkCondition; 5] = [
    LinkCondition::Clear,
    LinkCondition::Slow,
    LinkCondition::Stalled,
    LinkCondition::RequestsOnly,
    LinkCondition::Reset,
];
/// Delay of each chunk on a slow link.
const SLOW_DELAY: Duration = Duration::from_millis(60);
/// Time between checks of the link's condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A proxy in front of one upstream address. Clones share its state.
#[derive(Clone, Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    condition: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts forwarding connections from a free port to an upstream address.
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

    /// Forwards one connection until it ends or is reset.
    async fn forward(&self, downstream: TcpStream, upstream_address: SocketAddr) {
        // With zero linger, dropping the socket sends a reset and discards unread data.
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

    /// Copies one direction until it ends, then closes the write half.
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
