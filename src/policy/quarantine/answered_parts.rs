//! Prompt parts to which this entry has received complete answers.

use std::{collections::HashMap, time::Duration};

use crate::routing::PartId;

/// Maximum number of remembered parts, 0.2 MB: three times the long parts of the largest deployment.
const MAX_PARTS: usize = 4_096;
/// Time for which an answer shows that a part was harmless: new faults are rolled out in minutes.
const ANSWER_TTL: Duration = Duration::from_secs(10 * 60);

/// When this entry last received a complete answer to a request with each part.
#[derive(Debug, Default)]
pub struct AnsweredParts {
    last: HashMap<PartId, Duration>,
}

impl AnsweredParts {
    /// Records a complete answer to a request with this part.
    pub fn record(&mut self, part: PartId, now: Duration) {
        if self.last.len() >= MAX_PARTS && !self.last.contains_key(&part) {
            self.evict_oldest();
        }
        self.last.insert(part, now);
    }

    /// When a request with the part was last answered completely, unless that is too long ago.
    pub fn last(&self, part: PartId, now: Duration) -> Option<Duration> {
        self.last.get(&part).copied().filter(|at| now < *at + ANSWER_TTL)
    }

    /// Makes room for an eighth of the parts at once, since each time requires a full scan.
    fn evict_oldest(&mut self) {
        let mut times: Vec<Duration> = self.last.values().copied().collect();
        let (_, limit, _) = times.select_nth_unstable(MAX_PARTS / 8);
        let limit = *limit;
        self.last.retain(|_, at| *at > limit);
    }
}
