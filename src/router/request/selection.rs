//! Selects the server for an attempt, and estimates the response time there.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    policy::{
        availability::{Availability, retain_first_tier},
        placement::{PlacementRequest, hash_id, place},
        prefix_cache::{PromptPrefix, shared_prefixes},
        quarantine::Suspect,
    },
    router::{
        Fleet, Member, Router,
        request::request_context::{AttemptParams, RequestContext},
    },
    routing::is_permitted_region,
};

/// Selects the server for an attempt among those that `is_allowed` allows, by id.
pub(crate) fn select_server(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
    is_allowed: impl Fn(&str) -> bool,
) -> Option<Arc<Member>> {
    let fleet = router.fleet.load();
    let settings = router.settings.load();
    let now = router.now();
    let mut members = eligible_servers(router, ctx, params, &fleet);
    members.retain(|member| is_allowed(&member.server.id));
    let members = available_servers(router, &ctx.service, members);
    if let Some(suspect) = router.placing_suspect(ctx) {
        return select_for_suspect(suspect, &members).cloned();
    }
    let prefixes = prefixes(ctx, params);
    let candidate = |m: &&Arc<Member>| m.candidate(&settings.zone, &prefixes, now);
    let candidates: Vec<_> = members.iter().map(candidate).collect();
    let chosen =
        place(&candidates, &placement_input(router, ctx, params), &router.policy.placement)?;
    Some(members[chosen].clone())
}

/// The servers that may run a request by version, model and region, whether they are available or not.
fn eligible_servers<'a>(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
    fleet: &'a Fleet,
) -> Vec<&'a Arc<Member>> {
    let settings = router.settings.load();
    // Evaluated for each attempt, since a roll-out may have begun since the last one.
    let (route, head, now) = (&ctx.route.name, &ctx.req.head, router.now());
    // A random sample has no repeats, which are mostly of requests that fail.
    let part = || (!ctx.has_lost_attempt()).then(|| router.trial_part());
    let versions = router.roll_outs.version_rule(&ctx.service, route, head, now, part);
    let members = fleet.of_service(&ctx.service);
    let reachable = members.iter().filter(|m| !ctx.is_unreachable(&m.server.id));
    let versions = versions.or_any_if_missing(reachable.map(|m| &*m.server.version));
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

/// The time until the first eligible server that can be reached is available, and its availability. `None` if that is
/// not known.
pub(crate) fn first_available(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
) -> Option<(Duration, Availability)> {
    let check = router.availability_check(&ctx.service);
    let fleet = router.fleet.load();
    let members = eligible_servers(router, ctx, params, &fleet).into_iter();
    let waits = members.filter(|member| !ctx.is_excluded(&member.server.id)).filter_map(|member| {
        let availability = check.availability(member);
        Some((availability.wait(check.now())?, availability))
    });
    waits.min_by_key(|(wait, _)| *wait)
}

/// Whether a server is eligible, available or not, at which another attempt is not pointless.
pub(crate) fn has_server_left(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
) -> bool {
    let fleet = router.fleet.load();
    let members = eligible_servers(router, ctx, params, &fleet);
    members.iter().any(|member| !ctx.is_excluded(&member.server.id))
}

/// The servers that may be sent requests now, reduced to the best tier of availability. Servers whose roll-out order
/// may not have been read yet are used only if there are no others.
fn available_servers<'a>(
    router: &Router,
    service: &str,
    members: Vec<&'a Arc<Member>>,
) -> Vec<&'a Arc<Member>> {
    let check = router.availability_check(service);
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

/// Selects the server for a request that was running when servers crashed, or that has a part of its prompt in common
/// with such requests, by rendezvous hashing on the suspect. All entries send the requests with it to the same server,
/// so that it crashes one server at a time. Other suspects of the same crash go to other servers, so that the next
/// crash tells them apart.
fn select_for_suspect<'a>(
    suspect: Suspect,
    members: &[&'a Arc<Member>],
) -> Option<&'a Arc<Member>> {
    let seed = suspect.to_bits() as u64;
    let hash = |member: &&&Arc<Member>| xxh3_64_with_seed(&member.id_hash().to_le_bytes(), seed);
    members.iter().max_by_key(hash).copied()
}

