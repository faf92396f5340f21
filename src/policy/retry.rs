//! Retry budgets: retries are a bounded share of first tries, so failures can't multiply load.

/// Retries that one first try pays for.
const RETRY_RATIO: f64 = 0.1;
/// Retries that can be saved up.
const MAX_TOKENS: f64 = 20.0;

/// Budget of one entry for one organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; false when it is used up.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
