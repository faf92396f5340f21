//! Parsing of the `Retry-After` header (RFC 9110, section 10.2.3): the pause that a server asks
//! for when it rejects a request.

use std::time::{Duration, SystemTime};

/// Longest pause that is honored, so that a wrong value cannot exclude a server indefinitely.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// The pause requested in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// No pause.
    #[default]
    None,
    /// The pause, at most [`MAX_PAUSE`].
    After(Duration),
    /// Neither a number of seconds nor a date.
    Unreadable,
}

impl RetryAfter {
    /// Parses a number of seconds, which may be fractional, or an HTTP date.
    pub fn parse(text: &str, now: SystemTime) -> Self {
        let text = text.trim();
        match text.parse::<f64>() {
            Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => {
                let seconds = seconds.min(MAX_PAUSE.as_secs_f64());
                Self::After(Duration::from_secs_f64(seconds))
            }
            Ok(_) => Self::Unreadable,
            Err(_) => Self::parse_date(text, now),
        }
    }

    fn parse_date(text: &str, now: SystemTime) -> Self {
        let Ok(date) = httpdate::parse_http_date(text) else {
            return Self::Unreadable;
        };
        let pause = date.duration_since(now).unwrap_or_default();
        Self::After(pause.min(MAX_PAUSE))
    }

    /// The longer of two pauses requested in one answer; one that can be read is preferred to one
    /// that cannot.
    #[must_use]
    pub fn longer(self, other: Self) -> Self {
        match (self, other) {
            (Self::After(a), Self::After(b)) => Self::After(a.max(b)),
            (Self::After(_), _) => self,
            _ => other,
        }
    }

    /// The pause; `None` if it is absent, unreadable or zero.
    pub fn pause(self) -> Option<Duration> {
        match self {
            Self::After(pause) if !pause.is_zero() => Some(pause),
            _ => None,
        }
    }
}
