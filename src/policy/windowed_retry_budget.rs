//! The budget of repeated sends that all entries share.
//!
//! A service may get, in any window, so many sends beyond the first of each request: a ratio of
//! the requests for it, and a fixed extra. Each entry keeps to the ratio on its own requests and
//! to its part of the extra (see [`super::extra_share`]), so the sum over all entries stays within,
//! also over the processes that follow each other on one Host.

use std::{collections::VecDeque, time::Duration};

/// Part of the allowed ratio that is used; the rest is for windows that cut a request from its
/// repeats.
const RATIO_USED: f64 = 0.8;
/// Repeats allowed to an entry that has had any request, so that a lone one is not lost: at a ratio of
/// 0.9 that is a tenth of a repeat too many, 36 for 360 entries with one request each in a window.
const FIRST: f64 = 1.0;
/// Steps a window is counted in.
const STEPS: u32 = 10;

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
struct Step {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Sends of one entry to one service.
#[derive(Clone, Debug, Default)]
pub struct WindowedRetryBudget {
    steps: VecDeque<Step>,
}

impl WindowedRetryBudget {
    /// Notes a caller's request for the service.
    pub fn note_request(&mut self, terms: &RetryLimits, now: Duration) {
        self.current(terms, now).requests += 1;
    }

    /// Takes one repeated send from the budget; false when it is used up.
    pub fn try_repeat(&mut self, terms: &RetryLimits, now: Duration) -> bool {
        if self.remaining(terms, now) < 1.0 {
            return false;
        }
        self.current(terms, now).repeats += 1;
        true
    }

    /// Repeats still allowed.
    pub fn remaining(&mut self, terms: &RetryLimits, now: Duration) -> f64 {
        self.current(terms, now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let allowed = f64::from(requests) * terms.ratio * RATIO_USED + terms.extra;
        let first = if requests > 0 && terms.ratio > 0.0 { FIRST } else { 0.0 };
        allowed.max(first) - f64::from(repeats)
    }

    fn current(&mut self, terms: &RetryLimits, now: Duration) -> &mut Step {
        let step = terms.window / STEPS;
        let number = (now.as_nanos() / step.as_nanos().max(1)) as u64;
        while self.steps.front().is_some_and(|s| s.number + u64::from(STEPS) < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|s| s.number != number) {
            self.steps.push_back(Step { number, ..Step::default() });
        }
        self.steps.back_mut().expect("a step was just pushed")
    }
}
