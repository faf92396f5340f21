//! The budget of repeated sends that all entries share.
//!
//! A service may get, in any window, so many sends beyond the first of each request: a ratio of
//! the requests for it, and a fixed extra. Each entry keeps to the ratio on its own requests and
//! to its part of the extra (see [`super::extra_share`]), so the sum over all entries stays within,
//! also over the processes that follow each other on one Host.

use std::{collections::VecDeque, time::Duration};

/// Part of the allowed ratio that is used; the rest is for windows that cut a request from its
/// repeats.
const RATIO_UTILIZATION: f64 = 0.8;
/// Repeats allowed to an entry that has had any request, so that a lone one is not lost: at a ratio of
/// 0.9 that is a tenth of a repeat too many, 36 for 360 entries with one request each in a window.
const MIN_RETRIES: f64 = 1.0;
/// Steps a window is counted in.
const BUCKETS: u32 = 10;

/// What one entry may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that in a window: this entry's part of what all may.
    pub extra: f64,
    /// Window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Sends of one entry to one service.
#[derive(Clone, Debug, Default)]
pub struct WindowedRetryBudget {
    buckets: VecDeque<Bucket>,
}

impl WindowedRetryBudget {
    /// Notes a caller's request for the service.
    pub fn note_request(&mut self, limits: &RetryLimits, now: Duration) {
        self.current_bucket(limits, now).requests += 1;
    }

    /// Takes one repeated send from the budget; false when it is used up.
    pub fn try_retry(&mut self, limits: &RetryLimits, now: Duration) -> bool {
        if self.remaining(limits, now) < 1.0 {
            return false;
        }
        self.current_bucket(limits, now).retries += 1;
        true
    }

    /// Repeats still allowed.
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
        self.buckets.back_mut().expect("a step was just pushed")
    }
}
