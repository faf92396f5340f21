//! Detects that a server process has ended, and which requests it was running then.
//!
//! A request that a server was running when its process ended may have crashed it. A connection that breaks or stays
//! silent does not prove that the process ended; the network may be at fault. Proof is that nothing listens at the
//! server's address right afterwards, that the list of servers shows its next incarnation, or that the server
//! disappears from the list without having announced that it is draining.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpStream, time::timeout};

use crate::{
    router::{
        Member, Router, request::request_context::RequestContext, roll_outs::roll_out::RunOutcome,
    },
    routing::Fingerprint,
    telemetry::event,
};

/// Timeout of a probe of a server's address. The round trip between zones takes 1.4 ms, and the failed request waits
/// for the probe. A host that does not respond at all refuses no connection; its end is seen only in the list.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which an exiting process closes its listener and connections, one after the other.
const RESET_TIMEOUT: Duration = Duration::from_millis(5);
/// Number of probes of an address whose connections are accepted and reset at once.
const MAX_PROBES: u32 = 2;
/// Time for which the result of a probe is used. All connections to a server that ends break within 10 ms.
const PROBE_VALID_FOR: Duration = Duration::from_millis(300);
/// Age of a lost request up to which it counts as running when the server ended. A silent server is dropped from the
/// list after three heartbeats of 1.2 s, and the list is read at most 0.8 s later.
const SUSPECT_WINDOW: Duration = Duration::from_secs(6);
/// Maximum number of lost requests remembered per server whose end is not proved. A server runs at most 128 at once.
const MAX_LOST: usize = 256;
/// Time after a broken connection within which data that the server sent before its end may still be read.
const LATE_READ_MARGIN: Duration = Duration::from_millis(250);

/// Requests that got no response from a server, and what is known about the server's end.
#[derive(Debug, Default)]
pub(crate) struct LostRequests {
    /// The earliest first.
    outages: Vec<Outage>,
    /// When the end of the server was proved. The server may be back before the list shows its next incarnation.
    ended_at: Option<Duration>,
    /// When the server's address was last probed.
    probed_at: Option<Duration>,
    /// Begin of the latest outage, or when a later end was proved.
    interrupted_at: Option<Duration>,
}

/// Requests that were lost while no data arrived from the server. Behind a proxy a server may be back, and end again,
/// before the list shows its next incarnation; each end is then an outage of its own.
#[derive(Debug)]
struct Outage {
    /// The earliest first; never empty.
    lost: Vec<LostRequest>,
    /// Whether the server has sent data since.
    is_over: bool,
}

impl Outage {
    /// When the first request was lost.
    fn since(&self) -> Duration {
        self.lost[0].at
    }

    /// When the last request was lost.
    fn until(&self) -> Duration {
        self.lost[self.lost.len() - 1].at
    }

    /// Whether requests were lost for longer than data that the server sent before its end may be read. A single broken
    /// connection is not taken for an end once the server sends data again.
    fn has_lasted(&self) -> bool {
        self.since() + LATE_READ_MARGIN < self.until()
    }

    /// When the server ended: when the first connection broke. The proof may arrive a second later, and for several
    /// servers at once, so that by its time they would count as one event.
    fn ended_at(&self) -> Option<Duration> {
        let broken = self.lost.iter().find(|lost| lost.loss_cause == LossCause::Disconnected);
        broken.map(|lost| lost.at)
    }

    /// The requests that may have been running when the server ended, given that this is proved now.
    fn suspects(&self, now: Duration) -> Vec<Fingerprint> {
        // Requests abandoned because the next incarnation was listed may have been running in that one.
        let may_have_run = |lost: &&LostRequest| {
            lost.loss_cause == LossCause::Disconnected || lost.at + LATE_READ_MARGIN < now
        };
        self.lost.iter().filter(may_have_run).map(|lost| lost.fingerprint).collect()
    }
}

