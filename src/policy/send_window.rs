//! How many requests this entry has at a server at once, learned from the server's rejections.
//!
//! A server that rejects what is too much for it and asks for a pause is idle for the rest of the pause, so
//! the next rejection costs more than a request that is placed elsewhere. The window is a tenth smaller than what the server
//! took when it rejected, and grows by one in sixteen rounds of answers: additive increase, multiplicative
//! decrease (Chiu and Jain, 1989), which also shares a server among entries that don't know of each other.

use std::time::Duration;

/// Part of what the server took when it rejected.
const DECREASE: f64 = 0.9;
/// Rounds of answers in which the window grows by one request.
const INCREASE_ROUNDS: f64 = 16.0;
/// Time after the last rejection from which on nothing limits the requests.
const EXPIRES_AFTER: Duration = Duration::from_secs(30);

/// The window for one server; times are on the entry's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SendWindow {
    /// Requests at once, and when the server last rejected one; none where it never did.
    limit_since: Option<(f64, Duration)>,
}

impl SendWindow {
    /// Notes that the server rejected a request while it had so many others of this entry.
    pub fn note_rejection(&mut self, others: u32, now: Duration) {
        self.limit_since = Some(((f64::from(others) * DECREASE).max(1.0), now));
    }

    /// Notes an answer that is no rejection.
    pub fn note_answer(&mut self) {
        if let Some((limit, _)) = &mut self.limit_since {
            *limit += 1.0 / (INCREASE_ROUNDS * *limit);
        }
    }

    /// Whether one more may be sent while the server has so many.
    pub fn allows_another(&self, others: u32, now: Duration) -> bool {
        self.limit_since
            .is_none_or(|(limit, at)| now >= at + EXPIRES_AFTER || f64::from(others) + 1.0 <= limit)
    }
}
