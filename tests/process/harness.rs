//! An entry as a process of the real program, and what can be seen of it from outside.

use std::{
    fs::{File, OpenOptions},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{ExitStatus, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, prlimit};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    process::{Child, Command},
    time::{sleep, timeout},
};

pub const CALLER_PORT: u16 = 7301;
pub const READINESS_PORT: u16 = 7302;
pub const PEER_PORT: u16 = 7303;
/// Port for metrics, from the policy settings of the tests.
pub const METRICS_PORT: u16 = 7304;
/// Longest wait for a condition. It only stops tests that hang: no test measures time by it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A Host with a loopback address of its own: the settings file, the policy file, and the log to which all of its
/// processes append.
pub struct Host {
    pub ip: IpAddr,
    dir: TempDir,
}

/// A process of the real program; killed when dropped.
pub struct Process {
    child: Child,
    pid: Pid,
}

/// A loopback address of its own for each Host of each run.
fn unique_ip() -> IpAddr {
    static STARTED: AtomicU16 = AtomicU16::new(0);
    let run = std::process::id().to_be_bytes();
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let [high, low] = [number / 200, number % 200].map(|part| u8::try_from(part).unwrap());
    IpAddr::V4(Ipv4Addr::new(127, 1 + run[2] % 127, run[3].wrapping_add(high), 10 + low))
}

impl Host {
    /// A Host with complete settings for an entry that uses this store.
    pub fn new(store: SocketAddr) -> Self {
        let host = Self { ip: unique_ip(), dir: tempfile::tempdir().unwrap() };
        host.write_settings(&host.settings(store));
        let policy = format!("[listen]\nmetrics_port = {METRICS_PORT}\n");
        std::fs::write(host.policy_file(), policy).unwrap();
        host
    }

    /// Complete text of the platform's settings file.
    pub fn settings(&self, store: SocketAddr) -> String {
        let ip = self.ip;
        format!(
            "node-name: \"edge-1\"\nzone: \"zone-a\"\nlisten:\n  frontend: \"{ip}:{CALLER_PORT}\"\n  readiness: \"{ip}:{READINESS_PORT}\"\n  control-plane: \"{ip}:{PEER_PORT}\"\nseeds:\n  - \"{ip}:{PEER_PORT}\"\nlimits:\n  memory-mb: 110\n  max-fds: 4100\nbounds:\n  grace-s: 4\n  contact-ms: 3000\n  retry-ratio: 4.0\n  retry-extra: 52\n  retry-window-s: 10\nplatform:\n  address: \"{store}\"\n"
        )
    }

    /// Replaces the platform's settings file.
    pub fn write_settings(&self, text: &str) {
        std::fs::write(self.settings_file(), text).unwrap();
    }

    /// Replaces the operator's policy file.
    pub fn write_policy(&self, text: &str) {
        std::fs::write(self.policy_file(), text).unwrap();
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Path of the platform's settings file.
    pub fn settings_file(&self) -> PathBuf {
        self.dir.path().join("host.yaml")
    }

    /// Path of the policy file.
    pub fn policy_file(&self) -> PathBuf {
        self.dir.path().join("policy.toml")
    }

    /// Listens on one of the Host's ports in place of an entry.
    pub fn occupy(&self, port: u16) -> TcpListener {
        TcpListener::bind(self.address(port)).unwrap()
    }

    /// Starts a process.
    pub fn spawn(&self) -> Process {
        self.spawn_changed(|_| {})
    }

    /// Starts a process with changed arguments or environment.
    pub fn spawn_changed(&self, change: impl FnOnce(&mut Command)) -> Process {
        let log = self.dir.path().join("log");
        let log: File = OpenOptions::new().create(true).append(true).open(log).unwrap();
        self.spawn_command(log.try_clone().unwrap().into(), log.into(), change)
    }

    /// Starts a process with this standard output and standard error.
    pub fn spawn_with(&self, stdout: Stdio, stderr: Stdio) -> Process {
        self.spawn_command(stdout, stderr, |_| {})
    }

    fn spawn_command(
        &self,
        stdout: Stdio,
        stderr: Stdio,
        change: impl FnOnce(&mut Command),
    ) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mintmoor"));
        command
            .args(["route", "--policy"])
            .arg(self.policy_file())
            .env("MINTMOOR_CONFIG", self.settings_file())
            .env_remove("MALLOC_ARENA_MAX")
            .stdout(stdout)
            .stderr(stderr)
            .stdin(Stdio::null())
            .kill_on_drop(true);
        change(&mut command);
        let child = command.spawn().unwrap();
        let pid = Pid::from_raw(i32::try_from(child.id().unwrap()).unwrap()).unwrap();
        Process { child, pid }
    }

