//! Why recent requests went where they went, kept in bounded memory.

use std::collections::{HashMap, VecDeque};

use serde::Serialize;

use crate::{
    entry::{Entry, request::RequestHead, stage::Attempts},
    ids::{OrganisationId, RequestId, format_id},
};

const KEPT: usize = 2_000;

/// The story of one request.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Explanation {
    pub(crate) organisation: OrganisationId,
    pub(crate) model: Box<str>,
    pub(crate) outcome: Box<str>,
    pub(crate) steps: Vec<Box<str>>,
}

/// The latest stories.
#[derive(Debug, Default)]
pub(crate) struct Explanations {
    stories: HashMap<RequestId, Explanation>,
    order: VecDeque<RequestId>,
}

impl Explanations {
    pub(crate) fn keep(&mut self, request: RequestId, story: Explanation) {
        self.stories.insert(request, story);
        self.order.push_back(request);
        while self.order.len() > KEPT {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.stories.remove(&oldest);
        }
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&Explanation> {
        self.stories.get(&request)
    }

    /// The newest ids, newest first.
    pub(crate) fn ids(&self, most: usize) -> Vec<Box<str>> {
        self.order.iter().rev().take(most).map(|id| format_id(*id)).collect()
    }
}

/// Counts the request and keeps what explains it.
pub(crate) fn keep_story(
    entry: &Entry,
    head: &RequestHead,
    model: &str,
    code: &str,
    attempts: &mut Attempts,
) {
    entry.metrics.count_request(&head.organisation, code);
    let story = Explanation {
        organisation: head.organisation.clone(),
        model: model.into(),
        outcome: code.into(),
        steps: std::mem::take(&mut attempts.steps),
    };
    entry.explanations.lock().expect("no panics under the lock").keep(head.id, story);
}
