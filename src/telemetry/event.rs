//! Numbered log events. `docs/EVENTS.md` lists them; `tests/catalogue.rs` compares that list with this one.

use std::fmt::{Arguments, Display, Formatter, Result, Write};

use spdlog::Level;

/// Longest details of a log line, in bytes. They may repeat what a peer sent, and thousands of lines may wait.
const MAX_DETAILS: usize = 4 << 10;

/// A kind of event.
#[derive(Clone, Copy, Debug)]
pub struct EventKind {
    /// Stable number, logged as `code`.
    pub code: u16,
    /// Stable name, logged at the start of the line.
    pub name: &'static str,
    /// Level of the log line.
    pub level: Level,
    /// Meaning, as in `docs/EVENTS.md`.
    pub meaning: &'static str,
}

impl EventKind {
    /// Logs an event of this kind with its details.
    pub fn log(&self, details: Arguments<'_>) {
        let (code, name) = (self.code, self.name);
        spdlog::log!(self.level, "{} {}", name, Truncated(details), kv: { code });
    }
}

/// Details of a log line, without what is beyond the limit.
struct Truncated<'a>(Arguments<'a>);

impl Display for Truncated<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let mut limited = LimitedWriter { f, left: MAX_DETAILS, is_cut: false };
        let written = limited.write_fmt(self.0);
        if limited.is_cut { f.write_str("...") } else { written }
    }
}

/// Fails once more than the allowed number of bytes is written.
struct LimitedWriter<'a, 'b> {
    f: &'a mut Formatter<'b>,
    left: usize,
    is_cut: bool,
}

impl Write for LimitedWriter<'_, '_> {
    fn write_str(&mut self, text: &str) -> Result {
        let mut end = text.len().min(self.left);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let fitting = &text[..end];
        self.f.write_str(fitting)?;
        self.left -= fitting.len();
        if fitting.len() < text.len() {
            self.is_cut = true;
            return Err(std::fmt::Error);
        }
        Ok(())
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
        /// All kinds of events, sorted by number.
        pub const CATALOGUE: &[EventKind] = &[$($ident),*];
    };
}

