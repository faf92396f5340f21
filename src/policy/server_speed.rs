//! Estimate of how long work takes on a BackendServer's machine, from the figures in its answers.
//!
//! A machine that is shared with others has a lasting speed, and slows down for moments when its
//! neighbours are busy. Only the lasting speed is of use for choosing a server: an entry hears from
//! each server every few seconds, and a slowdown is over before another entry learns of it. Since
//! neighbours only ever add time, the lasting factor is the smallest one of the recent figures.

use std::time::Duration;

/// Time that work takes on a machine, as a multiple of the usual time.
pub type TimeFactor = f64;

/// Factors outside this range are not believed: work that takes a tenth or thirty times the usual
/// time is a defect of the report, not a property of a machine.
const BELIEVED_RANGE: std::ops::RangeInclusive<TimeFactor> = 0.1..=30.0;
/// Time after which the smallest figure is replaced by the smallest one since. A slowdown by
/// neighbours lasts for a fraction of this.
const WINDOW: Duration = Duration::from_secs(10);
/// Time for which the last figure counts as the present one; neighbours change many times a second.
const PRESENT_FOR: Duration = Duration::from_millis(300);

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
        if !BELIEVED_RANGE.contains(&factor) {
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
