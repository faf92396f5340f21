//! Which server an attempt is sent to, and what is expected of it there.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    policy::{
        availability::{Availability, UnavailableCause, retain_first_tier},
        placement::{PlacementRequest, hash_id, place},
        prefix_cache::{PromptPrefix, shared_prefixes},
        quarantine::QuarantineStatus,
    },
    router::{
        Fleet, Member, Router,
        request_context::{AttemptParams, RequestContext},
    },
    routing::is_permitted_region,
};

/// The server that an attempt would be sent to now, among those that may be asked.
pub(crate) fn select_server(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
    may_be: impl Fn(&str) -> bool,
) -> Option<Arc<Member>> {
    let fleet = router.fleet.load();
    let settings = router.settings.load();
    let now = router.now();
    let mut members = eligible_servers(router, ctx, params, &fleet);
    members.retain(|member| may_be(&member.server.id));
    let members = available_servers(router, &ctx.service, members);
    if router.standing(ctx) != QuarantineStatus::Free {
        return select_for_suspect(ctx, &members).cloned();
    }
    let marks = marks(ctx, params);
    let candidate = |m: &&Arc<Member>| m.candidate(&settings.zone, &marks, now);
    let candidates: Vec<_> = members.iter().map(candidate).collect();
    let chosen =
        place(&candidates, &placement_input(router, ctx, params), &router.policy.placement)?;
    Some(members[chosen].clone())
}

/// The servers that may run a request, whether they are available or not.
fn eligible_servers<'a>(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
    fleet: &'a Fleet,
) -> Vec<&'a Arc<Member>> {
    let settings = router.settings.load();
    // Asked anew for each attempt: a roll-out may have begun since the last one.
    let versions = router.roll_outs.version_rule(&ctx.service, &ctx.req.head, router.now());
    let members = fleet.of_service(&ctx.service);
    let versions = versions.or_any_if_missing(members.iter().map(|m| &*m.server.version));
    let is_eligible = |member: &&Arc<Member>| {
        let server = &member.server;
        let has_model = params.model.is_none_or(|model| {
            server.models.is_empty() || server.models.iter().any(|m| **m == *model)
        });
        has_model
            && is_permitted_region(
                &ctx.route,
                ctx.organisation.as_deref(),
                settings.regions.get(&server.zone).map(|region| &**region),
            )
            && versions.allows(&server.version)
    };
    members.iter().filter(is_eligible).collect()
}

/// Why none of the servers that may run a request is available, and the time until one is; none where one is, or
/// where nobody knows when.
pub(crate) fn unavailability(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
) -> Option<(UnavailableCause, Duration)> {
    let check = router.check_service(&ctx.service);
    let fleet = router.fleet.load();
    let members = eligible_servers(router, ctx, params, &fleet).into_iter();
    let waits = members.filter_map(|member| {
        let availability = check.availability(member);
        Some((availability.wait(check.now())?, availability))
    });
    match waits.min_by_key(|(wait, _)| *wait)? {
        (wait, Availability::Closed { cause, .. }) => Some((cause, wait)),
        _ => None,
    }
}

/// Those of the servers that are sent requests now.
fn available_servers<'a>(
    router: &Router,
    service: &str,
    members: Vec<&'a Arc<Member>>,
) -> Vec<&'a Arc<Member>> {
    let check = router.check_service(service);
    let checked = members.into_iter().map(|member| (member, check.availability(member)));
    let (mut usable, closed): (Vec<_>, Vec<_>) =
        checked.partition(|(_, availability)| !matches!(availability, Availability::Closed { .. }));
    router.count_avoided(&closed);
    if usable.iter().any(|(member, _)| !member.awaits_roll_out_order(check.now())) {
        usable.retain(|(member, _)| !member.awaits_roll_out_order(check.now()));
    }
    retain_first_tier(&mut usable);
    usable.into_iter().map(|(member, _)| member).collect()
}

/// The server for a request under which servers crashed, by rendezvous hashing: all entries send it to the same
/// one, so that it crashes one server at a time, and send what else was there to others, so that the next crash
/// distinguishes them.
fn select_for_suspect<'a>(
    ctx: &RequestContext,
    members: &[&'a Arc<Member>],
) -> Option<&'a Arc<Member>> {
    let seed = ctx.fingerprint().0 as u64;
    let hash = |member: &&&Arc<Member>| xxh3_64_with_seed(&member.id_hash().to_le_bytes(), seed);
    members.iter().max_by_key(hash).copied()
}

/// What is expected of a request at the server that would be chosen for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ExpectedLatency {
    /// Time to its answer's head.
    pub(crate) time_to_head: Duration,
    /// The same if nothing else were to be read there before.
    pub(crate) unloaded_time_to_head: Duration,
}

/// Estimates a request that would be sent now; a whole prompt with nothing before it where there is no server.
pub(crate) fn estimate_latency(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
) -> ExpectedLatency {
    let belief = router.readings.get(latency_key(ctx, params));
    let prompt_tokens = ctx.req.head.prompt_tokens;
    let (ahead, kept) = match select_server(router, ctx, params, |_| true) {
        Some(member) => {
            let kept = member.state().kept.cached_tokens(&marks(ctx, params));
            (member.backlog(router.now()), kept)
        }
        None => (Duration::ZERO, 0),
    };
    let unread = prompt_tokens.saturating_sub(kept);
    ExpectedLatency {
        time_to_head: belief.expected_head_time(unread, ahead),
        unloaded_time_to_head: belief.expected_head_time(unread, Duration::ZERO),
    }
}

/// The parts of the prompt that other requests may share.
pub(crate) fn marks(ctx: &RequestContext, params: AttemptParams<'_>) -> Vec<PromptPrefix> {
    if !ctx.route.is_sticky {
        return Vec::new();
    }
    shared_prefixes(latency_key(ctx, params), &ctx.req.head.prompt_parts)
}

/// What is to be placed. Requests for one model that share their prompt's parts belong together.
fn placement_input(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
) -> PlacementRequest {
    let key = latency_key(ctx, params);
    let prefill_token_time = router.readings.get(key).prefill_token_time();
    let bytes = ctx.req.body.len();
    let parts = &ctx.req.head.prompt_parts;
    let request_hash = hash_id(&ctx.req.head.id);
    let Some(last_shared) = ctx.req.head.last_shared_part().filter(|_| ctx.route.is_sticky) else {
        return PlacementRequest {
            prefill_token_time,
            bytes,
            request_hash,
            ..PlacementRequest::default()
        };
    };
    PlacementRequest {
        affinity: Some(xxh3_64_with_seed(key.as_bytes(), last_shared.id)),
        shared_tokens: parts[..parts.len() - 1].iter().map(|part| part.tokens).sum(),
        prefill_token_time,
        bytes,
        request_hash,
    }
}

/// What head times are learned by: the model, or the service where there is none.
pub(crate) fn latency_key<'a>(ctx: &'a RequestContext, params: AttemptParams<'a>) -> &'a str {
    params.model.or(ctx.req.head.model.as_deref()).unwrap_or(&ctx.service)
}
