//! Requests that got no response from a server, kept until it is known whether the server ended.

use std::{sync::Arc, time::Duration};

use crate::{policy::quarantine::Suspect, router::servers::server_ends::Proof};

/// Age of a lost request up to which it counts as running when the server ended. A silent server is dropped from the
/// list after three heartbeats of 1.2 s, and the list is read at most 0.8 s later.
pub(super) const SUSPECT_WINDOW: Duration = Duration::from_secs(6);
/// Maximum number of lost requests remembered per server whose end is not proved. A server runs at most 128 at once.
const MAX_LOST: usize = 256;
/// Time after a broken connection within which data that the server sent before its end may still be read.
const LATE_READ_MARGIN: Duration = Duration::from_millis(250);
/// Time for which a connection that breaks belongs to the end that was proved last. All connections to a server that
/// ends break within 10 ms.
const SAME_END_WINDOW: Duration = Duration::from_millis(300);

/// Requests that got no response from a server, and what is known about the server's end.
#[derive(Debug, Default)]
pub(crate) struct LostRequests {
    /// The earliest first.
    pub(super) outages: Vec<Outage>,
    /// When the end of the server was proved. The server may be back before the list shows its next incarnation.
    pub(super) ended_at: Option<Duration>,
    /// When the last probe of the server's address began.
    pub(super) probed_at: Option<Duration>,
    /// Begin of the latest outage, or when a later end was proved.
    pub(super) interrupted_at: Option<Duration>,
}

/// Requests that were lost while no data arrived from the server. Behind a proxy a server may be back, and end again,
/// before the list shows its next incarnation; each end is then an outage of its own.
#[derive(Debug)]
pub(super) struct Outage {
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
    pub(super) fn ended_at(&self) -> Option<Duration> {
        let broken = self.lost.iter().find(|lost| lost.loss_cause == LossCause::Disconnected);
        broken.map(|lost| lost.at)
    }

    /// The requests that may have been running when the server ended, given that this is proved now, and the parts
    /// of their prompts.
    pub(super) fn suspects(&self, now: Duration) -> Vec<Suspect> {
        // Requests abandoned because the next incarnation was listed may have been running in that one.
        let may_have_run = |lost: &&LostRequest| {
            lost.loss_cause == LossCause::Disconnected || lost.at + LATE_READ_MARGIN < now
        };
        let lost = self.lost.iter().filter(may_have_run);
        let mut suspects: Vec<Suspect> = lost.flat_map(|lost| &*lost.suspects).copied().collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }
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
#[derive(Clone, Debug)]
pub(super) struct LostRequest {
    /// The request and the parts of its prompt.
    pub(super) suspects: Arc<[Suspect]>,
    pub(super) at: Duration,
    pub(super) loss_cause: LossCause,
}

impl LostRequests {
    /// Whether a connection that breaks now belongs to the end that was proved.
    pub(super) fn has_ended(&self, now: Duration) -> bool {
        self.ended_at.is_some_and(|at| now < at + SAME_END_WINDOW)
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

    pub(super) fn record(&mut self, lost: LostRequest, now: Duration) {
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
    pub(super) fn take_end(&mut self, proof: Proof, now: Duration) -> Option<Outage> {
        self.expire(now);
        match proof {
            Proof::Refused | Proof::Dropped | Proof::Reported => {
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

    /// Takes the outage in which the server ended at this time according to another entry. Not if it has sent data
    /// since: it is back by now, or only disappeared from the list.
    pub(super) fn take_reported_end(
        &mut self,
        at: Duration,
        received_at: Duration,
        now: Duration,
    ) -> Option<Outage> {
        let is_old = at + SUSPECT_WINDOW <= now || at + LATE_READ_MARGIN < received_at;
        if is_old || self.ended_at.is_some() {
            return None;
        }
        self.ended_at = Some(at);
        self.interrupted_at = self.interrupted_at.max(Some(at));
        self.take_end(Proof::Reported, now)
    }
}
