//! The operator's configuration, in the form requests are routed by.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{ids::Revision, policy::cold_start::ColdStartLimit};

/// Name of a region, which has one or more AvailabilityZones.
pub type Region = Box<str>;

/// How a request on a route may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// May run more than once.
    #[default]
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// Answered by a stream of events; idempotent only where the route allows to resume it.
    Stream,
}

/// A service a route sends requests to, and its share of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Box<str>,
    /// Share relative to the other targets of the route.
    pub weight: f64,
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Box<str>,
    /// Start of the paths it serves; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Services that may run its requests; never empty.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that the operator aims at.
    pub objective: Duration,
    /// Longest pause between two events of a stream that still counts as on time.
    pub max_event_gap: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Runs that one request may cause.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether requests carry prompt parts worth keeping together.
    pub is_sticky: bool,
    /// Whether a broken stream may go on at another server.
    pub is_resumable: bool,
    /// Regions whose servers may run its requests; empty where all may.
    pub permitted_regions: Vec<Region>,
    /// Models of the cascade, smallest first; empty where the caller names the model.
    pub cascade: Vec<Box<str>>,
}

/// Whether a server in a region may run the requests of a route and an Organisation: where both have homes, both
/// bind. A region that is not known is nobody's home.
pub fn is_permitted_region(
    route: &Route,
    organisation: Option<&Organisation>,
    region: Option<&str>,
) -> bool {
    let of_organisation =
        organisation.map_or(&[][..], |organisation| &organisation.permitted_regions);
    let mut binding = [&route.permitted_regions[..], of_organisation]
        .into_iter()
        .filter(|homes| !homes.is_empty());
    let holds = |homes: &[Region]| region.is_some_and(|r| homes.iter().any(|home| **home == *r));
    binding.all(holds)
}

impl Route {
    /// Whether a request on this route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.is_resumable,
        }
    }
}

/// An Organisation as the operator declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, which servers receive.
    pub name: Box<str>,
    /// Rank that replaces the route's, if it has one.
    pub priority: Option<u8>,
    /// Regions whose servers may run its requests; empty where all may.
    pub permitted_regions: Vec<Region>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which a request's head has to arrive.
    pub header_timeout: Duration,
    /// Time a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration; replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Version; it only grows.
    pub version: Revision,
    /// Routes by host, the longest prefix first.
    pub routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    /// Tokens that one BackendServer of a service has memory for; none where no model runs.
    pub kv_cache_tokens: HashMap<Box<str>, u64>,
    /// What a cold BackendServer of a service takes; none where they start warm.
    pub cold_starts: HashMap<Box<str>, ColdStartLimit>,
    /// Organisations by key; none where requests need no keys at all.
    pub organisations_by_key: Option<HashMap<Box<str>, Arc<Organisation>>>,
    /// Limits on callers; none where the operator sets none.
    pub limits: Option<CallerLimits>,
}

impl RoutingTable {
    /// The route of a request, if there is one.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
