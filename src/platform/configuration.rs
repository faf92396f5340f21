//! Parses the operator's configuration field by field: what can't be read harms only what it is part of.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::Deserialize;

use crate::{
    platform::{
        documents::milliseconds,
        json_parts::{Field, Parts, parse_fields, parse_object},
    },
    policy::cold_start::ColdStartLimit,
    routing::{CallerLimits, Organisation, Route, RouteKind, RoutingTable, Target},
    telemetry::event,
};

/// Timeout of routes that don't set one.
const DEFAULT_TIMEOUT_MS: f64 = 30_000.0;
/// Upper bound for cold times in ms, which are seconds in practice. Larger ones would overflow a duration.
pub(crate) const MAX_COLD_MS: f64 = 3_600_000.0;
/// Maximum number of fields that a log line names.
const MAX_NAMED: usize = 16;

/// Parses a configuration; none if it is not an object, or has no readable version or list of routes. A configuration
/// without its routes would answer no request, so the former one stays in force.
pub(crate) fn parse_configuration(text: &[u8]) -> Option<RoutingTable> {
    let names = ["version", "routes", "services", "limits", "tenants"];
    let [version, routes, services, limits, tenants] = parse_object(text, names)?;
    let mut odd = OddFields::default();
    let routes = build_routes(list_or_empty(routes)?, &mut odd);
    let services = build_services(services, &mut odd);
    let cold_starts = services.iter().filter_map(|s| Some((s.name.clone(), s.cold_start?)));
    let kv_cache = services.iter().filter_map(|s| Some((s.name.clone(), s.kv_capacity?)));
    let table = RoutingTable {
        version: version.whole_number()?,
        shortest_objectives: shortest_objectives(routes.values().flatten()),
        routes,
        kv_cache_tokens: kv_cache.collect(),
        cold_starts: cold_starts.collect(),
        organisations_by_key: index_organisations(tenants, &mut odd),
        limits: build_limits(limits, &mut odd),
    };
    odd.log(table.version);
    Some(table)
}

/// Fields that can't be read and take their defaults.
#[derive(Debug, Default)]
struct OddFields {
    count: usize,
    /// The first of them.
    named: Vec<Box<str>>,
}

impl OddFields {
    fn add(&mut self, place: &str, name: &str) {
        self.count += 1;
        if self.named.len() < MAX_NAMED {
            self.named.push(format!("{place}.{name}").into());
        }
    }

    /// A field's value; none if it is missing or null, or can't be read, which is recorded.
    fn read<'a, T>(
        &mut self,
        (place, name): (&str, &str),
        field: Field<'a>,
        parse: impl FnOnce(Field<'a>) -> Option<T>,
    ) -> Option<T> {
        if field.is_missing() || field.is_null() {
            return None;
        }
        let value = parse(field);
        if value.is_none() {
            self.add(place, name);
        }
        value
    }

    fn log(&self, version: u64) {
        if self.count > 0 {
            let Self { count, named } = self;
            event::DOCUMENT_UNREADABLE.log(format_args!(
                "cause=\"fields of the configuration take their defaults\" version={version} count={count} fields={named:?}"
            ));
        }
    }
}

fn text(field: Field<'_>) -> Option<Box<str>> {
    field.parse()
}

fn texts(field: Field<'_>) -> Option<Vec<Box<str>>> {
    field.parse_or(Vec::new())
}

/// A whole number, cut to the maximum.
fn whole_up_to(max: u64) -> impl Fn(Field<'_>) -> Option<u64> {
    move |field| {
        let from_fraction = || {
            let number: f64 = field.parse()?;
            // Converting saturates.
            (number >= 0.0 && number.fract() == 0.0).then_some(number as u64)
        };
        Some(field.parse().or_else(from_fraction)?.min(max))
    }
}

