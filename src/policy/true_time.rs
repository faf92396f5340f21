//! Estimate of true time from the wall clocks of several Hosts.
//!
//! A Host's wall clock may be wrong or step by seconds. The offset between wall-clock time and a steady clock is
//! estimated as the median over all Hosts that report theirs, so that a minority of wrong clocks has no effect.

use std::{collections::HashMap, time::Duration};

use crate::policy::usage::TrueMs;

/// Time after which a reported wall clock is ignored: five reports.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(2);
/// Least number of clocks, including the own one, from which the offset is estimated again. With fewer, a single
/// clock that stepped would decide, while the earlier estimate stays true on a steady clock.
const MIN_CLOCKS: usize = 3;

/// A process's estimate of true time.
#[derive(Clone, Debug)]
pub struct TrueTime {
    /// True time minus the time on the steady clock, in milliseconds.
    offset_ms: i64,
    /// The same by the clock of each Host that reports here, and when it did.
    samples: HashMap<Box<str>, (i64, Duration)>,
}

fn offset_ms(wall: TrueMs, steady: Duration) -> i64 {
    let steady_ms = i64::try_from(steady.as_millis()).unwrap_or(i64::MAX);
    i64::try_from(wall).unwrap_or(i64::MAX).saturating_sub(steady_ms)
}

impl TrueTime {
    /// An estimate by this Host's own wall clock.
    pub fn new(own_wall: TrueMs, now: Duration) -> Self {
        Self { offset_ms: offset_ms(own_wall, now), samples: HashMap::new() }
    }

    /// True time at `now` on the steady clock.
    pub fn at(&self, now: Duration) -> TrueMs {
        let steady_ms = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
        u64::try_from(steady_ms.saturating_add(self.offset_ms)).unwrap_or_default()
    }

    /// Records the wall clock that another Host reports.
    pub fn record_wall_clock(&mut self, host: &str, wall: TrueMs, now: Duration) {
        self.samples.insert(host.into(), (offset_ms(wall, now), now));
    }

    /// Estimates the offset again from the wall clocks reported lately and this Host's own.
    pub fn update(&mut self, own_wall: TrueMs, now: Duration) {
        self.samples.retain(|_, (_, at)| now < *at + SAMPLE_LIFETIME);
        let mut offsets: Vec<i64> = self.samples.values().map(|(offset, _)| *offset).collect();
        offsets.push(offset_ms(own_wall, now));
        if offsets.len() < MIN_CLOCKS {
            return;
        }
        let middle = offsets.len() / 2;
        self.offset_ms = *offsets.select_nth_unstable(middle).1;
    }

    /// Takes over the estimate of another process, as received at `now`.
    pub fn adopt(&mut self, true_time: TrueMs, now: Duration) {
        self.offset_ms = offset_ms(true_time, now);
    }
}
