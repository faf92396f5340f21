//! Copies of charge records, kept until their entry confirms that they are in the store.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    agent::Agent,
    ids::{Incarnation, RequestId},
    ledger::{ChargeBuffer, write_batches},
    policy::charge::{ChargeRecord, Delivery},
    telemetry::event,
};

const CHECK: Duration = Duration::from_millis(500);

/// The copies and the entries they came from.
#[derive(Debug)]
pub(crate) struct Copies {
    records: BTreeMap<RequestId, (Incarnation, ChargeRecord)>,
    gone: HashMap<Incarnation, Instant>,
    orphans: ChargeBuffer,
    capacity: usize,
}

impl Copies {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            gone: HashMap::new(),
            orphans: ChargeBuffer::new(capacity),
            capacity,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len() + self.orphans.len()
    }

    /// Keeps a record; a full memory drops the oldest, which its entry still has.
    pub(crate) fn keep(&mut self, from: Incarnation, record: ChargeRecord) {
        if self.records.len() >= self.capacity {
            self.records.pop_first();
        }
        self.records.insert(record.request, (from, record));
    }

    pub(crate) fn confirm(&mut self, requests: &[RequestId]) {
        for request in requests {
            self.records.remove(request);
        }
    }

    pub(crate) fn entry_is_up(&mut self, entry: Incarnation) {
        self.gone.remove(&entry);
    }

    pub(crate) fn entry_is_gone(&mut self, entry: Incarnation) {
        self.gone.entry(entry).or_insert_with(Instant::now);
    }

    /// Gives up entries that have been gone for `patience` and adopts their records.
    fn adopt(&mut self, patience: Duration) {
        let given_up: Vec<Incarnation> =
            self.gone.iter().filter(|(_, at)| at.elapsed() >= patience).map(|(e, _)| *e).collect();
        for entry in given_up {
            self.gone.remove(&entry);
            let theirs: Vec<RequestId> =
                self.records.iter().filter(|(_, (e, _))| *e == entry).map(|(r, _)| *r).collect();
            for request in theirs {
                let Some((_, mut record)) = self.records.remove(&request) else {
                    continue;
                };
                record.delivery = Delivery::Presumed;
                self.orphans.push(record);
            }
        }
    }
}

/// Writes the records of entries that went away and did not come back.
pub(super) async fn rescue(agent: Arc<Agent>) {
    let mut pending = VecDeque::new();
    while !agent.is_dead() {
        tokio::time::sleep(CHECK).await;
        {
            let mut copies = agent.copies.lock().expect("no panics under the lock");
            copies.adopt(agent.settings.entry_lost_after);
            pending.extend(copies.orphans.take_batches(agent.incarnation));
        }
        if let (_, Err(e)) = write_batches(&agent.objects, &mut pending).await {
            let waiting = pending.len();
            event::CHARGES_WAITING.log(format_args!("batches={waiting} problem={e}"));
        }
    }
}

/// Writes every copy left, whoever it came from; the settler merges what is written twice.
pub(super) async fn flush_all(agent: &Agent) {
    let mut pending: VecDeque<_> = {
        let mut copies = agent.copies.lock().expect("no panics under the lock");
        let records = std::mem::take(&mut copies.records);
        for (_, (_, mut record)) in records {
            record.delivery = Delivery::Presumed;
            copies.orphans.push(record);
        }
        copies.orphans.take_batches(agent.incarnation).into()
    };
    if let (_, Err(e)) = write_batches(&agent.objects, &mut pending).await {
        event::CHARGES_WAITING.log(format_args!("batches={} problem={e}", pending.len()));
    }
}