events! {
    PROCESS_STARTED = 100, Info, "The process has loaded its settings and begins to listen.";
    PROCESS_READY = 101, Info, "The process has a configuration and accepts work.";
    PROCESS_LEAVING = 102, Info, "A planned stop has begun; no new work is accepted.";
    PROCESS_STOPPED = 103, Info, "The process exits; the counts tell what was cut off.";
    PROCESS_CUT_SHORT = 104, Warn, "A second signal or the end of the grace period aborted running requests.";
    ACCEPT_FAILED = 105, Warn, "A connection could not be accepted.";
    SETTINGS_RELOADED = 106, Info, "The settings file was reloaded.";
    SETTINGS_UNREADABLE = 107, Error, "The settings file can't be used; the previous settings stay in force, and a process that starts waits for a usable file.";
    HOST_RESUMED = 108, Warn, "The Host was suspended; data received before the suspension counts as stale.";
    ACCEPT_PAUSED = 109, Warn, "The process lacks processor time; new connections are closed unread, so that their callers turn to another entry.";
    ACCEPT_RESUMED = 110, Info, "All new connections are served again.";
    LISTEN_WAITS = 111, Warn, "An address can't be served yet; the attempt is repeated, and the other addresses are served meanwhile.";
    LISTENING = 112, Info, "An address is bound and served.";
    SETTING_IGNORED = 113, Warn, "An optional value of the platform's settings file can't be used; its default is in force.";
    THREAD_WAITS = 119, Warn, "A thread can't be started yet; the attempt is repeated.";
    PANICKED = 120, Error, "Code of this program panicked; other events tell what became of its task.";
    TASK_PANICKED = 121, Error, "A task ended by a panic; it is started again after a delay.";
    CONTROL_ENDED = 122, Error, "The control thread's work ended by a panic; it is started again after a delay, and callers are served as before.";
    PROCESS_PANICKED = 123, Error, "The process exits with code 101, since its main task panicked.";
    REQUEST_PANICKED = 124, Error, "A request's task panicked; its caller got status 500.";
    LINK_UP = 200, Info, "A link to a peer was established and authenticated.";
    LINK_DOWN = 201, Warn, "A link was lost; its attempts count as lost.";
    LINK_REFUSED = 202, Warn, "A peer failed to authenticate or sent invalid frames.";
    PEER_FAILED = 203, Warn, "Another entry could not be queried, or its own query was invalid.";
    PEER_VIEW_TAKEN = 204, Info, "The store does not respond; newer data that another entry has read from it was adopted.";
    PEER_FOLLOWED = 205, Info, "This entry gets its data from another entry that reaches the store, instead of from the store.";
    PEER_LEFT = 206, Info, "The followed entry stopped responding or lost the store; the store is queried again.";
    PEER_SPEED_UNREADABLE = 207, Error, "Another entry reports a server's speed that can't be right; it is ignored.";
    PEER_LATE = 208, Warn, "What the followed entry sends arrives too late; the store is asked until it arrives in time again.";
    CONFIG_ADVANCED = 300, Info, "A newer configuration revision is in force in this process.";
    CONFIG_OLDER_SHOWN = 301, Error, "The store returned an older revision than the one in force; it is ignored.";
    CONFIG_CHANGED = 302, Info, "A change by an operator or a leased job was accepted.";
    DOCUMENT_UNREADABLE = 303, Error, "A document in the store can't be parsed; it is skipped.";
    SERVERS_CHANGED = 304, Info, "The list of BackendServers changed.";
    FORMER_LIFE_SHOWN = 305, Warn, "A BackendServer's row shows an earlier start than the known one; the row is ignored.";
    SERVER_REBORN = 306, Info, "A BackendServer restarted under the same id; everything recorded about it is discarded.";
    ZONE_EVACUATED = 307, Warn, "The operator ordered the evacuation of an AvailabilityZone; its servers get no more requests.";
    ZONE_TAKEN_BACK = 308, Info, "The evacuation order for an AvailabilityZone was withdrawn; its servers get requests again.";
    ORDER_UNREAD = 309, Warn, "The operator wrote an order of an unknown kind; logged once per kind.";
    PEER_ROWS_UNREADABLE = 310, Error, "Rows that another entry forwards can't be read or were held back; this entry asks the store instead.";
    STORE_UNREACHABLE = 400, Warn, "The table or object service does not respond; operations that need it wait or are rejected.";
    STORE_BACK = 401, Info, "The table or object service responds again.";
    CLAIM_LOST_REPLY = 402, Info, "The reply to writing a claim was lost; reading the claim back determines the outcome.";
    STORE_RESTORED = 403, Error, "The store was restored from an older copy; newer known data stays in force until it is written again.";
    ATTEMPT_RETRIED = 500, Info, "An attempt failed and another one was sent.";
    ANSWER_DROPPED = 501, Warn, "A frame of another attempt, or one out of order, was dropped.";
    ANSWER_INCOMPLETE = 502, Warn, "An answer ended without its end frame or with the wrong digest.";
    GATE_REFUSED = 503, Info, "The agent refused an attempt before it started.";
    STRAY_CHUNK = 504, Warn, "An engine sent a chunk of another request, or a duplicate chunk; it was dropped.";
    ATTEMPT_FAILED = 505, Info, "An attempt got no answer from its server; the cause describes the failure.";
    STREAM_BROKEN = 506, Warn, "A server's stream was interrupted; it is resumed on another server if the route allows it.";
    REQUEST_REFUSED = 507, Info, "A request got an error response from this system instead of an answer from a server.";
    STREAM_LATE = 508, Info, "A stream was complete, but its first event or a gap between events exceeded the target of its route.";
    EARLIER_ANSWER_KEPT = 509, Info, "The larger model of a cascade did not answer in time; the answer of the earlier stage was sent.";
    SERVER_ENDED = 510, Warn, "A server ended while requests were running on it; each of them is suspected of causing it.";
    REQUEST_QUARANTINED = 511, Error, "Three servers ended while running the same request; it is sent to no more servers.";
    REQUEST_CLEARED = 512, Info, "A request or prompt part under suspicion of ending servers was answered completely or released by an operator.";
    QUARANTINE_TRIAL = 513, Warn, "A quarantined request, or one with a quarantined part, is sent to one server to test whether it still ends the server.";
    QUARANTINE_KEPT = 514, Info, "Quarantined requests and prompt parts were written to the store.";
    QUARANTINE_RELEASED = 515, Warn, "An operator released a quarantined or suspected request or prompt part.";
    RATE_LIMIT_NAMED = 516, Warn, "A BackendServer advertises in its answers how many requests per second it accepts.";
    RATE_LIMIT_ENDED = 517, Info, "A BackendServer no longer advertises a rate limit.";
    RATE_LIMIT_UNREADABLE = 518, Error, "A BackendServer advertises a rate limit that is not a number of requests; it is ignored.";
    SERVER_DRAINING = 519, Warn, "A BackendServer announced in an answer that it is draining.";
    PAUSE_REQUESTED = 520, Warn, "A BackendServer rejected a request and asked for a pause.";
    RETRY_AFTER_UNREADABLE = 521, Error, "A BackendServer asked for a pause that is neither a number of seconds nor a date; it is ignored.";
    HEADER_UNREAD = 522, Warn, "An answer has an unknown header; logged once per name.";
    PAUSE_ENDED = 523, Info, "A BackendServer answers again after a pause that it had asked for.";
    SUSPECT_COUNTED = 525, Info, "Another server end counts against a request or prompt part that was present at two or more; it is not refused yet.";
    SERVER_PACE_UNREADABLE = 526, Error, "A BackendServer reports how long work takes on its machine as something that can't be right; it is ignored.";
    PART_QUARANTINED = 527, Error, "Servers ended while running different requests with the same part of the prompt; requests with it are sent to no more servers.";
    LENGTH_IGNORED = 528, Warn, "A response has a length beside its chunks; the chunks are passed on, the length is ignored, and the connection is closed.";
    QUARANTINE_LOCK_HELD = 529, Warn, "The records of crashing requests were locked for long, which holds up all requests of this entry.";
    CALLER_CUT = 530, Warn, "The connection of a caller was closed before its response was complete; logged once a second.";
    SERVER_REPLACED = 531, Warn, "Another server answers at a BackendServer's address; it gets no requests until a trial shows that it is back.";
    SERVER_CONFIRMED = 532, Info, "A BackendServer answers again at an address at which another server had answered.";
    VERSION_HELD = 600, Warn, "A version under roll-out is suspect; this entry sends it no new sessions.";
    ROLL_OUT_MOVED = 601, Info, "The next step of a roll-out was written to the store.";
    ROLL_OUT_LEFT = 602, Info, "The guard's write of a roll-out step conflicted with a newer write and was dropped.";
    ROLL_OUT_ORDERED = 603, Info, "The operator ordered a roll-out.";
    ROLL_OUT_BEGUN = 604, Info, "The start of a roll-out was written to the store.";
    VERSION_SUSPECT = 605, Warn, "The evidence of this entry, or of all entries that report to it, indicates that a version is bad; this entry sends it no more requests.";
    VERDICT_SEEN = 606, Info, "The store shows the outcome of a roll-out.";
    VERDICT_WAITS = 607, Warn, "The outcome of a roll-out could not be written; the write is retried.";
    SESSION_ON_TRIAL = 608, Info, "A request of a session is sent to the version on trial in a roll-out.";
    LEASE_TAKEN = 700, Info, "This process has acquired a lease.";
    LEASE_LOST = 701, Warn, "This process no longer holds a lease.";
    CHARGES_SETTLED = 702, Info, "The charges of a time window were added to the totals.";
    CHARGES_WAITING = 703, Warn, "Charge records are kept in memory because the object store does not respond.";
    USAGE_STORED = 704, Info, "The usage of a window was stored; it is sent to the platform next.";
    USAGE_REPORTED = 705, Info, "The platform accepted the usage report of a window.";
    USAGE_REPORT_FAILED = 706, Warn, "A usage report was not accepted; unless it was rejected for good, it is sent again.";
    USAGE_LOST = 707, Error, "Windows of usage are not reported, since their reports may have been sent and are lost.";
    ENGINE_ORDERED = 800, Info, "The agent ordered its engine to load or unload versions.";
    ENGINE_ORDER_FAILED = 801, Warn, "The engine rejected an order or did not respond to it.";
    ENGINE_UNHEALTHY = 802, Warn, "The BackendServer is failing its requests; the entries are informed.";
    ENGINE_HEALTHY = 803, Info, "The BackendServer answers again.";
    CERTIFICATE_RELOADED = 900, Info, "The certificate was reloaded from its file.";
    CERTIFICATE_UNREADABLE = 901, Error, "The certificate file can't be read; the previous certificate stays in use.";
}
