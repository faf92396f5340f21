//! Weighted fair queue of attempts, by organisation and priority.
//!
//! Start-time fair queueing: each organisation's next attempt has a virtual start that moves on
//! by cost over weight; the smallest goes first. A full queue drops from the longest line, so
//! one large organisation can't push the small ones out.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::OrganisationId;

/// One waiting attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedAttempt<T> {
    /// Whom it counts against.
    pub organisation: OrganisationId,
    /// Higher goes first within an organisation.
    pub priority: i32,
    /// Expected work, in any unit that is the same for all.
    pub cost: f64,
    /// Share of the organisation.
    pub weight: f64,
    /// The attempt.
    pub item: T,
}

#[derive(Clone, Debug)]
struct Line<T> {
    finish: f64,
    waiting: VecDeque<QueuedAttempt<T>>,
}

/// The queue.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    lines: BTreeMap<OrganisationId, Line<T>>,
    virtual_time: f64,
    len: usize,
    capacity: usize,
}

impl<T> FairQueue<T> {
    /// An empty queue for `capacity` attempts.
    pub fn new(capacity: usize) -> Self {
        Self { lines: BTreeMap::new(), virtual_time: 0.0, len: 0, capacity }
    }

    /// Attempts waiting.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an attempt; when full, returns the one that has to go instead.
    pub fn push(&mut self, waiting: QueuedAttempt<T>) -> Option<T> {
        let line = self
            .lines
            .entry(waiting.organisation.clone())
            .or_insert_with(|| Line { finish: 0.0, waiting: VecDeque::new() });
        if line.waiting.is_empty() {
            line.finish = line.finish.max(self.virtual_time);
        }
        let behind = |other: &QueuedAttempt<T>| other.priority < waiting.priority;
        let at = line.waiting.iter().position(behind).unwrap_or(line.waiting.len());
        line.waiting.insert(at, waiting);
        self.len += 1;
        if self.len <= self.capacity { None } else { self.drop_from_longest() }
    }

    /// Takes the attempt whose organisation is furthest behind its share.
    pub fn pop(&mut self) -> Option<T> {
        let (_, line) = self
            .lines
            .iter_mut()
            .filter(|(_, line)| !line.waiting.is_empty())
            .min_by(|a, b| a.1.finish.total_cmp(&b.1.finish))?;
        let waiting = line.waiting.pop_front()?;
        self.virtual_time = line.finish;
        line.finish += waiting.cost / waiting.weight.max(f64::MIN_POSITIVE);
        self.len -= 1;
        let now = self.virtual_time;
        self.lines.retain(|_, line| !line.waiting.is_empty() || line.finish > now);
        Some(waiting.item)
    }

    /// Takes out everything that `leaves` picks.
    pub fn remove_if(&mut self, mut leaves: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for line in self.lines.values_mut() {
            let (gone, kept): (Vec<_>, Vec<_>) =
                line.waiting.drain(..).partition(|waiting| leaves(&waiting.item));
            line.waiting = kept.into();
            removed.extend(gone.into_iter().map(|waiting| waiting.item));
        }
        self.len -= removed.len();
        removed
    }

    fn drop_from_longest(&mut self) -> Option<T> {
        let weight_of = |line: &Line<T>| line.waiting.front().map_or(1.0, |w| w.weight);
        let (_, line) = self.lines.iter_mut().max_by(|a, b| {
            let a = a.1.waiting.len() as f64 / weight_of(a.1);
            let b = b.1.waiting.len() as f64 / weight_of(b.1);
            a.total_cmp(&b)
        })?;
        let dropped = line.waiting.pop_back()?;
        self.len -= 1;
        Some(dropped.item)
    }
}