fn list_or_empty(field: Field<'_>) -> Option<Parts<'_>> {
    if field.is_missing() { Some(Parts::of(b"")) } else { field.list() }
}

fn build_routes(list: Parts<'_>, odd: &mut OddFields) -> HashMap<Box<str>, Vec<Arc<Route>>> {
    let mut routes: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
    for (index, part) in list.enumerate() {
        let place = format!("routes[{index}]");
        match build_route(part, &place, odd) {
            Some((host, route)) => routes.entry(host).or_default().push(Arc::new(route)),
            None => odd.add(&place, "host or prefix"),
        }
    }
    for routes_of_host in routes.values_mut() {
        routes_of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
    routes
}

/// Builds a route and its host; none if it is unknown which requests it is for.
fn build_route(part: &[u8], place: &str, odd: &mut OddFields) -> Option<(Box<str>, Route)> {
    let [host, prefix] = parse_fields(part, ["host", "prefix"])?;
    let (host, prefix): (Box<str>, Box<str>) = (host.parse()?, prefix.parse()?);
    let mut route = closed_route(prefix);
    let is_known = read_destination(part, &mut route).is_some();
    if is_known {
        read_options(part, &mut route, place, odd);
    } else {
        odd.add(place, "name, service, split, sizes or allowed-regions");
        route = closed_route(route.prefix);
    }
    Some((host, route))
}

/// A route that no server serves. It takes the place of one that can't be read, whose requests would otherwise match a
/// route with a shorter prefix, which may be public or permit more regions.
fn closed_route(prefix: Box<str>) -> Route {
    Route {
        name: prefix.clone(),
        prefix,
        targets: vec![Target { service: "".into(), weight: 1.0 }],
        kind: RouteKind::AtMostOnce,
        timeout: milliseconds(DEFAULT_TIMEOUT_MS),
        objective: milliseconds(DEFAULT_TIMEOUT_MS),
        max_event_gap: None,
        priority: 0,
        max_attempts: 1,
        is_public: false,
        is_sticky: false,
        is_resumable: false,
        permitted_regions: Vec::new(),
        cascade: Vec::new(),
    }
}

#[derive(Deserialize)]
struct SplitDoc {
    service: Box<str>,
    weight: f64,
}

/// Reads what determines where requests may go; none if any of it can't be read.
fn read_destination(part: &[u8], route: &mut Route) -> Option<()> {
    let names = ["name", "service", "split", "sizes", "allowed-regions"];
    let [name, service, split, sizes, regions] = parse_fields(part, names)?;
    route.name = name.parse()?;
    let split: Vec<SplitDoc> = split.parse_or(Vec::new())?;
    route.targets =
        split.into_iter().map(|s| Target { service: s.service, weight: s.weight }).collect();
    if let Some(service) = service.parse_or::<Option<Box<str>>>(None)? {
        route.targets.push(Target { service, weight: 1.0 });
    }
    route.cascade = texts(sizes)?;
    route.permitted_regions = texts(regions)?;
    Some(())
}

/// Reads the rest of a route; what can't be read takes its default.
fn read_options(part: &[u8], route: &mut Route, place: &str, odd: &mut OddFields) {
    let names = [
        "route-kind",
        "timeout-ms",
        "target-latency-ms",
        "itl-target-ms",
        "priority",
        "max-attempts",
        "public",
        "sticky",
        "resumable",
    ];
    let Some([kind, timeout, objective, gap, priority, attempts, public, sticky, resumable]) =
        parse_fields(part, names)
    else {
        return;
    };
    route.kind = match odd.read((place, "route-kind"), kind, text).as_deref() {
        Some("safe") => RouteKind::Idempotent,
        Some("stream") => RouteKind::Stream,
        // Unknown kinds are treated as non-idempotent, the safest assumption.
        _ => RouteKind::AtMostOnce,
    };
    let timeout =
        odd.read((place, "timeout-ms"), timeout, Field::parse).unwrap_or(DEFAULT_TIMEOUT_MS);
    let objective = odd.read((place, "target-latency-ms"), objective, Field::parse);
    // Maximum pause between events, although the name refers to inter-token latency.
    let gap = odd.read((place, "itl-target-ms"), gap, Field::parse);
    let priority = odd.read((place, "priority"), priority, whole_up_to(u8::MAX.into()));
    let attempts = odd.read((place, "max-attempts"), attempts, whole_up_to(u32::MAX.into()));
    route.timeout = milliseconds(timeout);
    route.objective = milliseconds(objective.unwrap_or(timeout));
    route.max_event_gap = gap.map(milliseconds);
    route.priority = priority.unwrap_or_default() as u8;
    route.max_attempts = attempts.map_or(1, |attempts| (attempts as u32).max(1));
    route.is_public = odd.read((place, "public"), public, Field::parse).unwrap_or_default();
    route.is_sticky = odd.read((place, "sticky"), sticky, Field::parse).unwrap_or_default();
    let resumable = odd.read((place, "resumable"), resumable, Field::parse);
    route.is_resumable = resumable.unwrap_or_default();
}

/// The shortest objective of the routes with a cascade, by the service that they go to.
fn shortest_objectives<'a>(
    routes: impl Iterator<Item = &'a Arc<Route>>,
) -> HashMap<Box<str>, Duration> {
    let mut shortest = HashMap::new();
    for route in routes.filter(|route| !route.cascade.is_empty()) {
        for target in &route.targets {
            let objective = shortest.entry(target.service.clone()).or_insert(route.objective);
            *objective = route.objective.min(*objective);
        }
    }
    shortest
}

/// A service of the configuration.
struct Service {
    name: Box<str>,
    /// Capacity in tokens, not bytes; shared by running requests and cached prompt parts.
    kv_capacity: Option<u64>,
    /// None if servers start warm.
    cold_start: Option<ColdStartLimit>,
}

/// Builds the services; one without a readable name is left out, and runs without these limits.
fn build_services(list: Field<'_>, odd: &mut OddFields) -> Vec<Service> {
    let Some(parts) = list_or_empty(list) else {
        odd.add("", "services");
        return Vec::new();
    };
    let mut services = Vec::new();
    for (index, part) in parts.enumerate() {
        let place = format!("services[{index}]");
        match build_service(part, &place, odd) {
            Some(service) => services.push(service),
            None => odd.add(&place, "name"),
        }
    }
    services
}

fn build_service(part: &[u8], place: &str, odd: &mut OddFields) -> Option<Service> {
    let names = ["name", "engine", "cold-per-s", "cold-start-s"];
    let [name, engine, rate, cold_start] = parse_fields(part, names)?;
    let rate = odd.read((place, "cold-per-s"), rate, Field::parse).unwrap_or(0.0);
    let cold_start: f64 =
        odd.read((place, "cold-start-s"), cold_start, Field::parse).unwrap_or(0.0);
    let duration = milliseconds((cold_start * 1e3).min(MAX_COLD_MS));
    let capacity = engine
        .object(["kv-capacity"])
        .and_then(|[capacity]| odd.read((place, "kv-capacity"), capacity, Field::whole_number));
    Some(Service {
        name: name.parse()?,
        kv_capacity: capacity,
        cold_start: (rate > 0.0).then_some(ColdStartLimit { sends_per_second: rate, duration }),
    })
}

/// Organisations by key; none if the configuration has no tenants, so that no request needs a key. A list that can't be
/// read grants nothing.
fn index_organisations(
    list: Field<'_>,
    odd: &mut OddFields,
) -> Option<HashMap<Box<str>, Arc<Organisation>>> {
    if list.is_missing() || list.is_null() {
        return None;
    }
    let mut keys = HashMap::new();
    let Some(parts) = list.list() else {
        odd.add("", "tenants");
        return Some(keys);
    };
    for (index, part) in parts.enumerate() {
        let place = format!("tenants[{index}]");
        if add_organisation(part, &place, odd, &mut keys).is_none() {
            odd.add(&place, "name or allowed-regions");
        }
    }
    Some(keys)
}

/// Adds an organisation's readable keys; none if its name or regions can't be read, since its requests might then go
/// where they must not.
fn add_organisation(
    part: &[u8],
    place: &str,
    odd: &mut OddFields,
    keys: &mut HashMap<Box<str>, Arc<Organisation>>,
) -> Option<()> {
    let names = ["name", "api-keys", "priority", "allowed-regions"];
    let [name, api_keys, priority, regions] = parse_fields(part, names)?;
    let priority = odd.read((place, "priority"), priority, whole_up_to(u8::MAX.into()));
    let organisation = Arc::new(Organisation {
        name: name.parse()?,
        priority: priority.map(|priority| priority as u8),
        permitted_regions: texts(regions)?,
    });
    let listed = odd.read((place, "api-keys"), api_keys, Field::list);
    for key in listed.into_iter().flatten() {
        match serde_json::from_slice::<Box<str>>(key) {
            Ok(key) => drop(keys.insert(key, organisation.clone())),
            Err(_) => odd.add(place, "api-keys"),
        }
    }
    Some(())
}

/// Builds the limits; one that is missing or can't be read takes its default.
fn build_limits(field: Field<'_>, odd: &mut OddFields) -> Option<CallerLimits> {
    let names = ["max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms"];
    let Some([header_bytes, body_bytes, header_timeout, idle_timeout]) = field.object(names) else {
        if !field.is_missing() && !field.is_null() {
            odd.add("", "limits");
        }
        return None;
    };
    let mut limits = CallerLimits::default();
    let size = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
    let sizes = whole_up_to(u64::MAX);
    if let Some(bytes) = odd.read(("limits", "max-header-bytes"), header_bytes, &sizes) {
        limits.header_bytes = size(bytes);
    }
    if let Some(bytes) = odd.read(("limits", "max-body-bytes"), body_bytes, &sizes) {
        limits.body_bytes = size(bytes);
    }
    if let Some(ms) = odd.read(("limits", "header-timeout-ms"), header_timeout, &sizes) {
        limits.header_timeout = milliseconds(ms as f64);
    }
    if let Some(ms) = odd.read(("limits", "idle-timeout-ms"), idle_timeout, &sizes) {
        limits.idle_timeout = milliseconds(ms as f64);
    }
    Some(limits)
}
