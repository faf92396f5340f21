//! Admission at an entry: what is in flight, in all and by organisation.

use std::{sync::atomic::Ordering, time::Duration};

use crate::{
    entry::{ApiError, Entry, request::RequestHead},
    ids::ObjectId,
    resources::Snapshot,
};

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlight<'a>(&'a Entry);

impl<'a> InFlight<'a> {
    pub(crate) fn begin(entry: &'a Entry) -> Self {
        entry.in_flight.fetch_add(1, Ordering::Relaxed);
        entry.metrics.in_flight.inc();
        Self(entry)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.0.metrics.in_flight.dec();
    }
}

/// Counts a request against its organisation's limit until it is dropped.
pub(crate) struct OrganisationShare<'a> {
    entry: &'a Entry,
    organisation: ObjectId,
}

impl<'a> OrganisationShare<'a> {
    /// Sheds the request when the entry or its organisation has too many in flight.
    pub(crate) fn take(
        entry: &'a Entry,
        head: &RequestHead,
        snapshot: &Snapshot,
    ) -> Result<Self, ApiError> {
        if entry.in_flight() > entry.settings.max_in_flight {
            return Err(ApiError::overloaded("this entry is full", Duration::from_secs(1)));
        }
        let spec = snapshot.organisations.get(&head.organisation);
        let limit = spec.and_then(|spec| spec.max_in_flight);
        let mut running = entry.running_by_organisation.lock().expect("no panics under the lock");
        let count = running.entry(head.organisation.clone()).or_default();
        if limit.is_some_and(|limit| *count >= limit) {
            let message = "your organisation has too many requests in flight";
            return Err(ApiError::overloaded(message, Duration::from_secs(1)));
        }
        *count += 1;
        drop(running);
        Ok(Self { entry, organisation: head.organisation.clone() })
    }
}

impl Drop for OrganisationShare<'_> {
    fn drop(&mut self) {
        let mut running =
            self.entry.running_by_organisation.lock().expect("no panics under the lock");
        if let Some(count) = running.get_mut(&self.organisation) {
            *count = count.saturating_sub(1);
        }
    }
}
