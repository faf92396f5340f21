//! Estimate of how long work takes on a BackendServer's machine, from the figures in its answers.
//!
//! A machine that is shared with others has a lasting speed, and slows down for moments when its
//! neighbours are busy. Only the lasting speed is of use for choosing a server: an entry hears from
//! each server every few seconds, and a slowdown is over before another entry learns of it. Since
//! neighbours only ever add time, the lasting factor is the smallest one of the recent figures.

use std::{ops::RangeInclusive, time::Duration};

/// Time that work takes on a machine, as a multiple of the usual time.
pub type TimeFactor = f64;

/// Factors outside this range are not believed: work that takes a tenth or thirty times the usual
/// time is a defect of the report, not a property of a machine.
const BELIEVED_RANGE: RangeInclusive<TimeFactor> = 0.1..=30.0;
/// Time after which the smallest figure is replaced by the smallest one since. A slowdown by
/// neighbours lasts for a fraction of this.
const WINDOW: Duration = Duration::from_secs(10);
/// Time for which the last figure counts as the present one; neighbours change many times a second.
const PRESENT_FOR: Duration = Duration::from_millis(300);

/// Smallest relative fall of a factor that other entries are told of. Less moves too little work to
/// be worth a message to hundreds of entries.
const MIN_TOLD_FALL: f64 = 0.05;

/// Whether a factor can be that of a machine.
pub fn is_believed(factor: TimeFactor) -> bool {
    BELIEVED_RANGE.contains(&factor)
}

/// A figure and the time at which it was received, on the entry's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Figure {
    factor: TimeFactor,
    at: Duration,
}

/// Speed of one incarnation of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSpeed {
    /// Smallest figure of the window that has ended.
    ended_window: Option<TimeFactor>,
    /// Smallest figure of the running window, and when that window began.
    window: Option<Figure>,
    /// Last figure in an answer to this entry.
    last: Option<Figure>,
}

impl ServerSpeed {
    /// Records the figure in an answer to this entry; false if it is not believed.
    pub fn record(&mut self, factor: TimeFactor, now: Duration) -> bool {
        let is_believed = self.record_reported(factor, now);
        if is_believed {
            self.last = Some(Figure { factor, at: now });
        }
        is_believed
    }

    /// Records a lasting factor that another entry reports; false if it is not believed.
    pub fn record_reported(&mut self, factor: TimeFactor, now: Duration) -> bool {
        if !is_believed(factor) {
            return false;
        }
        match &mut self.window {
            Some(window) if now < window.at + WINDOW => window.factor = window.factor.min(factor),
            window => {
                self.ended_window = window.map(|window| window.factor);
                *window = Some(Figure { factor, at: now });
            }
        }
        true
    }

    /// Whether any figure is known.
    pub fn is_known(&self) -> bool {
        self.window.is_some()
    }

    /// The lasting factor; 1 while no figure is known.
    pub fn lasting(&self) -> TimeFactor {
        let Some(window) = self.window else {
            return 1.0;
        };
        self.ended_window.map_or(window.factor, |ended| ended.min(window.factor))
    }

    /// The factor at present: the last figure while it is fresh, but no less than the lasting one.
    pub fn present(&self, now: Duration) -> TimeFactor {
        let fresh = self.last.filter(|last| now < last.at + PRESENT_FOR);
        fresh.map_or(self.lasting(), |last| last.factor.max(self.lasting()))
    }
}

/// The smallest factor of a server that entries have told each other in the running window.
///
/// Hundreds of entries hear from each server, so only what changes the lasting factor of the others
/// is told: the first figure of each window, and figures that are considerably smaller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedSpeed {
    /// The smallest factor told.
    pub factor: TimeFactor,
    /// When it was told or heard, on the entry's clock.
    pub told_at: Duration,
}

impl SharedSpeed {
    /// Whether a factor is worth telling to entries that know this one.
    pub fn is_news(&self, factor: TimeFactor, now: Duration) -> bool {
        now >= self.told_at + WINDOW || factor < self.factor * (1.0 - MIN_TOLD_FALL)
    }
}
