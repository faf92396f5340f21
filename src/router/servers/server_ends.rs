//! Detects that a server process has ended, and which requests it was running then.
//!
//! A request that a server was running when its process ended may have crashed it. A connection that breaks or stays
//! silent does not prove that the process ended; the network may be at fault. Proof is that nothing listens at the
//! server's address right afterwards, that the list of servers shows its next incarnation, that the server disappears
//! from the list without having announced that it is draining, or that another entry has such proof.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpStream, time::timeout};

use crate::{
    policy::{
        quarantine::{Note, Suspect},
        run_outcome::RunOutcome,
    },
    router::{
        Member, Router,
        peers::quarantine_update::QuarantineUpdate,
        request::request_context::RequestContext,
        servers::lost_requests::{LossCause, LostRequest, Outage, SUSPECT_WINDOW},
    },
    routing::BodyFraming,
    telemetry::event,
};

/// Timeout of a probe of a server's address. The round trip between zones takes 1.4 ms, and the failed request waits
/// for the probe. A host that does not respond at all refuses no connection; its end is seen only in the list.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which an exiting process closes its listener and connections, one after the other.
const RESET_TIMEOUT: Duration = Duration::from_millis(5);
/// Number of probes of an address whose connections are accepted and reset at once.
const MAX_PROBES: u32 = 2;

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
        router.record_run(ctx, member, RunOutcome::Failed);
        return;
    }
    record_lost(router, ctx, member, sent_at, LossCause::Disconnected);
    if has_ended(router, member).await {
        // All requests on the server failed together, which is one failure of the version rather than one per
        // request.
        router.record_server_failure(ctx, member);
    } else {
        router.record_run(ctx, member, RunOutcome::Failed);
    }
}

/// Whether a response whose body ends with its connection may be incomplete, because the server has ended: a process
/// that crashes closes its connections like one that has sent everything.
pub(crate) async fn may_be_cut_off(router: &Router, member: &Member, framing: BodyFraming) -> bool {
    // A server that has announced its exit may finish its last response and go.
    framing == BodyFraming::CloseDelimited
        && !member.is_draining()
        && has_ended(router, member).await
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
    let (suspects, now) = (ctx.suspects(), router.now());
    let mut lost_requests = member.lost_requests();
    if lost_requests.has_ended(now) && loss_cause == LossCause::Disconnected {
        drop(lost_requests);
        return router.quarantine.record_ends(suspects, member.incarnation_hash(), now);
    }
    let lost = LostRequest { suspects: suspects.clone(), at: now, loss_cause };
    lost_requests.record(lost, now);
    drop(lost_requests);
    member.await_recovery();
}

/// Whether the server has ended, asked when a connection to it has just broken. One probe serves all requests whose
/// connections broke before it began. An earlier one proves nothing: the server may have ended since.
async fn has_ended(router: &Router, member: &Member) -> bool {
    let broken_at = router.now();
    let _guard = member.lock_probe().await;
    {
        let mut lost_requests = member.lost_requests();
        let now = router.now();
        let is_probed = lost_requests.probed_at.is_some_and(|at| broken_at <= at);
        if lost_requests.has_ended(now) || is_probed {
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
    /// Another entry has proof, and nothing was received from the server since.
    Reported,
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
    if let Some(outage) = outage {
        record_outage(router, member, &outage, outage.ended_at().unwrap_or(now), proof);
    }
}

/// Records that a server ended at this time in an outage.
fn record_outage(
    router: &Router,
    member: &Member,
    outage: &Outage,
    ended_at: Duration,
    proof: Proof,
) {
    let suspects = outage.suspects(router.now());
    if suspects.is_empty() {
        return;
    }
    let parts = suspects.iter().filter(|suspect| matches!(suspect, Suspect::Part(_))).count();
    event::SERVER_ENDED.log(format_args!(
        "server={} requests={} parts={parts} proof={proof:?}",
        member.server.id,
        suspects.len() - parts
    ));
    router.metrics.server_ends.inc();
    let incarnation = member.incarnation_hash();
    match proof {
        Proof::Refused => router.quarantine.record_ends(&suspects, incarnation, ended_at),
        Proof::StartedAgain | Proof::Dropped | Proof::Reported => {
            router.quarantine.record_listed_ends(&suspects, incarnation, ended_at);
        }
    }
}

impl Router {
    /// Applies other entries' quarantine updates. A server that ended according to them has ended for the requests that
    /// this entry lost there as well. These come first: a request that is not known to have been running at an end
    /// beside its own looks innocent.
    pub(crate) fn apply_quarantine_updates(&self, reported: &[QuarantineUpdate]) {
        if reported.is_empty() {
            return;
        }
        let (fleet, now) = (self.fleet.load(), self.now());
        for update in reported {
            let Note::End { incarnation, at, .. } = update.decode(now) else {
                continue;
            };
            if let Some(member) = fleet.by_incarnation(incarnation) {
                let received_at = member.received_at();
                let outage = member.lost_requests().take_reported_end(at, received_at, now);
                if let Some(outage) = outage {
                    record_outage(self, member, &outage, at, Proof::Reported);
                }
            }
        }
        self.quarantine.apply_updates(reported, now);
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
