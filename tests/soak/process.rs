//! Entries as processes of the real program on loopback, controlled by signals.

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

/// Port for callers. All entries use the same ports, each on a loopback address of its own.
const CALLER_PORT: u16 = 7301;
pub const READINESS_PORT: u16 = 7302;
const PEER_PORT: u16 = 7303;
/// Seconds between the request to stop and the kill of the process.
pub const GRACE_S: f64 = 3.0;

/// Milliseconds within which calls of two holders of the usage duty must not alternate.
pub const DUTY_LEASE_MS: u64 = 1_200;

/// An entry: its files, and its process while it runs.
pub struct Entry {
    pub name: String,
    pub host: IpAddr,
    /// Proxy between the entry and the store.
    pub store_proxy: Proxy,
    /// The service to which usage is reported.
    duties: SocketAddr,
    dir: PathBuf,
    child: Option<Child>,
}

/// Returns the loopback address of an entry. The middle bytes come from the id of the test process, so that soaks of
/// several processes can run at the same time.
pub fn loopback_host(number: u8) -> IpAddr {
    let process = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 1 + process[2] % 127, process[3], 10 + number))
}

impl Entry {
    /// Writes the settings of an entry and starts it. The first two entries are the seeds that others connect to.
    pub fn start(number: u8, store_proxy: Proxy, duties: SocketAddr, dir: &Path) -> Self {
        let host = loopback_host(number);
        let name = format!("edge-{number}");
        let mut entry = Self { name, host, store_proxy, duties, dir: dir.into(), child: None };
        entry.write_settings();
        entry.spawn();
        entry
    }

    pub fn caller(&self) -> SocketAddr {
        SocketAddr::new(self.host, CALLER_PORT)
    }

    /// All addresses on which the process listens.
    pub fn addresses(&self) -> [SocketAddr; 3] {
        [CALLER_PORT, READINESS_PORT, PEER_PORT].map(|port| SocketAddr::new(self.host, port))
    }

    fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("{}.yaml", self.name))
    }

    /// Returns the path of the log, to which every process of the entry appends.
    pub fn log_path(&self) -> PathBuf {
        self.dir.join(format!("{}.log", self.name))
    }

    pub fn write_settings(&self) {
        let (host, store_address) = (self.host, self.store_proxy.address);
        let text = format!(
            "node-name: \"{name}\"\nzone: \"zone-a\"\nlisten:\n  frontend: \"{host}:{CALLER_PORT}\"\n  readiness: \"{host}:{READINESS_PORT}\"\n  control-plane: \"{host}:{PEER_PORT}\"\nseeds:\n  - \"{}:{PEER_PORT}\"\n  - \"{}:{PEER_PORT}\"\nbounds:\n  grace-s: {GRACE_S}\n  contact-ms: 3000\n  retry-ratio: 0.9\n  retry-extra: 52\n  retry-window-s: 10\n  session-s: 5\n  lease-ms: {DUTY_LEASE_MS}\n  report-window-s: 1\n  usage-delay-s: 4\nplatform:\n  address: \"{store_address}\"\ncloud:\n  address: \"{duties}\"\n  duties: [\"usage\"]\n",
            loopback_host(0),
            loopback_host(1),
            name = self.name,
            duties = self.duties,
        );
        std::fs::write(self.settings_path(), text).unwrap();
    }

    /// Starts the process.
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

    /// Starts the process again and waits until it listens: a signal that arrives before the handler is installed
    /// ends the process, and the platform would restart it.
    pub async fn respawn(&mut self) {
        self.spawn();
        self.wait_until_listening().await;
    }

    /// Waits until something listens on the address for callers, or the process has exited.
    pub async fn wait_until_listening(&mut self) {
        while TcpStream::connect(self.caller()).await.is_err() && !self.has_exited() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Hands over the process, so that another one can be started beside it.
    pub fn take_process(&mut self) -> Option<Child> {
        self.child.take()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(i32::try_from(id).unwrap())) {
            // The process may have exited already.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until the process has exited.
    pub async fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.wait().await.unwrap();
        }
    }

    /// Kills the process and waits until it has exited, because the next seed uses the same addresses.
    pub async fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.wait().await;
    }

    /// Returns whether the process has exited by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().unwrap().is_some())
    }
}
