//! Seeded arrivals, prompts and sessions.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    load::{ChatCall, Kind, Stream},
    local::caller_key,
};

const WORDS: [&str; 24] = [
    "recharge",
    "till",
    "newsagent",
    "number",
    "euro",
    "operator",
    "receipt",
    "pending",
    "reseller",
    "counter",
    "court",
    "chamber",
    "hearing",
    "notice",
    "filing",
    "judge",
    "clerk",
    "moved",
    "advocate",
    "listing",
    "date",
    "summary",
    "today",
    "why",
];
const MAX_TOKENS: u64 = 40;
/// Share of once-only requests that a caller sends twice at the same moment.
const DOUBLED: f64 = 0.2;

/// One request to be sent.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Duration,
    pub(super) organisation: Box<str>,
    pub(super) kind: Kind,
    pub(super) call: ChatCall,
    pub(super) mark: Box<str>,
    /// Sent twice at the same moment, as by a double tap.
    pub(super) doubled: bool,
}

/// Draws all arrivals of a stream, with exponential gaps.
pub(super) fn arrivals(stream: &Stream, number: usize, seed: u64, duration: f64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(7_919).wrapping_add(number as u64));
    let systems: Vec<Box<str>> =
        (0..stream.shared_prompts.max(1)).map(|_| words(&mut rng, stream.shared_words)).collect();
    let mut arrivals = Vec::new();
    let mut at = stream.from_s;
    loop {
        let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at -= draw.ln() / stream.rate;
        if at >= duration {
            return arrivals;
        }
        let mark = format!("{seed}-{number}-{}", arrivals.len()).into();
        arrivals.push(draw_arrival(stream, &mut rng, &systems, at, mark));
    }
}

fn draw_arrival(
    stream: &Stream,
    rng: &mut ChaCha8Rng,
    systems: &[Box<str>],
    at: f64,
    mark: Box<str>,
) -> Arrival {
    let system = systems[rng.random_range(0..systems.len())].clone();
    let session: Option<Box<str>> = (stream.sessions > 0)
        .then(|| format!("session-{}", rng.random_range(0..stream.sessions)).into());
    let is_once = rng.random_bool(stream.once);
    let kind = match (stream.model.is_empty(), is_once) {
        (true, _) => Kind::ServiceOnce,
        (false, true) => Kind::ChatOnce,
        (false, false) => Kind::Chat,
    };
    let user = format!("{mark} {}", words(rng, stream.words)).into();
    let call = ChatCall {
        key: caller_key(&stream.organisation),
        model: stream.model.clone(),
        system,
        user,
        max_tokens: MAX_TOKENS,
        stream: rng.random_bool(stream.streamed),
        session,
        once_key: is_once.then(|| mark.clone()),
        deadline: stream.deadline_ms.map(Duration::from_millis),
    };
    let at = Duration::from_secs_f64(at);
    let doubled = is_once && rng.random_bool(DOUBLED);
    Arrival { at, doubled, organisation: stream.organisation.clone(), kind, call, mark }
}

fn words(rng: &mut ChaCha8Rng, count: usize) -> Box<str> {
    let drawn: Vec<&str> = (0..count).map(|_| WORDS[rng.random_range(0..WORDS.len())]).collect();
    drawn.join(" ").into()
}
