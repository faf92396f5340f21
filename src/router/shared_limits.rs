//! What entries report to each other about servers that advertise a limit.
//!
//! An answer reaches one entry, and the limit is for all of them: a hundred that each learn it by a send of their own
//! are a hundred sends. So each entry reports to the seeds what it received from a server itself, and the seeds report to all
//! that follow them: at once where others send too much meanwhile, and with the next heartbeat otherwise.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::{
    policy::{
        limit_news::{Change, LimitBelief, LimitNews},
        quarantine::LifeHash,
        rate_limit::{AdvertisedLimit, Rate},
    },
    router::Fleet,
};

/// Servers reported in one message at most, 1.4 KB; the others follow with the next ones.
const MAX_PER_MESSAGE: usize = 64;
/// Time for which a server that is out of view is remembered: news of it may be under way, or the list be late.
const RETENTION: Duration = Duration::from_secs(60);

/// A server's limit on its way: its life, the counts of the news, and the rate, none where it has ended. Numbers
/// without names take 22 bytes instead of 60.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitUpdate(LifeHash, u32, u32, Option<Rate>);

impl LimitUpdate {
    fn encode(life: LifeHash, news: LimitNews) -> Self {
        Self(life, news.change, news.again, news.rate)
    }

    fn decode(self) -> (LifeHash, LimitNews) {
        let Self(life, change, again, rate) = self;
        let rate = rate.filter(|rate| rate.is_finite() && *rate > 0.0);
        (life, LimitNews { change, again, rate })
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct KnownLimit {
    belief: LimitBelief,
    /// Number of the last news.
    sequence: u64,
    /// Whether this entry had them from the server itself.
    is_own: bool,
}

#[derive(Debug, Default)]
struct Inner {
    servers: HashMap<LifeHash, KnownLimit>,
    /// Number of the next news.
    next_sequence: u64,
}

impl Inner {
    fn rate_limited(&self) -> usize {
        self.servers.values().filter(|known| known.belief.rate().is_some()).count()
    }
}

/// A change of what is known of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LimitChange {
    pub(crate) life: LifeHash,
    pub(crate) before: Option<Rate>,
    pub(crate) rate: Option<Rate>,
}

/// The limits that an entry knows of.
#[derive(Debug)]
pub(crate) struct SharedLimits {
    inner: Mutex<Inner>,
    /// Servers that advertise a limit now; while there are none, no send locks anything.
    rate_limited: AtomicUsize,
    /// Counts changes that others have to know at once.
    urgent: watch::Sender<u64>,
    /// Counts those of them that this entry received from a server itself.
    own_urgent: watch::Sender<u64>,
}

impl Default for SharedLimits {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            rate_limited: AtomicUsize::new(0),
            urgent: watch::Sender::new(0),
            own_urgent: watch::Sender::new(0),
        }
    }
}

