//! The real programs as processes on loopback, driven by signals.

use std::{
    fs::{File, OpenOptions},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use tokio::{
    net::TcpStream,
    process::{Child, Command},
    time::sleep,
};

use crate::proxy::Proxy;

/// Ports of every entry, on a loopback address of its own.
const CALLER_PORT: u16 = 7301;
pub const READINESS_PORT: u16 = 7302;
const PEER_PORT: u16 = 7303;
/// Time from the request to stop until the process is killed, seconds.
pub const GRACE_S: f64 = 3.0;

/// One entry: its files, and its process while there is one.
pub struct Entry {
    pub name: String,
    pub host: IpAddr,
    /// The way to the store.
    pub store_proxy: Proxy,
    dir: PathBuf,
    child: Option<Child>,
}

/// Address of an entry; processes that soak at the same time differ in the middle.
pub fn loopback_host(number: u8) -> IpAddr {
    let process = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 1 + process[2] % 127, process[3], 10 + number))
}

impl Entry {
    /// Writes the settings of an entry and starts it. The first two are seeds.
    pub fn start(number: u8, store_proxy: Proxy, dir: &Path) -> Self {
        let host = loopback_host(number);
        let name = format!("edge-{number}");
        let mut entry = Self { name, host, store_proxy, dir: dir.into(), child: None };
        entry.write_settings();
        entry.spawn();
        entry
    }

    pub fn caller(&self) -> SocketAddr {
        SocketAddr::new(self.host, CALLER_PORT)
    }

    fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("{}.yaml", self.name))
    }

    /// Its log, of all its lives.
    pub fn log_path(&self) -> PathBuf {
        self.dir.join(format!("{}.log", self.name))
    }

    pub fn write_settings(&self) {
        let (host, store_address) = (self.host, self.store_proxy.address);
        let text = format!(
            "node-name: \"{name}\"\nzone: \"zone-a\"\nlisten:\n  frontend: \"{host}:{CALLER_PORT}\"\n  readiness: \"{host}:{READINESS_PORT}\"\n  control-plane: \"{host}:{PEER_PORT}\"\nseeds:\n  - \"{}:{PEER_PORT}\"\n  - \"{}:{PEER_PORT}\"\nbounds:\n  grace-s: {GRACE_S}\n  contact-ms: 3000\n  retry-ratio: 0.9\n  retry-extra: 52\n  retry-window-s: 10\n  session-s: 5\nplatform:\n  address: \"{store_address}\"\n",
            loopback_host(0),
            loopback_host(1),
            name = self.name,
        );
        std::fs::write(self.settings_path(), text).unwrap();
    }

    /// Starts its process.
    pub fn spawn(&mut self) {
        let log: File = OpenOptions::new().create(true).append(true).open(self.log_path()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_mintmoor"))
            .arg("route")
            .env("MINTMOOR_CONFIG", self.settings_path())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Starts its process again and waits until it listens: a signal that comes before its handler
    /// ends any process, and the platform would start it once more.
    pub async fn respawn(&mut self) {
        self.spawn();
        while TcpStream::connect(self.caller()).await.is_err() && !self.has_exited() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends a signal to its process, and to no other.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(i32::try_from(id).unwrap())) {
            // A process that has just ended is what some signals are for.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until its process has ended.
    pub async fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.wait().await.unwrap();
        }
    }

    /// Ends its process and waits for that: the next seed takes the same addresses.
    pub async fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.wait().await;
    }

    /// Whether its process ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().unwrap().is_some())
    }
}
