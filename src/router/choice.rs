//! Which server an attempt is sent to, and what is expected of it there.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    policy::{
        kept::{PromptMark, shared_marks},
        placement::{Work, hash_id, place},
        quarantine::Standing,
    },
    router::{
        Fleet, Member, Router,
        dispatch::{Ask, Job},
    },
    routing::is_home,
};

/// The server that an attempt would be sent to now, among those that may be asked.
pub(crate) fn pick(
    router: &Router,
    job: &Job,
    ask: Ask<'_>,
    may_be: impl Fn(&str) -> bool,
) -> Option<Arc<Member>> {
    let fleet = router.fleet.load();
    let settings = router.settings.load();
    let now = router.now();
    let mut members = able(router, job, ask, &fleet);
    members.retain(|member| may_be(&member.server.id));
    spare_limited(router, &job.service, &mut members);
    if members.iter().any(|m| !m.is_unannounced(now)) {
        members.retain(|m| !m.is_unannounced(now));
    }
    if router.standing(job) != Standing::Free {
        return place_suspect(job, &members, now).cloned();
    }
    let marks = marks(job, ask);
    let candidate = |m: &&Arc<Member>| m.candidate(&settings.zone, &marks, now);
    let candidates: Vec<_> = members.iter().map(candidate).collect();
    let chosen = place(&candidates, &work(router, job, ask), &router.policy.placement)?;
    Some(members[chosen].clone())
}

/// The servers that may run a request and take requests at all, however few.
fn able<'a>(router: &Router, job: &Job, ask: Ask<'_>, fleet: &'a Fleet) -> Vec<&'a Arc<Member>> {
    let settings = router.settings.load();
    // Asked anew for each attempt: a roll-out may have begun since the last one.
    let versions = router.roll_outs.rule(&job.service, &job.req.head, router.now());
    let members = fleet.of_service(&job.service);
    let versions = versions.or_any_if_missing(members.iter().map(|m| &*m.server.version));
    let is_any_evacuated = router.evacuations.is_any();
    let is_able = |member: &&Arc<Member>| {
        let server = &member.server;
        let has_model = ask.model.is_none_or(|model| {
            server.models.is_empty() || server.models.iter().any(|m| **m == *model)
        });
        member.takes_requests()
            && !(is_any_evacuated && router.evacuations.is_evacuated(&server.zone))
            && is_home(
                &job.route,
                job.organisation.as_deref(),
                settings.regions.get(&server.zone).map(|region| &**region),
            )
            && has_model
            && versions.allows(&server.version)
    };
    members.iter().filter(is_able).collect()
}

/// Time until one of the servers that may run a request takes one from here; none where it is not the servers'
/// limits that keep it from all of them.
pub(crate) fn limited_for(router: &Router, job: &Job, ask: Ask<'_>) -> Option<Duration> {
    let rules = router.send_rules(&job.service);
    let fleet = router.fleet.load();
    let waits = able(router, job, ask, &fleet).into_iter().filter_map(|member| rules.wait(member));
    waits.min().filter(|wait| !wait.is_zero())
}

/// Leaves out servers that take few requests and can't be sent more from here now.
fn spare_limited(router: &Router, service: &str, members: &mut Vec<&Arc<Member>>) {
    let rules = router.send_rules(service);
    let (open, spared): (Vec<_>, Vec<_>) =
        members.iter().copied().partition(|member| rules.may_send(member));
    *members = open;
    if members.is_empty() {
        members.extend(spared.into_iter().filter(|member| rules.may_send_at_least(member)));
    }
}

/// The server for a request under which servers ended, by rendezvous hashing among those that answer: all
/// entries send it to the same one, so that it ends one server at a time, and send what else was there to
/// others, so that the next end tells them apart.
fn place_suspect<'a>(
    job: &Job,
    members: &[&'a Arc<Member>],
    now: Duration,
) -> Option<&'a Arc<Member>> {
    let seed = job.fingerprint().0 as u64;
    let rank = |member: &&&Arc<Member>| {
        let hash = xxh3_64_with_seed(&member.id_hash().to_le_bytes(), seed);
        (!member.is_passed_over(now), hash)
    };
    members.iter().max_by_key(rank).copied()
}

/// What is expected of a request at the server that would be chosen for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Expected {
    /// Time to its answer's head.
    pub(crate) head: Duration,
    /// The same if nothing else were to be read there before.
    pub(crate) head_alone: Duration,
}

/// Estimates a request that would be sent now; a whole prompt with nothing before it where there is no server.
pub(crate) fn estimate(router: &Router, job: &Job, ask: Ask<'_>) -> Expected {
    let belief = router.readings.get(reading_key(job, ask));
    let prompt_tokens = job.req.head.prompt_tokens;
    let (ahead, kept) = match pick(router, job, ask, |_| true) {
        Some(member) => {
            let kept = member.record().kept.kept_tokens(&marks(job, ask));
            (member.backlog(router.now()), kept)
        }
        None => (Duration::ZERO, 0),
    };
    let unread = prompt_tokens.saturating_sub(kept);
    Expected {
        head: belief.expected_head(unread, ahead),
        head_alone: belief.expected_head(unread, Duration::ZERO),
    }
}

/// The parts of the prompt that other requests may share.
pub(crate) fn marks(job: &Job, ask: Ask<'_>) -> Vec<PromptMark> {
    if !job.route.is_sticky {
        return Vec::new();
    }
    shared_marks(reading_key(job, ask), &job.req.head.parts)
}

/// What is to be placed. Requests for one model that share their prompt's parts belong together.
fn work(router: &Router, job: &Job, ask: Ask<'_>) -> Work {
    let key = reading_key(job, ask);
    let token_time = router.readings.get(key).token_time();
    let bytes = job.req.body.len();
    let parts = &job.req.head.parts;
    let draw = hash_id(&job.req.head.id);
    let Some(last_shared) = job.req.head.shared_part().filter(|_| job.route.is_sticky) else {
        return Work { token_time, bytes, draw, ..Work::default() };
    };
    Work {
        affinity: Some(xxh3_64_with_seed(key.as_bytes(), last_shared.id)),
        shared_tokens: parts[..parts.len() - 1].iter().map(|part| part.tokens).sum(),
        token_time,
        bytes,
        draw,
    }
}

/// What head times are learned by: the model, or the service where there is none.
pub(crate) fn reading_key<'a>(job: &'a Job, ask: Ask<'a>) -> &'a str {
    ask.model.or(job.req.head.model.as_deref()).unwrap_or(&job.service)
}
