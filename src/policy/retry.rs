//! Retry budgets: retries are a bounded fraction of first attempts, so that failures can't multiply the load.

/// Number of retries that each first attempt allows.
const RETRY_RATIO: f64 = 0.1;
/// Maximum number of retries that can be accumulated.
const MAX_TOKENS: f64 = 20.0;

/// Retry budget of one organisation at one entry.
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
    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; false if the budget is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
