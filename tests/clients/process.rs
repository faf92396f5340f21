//! An entry as a process of the real program, and what the kernel reports about it.

use std::{
    collections::HashSet,
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    process::Stdio,
    sync::{
        Arc, Weak,
        atomic::{AtomicU16, AtomicUsize, Ordering},
    },
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;
use tokio::{
    process::{Child, Command},
    task::JoinHandle,
};

const CALLER_PORT: u16 = 7301;
const READINESS_PORT: u16 = 7302;
const PEER_PORT: u16 = 7303;
/// Interval at which descriptors and unread bytes are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Limits of the process in the platform's settings file.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub max_fds: usize,
    /// Seconds between the request to stop and the kill signal.
    pub grace_s: u64,
}

/// Where a process writes its log.
#[derive(Clone, Copy)]
pub enum Log {
    File,
    /// A pipe from which nothing is read.
    UnreadPipe,
}

/// A running process.
pub struct Process {
    pub limits: Limits,
    pub caller: SocketAddr,
    pub readiness: SocketAddr,
    pub peer: SocketAddr,
    child: Child,
    pid: u32,
    peak: Arc<Peak>,
    sampling: JoinHandle<()>,
    dir: TempDir,
}

/// The largest samples since the process started.
#[derive(Default)]
struct Peak {
    descriptors: AtomicUsize,
    /// Resident memory and what the kernel has received and the process has not read, which count together, in bytes.
    memory: AtomicUsize,
}

/// A loopback address of its own for each process of each run.
fn unique_host() -> IpAddr {
    static STARTED: AtomicU16 = AtomicU16::new(0);
    let run = std::process::id().to_be_bytes();
    let [_, number] = STARTED.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 128 + run[2] % 127, run[3], 10 + number))
}

impl Process {
    /// Starts an entry that uses this store.
    pub fn start(store: SocketAddr, limits: Limits, log: Log) -> Self {
        let host = unique_host();
        let [caller, readiness, peer] =
            [CALLER_PORT, READINESS_PORT, PEER_PORT].map(|port| SocketAddr::new(host, port));
        let Limits { memory_mb, max_fds, grace_s } = limits;
        let text = format!(
            "node-name: \"edge-1\"\nzone: \"zone-a\"\nlisten:\n  frontend: \"{caller}\"\n  readiness: \"{readiness}\"\n  control-plane: \"{peer}\"\nseeds:\n  - \"{peer}\"\nlimits:\n  memory-mb: {memory_mb}\n  max-fds: {max_fds}\nbounds:\n  grace-s: {grace_s}\n  contact-ms: 3000\n  retry-ratio: 4.0\n  retry-extra: 52\n  retry-window-s: 10\nplatform:\n  address: \"{store}\"\n"
        );
        let dir = tempfile::tempdir().unwrap();
        std::fs::write(dir.path().join("host.yaml"), text).unwrap();
        let child = spawn(dir.path(), log);
        let pid = child.id().unwrap();
        let peak = Arc::new(Peak::default());
        let sampling = tokio::task::spawn_blocking({
            let peak = Arc::downgrade(&peak);
            move || sample(pid, &peak)
        });
        Self { limits, caller, readiness, peer, child, pid, peak, sampling, dir }
    }

    /// Asserts that the process runs and has stayed within its limits since it started.
    pub fn assert_within_limits(&mut self) {
        let ended = self.child.try_wait().unwrap();
        assert_eq!(ended, None, "the process ended\n{}", self.last_log_lines());
        let (peak, limit) = (memory(self.pid, "VmHWM:"), self.limits.memory_mb << 20);
        let descriptors = self.peak.descriptors.load(Ordering::SeqCst);
        let with_unread = self.peak.memory.load(Ordering::SeqCst) as u64;
        println!(
            "peak memory {} KB of {}, {} with unread bytes, {descriptors} descriptors",
            peak >> 10,
            limit >> 10,
            with_unread >> 10
        );
        assert!(peak <= limit, "{} KB of memory, {} KB allowed", peak >> 10, limit >> 10);
        assert!(
            with_unread <= limit,
            "{} KB of memory and unread bytes, {} KB allowed",
            with_unread >> 10,
            limit >> 10
        );
        assert!(
            descriptors <= self.limits.max_fds,
            "{descriptors} descriptors, {} allowed",
            self.limits.max_fds
        );
    }

    /// Requests a planned stop.
    pub fn terminate(&self) {
        kill_process(Pid::from_raw(i32::try_from(self.pid).unwrap()).unwrap(), Signal::TERM)
            .unwrap();
    }

    /// Waits until the process has exited.
    pub async fn wait(&mut self) {
        self.child.wait().await.unwrap();
    }

    fn last_log_lines(&self) -> String {
        let log = std::fs::read_to_string(self.dir.path().join("log")).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(20)..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.sampling.abort();
    }
}

fn spawn(dir: &Path, log: Log) -> Child {
    let file = File::create(dir.join("log")).unwrap();
    let stdout = match log {
        Log::File => file.try_clone().unwrap().into(),
        Log::UnreadPipe => Stdio::piped(),
    };
    Command::new(env!("CARGO_BIN_EXE_mintmoor"))
        .arg("route")
        .env("MINTMOOR_CONFIG", dir.join("host.yaml"))
        .stdout(stdout)
        .stderr(file)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .unwrap()
}

/// Memory of a process by this line of its status, in bytes; 0 if it has ended.
fn memory(pid: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("0 kB");
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
    kilobytes << 10
}

/// Samples a process until it ends or its peak is no longer of interest.
fn sample(pid: u32, peak: &Weak<Peak>) {
    while let (Some(peak), Ok(files)) =
        (peak.upgrade(), std::fs::read_dir(format!("/proc/{pid}/fd")))
    {
        let targets = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
        let targets: Vec<String> = targets.map(|path| path.display().to_string()).collect();
        peak.descriptors.fetch_max(targets.len(), Ordering::SeqCst);
        let sockets = targets.iter().filter_map(|target| {
            target.strip_prefix("socket:[").and_then(|target| target.strip_suffix(']'))
        });
        let unread = unread_bytes(&sockets.collect());
        let resident = usize::try_from(memory(pid, "VmRSS:")).unwrap();
        peak.memory.fetch_max(resident + unread, Ordering::SeqCst);
        std::thread::sleep(SAMPLE_INTERVAL);
    }
}

/// Bytes that the kernel has received for these sockets and their process has not read.
fn unread_bytes(inodes: &HashSet<&str>) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queues = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, received) = fields.get(4)?.split_once(':')?;
        let is_listening = fields.get(3) == Some(&"0A");
        (inodes.contains(fields.get(9)?) && !is_listening)
            .then(|| usize::from_str_radix(received, 16).unwrap())
    });
    queues.sum()
}