/// Records that the connection to a server broke before a response was complete, checks whether the server has ended,
/// and records the failure as evidence about its version.
pub(crate) async fn record_broken_connection(
    router: &Router,
    ctx: &RequestContext,
    member: &Arc<Member>,
    sent_at: Duration,
) {
    let running = running_incarnation(router, member, sent_at);
    let member = running.as_ref().unwrap_or(member);
    member.record_failure(router.now());
    if member.is_draining() {
        // An announced exit is neither a crash nor a failure of the version.
        return;
    }
    if running.is_none() {
        router.roll_outs.record_outcome(&member.server, RunOutcome::Failed);
        return;
    }
    record_lost(router, ctx, member, sent_at, LossCause::Disconnected);
    if has_ended(router, member).await {
        // All requests on the server failed together, which is one failure of the version rather than one per
        // request.
        router.roll_outs.record_timeout(&member.server, router.now());
    } else {
        router.roll_outs.record_outcome(&member.server, RunOutcome::Failed);
    }
}

/// The listed incarnation of a server that runs a request sent to this one; `None` if it has ended. A request that was
/// sent after a known end runs in the next incarnation, even if the list showed that one only later.
fn running_incarnation(
    router: &Router,
    member: &Arc<Member>,
    sent_at: Duration,
) -> Option<Arc<Member>> {
    let fleet = router.fleet.load();
    if fleet.has_incarnation(member) {
        return Some(member.clone());
    }
    fleet.member(&member.server.id).filter(|_| member.ended_before(sent_at)).cloned()
}

/// Records that a request got no response from a server, which may have ended or may be about to.
pub(crate) fn record_lost(
    router: &Router,
    ctx: &RequestContext,
    member: &Arc<Member>,
    sent_at: Duration,
    loss_cause: LossCause,
) {
    let running = running_incarnation(router, member, sent_at);
    let member = running.as_ref().unwrap_or(member);
    let (fingerprint, now) = (ctx.fingerprint(), router.now());
    let mut lost_requests = member.lost_requests();
    if lost_requests.has_ended(now) && loss_cause == LossCause::Disconnected {
        drop(lost_requests);
        return router.quarantine.record_ends(&[fingerprint], member.incarnation_hash(), now);
    }
    lost_requests.record(LostRequest { fingerprint, at: now, loss_cause }, now);
    drop(lost_requests);
    member.await_recovery();
}

/// Whether the server has ended. One probe serves all requests whose connections broke together.
async fn has_ended(router: &Router, member: &Member) -> bool {
    let _guard = member.lock_probe().await;
    {
        let mut lost_requests = member.lost_requests();
        let now = router.now();
        let is_fresh = lost_requests.probed_at.is_some_and(|at| now < at + PROBE_VALID_FOR);
        if lost_requests.has_ended(now) || is_fresh {
            return lost_requests.has_ended(now);
        }
        lost_requests.probed_at = Some(now);
    }
    let is_connection_refused = is_connection_refused(member.server.address).await;
    if is_connection_refused {
        record_server_end(router, member, Proof::Refused);
    }
    is_connection_refused
}

/// Whether an address refuses connections.
async fn is_connection_refused(address: SocketAddr) -> bool {
    for _ in 0..MAX_PROBES {
        match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Err(e)) => return e.kind() == ErrorKind::ConnectionRefused,
            // A process that is just exiting may accept the connection and then reset it.
            Ok(Ok(stream)) => match timeout(RESET_TIMEOUT, stream.readable()).await {
                Ok(_) => {}
                Err(_) => return false,
            },
            Err(_) => return false,
        }
    }
    false
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossCause {
    /// The connection broke, or the request was cancelled while the server may have begun to run it.
    Disconnected,
    /// The entry stopped waiting: the server was silent, or its next incarnation was listed.
    Abandoned,
}

/// A request that got no response.
#[derive(Clone, Copy, Debug)]
struct LostRequest {
    fingerprint: Fingerprint,
    at: Duration,
    loss_cause: LossCause,
}

impl LostRequests {
    /// Whether a connection that breaks now belongs to the end that was proved.
    fn has_ended(&self, now: Duration) -> bool {
        self.ended_at.is_some_and(|at| now < at + PROBE_VALID_FOR)
    }

    /// Whether the server is known to have ended before a time: its address refused connections, or an outage is over.
    pub(crate) fn ended_before(&self, at: Duration) -> bool {
        let first = self.outages.first().filter(|outage| outage.is_over);
        let ended_at = self.ended_at.or_else(|| first.map(Outage::until));
        ended_at.is_some_and(|ended_at| ended_at < at)
    }

