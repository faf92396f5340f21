//! The agent: the process beside a BackendServer, and the only one that talks to it.

mod copies;
mod dispatch;
mod driver;
mod evidence;
mod links;
mod orders;
mod state;

pub use state::Agent;

use std::{future::Future, sync::Arc, time::Duration};

use tokio::net::TcpListener;

use crate::{
    control::thread,
    settings::AgentSettings,
    telemetry::{admin, event},
};

const IDLE_CHECK: Duration = Duration::from_millis(50);

/// Where an agent listens.
#[derive(Clone, Copy, Debug)]
pub struct AgentAddresses {
    /// For links.
    pub link: std::net::SocketAddr,
    /// For health, metrics and the dump.
    pub admin: std::net::SocketAddr,
}

/// An agent that runs.
#[derive(Debug)]
pub struct RunningAgent {
    /// The agent.
    pub agent: Arc<Agent>,
    /// Where it listens.
    pub addresses: AgentAddresses,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// Starts an agent on the current runtime, with a control thread of its own.
///
/// # Errors
/// When an address can't be bound or the thread can't be made.
pub async fn start(settings: AgentSettings) -> std::io::Result<RunningAgent> {
    let link = TcpListener::bind(settings.link).await?;
    let admin = TcpListener::bind(settings.admin).await?;
    let addresses = AgentAddresses { link: link.local_addr()?, admin: admin.local_addr()? };
    let agent = Arc::new(Agent::new(settings));
    let admin_router = admin::router(agent.admin());
    let control = agent.clone();
    let traffic = tokio::runtime::Handle::current();
    thread::spawn("control", move || control_work(control, traffic))?;
    let tasks = vec![
        tokio::spawn(links::accept_all(agent.clone(), link)),
        tokio::spawn(async move { drop(axum::serve(admin, admin_router).await) }),
    ];
    let server = &agent.settings.server;
    event::PROCESS_STARTED.log(format_args!(
        "role=agent server={server} link={} admin={}",
        addresses.link, addresses.admin
    ));
    Ok(RunningAgent { agent, addresses, tasks })
}

/// Runs until the agent dies; a killed one does not even finish what it was writing.
async fn control_work(agent: Arc<Agent>, traffic: tokio::runtime::Handle) {
    let mut killed = agent.killed.subscribe();
    let work = async {
        tokio::join!(
            links::beat(agent.clone()),
            orders::follow(agent.clone()),
            copies::rescue(agent.clone()),
            dispatch::follow_config(agent.clone(), traffic),
        )
    };
    tokio::select! {
        _ = work => {}
        _ = killed.wait_for(|killed| *killed) => {}
    }
}

impl RunningAgent {
    /// Stops as planned: takes no new work, finishes what runs, flushes and closes.
    ///
    /// Returns the attempts that had to be cut off because the grace ran out or `hurry` ended.
    pub async fn stop(self, hurry: impl Future<Output = ()>) -> usize {
        dispatch::leave(&self.agent);
        let finished = async {
            while !self.agent.is_idle() {
                tokio::time::sleep(IDLE_CHECK).await;
            }
        };
        let grace = self.agent.settings.grace;
        tokio::select! {
            () = finished => {}
            () = tokio::time::sleep(grace) => {}
            () = hurry => {}
        }
        copies::flush_all(&self.agent).await;
        let cut = self.agent.running();
        if cut > 0 {
            event::PROCESS_CUT_SHORT.log(format_args!("role=agent attempts={cut}"));
        }
        event::PROCESS_STOPPED.log(format_args!("role=agent cut={cut}"));
        self.kill();
        cut
    }

    /// Ends the agent at once, as a crash would.
    pub fn kill(&self) {
        self.agent.kill();
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// An agent that is let go of ends: its control thread would outlive it otherwise.
impl Drop for RunningAgent {
    fn drop(&mut self) {
        self.kill();
    }
}
