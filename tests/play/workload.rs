//! Request classes of the simulated workloads and random arrivals from a seed.

use mintmoor::{
    policy::prefix_cache::PromptPrefix, policy::prefix_cache::shared_prefixes, routing::PromptPart,
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

/// A class of requests with similar sizes and the same objective and value.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Mean arrival rate.
    pub per_second: f64,
    /// Number of distinct shared prompts, and the tokens of each.
    pub shared: (u64, u64),
    /// Mean number of prompt tokens that no other request shares.
    pub unique_tokens: u64,
    /// Mean number of tokens in the answer.
    pub answer_tokens: u64,
    /// Longest time to the first token in seconds for an answer to be on time.
    pub first_token_objective: f64,
    /// Value of an answer that is on time.
    pub value: f64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// A model of the cascade; with time factor 1 an engine works at its nominal speed, with 2 at half of it.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    pub name: &'static str,
    pub time_factor: f64,
}

pub const SMALL: Model = Model { name: "small", time_factor: 0.3 };
pub const LARGE: Model = Model { name: "large", time_factor: 3.0 };
/// Share of the requests for which the small model's answer is good.
const SMALL_MODEL_SUFFICES_SHARE: f64 = 0.54;

/// A request that arrives from a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub class: usize,
    /// Entry that the load balancer sends it to.
    pub entry: usize,
    /// Whether the small model's answer is good.
    pub small_model_suffices: bool,
    /// The small model's confidence in its answer, 0 to 100.
    pub confidence: u8,
    pub parts: Vec<PromptPart>,
    pub unique_tokens: u64,
    pub answer_tokens: u64,
}

impl Arrival {
    /// Prefixes of the prompt that other requests may share, as a model caches them.
    pub fn prefixes(&self, model: &Model) -> Vec<PromptPrefix> {
        shared_prefixes(model.name, &self.parts)
    }

    /// Number of tokens in the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// Long summaries, drafts and short remarks at the rate that twelve slow engines can serve.
pub fn long_prompt_workload() -> Vec<RequestClass> {
    let class = |per_second, shared, unique_tokens, answer_tokens, first_token_objective, value| {
        RequestClass {
            per_second,
            shared,
            unique_tokens,
            answer_tokens,
            first_token_objective,
            value,
            priority: 1,
        }
    };
    vec![
        class(9.4, (53, 13_300), 3_720, 120, 4.0, 3.0),
        class(6.6, (37, 6_300), 2_890, 51, 3.0, 2.6),
        class(10.3, (88, 350), 1_110, 171, 2.0, 0.4),
    ]
}

/// Long summaries, chats and short tags at the given share of the rate that 160 fast engines can serve.
pub fn mixed_workload(share: f64) -> Vec<RequestClass> {
    let class = |per_second: f64,
                 shared_prompts: f64,
                 tokens,
                 unique_tokens,
                 answer_tokens,
                 first_token_objective,
                 value| RequestClass {
        per_second: per_second * share,
        shared: ((shared_prompts * share) as u64, tokens),
        unique_tokens,
        answer_tokens,
        first_token_objective,
        value,
        priority: 1,
    };
    vec![
        class(229.0, 1_312.0, 5_382, 6_610, 383, 2.0, 3.6),
        class(127.0, 725.0, 198, 628, 290, 1.5, 2.4),
        class(406.0, 3_483.0, 568, 1_800, 23, 2.0, 0.3),
    ]
}

/// Digests of long prompts, the most urgent, drafts and short tags, the least urgent, at the rate that 24 fast engines
/// can serve.
pub fn prioritized_workload() -> Vec<RequestClass> {
    let class = |priority, per_second, unique_tokens, first_token_objective, value| RequestClass {
        per_second,
        shared: (100, 300),
        unique_tokens,
        answer_tokens: 30,
        first_token_objective,
        value,
        priority,
    };
    vec![
        class(0, 28.0, 8_000, 2.0, 7.8),
        class(1, 100.0, 800, 2.0, 0.63),
        class(2, 60.0, 2_200, 3.0, 0.13),
    ]
}

/// The long-prompt workload without shared prompts.
pub fn unshared_workload() -> Vec<RequestClass> {
    let unshared = |class: RequestClass| RequestClass { shared: (1, 0), ..class };
    long_prompt_workload().into_iter().map(unshared).collect()
}

/// Draws the arrivals of the given number of seconds, ordered by time. `rate` maps a time to the factor by which
/// the classes' rates are multiplied.
pub fn arrivals(
    classes: &[RequestClass],
    entries: usize,
    seconds: f64,
    seed: u64,
    rate: impl Fn(f64) -> f64,
) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    for (class, parameters) in classes.iter().enumerate() {
        let mut at = 0.0;
        while at < seconds {
            let gap = -(1.0 - rng.random::<f64>()).ln() / (parameters.per_second * rate(at));
            at += gap;
            let shared_id = rng.random_range(0..parameters.shared.0);
            let draw_around = |mean: u64, rng: &mut StdRng| mean / 2 + rng.random_range(0..=mean);
            let small_model_suffices = rng.random::<f64>() < SMALL_MODEL_SUFFICES_SHARE;
            let least_confidence = if small_model_suffices { 40 } else { 5 };
            let unique_tokens = draw_around(parameters.unique_tokens, &mut rng);
            let shared =
                PromptPart { id: (class as u64) << 32 | shared_id, tokens: parameters.shared.1 };
            let unshared = PromptPart { id: rng.next_u64(), tokens: unique_tokens };
            all.push(Arrival {
                at,
                class,
                entry: rng.random_range(0..entries),
                small_model_suffices,
                confidence: least_confidence + rng.random_range(0..=60),
                parts: vec![shared, unshared],
                unique_tokens,
                answer_tokens: draw_around(parameters.answer_tokens, &mut rng),
            });
        }
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}