    /// Standard output and standard error of all processes so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.dir.path().join("log")).unwrap_or_default()
    }

    /// Whether the load balancer's check is answered with 200.
    pub async fn is_ready(&self) -> bool {
        self.get(READINESS_PORT, "/-/readyz").await.starts_with("HTTP/1.1 200")
    }

    /// Waits until the load balancer's check is answered with 200.
    pub async fn wait_until_ready(&self) {
        self.wait_until("ready", async || self.is_ready().await).await;
    }

    /// Waits until the processes have logged this text.
    pub async fn wait_until_logged(&self, text: &str) {
        self.wait_until(&format!("logged: {text}"), async || self.log().contains(text)).await;
    }

    /// Waits until something listens on one of the Host's ports.
    pub async fn wait_until_served(&self, port: u16) {
        let address = self.address(port);
        self.wait_until("served", async || TcpStream::connect(address).await.is_ok()).await;
    }

    /// Waits for a condition.
    pub async fn wait_until(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let work = async {
            while !holds().await {
                sleep(POLL_INTERVAL).await;
            }
        };
        let waited = timeout(WAIT_TIMEOUT, work).await;
        waited.unwrap_or_else(|_| panic!("not {what} in time\n{}", self.log()));
    }

    /// The whole response to a GET on one of the Host's ports; empty if there is none.
    pub async fn get(&self, port: u16, path: &str) -> String {
        let head = format!("GET {path} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n");
        ask(self.address(port), &head).await
    }
}

impl Process {
    pub fn id(&self) -> Pid {
        self.pid
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid, signal).unwrap();
    }

    /// Lowers or raises a limit of the running process.
    pub fn limit(&self, resource: Resource, current: Option<u64>) {
        let maximum = getrlimit(resource).maximum;
        prlimit(Some(self.pid), resource, Rlimit { current, maximum }).unwrap();
    }

    /// The process's exit status if it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Waits until the process has ended.
    pub async fn wait(&mut self) -> ExitStatus {
        let Ok(ended) = timeout(WAIT_TIMEOUT, self.child.wait()).await else {
            panic!("the process did not end\n{}", self.status());
        };
        ended.unwrap()
    }

    /// Asks the process to stop and asserts that it ends with code 0.
    pub async fn assert_stops(&mut self, host: &Host) {
        self.signal(Signal::TERM);
        let ended = self.wait().await;
        assert!(ended.success(), "{ended}\n{}", host.log());
    }

    /// What the kernel tells of the process: whether it is stopped or a zombie, and its pending signals.
    fn status(&self) -> String {
        let path = format!("/proc/{}/status", self.pid.as_raw_nonzero());
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Whether the process has a handler for a signal.
    pub fn handles(&self, signal: Signal) -> bool {
        let status = self.status();
        let line = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).unwrap_or("0");
        let handled = u64::from_str_radix(line.trim(), 16).unwrap();
        handled & (1 << (signal.as_raw() - 1)) != 0
    }

    /// Asserts that the process has not ended.
    pub fn assert_lives(&mut self, host: &Host) {
        let ended = self.ended();
        assert_eq!(ended, None, "the process ended\n{}", host.log());
    }

    /// Peak of the process's resident memory, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = self.status();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("0 kB");
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
        kilobytes << 10
    }
}

/// Sends a request on a connection of its own and reads until it ends; what arrived before an error counts.
pub async fn ask(address: SocketAddr, request: &str) -> String {
    let Ok(Ok(mut stream)) = timeout(WAIT_TIMEOUT, TcpStream::connect(address)).await else {
        return String::new();
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return String::new();
    }
    let mut raw = Vec::new();
    let _ = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut raw)).await;
    String::from_utf8_lossy(&raw).into_owned()
}
