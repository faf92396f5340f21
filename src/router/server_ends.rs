//! What a broken connection means: a fault of the way, or the end of the server.
//!
//! A request that was at work on a server whose life ended may be what ended it. A broken answer, a reset
//! or silence is no proof of that: the server may live. Proof is that nobody listens at its address right
//! after, that the list shows its next life, or that the list drops it unannounced.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpStream, time::timeout};

use crate::{
    router::{Member, Router, request_context::RequestContext, roll_out::RunOutcome},
    routing::Fingerprint,
    telemetry::event,
};

/// Time to wait for a refusal; zones are 1.4 ms apart, and a request that waits for it goes on after. A
/// server that is silent refuses nothing: then the list has to show it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time in which a process that is ending closes what it holds, one thing after the other.
const RESET_TIMEOUT: Duration = Duration::from_millis(5);
/// Looks at an address whose connections are taken and reset at once.
const PROBES: u32 = 2;
/// Time for which the answer to one look holds: all connections of a server that ends break within 10 ms.
const PROBE_VALID_FOR: Duration = Duration::from_millis(300);
/// Time before a proof from which on broken requests count as at work when the server ended: a server that
/// is silent is dropped from the list after three heartbeats of 1.2 s, read 0.8 s later at most.
const SUSPECT_WINDOW: Duration = Duration::from_secs(6);
/// Requests remembered for a server whose end is not proved; it runs 128 at once at most.
const MAX_LOST: usize = 256;
/// Time by which something that a server said before its end is read after a break was seen.
const READ_DELAY: Duration = Duration::from_millis(250);

/// Requests whose connection to a server broke, and what is known of its end.
#[derive(Debug, Default)]
pub(super) struct LostRequests {
    lost: Vec<LostRequest>,
    /// When its end was proved; a server may be back before the list shows its next life.
    ended_at: Option<Duration>,
    /// When it was last looked whether the server listens.
    probed_at: Option<Duration>,
}

/// Notes that a request's connection to a server broke before its answer was whole, looks whether the server
/// ended, and judges its version by it.
pub(super) async fn record_broken_connection(
    router: &Router,
    ctx: &RequestContext,
    member: &Arc<Member>,
) {
    let now = router.now();
    member.record_failure(now);
    if member.is_draining() {
        // An announced exit is neither a crash nor a failure of the version.
        return;
    }
    if !router.fleet.load().has_incarnation(member) {
        router.roll_outs.note_outcome(&member.server, RunOutcome::Failed);
        return;
    }
    record_lost(router, ctx, member, LossCause::Disconnected);
    if has_ended(router, member).await {
        // All that ran there broke off, which says one thing about the version and not thirty.
        router.roll_outs.note_silence(&member.server, router.now());
    } else {
        router.roll_outs.note_outcome(&member.server, RunOutcome::Failed);
    }
}

/// Notes that a request got no answer from a server, which may end or have ended.
pub(super) fn record_lost(
    router: &Router,
    ctx: &RequestContext,
    member: &Member,
    loss_cause: LossCause,
) {
    let (fingerprint, now) = (ctx.fingerprint(), router.now());
    let mut lost_requests = member.lost_requests();
    if lost_requests.has_ended(now) && loss_cause == LossCause::Disconnected {
        drop(lost_requests);
        return router.quarantine.note_ends(&[fingerprint], member.incarnation_hash(), now);
    }
    lost_requests.lost.retain(|lost| now < lost.at + SUSPECT_WINDOW);
    if lost_requests.lost.len() < MAX_LOST {
        lost_requests.lost.push(LostRequest { fingerprint, at: now, loss_cause });
    }
}

/// Whether the server ended; one look serves all whose connections broke together.
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

/// Whether nobody listens at an address.
async fn is_connection_refused(address: SocketAddr) -> bool {
    for _ in 0..PROBES {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Err(e)) => return e.kind() == ErrorKind::ConnectionRefused,
            // A process that is just ending may have taken it, and resets it.
            Ok(Ok(stream)) => match timeout(RESET_TIMEOUT, stream.readable()).await {
                Ok(_) => {}
                Err(_) => return false,
            },
            Err(_) => return false,
        }
    }
    false
}

/// How a request and the server that had it parted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossCause {
    /// The connection broke, or the request was taken back while the server may have begun to run it.
    Disconnected,
    /// The entry no longer waited: the server was silent, or its next life came into view.
    Abandoned,
}

/// A request that got no answer.
#[derive(Clone, Copy, Debug)]
struct LostRequest {
    fingerprint: Fingerprint,
    at: Duration,
    loss_cause: LossCause,
}

impl LostRequests {
    /// Whether what breaks now broke with the end that was proved.
    fn has_ended(&self, now: Duration) -> bool {
        self.ended_at.is_some_and(|at| now < at + PROBE_VALID_FOR)
    }
}

/// What shows that a server's life ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Proof {
    /// Nobody listens at its address.
    Refused,
    /// The list shows its next life.
    StartedAgain,
    /// The list dropped it though it had not said that it leaves. Some servers leave so, and serve on for a
    /// while: it speaks only against what broke before.
    Dropped,
}

/// Notes that a server's life ended: all that was at work there is suspected.
pub(super) fn record_server_end(router: &Router, member: &Member, proof: Proof) {
    let now = router.now();
    let (lost, ended_at) = {
        let received_at = member.received_at();
        let mut lost_requests = member.lost_requests();
        if proof != Proof::Refused && lost_requests.ended_at.is_some() {
            // The list is behind: this end is known, and what was sent since is at work in the next life.
            return;
        }
        if proof != Proof::Dropped {
            lost_requests.ended_at = Some(now);
        }
        let lost = std::mem::take(&mut lost_requests.lost);
        let ended_at = first_broken_at(&lost, received_at).unwrap_or(now);
        // Whoever was left before the server last spoke was no longer at work there.
        let lost = lost
            .into_iter()
            .filter(|lost| now < lost.at + SUSPECT_WINDOW && received_at < lost.at + READ_DELAY)
            // What was left for the news of a next life may have been at work in that one.
            .filter(|lost| lost.loss_cause == LossCause::Disconnected || lost.at + READ_DELAY < now)
            .map(|lost| lost.fingerprint)
            .collect::<Vec<_>>();
        (lost, ended_at)
    };
    if proof != Proof::Dropped {
        member.record_unreachable(now);
    }
    if lost.is_empty() {
        return;
    }
    event::SERVER_ENDED.log(format_args!(
        "server={} requests={} proof={proof:?}",
        member.server.id,
        lost.len()
    ));
    router.metrics.server_ends.inc();
    match proof {
        Proof::Refused => router.quarantine.note_ends(&lost, member.incarnation_hash(), ended_at),
        Proof::StartedAgain | Proof::Dropped => {
            router.quarantine.note_listed_ends(&lost, member.incarnation_hash(), ended_at);
        }
    }
}

/// When the first connection broke after the server last spoke: then it ended. The proof may come a second
/// later, and then of several servers in one moment, which would count as one event.
fn first_broken_at(lost: &[LostRequest], received_at: Duration) -> Option<Duration> {
    let broken = lost.iter().filter(|lost| lost.loss_cause == LossCause::Disconnected);
    broken.map(|lost| lost.at).filter(|at| received_at < *at + READ_DELAY).min()
}
