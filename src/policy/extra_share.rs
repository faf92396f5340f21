//! One entry's part of the sends that all entries together may make beyond the ratio.
//!
//! The extra is one sum for the whole fleet, so an entry may use a part of it only as long as the
//! parts of all entries, also of those that it does not see and of the processes that ran before on
//! the same Hosts, add up to no more. The number of entries is received over the links between them.

use std::time::Duration;

/// Age at which a reported number of entries counts no more: a link that falls silent is
/// given up after 0.9 s, and another one is there within 2 s.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Time for which the largest number is kept: where entries lose each other, each side sees fewer, and
/// their parts must not grow meanwhile. Parts that are too small for a while cost few repeats.
const PEAK_TTL: Duration = Duration::from_secs(600);

/// What an entry knows that bounds its part.
///
/// A new process has no part until what the one before it may have sent is out of the window: without
/// this, and with a fixed eighth for each entry, 32 entries of which nine in ten were killed twice sent
/// 4,403 repeats in 10 s where 4,258 are allowed, and three entries could use 40 of 104.
#[derive(Clone, Copy, Debug)]
pub struct ExtraShare {
    started_at: Duration,
    received_at: Option<Duration>,
    /// Largest number received in this span of [`PEAK_TTL`] and in the one before.
    peaks: [u32; 2],
    span: u128,
}

impl ExtraShare {
    /// That of a process that starts now.
    pub fn new(now: Duration) -> Self {
        Self { started_at: now, received_at: None, peaks: [0; 2], span: span_of(now) }
    }

    /// Takes in how many entries there are, as far as somebody knows who gets updates from all of them.
    pub fn record_entries(&mut self, entries: u32, now: Duration) {
        let span = span_of(now);
        if span > self.span {
            let before = if span == self.span + 1 { self.peaks[0] } else { 0 };
            self.peaks = [0, before];
            self.span = span;
        }
        self.peaks[0] = self.peaks[0].max(entries);
        self.received_at = Some(now);
    }

    /// Largest number of entries reported lately; none where none was.
    pub fn entries(&self) -> u32 {
        self.peaks[0].max(self.peaks[1])
    }

    /// The part of the extra that this entry may use, 0 to 1; `window` is what the extra is counted in.
    pub fn fraction(&self, window: Duration, now: Duration) -> f64 {
        // An entry that lost touch before this process started uses its larger part for a while still.
        let is_new = now < self.started_at + window + REPORT_TTL;
        let is_current = self.received_at.is_some_and(|at| now < at + REPORT_TTL);
        if is_new || !is_current || self.entries() == 0 {
            return 0.0;
        }
        1.0 / f64::from(self.entries())
    }
}

fn span_of(now: Duration) -> u128 {
    now.as_millis() / PEAK_TTL.as_millis()
}
