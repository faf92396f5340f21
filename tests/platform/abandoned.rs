//! Requests that are given up on a connection cut by a partition: what the partition held up never reaches the server.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    server::{Action, Server},
    site::{Site, request_bytes, start_server, wait_until},
};

/// A proxy to a server that holds up what it is sent, as a partition does, until the sender has closed its connection.
/// What is held up is then delivered, unless the sender has reset the connection: its bytes are lost then.
struct HoldingProxy {
    address: SocketAddr,
    /// Connections that the sender has closed or reset.
    ended: watch::Receiver<usize>,
}

impl HoldingProxy {
    async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (ended_tx, ended) = watch::channel(0);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let ended_tx = ended_tx.clone();
                tokio::spawn(async move {
                    hold(stream, server).await;
                    ended_tx.send_modify(|ended| *ended += 1);
                });
            }
        });
        Self { address, ended }
    }

    /// The server at the address of this proxy.
    fn in_front_of(&self, server: &Server) -> Server {
        let mut listed = server.clone();
        listed.address = self.address;
        listed
    }
}

async fn hold(mut from: TcpStream, server: SocketAddr) {
    let mut held = Vec::new();
    let is_reset = from.read_to_end(&mut held).await.is_err();
    if is_reset || held.is_empty() {
        return;
    }
    let mut to = TcpStream::connect(server).await.unwrap();
    to.write_all(&held).await.unwrap();
    to.shutdown().await.unwrap();
    let mut response = Vec::new();
    let _ = to.read_to_end(&mut response).await;
}

/// Sends a request to a server behind such a proxy and gives it up; returns how many requests reach the server.
async fn requests_after_giving_up(path: &str, caller_leaves_after: Option<Duration>) -> usize {
    let (app, llm) = (start_server("i-app", Action::Hang), start_server("i-llm", Action::Hang));
    let servers = [app.await, llm.await];
    let proxies = [
        HoldingProxy::start(servers[0].address).await,
        HoldingProxy::start(servers[1].address).await,
    ];
    let listed = [proxies[0].in_front_of(&servers[0]), proxies[1].in_front_of(&servers[1])];
    let site = Site::start(&[(&listed[0], "app", "v1"), (&listed[1], "llm", "v1")]).await;
    let request = request_bytes("POST", path, "", "").replace("5000", "700");

    match caller_leaves_after {
        None => drop(site.send(&request).await),
        Some(after) => drop(tokio::time::timeout(after, site.send(&request)).await),
    }
    let is_ended = || proxies.iter().any(|proxy| *proxy.ended.borrow() > 0);
    wait_until("the connection to the server has ended", is_ended).await;
    servers.iter().map(|server| server.requests().len()).sum()
}

/// Guards against a request that runs at a server long after it was given up, and sent elsewhere or answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_given_up_is_not_delivered_later() {
    let gone = Some(Duration::from_millis(300));
    for path in ["/safe/a", "/once/a", "/chat/a", "/plain/a"] {
        for caller_leaves_after in [None, gone] {
            let delivered = requests_after_giving_up(path, caller_leaves_after).await;

            assert_eq!(delivered, 0, "{path}, caller leaves after {caller_leaves_after:?}");
        }
    }
}
