//! The last place at a server is kept for an organisation that has nothing running there.
//!
//! Fair queues decide who is next, but a small organisation behind a large one would still wait
//! for a place to become free. While only one organisation sends, it has all places.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::OrganisationId;

/// Time after which an organisation that sent nothing no longer counts.
const REMEMBERED: Duration = Duration::from_secs(10);

/// Organisations that have sent lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reserve {
    seen: BTreeMap<OrganisationId, Duration>,
}

impl Reserve {
    /// Notes that an organisation has sent an attempt.
    pub fn note(&mut self, organisation: &OrganisationId, now: Duration) {
        self.seen.insert(organisation.clone(), now);
        self.seen.retain(|_, at| now < *at + REMEMBERED);
    }

    /// Whether the next place is the one kept back.
    pub fn keeps_next(&self, running: usize, limit: usize, now: Duration) -> bool {
        let senders = self.seen.values().filter(|at| now < **at + REMEMBERED).count();
        limit > 1 && running + 1 == limit && senders > 1
    }
}
