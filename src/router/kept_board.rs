//! What entries report to each other about the prompt parts that BackendServers keep.
//!
//! Each entry knows which parts it sent where. With many entries most of what a server keeps was sent
//! there by others, and an entry that has just started knows nothing; so each entry reports to the seeds
//! what it sent, and the seeds pass it on with their heartbeats (docs/decisions/0011).

use std::{sync::Mutex, time::Duration};

use serde::{Deserialize, Serialize};

use crate::router::{
    Fleet,
    note_log::{NoteLimits, NoteLog},
};

/// Notes kept for links that are behind or new; 40 KB. At 1,000 requests a second, of which one in four
/// has long shared parts, the seeds take in 300 to 400 in a second.
const MOST_NOTES: usize = 2_048;
/// Notes reported in one message at most, so that a message stays under 10 KB.
const MOST_REPORTED: usize = 512;
/// Age at which a note is passed on no more: a part that is still in use was reported again by then.
const REPORTED_FOR: Duration = Duration::from_secs(8);

/// A part of a prompt that a server was sent, as entries report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptNote(
    /// Short hash of the server's id.
    pub(crate) u32,
    /// Hash of the prompt up to the part's end.
    pub(crate) u32,
    /// Tokens of the part.
    pub(crate) u32,
);

const LIMITS: NoteLimits =
    NoteLimits { kept: MOST_NOTES, reported: MOST_REPORTED, reported_for: REPORTED_FOR };

#[derive(Debug)]
struct Inner {
    /// Of this entry.
    own: NoteLog<KeptNote>,
    /// Of all entries, where others follow this one.
    all: NoteLog<KeptNote>,
    /// Notes about servers that are not in view yet, at most [`MOST_REPORTED`]: an entry that starts is informed
    /// of parts before it has read the list of servers.
    unplaced: Vec<KeptNote>,
}

impl Default for Inner {
    fn default() -> Self {
        Self { own: NoteLog::new(LIMITS), all: NoteLog::new(LIMITS), unplaced: Vec::new() }
    }
}

/// The notes of an entry.
#[derive(Debug, Default)]
pub(crate) struct KeptBoard {
    inner: Mutex<Inner>,
}

impl KeptBoard {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panics under the lock")
    }

    /// Notes what this entry sent.
    pub(crate) fn note_own(&self, note: KeptNote, now: Duration) {
        let mut inner = self.lock();
        inner.own.push(note, now);
        inner.all.push(note, now);
    }

    /// Takes in what another entry reports that it sent; those that follow this one are informed, too.
    pub(crate) fn take_report(&self, notes: &[KeptNote], fleet: &Fleet, now: Duration) {
        let mut inner = self.lock();
        for note in notes {
            inner.all.push(*note, now);
        }
        drop(inner);
        self.apply(notes, fleet);
    }

    /// Lets the servers' records know what other entries sent them.
    pub(crate) fn apply(&self, notes: &[KeptNote], fleet: &Fleet) {
        let mut inner = self.lock();
        let earlier = std::mem::take(&mut inner.unplaced);
        for note in earlier.iter().chain(notes) {
            let KeptNote(server, hash, tokens) = *note;
            match fleet.by_short_hash(server) {
                Some(member) => member.state().prefixes.note_reported(hash, u64::from(tokens)),
                None => inner.unplaced.push(*note),
            }
        }
        let too_many = inner.unplaced.len().saturating_sub(MOST_REPORTED);
        inner.unplaced.drain(..too_many);
    }

    /// What this entry sent since the note with this number, and the number to go on with.
    pub(crate) fn own_from(&self, number: u64, now: Duration) -> (Vec<KeptNote>, u64) {
        self.lock().own.from(number, now)
    }

    /// Notes that a link did not get because too many came.
    pub(crate) fn lost(&self) -> u64 {
        let inner = self.lock();
        inner.own.lost() + inner.all.lost()
    }

    /// The same for all entries.
    pub(crate) fn all_from(&self, number: u64, now: Duration) -> (Vec<KeptNote>, u64) {
        self.lock().all.from(number, now)
    }
}
