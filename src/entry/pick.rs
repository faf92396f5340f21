//! Choosing a server for an attempt out of a route.

use std::{cell::LazyCell, sync::Arc, time::Duration};

use crate::{
    entry::{
        Entry, RoutingPolicy,
        link::Link,
        routes::Route,
        stage::{Attempts, Job, JobCall},
        state::ServerPolicy,
    },
    ids::partner_of,
    policy::{
        choice::{choose_server, time_to_first_token},
        outlier::honors_ejection,
    },
};

/// Chooses a server for the next attempt.
pub(crate) fn pick(
    entry: &Entry,
    job: &Job<'_>,
    tried: &[Box<str>],
    attempts: &mut Attempts,
) -> Option<Arc<Link>> {
    let routes = entry.routes.load();
    let route = match &job.call {
        JobCall::Chat { version } => routes.of_version(version)?,
        JobCall::Service { name, .. } => routes.of_service(name)?,
    };
    let snapshot = entry.config.snapshot();
    let partner = partner_of(&job.head.organisation);
    let now = entry.now();
    let usable = |link: &Link| {
        !tried.contains(&link.host.name)
            && link.takes_work()
            && snapshot.server_is_shared(&link.server, partner)
    };
    let candidates = candidates(entry.policy, route, job);
    // Counting the whole pool is left until a server is passed over, and done once.
    let heeds_out = LazyCell::new(|| heeds_out(entry, route, now));
    let in_choice = |link: &Link| usable(link) && !(link.is_passed_over(now) && *heeds_out);
    let chosen = compare(entry.policy, route, job, &candidates, &in_choice)
        // None of the few candidates will do: look at the whole pool, healthy servers first.
        .or_else(|| compare(entry.policy, route, job, &all(route), &in_choice))
        .or_else(|| compare(entry.policy, route, job, &all(route), &usable))?;
    let link = route.links[chosen as usize].clone();
    link.note_chosen(now);
    let load = link.load(job.chain);
    attempts.explain(format!(
        "chose {} of {} servers: expected first token {:?}, running {}, queued {}, sent since {}, cached {}",
        link.server,
        route.links.len(),
        time_to_first_token(&load, job.prompt_tokens),
        load.running,
        load.queued,
        load.sent_since_report,
        load.cached_tokens
    ));
    Some(link)
}

fn heeds_out(entry: &Entry, route: &Route, now: Duration) -> bool {
    let Some(rules) = &entry.policy.outlier else {
        return false;
    };
    let out = route.links.iter().filter(|link| link.is_out(now)).count();
    honors_ejection(out, route.links.len(), rules)
}

fn all(route: &Route) -> Vec<u32> {
    (0..route.links.len() as u32).collect()
}

fn candidates(policy: RoutingPolicy, route: &Route, job: &Job<'_>) -> Vec<u32> {
    match policy.server {
        ServerPolicy::Estimate => route.pool.candidates(&job.ring_keys, &mut rand::rng()),
        ServerPolicy::Random | ServerPolicy::LeastReported => all(route),
    }
}

fn compare(
    policy: RoutingPolicy,
    route: &Route,
    job: &Job<'_>,
    candidates: &[u32],
    usable: &impl Fn(&Link) -> bool,
) -> Option<u32> {
    let link_of = |server: u32| route.links.get(server as usize).filter(|link| usable(link));
    match policy.server {
        ServerPolicy::Estimate => choose_server(candidates, job.prompt_tokens, |server| {
            Some(link_of(server)?.load(job.chain))
        }),
        ServerPolicy::LeastReported => candidates
            .iter()
            .filter_map(|server| Some((link_of(*server)?.reported_load(), *server)))
            .min()
            .map(|(_, server)| server),
        ServerPolicy::Random => {
            let usable: Vec<u32> =
                candidates.iter().copied().filter(|server| link_of(*server).is_some()).collect();
            let drawn = rand::RngExt::random_range(&mut rand::rng(), 0..usable.len().max(1));
            usable.get(drawn).copied()
        }
    }
}

/// Expected time to the first token on the best server, for shedding early.
pub(crate) fn best_estimate(entry: &Entry, job: &Job<'_>) -> Option<Duration> {
    let routes = entry.routes.load();
    let JobCall::Chat { version } = &job.call else {
        return None;
    };
    let route = routes.of_version(version)?;
    let candidates = route.pool.candidates(&job.ring_keys, &mut rand::rng());
    candidates
        .iter()
        .filter_map(|server| route.links.get(*server as usize))
        .map(|link| time_to_first_token(&link.load(job.chain), job.prompt_tokens))
        .min()
}