/// Expected response time of a request at the server that would be selected for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ExpectedLatency {
    /// Time until the head of the response.
    pub(crate) time_to_head: Duration,
    /// The same if the server had no other prompts to process first.
    pub(crate) unloaded_time_to_head: Duration,
}

/// Estimates the response time of a request that is sent now. If no server can be selected, assumes an idle one
/// without any of the prompt in its cache.
pub(crate) fn estimate_latency(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
) -> ExpectedLatency {
    let timing = router.speed_estimates.get(latency_key(ctx, params));
    let prompt_tokens = ctx.req.head.prompt_tokens;
    let (ahead, cached_tokens, time_factor) = match select_server(router, ctx, params, |_| true) {
        Some(member) => {
            let cached_tokens = member.state().prefixes.cached_tokens(&prefixes(ctx, params));
            (member.backlog(router.now()), cached_tokens, member.time_factor())
        }
        None => (Duration::ZERO, 0, 1.0),
    };
    let uncached_tokens = prompt_tokens.saturating_sub(cached_tokens);
    let time_to_head =
        |ahead| timing.expected_head_time(uncached_tokens, ahead).mul_f64(time_factor);
    ExpectedLatency {
        time_to_head: time_to_head(ahead),
        unloaded_time_to_head: time_to_head(Duration::ZERO),
    }
}

/// The prefixes of the prompt that other requests may share; empty if the route does not use prompt caches.
pub(crate) fn prefixes(ctx: &RequestContext, params: AttemptParams<'_>) -> Vec<PromptPrefix> {
    if !ctx.route.is_sticky {
        return Vec::new();
    }
    shared_prefixes(latency_key(ctx, params), &ctx.req.head.prompt_parts)
}

/// Properties of a request for placement. Requests for one model that share prompt prefixes get the same affinity.
fn placement_input(
    router: &Router,
    ctx: &RequestContext,
    params: AttemptParams<'_>,
) -> PlacementRequest {
    let key = latency_key(ctx, params);
    let prefill_token_time = router.speed_estimates.get(key).prefill_token_time();
    let bytes = ctx.req.body.len();
    let prompt_tokens = ctx.req.head.prompt_tokens;
    let request_hash = hash_id(&ctx.req.head.id);
    let Some(last_shared) = ctx.req.head.last_shared_part().filter(|_| ctx.route.is_sticky) else {
        return PlacementRequest {
            unshared_tokens: prompt_tokens,
            prefill_token_time,
            bytes,
            request_hash,
            ..PlacementRequest::default()
        };
    };
    let shared_tokens = ctx.req.head.shared_parts().iter().map(|part| part.tokens).sum();
    PlacementRequest {
        affinity: Some(xxh3_64_with_seed(key.as_bytes(), last_shared.id)),
        shared_tokens,
        unshared_tokens: prompt_tokens.saturating_sub(shared_tokens),
        prefill_token_time,
        bytes,
        request_hash,
    }
}

/// Key under which response times are learned: the model, or the service if there is none.
pub(crate) fn latency_key<'a>(ctx: &'a RequestContext, params: AttemptParams<'a>) -> &'a str {
    params.model.or(ctx.req.head.model.as_deref()).unwrap_or(&ctx.service)
}

/// Key under which the usual response times are learned that a new version is compared with: the model, or the route if
/// there is none. Routes of one service may take very different times.
pub(crate) fn usual_time_key<'a>(ctx: &'a RequestContext, model: Option<&'a str>) -> &'a str {
    model.or(ctx.req.head.model.as_deref()).unwrap_or(&ctx.route.name)
}
