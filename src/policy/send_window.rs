//! Limits this entry's concurrent requests to a server, based on the server's rejections.
//!
//! A server that rejects a request and asks for a pause is idle for the rest of the pause, so
//! another rejection costs more than sending a request to a different server. After a rejection the
//! window is a tenth smaller than the number of requests the server had accepted, and it grows by
//! one request in sixteen round trips: additive increase, multiplicative decrease (Chiu and Jain,
//! 1989). This also divides a server fairly among entries that do not know of each other.

use std::time::Duration;

/// The window after a rejection, as a part of the requests that the server had accepted.
const DECREASE: f64 = 0.9;
/// Round trips in which the window grows by one request.
const INCREASE_ROUNDS: f64 = 16.0;
/// Time after the last rejection until the window no longer applies.
const EXPIRES_AFTER: Duration = Duration::from_secs(30);

/// The send window for one server; times are on the entry's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SendWindow {
    /// Allowed concurrent requests and the time of the last rejection; `None` if there was none.
    limit_since: Option<(f64, Duration)>,
}

impl SendWindow {
    /// Records that the server rejected a request while it had this many others from this entry.
    pub fn record_rejection(&mut self, others: u32, now: Duration) {
        self.limit_since = Some(((f64::from(others) * DECREASE).max(1.0), now));
    }

    /// Records an answer other than a rejection.
    pub fn record_answer(&mut self) {
        if let Some((limit, _)) = &mut self.limit_since {
            *limit += 1.0 / (INCREASE_ROUNDS * *limit);
        }
    }

    /// Whether another request may be sent while the server has this many from this entry.
    pub fn allows_another(&self, others: u32, now: Duration) -> bool {
        self.limit_since
            .is_none_or(|(limit, at)| now >= at + EXPIRES_AFTER || f64::from(others) + 1.0 <= limit)
    }
}
