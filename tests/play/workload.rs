//! Kinds of request and their arrivals, drawn from a seed.

use mintmoor::{
    policy::prefix_cache::PromptPrefix, policy::prefix_cache::shared_prefixes, routing::PromptPart,
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    pub per_second: f64,
    /// Prompts that requests share, and their tokens.
    pub shared: (u64, u64),
    pub unique_tokens: u64,
    pub answer_tokens: u64,
    /// Time to the first event that is in time, seconds.
    pub first_token_objective: f64,
    /// What an answer in time is worth.
    pub value: f64,
}

/// A model of the cascade; at pace 1 an engine works at its nominal speed.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    pub name: &'static str,
    pub time_factor: f64,
}

pub const SMALL: Model = Model { name: "small", time_factor: 0.3 };
pub const LARGE: Model = Model { name: "large", time_factor: 3.0 };
/// Part of the requests for which the smallest model's answer is good.
const SMALL_MODEL_SUFFICES_SHARE: f64 = 0.54;

/// One request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub class: usize,
    /// Entry that the balancer sends it to.
    pub entry: usize,
    /// Whether the smallest model's answer is good.
    pub small_model_suffices: bool,
    /// What the smallest model thinks of its answer, 0 to 100.
    pub confidence: u8,
    pub parts: Vec<PromptPart>,
    pub unique_tokens: u64,
    pub answer_tokens: u64,
}

impl Arrival {
    /// Parts of its prompt that others share, for a model.
    pub fn prefixes(&self, model: &Model) -> Vec<PromptPrefix> {
        shared_prefixes(model.name, &self.parts)
    }

    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// Long summaries, drafts and short remarks, as many as twelve slow engines can serve.
pub fn long_prompt_workload() -> Vec<RequestClass> {
    let class = |per_second, shared, unique_tokens, answer_tokens, first_token_objective, value| {
        RequestClass {
            per_second,
            shared,
            unique_tokens,
            answer_tokens,
            first_token_objective,
            value,
        }
    };
    vec![
        class(9.4, (53, 13_300), 3_720, 120, 4.0, 3.0),
        class(6.6, (37, 6_300), 2_890, 51, 3.0, 2.6),
        class(10.3, (88, 350), 1_110, 171, 2.0, 0.4),
    ]
}

/// Long summaries, chats and short tags, as many as 160 fast engines can serve, or a part of them.
pub fn short_prompt_workload(share: f64) -> Vec<RequestClass> {
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
    };
    vec![
        class(229.0, 1_312.0, 5_382, 6_610, 383, 2.0, 3.6),
        class(127.0, 725.0, 198, 628, 290, 1.5, 2.4),
        class(406.0, 3_483.0, 568, 1_800, 23, 2.0, 0.3),
    ]
}

/// The same without anything that prompts share.
pub fn unshared_workload() -> Vec<RequestClass> {
    let unshared = |class: RequestClass| RequestClass { shared: (1, 0), ..class };
    long_prompt_workload().into_iter().map(unshared).collect()
}

/// Arrivals of so many seconds, in their order; `rate` gives how many times the usual they come.
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
