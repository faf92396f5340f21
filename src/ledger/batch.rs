//! Charge records waiting to be written, and the batch objects they are written to.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    ids::{Incarnation, RequestId, format_id},
    platform::{Error, ObjectsClient, Result},
    policy::charge::{ChargeRecord, settlement_window},
    protocol::{decode, encode},
};

/// Records in one batch object at most.
const MAX_BATCH_RECORDS: usize = 2_000;

/// Bounded buffer of records that are not yet in the object store.
#[derive(Debug)]
pub struct ChargeBuffer {
    waiting: VecDeque<ChargeRecord>,
    capacity: usize,
    next_batch: u64,
}

/// A batch that has its name and keeps it until it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Deterministic name: a repeated write after a lost reply writes the same object.
    pub name: Box<str>,
    /// Records of one window.
    pub records: Vec<ChargeRecord>,
}

impl ChargeBuffer {
    /// An empty buffer for `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self { waiting: VecDeque::new(), capacity, next_batch: 0 }
    }

    /// Records waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether new billable work must be refused until records have been written.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.capacity
    }

    /// Adds a record. A full buffer still takes it: work already done has to be billed.
    pub fn push(&mut self, record: ChargeRecord) {
        self.waiting.push_back(record);
    }

    /// Takes out the waiting records as named batches, one or more a window.
    pub fn take_batches(&mut self, writer: Incarnation) -> Vec<Batch> {
        let mut windows: BTreeMap<u64, Vec<ChargeRecord>> = BTreeMap::new();
        for record in self.waiting.drain(..) {
            windows.entry(settlement_window(record.request)).or_default().push(record);
        }
        let mut batches = Vec::new();
        for (window, records) in windows {
            for chunk in records.chunks(MAX_BATCH_RECORDS) {
                let name = batch_name(window, writer, self.next_batch);
                self.next_batch += 1;
                batches.push(Batch { name, records: chunk.to_vec() });
            }
        }
        batches
    }
}

fn batch_name(window: u64, writer: Incarnation, number: u64) -> Box<str> {
    format!("charges/{window:012}/{}-{number:08}", format_id(writer)).into()
}

/// Writes batches in order; those that failed stay in `pending`. Returns the requests written.
pub async fn write_batches(
    objects: &ObjectsClient,
    pending: &mut VecDeque<Batch>,
) -> (Vec<RequestId>, Result<()>) {
    let mut written = Vec::new();
    while let Some(batch) = pending.front() {
        if let Err(e) = objects.put(&batch.name, encode(&batch.records)).await {
            return (written, Err(e));
        }
        written.extend(batch.records.iter().map(|record| record.request));
        pending.pop_front();
    }
    (written, Ok(()))
}

/// Reads a batch object.
///
/// # Errors
/// [`Error::Unreadable`] when it is not one.
pub fn read_batch(body: &[u8]) -> Result<Vec<ChargeRecord>> {
    decode(body).map_err(|e| Error::Unreadable(e.to_string().into()))
}
