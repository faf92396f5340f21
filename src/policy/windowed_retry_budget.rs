//! A retry budget for the whole fleet, enforced by each entry on its own.
//!
//! In any window, the retries to a service are limited to a ratio of its requests plus a fixed
//! extra number. Each entry applies the ratio to its own requests and uses its share of the extra
//! retries (see [`super::extra_share`]). The sum over all entries, including successive processes
//! on one Host, then stays within the limit.

use std::{collections::VecDeque, time::Duration};

/// Part of the allowed ratio that is used. The rest covers windows that contain the retries of a
/// request but not the request itself.
const RATIO_UTILIZATION: f64 = 0.8;
/// Retries allowed to an entry with at least one request, so that a single request can be retried.
/// At a ratio of 0.9 this exceeds the limit by a tenth of a retry for each entry: by 36 for 360
/// entries with one request each in a window.
const MIN_RETRIES: f64 = 1.0;
/// Buckets into which the window is divided.
const BUCKETS: u32 = 10;

/// Limits on the retries of one entry to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed in a window: this entry's share of the fleet's extra retries.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts of one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one entry to one service within the window.
#[derive(Clone, Debug, Default)]
pub struct WindowedRetryBudget {
    buckets: VecDeque<Bucket>,
}

impl WindowedRetryBudget {
    /// Records a caller's request for the service.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Duration) {
        self.current_bucket(limits, now).requests += 1;
    }

    /// Takes one retry from the budget; `false` if the budget is used up.
    pub fn try_retry(&mut self, limits: &RetryLimits, now: Duration) -> bool {
        if self.remaining(limits, now) < 1.0 {
            return false;
        }
        self.current_bucket(limits, now).retries += 1;
        true
    }

    /// Retries still allowed.
    pub fn remaining(&mut self, limits: &RetryLimits, now: Duration) -> f64 {
        self.current_bucket(limits, now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = f64::from(requests) * limits.ratio * RATIO_UTILIZATION + limits.extra;
        let minimum = if requests > 0 && limits.ratio > 0.0 { MIN_RETRIES } else { 0.0 };
        allowed.max(minimum) - f64::from(retries)
    }

    fn current_bucket(&mut self, limits: &RetryLimits, now: Duration) -> &mut Bucket {
        let length = limits.window / BUCKETS;
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        while self.buckets.front().is_some_and(|bucket| bucket.number + u64::from(BUCKETS) < number)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.number != number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        self.buckets.back_mut().expect("a bucket was just pushed")
    }
}
