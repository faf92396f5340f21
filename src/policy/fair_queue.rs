//! Weighted fair queue of attempts, by organisation and priority.
//!
//! Start-time fair queueing: each organisation's next attempt has a virtual start time, which advances by
//! cost over weight; the earliest is served first. A full queue drops attempts of the organisation with the
//! most waiting attempts relative to its weight, so that a large organisation can't crowd out small ones.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::OrganisationId;

/// An attempt in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedAttempt<T> {
    /// Organisation that the attempt belongs to.
    pub organisation: OrganisationId,
    /// Priority; higher ones are served first within an organisation.
    pub priority: i32,
    /// Expected work, in any unit that is the same for all.
    pub cost: f64,
    /// Weight of the organisation.
    pub weight: f64,
    /// The attempt.
    pub item: T,
}

/// Waiting attempts of one organisation, and the virtual start time of the next one.
#[derive(Clone, Debug)]
struct OrganisationQueue<T> {
    next_start: f64,
    attempts: VecDeque<QueuedAttempt<T>>,
}

/// Bounded fair queue.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    queues: BTreeMap<OrganisationId, OrganisationQueue<T>>,
    virtual_time: f64,
    len: usize,
    capacity: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for `capacity` attempts.
    pub fn new(capacity: usize) -> Self {
        Self { queues: BTreeMap::new(), virtual_time: 0.0, len: 0, capacity }
    }

    /// Number of waiting attempts.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no attempt is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an attempt; if the queue is full, returns the attempt that is dropped.
    pub fn push(&mut self, attempt: QueuedAttempt<T>) -> Option<T> {
        let queue = self
            .queues
            .entry(attempt.organisation.clone())
            .or_insert_with(|| OrganisationQueue { next_start: 0.0, attempts: VecDeque::new() });
        if queue.attempts.is_empty() {
            queue.next_start = queue.next_start.max(self.virtual_time);
        }
        let is_behind = |other: &QueuedAttempt<T>| other.priority < attempt.priority;
        let at = queue.attempts.iter().position(is_behind).unwrap_or(queue.attempts.len());
        queue.attempts.insert(at, attempt);
        self.len += 1;
        if self.len <= self.capacity { None } else { self.drop_from_longest() }
    }

    /// Takes the next attempt of the organisation with the earliest virtual start time.
    pub fn pop(&mut self) -> Option<T> {
        let (_, queue) = self
            .queues
            .iter_mut()
            .filter(|(_, queue)| !queue.attempts.is_empty())
            .min_by(|a, b| a.1.next_start.total_cmp(&b.1.next_start))?;
        let attempt = queue.attempts.pop_front()?;
        self.virtual_time = queue.next_start;
        queue.next_start += attempt.cost / attempt.weight.max(f64::MIN_POSITIVE);
        self.len -= 1;
        let now = self.virtual_time;
        self.queues.retain(|_, queue| !queue.attempts.is_empty() || queue.next_start > now);
        Some(attempt.item)
    }

    /// Removes and returns the attempts that `is_removed` selects.
    pub fn remove_if(&mut self, mut is_removed: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            let (gone, kept): (Vec<_>, Vec<_>) =
                queue.attempts.drain(..).partition(|attempt| is_removed(&attempt.item));
            queue.attempts = kept.into();
            removed.extend(gone.into_iter().map(|attempt| attempt.item));
        }
        self.len -= removed.len();
        removed
    }

    /// Drops the last attempt of the organisation with the most waiting attempts relative to its weight.
    fn drop_from_longest(&mut self) -> Option<T> {
        let weight_of = |queue: &OrganisationQueue<T>| {
            queue.attempts.front().map_or(1.0, |attempt| attempt.weight)
        };
        let (_, queue) = self.queues.iter_mut().max_by(|a, b| {
            let a = a.1.attempts.len() as f64 / weight_of(a.1);
            let b = b.1.attempts.len() as f64 / weight_of(b.1);
            a.total_cmp(&b)
        })?;
        let dropped = queue.attempts.pop_back()?;
        self.len -= 1;
        Some(dropped.item)
    }
}
