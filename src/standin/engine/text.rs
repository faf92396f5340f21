//! Text a stand-in engine generates: a function of the prompt, so that any engine that
//! continues a stream continues the same one.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::standin::ratings::POOR_MARK;

const WORDS: [&str; 16] = [
    "the", "credit", "has", "been", "listed", "for", "court", "at", "hearing", "number", "seven",
    "and", "a", "recharge", "is", "due",
];
const SEED_DIFFICULTY: u64 = 1;
const SEED_LENGTH: u64 = 2;
const SEED_TEXT: u64 = 3;

/// Share of prompts that are easier than this one, 0 to 1; the same for every version.
pub(crate) fn difficulty(prompt: &str) -> f64 {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), SEED_DIFFICULTY);
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Length of the answer in tokens.
pub(crate) fn length(prompt: &str, max_tokens: u64) -> u64 {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), SEED_LENGTH);
    (8 + hash % 33).min(max_tokens).max(1)
}

/// One token of the answer; the first of a poor answer carries the raters' mark.
pub(crate) fn token(prompt: &str, version: &str, index: u64, poor: bool) -> String {
    if index == 0 && poor {
        return format!("{POOR_MARK} ");
    }
    let seed = xxh3_64_with_seed(version.as_bytes(), SEED_TEXT);
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed.wrapping_add(index));
    format!("{} ", WORDS[(hash % WORDS.len() as u64) as usize])
}

/// Whether an answer is what any engine gives to a prompt, whole and in order.
///
/// The first token is left out: only it tells a poor answer from a good one.
pub(crate) fn is_answer(prompt: &str, version: &str, max_tokens: u64, answer: &str) -> bool {
    let words: Vec<&str> = answer.split_whitespace().collect();
    let expected = length(prompt, max_tokens);
    words.len() as u64 == expected
        && words
            .iter()
            .zip(0..)
            .skip(1)
            .all(|(word, index)| token(prompt, version, index, false).trim_end() == *word)
}
