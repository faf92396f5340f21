//! How many requests a second a server takes, over all entries, where it takes few.

/// What the head of an answer says of its server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum SaidLimit {
    /// Nothing: the server takes what it has places for.
    #[default]
    Nothing,
    /// Requests a second, over all entries.
    Rate(f64),
    /// Something that is no number of requests, so nothing is known.
    Unreadable,
}

impl SaidLimit {
    /// Reads what a server names.
    pub fn read(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Self::Rate(rate),
            _ => Self::Unreadable,
        }
    }

    /// The smaller of two limits that one answer names; one that can be read goes before one that can't.
    pub fn smaller(self, other: Self) -> Self {
        match (self, other) {
            (Self::Rate(a), Self::Rate(b)) => Self::Rate(a.min(b)),
            (Self::Rate(_), _) => self,
            _ => other,
        }
    }
}
