//! Numbered events. The catalogue is `docs/EVENTS.md`; a test compares the two.

use std::fmt::Arguments;

use spdlog::Level;

/// One kind of event.
#[derive(Clone, Copy, Debug)]
pub struct EventKind {
    /// Stable number.
    pub code: u16,
    /// Stable name.
    pub name: &'static str,
    /// Level it is logged at.
    pub level: Level,
    /// What it means, as the catalogue has it.
    pub meaning: &'static str,
}

impl EventKind {
    /// Logs one event of this kind.
    pub fn log(&self, details: Arguments<'_>) {
        let (code, name) = (self.code, self.name);
        spdlog::log!(self.level, "{} {}", name, details, kv: { code });
    }
}

macro_rules! events {
    ($($ident:ident = $code:literal, $level:ident, $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $ident: EventKind = EventKind {
                code: $code,
                name: stringify!($ident),
                level: Level::$level,
                meaning: $meaning,
            };
        )*
        /// All kinds, in the order of their numbers.
        pub const CATALOGUE: &[EventKind] = &[$($ident),*];
    };
}

events! {
    PROCESS_STARTED = 100, Info, "The process listens and has its settings.";
    PROCESS_READY = 101, Info, "The process has a configuration and takes work.";
    PROCESS_LEAVING = 102, Info, "A planned stop began; no new work is taken.";
    PROCESS_STOPPED = 103, Info, "The process ends; the numbers say what was cut off.";
    PROCESS_CUT_SHORT = 104, Warn, "A second signal or the end of the grace cut requests off.";
    ACCEPT_FAILED = 105, Warn, "A connection could not be taken.";
    SETTINGS_RELOADED = 106, Info, "The settings file was read again.";
    SETTINGS_UNREADABLE = 107, Error, "The settings file can't be read again; the old settings stay in force.";
    HOST_RESUMED = 108, Warn, "The Host was suspended; what was received before is taken as old.";
    LINK_UP = 200, Info, "A link to a peer is authenticated.";
    LINK_DOWN = 201, Warn, "A link went away; its attempts are settled as lost.";
    LINK_REFUSED = 202, Warn, "A peer did not prove itself or sent frames that can't be read.";
    PEER_FAILED = 203, Warn, "Another entry could not be asked, or asked something unreadable.";
    PEER_VIEW_TAKEN = 204, Info, "The store is silent; what another entry has seen of it was taken in.";
    PEER_FOLLOWED = 205, Info, "Another entry that the store answers is followed instead of the store.";
    PEER_LEFT = 206, Info, "The entry that was followed is silent or cut off; the store is asked again.";
    CONFIG_ADVANCED = 300, Info, "A newer configuration revision is in force here.";
    CONFIG_OLDER_SHOWN = 301, Error, "The store showed an older revision than is in force; it is not followed.";
    CONFIG_CHANGED = 302, Info, "An operator's or a leased job's change was accepted.";
    DOCUMENT_UNREADABLE = 303, Error, "A document in the store can't be read; it is passed over.";
    SERVERS_CHANGED = 304, Info, "The list of BackendServers changed.";
    FORMER_LIFE_SHOWN = 305, Warn, "A BackendServer's row shows a life before the one in view; it is passed over.";
    SERVER_REBORN = 306, Info, "A BackendServer started again under its id; what was known of it is forgotten.";
    ZONE_EVACUATED = 307, Warn, "The operator ordered an AvailabilityZone evacuated; nothing more is sent to its servers.";
    ZONE_TAKEN_BACK = 308, Info, "The order to evacuate an AvailabilityZone is gone; its servers are used again.";
    ORDER_UNREAD = 309, Warn, "The operator wrote an order of a kind that nothing reads; logged once for each kind.";
    STORE_UNREACHABLE = 400, Warn, "The table or object service gives no answer; what depends on it waits or is refused.";
    STORE_BACK = 401, Info, "The table or object service answers again.";
    CLAIM_LOST_REPLY = 402, Info, "The reply to a claim was lost and is settled by reading back.";
    STORE_RESTORED = 403, Error, "The store came back from an older copy; what is known to be newer holds until it is written again.";
    ATTEMPT_RETRIED = 500, Info, "An attempt failed and another was sent.";
    ANSWER_DROPPED = 501, Warn, "A frame of another attempt, or one out of order, was dropped.";
    ANSWER_INCOMPLETE = 502, Warn, "An answer ended without its end frame or with the wrong digest.";
    GATE_REFUSED = 503, Info, "The agent refused an attempt before it started.";
    STRAY_CHUNK = 504, Warn, "An engine sent a chunk of another request, or one twice; it was dropped.";
    ATTEMPT_FAILED = 505, Info, "An attempt brought no answer of its server; the cause says what is known.";
    STREAM_BROKEN = 506, Warn, "A server's stream broke off; it is resumed elsewhere where the route allows it.";
    REQUEST_REFUSED = 507, Info, "A request got an answer of this system instead of a server's.";
    STREAM_LATE = 508, Info, "A stream came whole, but its first event or a pause was later than its route aims at.";
    EARLIER_ANSWER_KEPT = 509, Info, "The larger model of a cascade gave no answer in time; the earlier stage's was passed on.";
    SERVER_ENDED = 510, Warn, "A server ended while requests were at work there; each of them is suspected of it.";
    REQUEST_QUARANTINED = 511, Error, "Three servers ended under a request; it reaches no more of them.";
    REQUEST_CLEARED = 512, Info, "A request that servers had ended under was answered whole, or let go by an operator.";
    QUARANTINE_TRIAL = 513, Warn, "A refused request is sent to one server to see whether it still ends it.";
    QUARANTINE_KEPT = 514, Info, "Requests that are refused were written to the store.";
    QUARANTINE_RELEASED = 515, Warn, "An operator let a request go that was refused or suspected.";
    RATE_LIMIT_NAMED = 516, Warn, "A BackendServer advertises in its answers how many requests a second it takes.";
    RATE_LIMIT_ENDED = 517, Info, "A BackendServer advertises no limit any more.";
    RATE_LIMIT_UNREADABLE = 518, Error, "A BackendServer advertises a limit that is no number of requests; it is passed over.";
    SERVER_DRAINING = 519, Warn, "A BackendServer announced in an answer that it is draining.";
    PAUSE_REQUESTED = 520, Warn, "A BackendServer rejected a request and asked for a pause.";
    RETRY_AFTER_UNREADABLE = 521, Error, "A BackendServer asked for a pause that is neither seconds nor a date; it is ignored.";
    HEADER_UNREAD = 522, Warn, "An answer has a header that nothing reads; logged once for each name.";
    PAUSE_ENDED = 523, Info, "A BackendServer answers again after a pause that it asked for.";
    VERSION_HELD = 600, Warn, "A version under roll-out is suspect; it takes no new sessions here.";
    ROLL_OUT_MOVED = 601, Info, "The guard wrote a roll-out's next step.";
    ROLL_OUT_LEFT = 602, Info, "The guard's write met a newer one by someone else and was dropped.";
    ROLL_OUT_ORDERED = 603, Info, "The operator ordered a roll-out.";
    ROLL_OUT_BEGUN = 604, Info, "The begin of a roll-out was written to the store.";
    VERSION_SUSPECT = 605, Warn, "The evidence of this entry, or of all that report to it, says that a version is bad; it gets no more requests here.";
    VERDICT_SEEN = 606, Info, "The store shows how a roll-out ended.";
    VERDICT_WAITS = 607, Warn, "The end of a roll-out could not be written; it is tried again.";
    SESSION_ON_TRIAL = 608, Info, "A request of a session goes to a version that is on trial in a roll-out.";
    LEASE_TAKEN = 700, Info, "This process holds a lease.";
    LEASE_LOST = 701, Warn, "This process no longer holds a lease.";
    CHARGES_SETTLED = 702, Info, "A window's charges were added to the totals.";
    CHARGES_WAITING = 703, Warn, "Charge records wait in memory because the object store gives no answer.";
    ENGINE_ORDERED = 800, Info, "The agent ordered its engine to load or drop versions.";
    ENGINE_ORDER_FAILED = 801, Warn, "The engine gave no answer to an order or refused it.";
    ENGINE_UNHEALTHY = 802, Warn, "The BackendServer fails its requests; entries are informed.";
    ENGINE_HEALTHY = 803, Info, "The BackendServer answers again.";
    CERTIFICATE_RELOADED = 900, Info, "The certificate was read again from its file.";
    CERTIFICATE_UNREADABLE = 901, Error, "The certificate file can't be read; the old one stays in use.";
}
