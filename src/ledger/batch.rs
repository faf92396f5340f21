//! Buffer of charge records, and the batches in which they are written to the object store.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    ids::{Incarnation, RequestId, format_id},
    platform::{Error, ObjectsClient, Result},
    policy::charge::{ChargeRecord, settlement_window},
    protocol::{decode, encode},
};

/// Maximum number of records in one batch.
const MAX_BATCH_RECORDS: usize = 2_000;

/// Charge records that have not been put into a batch yet. The capacity is a soft limit: see
/// [`ChargeBuffer::push`].
#[derive(Debug)]
pub struct ChargeBuffer {
    waiting: VecDeque<ChargeRecord>,
    capacity: usize,
    next_batch: u64,
}

/// Charge records that are written to the object store as one object.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Object name, fixed when the batch is created, so that a retry after a lost reply writes the
    /// same object again.
    pub name: Box<str>,
    /// Records, all of the same settlement window.
    pub records: Vec<ChargeRecord>,
}

impl ChargeBuffer {
    /// Creates an empty buffer that counts as full at `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self { waiting: VecDeque::new(), capacity, next_batch: 0 }
    }

    /// Number of buffered records.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the buffer holds no records.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether new billable requests must be refused until records have been taken out.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.capacity
    }

    /// Adds a record, even to a full buffer: work that has been done must be billed.
    pub fn push(&mut self, record: ChargeRecord) {
        self.waiting.push_back(record);
    }

    /// Removes all records and returns them as batches, one or more per settlement window.
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

/// Writes batches in order and removes each from `pending` once it is written; stops at the first
/// error. Returns the requests whose records were written.
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

/// Decodes the body of a batch object.
///
/// # Errors
/// [`Error::Unreadable`] if the body is not a valid batch.
pub fn read_batch(body: &[u8]) -> Result<Vec<ChargeRecord>> {
    decode(body).map_err(|e| Error::Unreadable(e.to_string().into()))
}