    /// Removes requests that were lost too long ago.
    fn expire(&mut self, now: Duration) {
        for outage in &mut self.outages {
            outage.lost.retain(|lost| now < lost.at + SUSPECT_WINDOW);
        }
        self.outages.retain(|outage| !outage.lost.is_empty());
    }

    fn record(&mut self, lost: LostRequest, now: Duration) {
        self.expire(now);
        let count: usize = self.outages.iter().map(|outage| outage.lost.len()).sum();
        if count >= MAX_LOST {
            return;
        }
        match self.outages.last_mut() {
            Some(outage) if !outage.is_over => outage.lost.push(lost),
            _ => {
                self.interrupted_at = Some(lost.at);
                self.outages.push(Outage { lost: vec![lost], is_over: false });
            }
        }
    }

    /// Records that data was received from the server. Returns whether no outage goes on.
    pub(crate) fn record_received(&mut self, now: Duration) -> bool {
        let Some(outage) = self.outages.last_mut().filter(|outage| !outage.is_over) else {
            return true;
        };
        if now <= outage.since() + LATE_READ_MARGIN {
            return false;
        }
        if outage.has_lasted() {
            outage.is_over = true;
        } else {
            self.outages.pop();
        }
        true
    }

    /// Takes the outage in which the server ended according to this proof.
    fn take_end(&mut self, proof: Proof, now: Duration) -> Option<Outage> {
        self.expire(now);
        match proof {
            Proof::Refused | Proof::Dropped => {
                // Data received under the same listing came from the same incarnation, so earlier outages were none
                // of its end.
                let outages = std::mem::take(&mut self.outages);
                outages.into_iter().next_back().filter(|outage| !outage.is_over)
            }
            // Later outages belong to the incarnations that followed.
            Proof::StartedAgain if self.outages.is_empty() => None,
            Proof::StartedAgain => {
                let outage = self.outages.remove(0);
                self.ended_at = outage.is_over.then(|| outage.until());
                Some(outage)
            }
        }
    }
}

/// What proves that a server has ended. The names are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Proof {
    /// Its address refuses connections.
    Refused,
    /// The list shows its next incarnation.
    StartedAgain,
    /// It disappeared from the list without a drain notice. Some servers leave this way and keep serving for a
    /// while, so only requests that were lost earlier count as running at its end.
    Dropped,
}

/// Records that a server has ended. All requests that it was running become suspects.
pub(crate) fn record_server_end(router: &Router, member: &Member, proof: Proof) {
    let now = router.now();
    let outage = {
        let mut lost_requests = member.lost_requests();
        if proof != Proof::Refused && lost_requests.ended_at.is_some() {
            // This end is already known, and requests sent since then run in the next incarnation.
            return;
        }
        if proof == Proof::Refused {
            lost_requests.ended_at = Some(now);
            lost_requests.interrupted_at = Some(now);
        }
        lost_requests.take_end(proof, now)
    };
    if proof != Proof::Dropped {
        member.record_unreachable(now);
    }
    let Some(outage) = outage else {
        return;
    };
    let (suspects, ended_at) = (outage.suspects(now), outage.ended_at().unwrap_or(now));
    if suspects.is_empty() {
        return;
    }
    event::SERVER_ENDED.log(format_args!(
        "server={} requests={} proof={proof:?}",
        member.server.id,
        suspects.len()
    ));
    router.metrics.server_ends.inc();
    let incarnation = member.incarnation_hash();
    match proof {
        Proof::Refused => router.quarantine.record_ends(&suspects, incarnation, ended_at),
        Proof::StartedAgain | Proof::Dropped => {
            router.quarantine.record_listed_ends(&suspects, incarnation, ended_at);
        }
    }
}

/// Moves what followed a server's end to its next incarnation: later outages, and what was announced since the last one.
pub(crate) fn hand_over(ended: &Member, next: &Member, now: Duration) {
    let (outages, interrupted_at) = {
        let mut lost_requests = ended.lost_requests();
        (std::mem::take(&mut lost_requests.outages), lost_requests.interrupted_at)
    };
    if let Some(at) = interrupted_at.filter(|at| now < *at + SUSPECT_WINDOW) {
        next.adopt_announcements(ended, at);
    }
    if !outages.is_empty() {
        next.lost_requests().outages = outages;
        next.await_recovery();
    }
}
