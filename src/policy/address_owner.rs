//! Tracks whether a BackendServer still has its address, from 421 responses and signed responses
//! (docs/decisions/0027).

use std::time::Duration;

use crate::policy::misdirected_by::MisdirectedBy;

/// Time for which a server is left alone after another one answered at its address. By then the platform has removed its
/// row if it is gone: three heartbeats of 1.2 s, and the 0.8 s by which the list may be read late.
const BASE_CLOSURE: Duration = Duration::from_millis(4_400);
/// The same if another one answers again when the server is tried. Rows stay that long only while the store is away.
pub const MAX_CLOSURE: Duration = Duration::from_millis(8_800);
/// Time for which a server is a last resort after a 421 response that does not tell who sent it. A request that such a
/// server rejects is sent on and loses a round trip, so this has to spare only the next requests.
pub const DOUBT_TIME: Duration = Duration::from_millis(500);

/// What a response changed about the owner of an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressChange {
    /// Another server has the address; the expected one is closed for this time.
    Taken(Duration),
    /// The server answers again after another one had answered.
    Confirmed,
}

/// What responses say about the owner of a server's address; times are on the entry's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AddressOwner {
    /// When data of a signed response last arrived.
    signed_at: Option<Duration>,
    /// End of the last closure; `None` if the server has signed a response since.
    closure_end: Option<Duration>,
    /// Until when it is a last resort.
    doubted_until: Option<Duration>,
}

impl AddressOwner {
    /// Records a 421 response. One that does not tell who sent it never closes the server: the request may have caused
    /// it.
    pub fn record_misdirected(
        &mut self,
        by: MisdirectedBy,
        now: Duration,
    ) -> Option<AddressChange> {
        match by {
            MisdirectedBy::Itself => self.confirm(),
            MisdirectedBy::Unknown => {
                self.doubted_until = Some(now + DOUBT_TIME);
                None
            }
            // A request that was sent before the closure began.
            MisdirectedBy::AnotherServer if self.closed_until(now).is_some() => None,
            MisdirectedBy::AnotherServer => {
                let length = if self.is_on_trial() { MAX_CLOSURE } else { BASE_CLOSURE };
                self.closure_end = Some(now + length);
                Some(AddressChange::Taken(length))
            }
        }
    }

    /// Records data of a signed response, which proves that the server has the address.
    pub fn record_signed(&mut self, now: Duration) -> Option<AddressChange> {
        self.signed_at = Some(now);
        self.confirm()
    }

    /// Forgets what is known of the former address when the server is listed with another one.
    pub fn record_move(&mut self) {
        *self = Self::default();
    }

    /// When data of a signed response last arrived.
    pub fn signed_at(&self) -> Option<Duration> {
        self.signed_at
    }

    /// Until when it is closed, if it is.
    pub fn closed_until(&self, now: Duration) -> Option<Duration> {
        self.closure_end.filter(|end| now < *end)
    }

    /// Whether the next request finds out if the server is back; there is one at a time.
    pub fn is_on_trial(&self) -> bool {
        self.closure_end.is_some()
    }

    /// Whether it is a last resort.
    pub fn is_doubted(&self, now: Duration) -> bool {
        self.doubted_until.is_some_and(|until| now < until)
    }

    fn confirm(&mut self) -> Option<AddressChange> {
        self.doubted_until = None;
        self.closure_end.take().map(|_| AddressChange::Confirmed)
    }
}
