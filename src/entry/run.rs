//! Starting and stopping an entry.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpListener, task::JoinHandle};

use crate::{
    control::thread,
    entry::{Entry, RoutingPolicy, api, charges, control, tls},
    operator,
    policy::lifecycle::LifecycleEvent,
    settings::EntrySettings,
    telemetry::{admin, event},
};

const IDLE_CHECK: Duration = Duration::from_millis(50);
/// Time the balancer has to see that this entry is no longer ready.
const BALANCER: Duration = Duration::from_millis(500);
const FLUSH_TRIES: u32 = 20;

/// Where an entry listens.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For health, metrics and the dump.
    pub admin: SocketAddr,
}

/// An entry that runs.
#[derive(Debug)]
pub struct RunningEntry {
    /// The entry.
    pub entry: Arc<Entry>,
    /// Where it listens.
    pub addresses: EntryAddresses,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts an entry on the current runtime, with a control thread of its own.
///
/// # Errors
/// When an address can't be bound or the thread can't be made.
pub async fn start(
    settings: EntrySettings,
    policy: RoutingPolicy,
) -> std::io::Result<RunningEntry> {
    let caller = TcpListener::bind(settings.caller).await?;
    let operator = TcpListener::bind(settings.operator).await?;
    let admin = TcpListener::bind(settings.admin).await?;
    let addresses = EntryAddresses {
        caller: caller.local_addr()?,
        operator: operator.local_addr()?,
        admin: admin.local_addr()?,
    };
    let tls = settings.tls.clone();
    let entry = Arc::new(Entry::new(settings, policy));
    let (control, traffic) = (entry.clone(), tokio::runtime::Handle::current());
    thread::spawn("control", move || control::run(control, traffic))?;
    let caller_router = api::router(entry.clone());
    let operator_router = operator::api::router(entry.clone());
    let admin_router = admin::router(entry.admin());
    let tasks = vec![
        serve("caller", tls::serve(caller, caller_router, tls.clone())),
        serve("operator", tls::serve(operator, operator_router, tls)),
        serve("admin", tls::serve(admin, admin_router, None)),
    ];
    event::PROCESS_STARTED.log(format_args!(
        "role=entry host={} caller={} operator={} admin={}",
        entry.settings.host, addresses.caller, addresses.operator, addresses.admin
    ));
    Ok(RunningEntry { entry, addresses, tasks })
}

fn serve(
    name: &'static str,
    work: impl Future<Output = std::io::Result<()>> + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        if let Err(e) = work.await {
            event::CERTIFICATE_UNREADABLE.log(format_args!("address={name} problem={e}"));
        }
    })
}

impl RunningEntry {
    /// Stops as planned: readiness off, answers finished, charges flushed, links closed.
    ///
    /// Returns the requests that had to be cut off because the grace ran out or `hurry` ended.
    pub async fn stop(self, hurry: impl Future<Output = ()>) -> usize {
        self.entry.advance(LifecycleEvent::Leave);
        event::PROCESS_LEAVING.log(format_args!("role=entry host={}", self.entry.settings.host));
        let finished = async {
            tokio::time::sleep(BALANCER).await;
            while self.entry.in_flight() > 0 {
                tokio::time::sleep(IDLE_CHECK).await;
            }
            // The last parts of answers are still on their way through the sockets.
            tokio::time::sleep(IDLE_CHECK).await;
        };
        let grace = self.entry.settings.grace;
        tokio::select! {
            () = finished => {}
            () = tokio::time::sleep(grace) => {}
            () = hurry => {}
        }
        let cut = self.entry.in_flight();
        self.flush().await;
        if cut > 0 {
            event::PROCESS_CUT_SHORT.log(format_args!("role=entry requests={cut}"));
        }
        event::PROCESS_STOPPED.log(format_args!("role=entry cut={cut}"));
        self.kill();
        cut
    }

    /// Writes what is charged; what can't be written is still with the agents.
    async fn flush(&self) {
        for _ in 0..FLUSH_TRIES {
            if charges::flush_once(&self.entry).await {
                return;
            }
            tokio::time::sleep(IDLE_CHECK).await;
        }
    }

    /// Ends the entry at once, as a crash would.
    pub fn kill(&self) {
        self.entry.killed.send_replace(true);
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// An entry that is let go of ends: its control thread would outlive it otherwise.
impl Drop for RunningEntry {
    fn drop(&mut self) {
        self.kill();
    }
}
