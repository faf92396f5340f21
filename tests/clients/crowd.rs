//! Crowds of clients that come back whenever they are cut off.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::site::request_bytes_with_id;

/// Receive buffer of a client, in bytes, so that little of a response is on its way.
const SMALL_BUFFER: u32 = 4 << 10;
/// Bytes that a slow reader takes at a time, and the pause after each.
const DRIP: (usize, Duration) = (128, Duration::from_millis(250));
/// Pause of a client before it comes back.
const RETURN_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a crowd acts before anything is checked.
const STAY: Duration = Duration::from_secs(5);
/// Stops a test that hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(90);

/// How a client reads.
#[derive(Clone, Copy)]
pub enum Reading {
    /// Not at all.
    Nothing,
    /// A few bytes at a time.
    Drip,
}

/// What each client of a crowd does on each of its connections.
#[derive(Clone)]
pub struct Behaviour {
    /// What it sends first.
    pub sends: Arc<[u8]>,
    /// What it then sends again and again, if anything.
    pub repeats: Arc<[u8]>,
    pub reads: Reading,
}

impl Behaviour {
    /// Sends bytes and reads nothing.
    pub fn sending(bytes: impl Into<Vec<u8>>) -> Self {
        Self { sends: bytes.into().into(), repeats: Arc::from([]), reads: Reading::Nothing }
    }

    /// Sends one request and reads the response in this way.
    pub fn requesting(id: &str, method: &str, path: &str, reads: Reading) -> Self {
        let request = request_bytes_with_id(id, method, path, "X-Model: small\r\n", "");
        Self { reads, ..Self::sending(request) }
    }

    /// Sends these bytes again and again after the first ones.
    pub fn repeating(self, bytes: impl Into<Vec<u8>>) -> Self {
        Self { repeats: bytes.into().into(), ..self }
    }
}

/// A crowd; its clients leave when it is dropped.
pub struct Crowd {
    _clients: JoinSet<()>,
    connections: Arc<AtomicUsize>,
}

impl Crowd {
    /// Starts clients that all behave in this way.
    pub fn start(address: SocketAddr, size: usize, behaviour: &Behaviour) -> Self {
        let connections = Arc::new(AtomicUsize::new(0));
        let mut clients = JoinSet::new();
        for _ in 0..size {
            clients.spawn(play(address, behaviour.clone(), connections.clone()));
        }
        Self { _clients: clients, connections }
    }

    /// Waits until the clients have opened and used this number of connections, and stays for a while.
    pub async fn settle(&self, connections: usize) {
        let work = async {
            while self.connections.load(Ordering::SeqCst) < connections {
                sleep(RETURN_PAUSE).await;
            }
        };
        timeout(HANG_TIMEOUT, work).await.expect("the crowd does not get its connections");
        sleep(STAY).await;
    }
}

/// Plays one client.
async fn play(address: SocketAddr, behaviour: Behaviour, connections: Arc<AtomicUsize>) {
    loop {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
        if let Ok(mut stream) = socket.connect(address).await {
            // A client that is cut off while it sends comes back like the others.
            let _ = stream.write_all(&behaviour.sends).await;
            connections.fetch_add(1, Ordering::SeqCst);
            stay(stream, &behaviour).await;
        }
        sleep(RETURN_PAUSE).await;
    }
}

/// Uses a connection until it is cut off.
async fn stay(stream: TcpStream, behaviour: &Behaviour) {
    let (mut reader, mut writer) = stream.into_split();
    let send = async {
        while !behaviour.repeats.is_empty() && writer.write_all(&behaviour.repeats).await.is_ok() {}
        if behaviour.repeats.is_empty() {
            std::future::pending::<()>().await;
        }
    };
    let read = async {
        match behaviour.reads {
            Reading::Nothing => drop(reader.ready(Interest::ERROR).await),
            Reading::Drip => {
                let mut buf = [0; DRIP.0];
                while reader.read(&mut buf).await.is_ok_and(|read| read > 0) {
                    sleep(DRIP.1).await;
                }
            }
        }
    };
    tokio::select! {
        () = send => {}
        () = read => {}
    }
}
