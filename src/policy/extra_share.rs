//! One entry's share of the extra retries that the fleet may make beyond the retry ratio.
//!
//! The extra retries are a single number for the whole fleet. The shares of all entries must not
//! add up to more, including entries that this one does not see and processes that ran earlier on
//! the same Hosts. Entries report their number to each other over the links between them.

use std::time::Duration;

/// Age at which a reported number of entries expires. A silent link is closed after 0.9 s, and
/// another one is established within 2 s.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Time for which the largest reported number is kept. In a network partition each side sees fewer
/// entries, and their shares must not grow. Shares that are too small for a while cost few retries.
const PEAK_TTL: Duration = Duration::from_secs(600);

/// The reported numbers of entries that determine the share.
///
/// A new process has no share until the retries of its predecessor on the Host have left the
/// window. Without this rule, and with a fixed eighth for each entry, 32 entries of which nine in
/// ten were killed twice sent 4,403 retries in 10 s where 4,258 are allowed, and three entries
/// could use only 40 of 104.
#[derive(Clone, Copy, Debug)]
pub struct ExtraShare {
    started_at: Duration,
    received_at: Option<Duration>,
    /// Largest number reported in the current span of [`PEAK_TTL`] and in the one before.
    peaks: [u32; 2],
    /// Index of the current span.
    span: u128,
}

impl ExtraShare {
    /// The share of a process that starts now.
    pub fn new(now: Duration) -> Self {
        Self { started_at: now, received_at: None, peaks: [0; 2], span: span_of(now) }
    }

    /// Records the number of entries, as reported by one that receives updates from all of them.
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

    /// Largest number of entries reported recently; 0 if none was reported.
    pub fn entries(&self) -> u32 {
        self.peaks[0].max(self.peaks[1])
    }

    /// The fraction, from 0 to 1, of the extra retries per `window` that this entry may use.
    pub fn fraction(&self, window: Duration, now: Duration) -> f64 {
        // An entry that was cut off before this process started may still use its larger share.
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