impl SharedLimits {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panics under the lock")
    }

    /// Servers that advertise a limit now.
    pub(crate) fn rate_limited(&self) -> usize {
        self.rate_limited.load(Ordering::Acquire)
    }

    /// The limits as they are; none while no server names one.
    pub(crate) fn view(&self) -> Option<LimitView<'_>> {
        (self.rate_limited() > 0).then(|| LimitView { inner: self.lock() })
    }

    /// Notifies of each change that others have to know at once, from now on.
    pub(crate) fn urgent_changes(&self) -> watch::Receiver<u64> {
        self.urgent.subscribe()
    }

    /// The same of those that this entry received from a server itself.
    pub(crate) fn own_urgent_changes(&self) -> watch::Receiver<u64> {
        self.own_urgent.subscribe()
    }

    /// Takes in what a server's answer says to a request that was sent at `sent_at`; what changed by it.
    pub(crate) fn record_answer(
        &self,
        life: LifeHash,
        advertised: AdvertisedLimit,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        if self.rate_limited() == 0 && !matches!(advertised, AdvertisedLimit::Rate(_)) {
            return None;
        }
        self.update(life, true, |belief| belief.note(advertised, sent_at, now))
    }

    /// Takes in what another entry reports; what changed by it.
    pub(crate) fn apply_updates(
        &self,
        reported: &[LimitUpdate],
        now: Duration,
    ) -> Vec<LimitChange> {
        let apply = |reported: &LimitUpdate| {
            let (life, news) = reported.decode();
            self.update(life, false, |belief| belief.take_update(news, now))
        };
        reported.iter().filter_map(apply).collect()
    }

    /// Lets a belief change, and makes it known if it did.
    fn update(
        &self,
        life: LifeHash,
        is_own: bool,
        apply: impl FnOnce(&mut LimitBelief) -> Option<Change>,
    ) -> Option<LimitChange> {
        let mut inner = self.lock();
        let mut known = inner.servers.get(&life).copied().unwrap_or_default();
        let before = known.belief.rate();
        let change = apply(&mut known.belief);
        let Some(change) = change else {
            // It may have been received all the same.
            if let Some(stored) = inner.servers.get_mut(&life) {
                stored.belief = known.belief;
            }
            return None;
        };
        let rate = known.belief.rate();
        (known.sequence, known.is_own) = (inner.next_sequence, is_own);
        inner.next_sequence += 1;
        inner.servers.insert(life, known);
        self.rate_limited.store(inner.rate_limited(), Ordering::Release);
        drop(inner);
        if change == Change::Urgent {
            self.urgent.send_modify(|changes| *changes += 1);
            if is_own {
                self.own_urgent.send_modify(|changes| *changes += 1);
            }
        }
        (before != rate).then_some(LimitChange { life, before, rate })
    }

    /// News from a number on that this entry received from servers itself, and the number to go on with. A reader
    /// that begins, with none, gets all that is known.
    pub(crate) fn own_since(&self, sequence: Option<u64>) -> (Vec<LimitUpdate>, u64) {
        let is_all = sequence.is_none();
        self.since(sequence.unwrap_or_default(), |known| is_all || known.is_own)
    }

    /// The same of what it received from servers or from other entries.
    pub(crate) fn all_since(&self, sequence: u64) -> (Vec<LimitUpdate>, u64) {
        self.since(sequence, |_| true)
    }

    fn since(
        &self,
        sequence: u64,
        is_reported: impl Fn(&KnownLimit) -> bool,
    ) -> (Vec<LimitUpdate>, u64) {
        let inner = self.lock();
        if sequence >= inner.next_sequence {
            return (Vec::new(), inner.next_sequence);
        }
        let news = inner.servers.iter().filter(|(_, known)| known.sequence >= sequence);
        let mut news: Vec<_> = news.filter(|(_, known)| is_reported(known)).collect();
        news.sort_unstable_by_key(|(_, known)| known.sequence);
        let next =
            news.get(MAX_PER_MESSAGE).map_or(inner.next_sequence, |(_, known)| known.sequence);
        news.truncate(MAX_PER_MESSAGE);
        let reported = |(life, known): (&LifeHash, &KnownLimit)| {
            Some(LimitUpdate::encode(*life, known.belief.news()?))
        };
        (news.into_iter().filter_map(reported).collect(), next)
    }

    /// Part of the state dump.
    pub(crate) fn dump(&self, fleet: &Fleet, now: Duration) -> Value {
        let inner = self.lock();
        let describe = |(life, known): (&LifeHash, &KnownLimit)| {
            let member = fleet.by_life(*life)?;
            let received_ms = now.saturating_sub(known.belief.received_at()).as_millis() as u64;
            Some(json!({
                "server": member.server.id,
                "rate": known.belief.rate()?,
                "received_ms": received_ms,
                "received_here": known.is_own,
            }))
        };
        Value::Array(inner.servers.iter().filter_map(describe).collect())
    }

    /// Forgets servers that are long out of view.
    pub(crate) fn forget_departed(&self, fleet: &Fleet, now: Duration) {
        let is_kept = |life: &LifeHash, known: &mut KnownLimit| {
            fleet.by_life(*life).is_some() || now < known.belief.received_at() + RETENTION
        };
        let mut inner = self.lock();
        inner.servers.retain(is_kept);
        self.rate_limited.store(inner.rate_limited(), Ordering::Release);
    }
}

/// The limits as they are while it is held.
#[derive(Debug)]
pub(crate) struct LimitView<'a> {
    inner: MutexGuard<'a, Inner>,
}

impl LimitView<'_> {
    /// What is known of the limit of one life of a server.
    pub(crate) fn belief(&self, life: LifeHash) -> LimitBelief {
        self.inner.servers.get(&life).map(|known| known.belief).unwrap_or_default()
    }
}
