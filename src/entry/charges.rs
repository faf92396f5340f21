//! Charging: one record a request, copied to the agent before the answer is delivered.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    entry::{Entry, link::Link},
    ids::RequestId,
    ledger::{ChargeBuffer, write_batches},
    policy::charge::ChargeRecord,
    protocol::ToAgent,
    telemetry::event,
};

const FLUSH_EVERY: Duration = Duration::from_millis(500);

/// Records on their way to the object store.
#[derive(Debug)]
pub(crate) struct Charges {
    buffer: Mutex<ChargeBuffer>,
    copies: Mutex<HashMap<RequestId, Arc<Link>>>,
    pending: tokio::sync::Mutex<VecDeque<crate::ledger::Batch>>,
}

impl Charges {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            buffer: Mutex::new(ChargeBuffer::new(capacity)),
            copies: Mutex::default(),
            pending: tokio::sync::Mutex::default(),
        }
    }

    /// Records not yet handed to a write.
    pub(crate) fn waiting(&self) -> usize {
        self.buffer.lock().expect("no panics under the lock").len()
    }

    /// Whether billable work must be refused because too many records wait.
    pub(crate) fn is_full(&self) -> bool {
        self.buffer.lock().expect("no panics under the lock").is_full()
    }
}

/// Charges a request; must be called before the last part of its answer is delivered. Waits until the agent's copy has
/// left this process, since a killed process loses what is queued in it. A stalled link holds up the answer no longer than
/// it takes until the record is written to the store.
pub(crate) async fn charge(entry: &Entry, record: ChargeRecord, winner: Option<&Arc<Link>>) {
    if let Some(link) = winner.filter(|_| entry.policy.charge_copies) {
        let frame = ToAgent::Charge(Box::new(record.clone()));
        let sent = tokio::time::timeout(FLUSH_EVERY, link.send_written(&frame));
        // A copy that is late may still arrive and is confirmed like the others.
        if link.is_up() && sent.await.unwrap_or(true) {
            let mut copies = entry.charges.copies.lock().expect("no panics under the lock");
            copies.insert(record.request, link.clone());
        }
    }
    let mut buffer = entry.charges.buffer.lock().expect("no panics under the lock");
    buffer.push(record);
    entry.metrics.charges_waiting.set(buffer.len() as i64);
}

/// Writes waiting records again and again.
pub(crate) async fn flush(entry: Arc<Entry>) {
    while !entry.is_dead() {
        tokio::time::sleep(FLUSH_EVERY).await;
        flush_once(&entry).await;
    }
}

/// Writes waiting records and confirms them to the agents that keep copies.
pub(crate) async fn flush_once(entry: &Entry) -> bool {
    let mut pending = entry.charges.pending.lock().await;
    // While a write fails, records stay in the bounded buffer.
    if pending.is_empty() {
        let mut buffer = entry.charges.buffer.lock().expect("no panics under the lock");
        pending.extend(buffer.take_batches(entry.incarnation));
    }
    let (written, res) = write_batches(&entry.objects, &mut pending).await;
    drop(pending);
    entry.metrics.charges_written.inc_by(written.len() as u64);
    entry.metrics.charges_waiting.set(entry.charges.waiting() as i64);
    confirm(entry, &written).await;
    if let Err(e) = res {
        entry.metrics.count_store_error("charges");
        let waiting = entry.charges.waiting();
        event::CHARGES_WAITING.log(format_args!("records={waiting} problem={e}"));
        return false;
    }
    true
}

async fn confirm(entry: &Entry, written: &[RequestId]) {
    let mut by_link: HashMap<Box<str>, (Arc<Link>, Vec<RequestId>)> = HashMap::new();
    {
        let mut copies = entry.charges.copies.lock().expect("no panics under the lock");
        for request in written {
            let Some(link) = copies.remove(request) else {
                continue;
            };
            let name = link.host.name.clone();
            by_link.entry(name).or_insert_with(|| (link, Vec::new())).1.push(*request);
        }
    }
    for (link, requests) in by_link.into_values() {
        if link.is_up() {
            link.send(&ToAgent::Confirm(requests)).await;
        }
    }
}
