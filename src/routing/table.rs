//! Routing table built from the operator's configuration.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{ids::Revision, policy::cold_start::ColdStartLimit};

/// Name of a region, which consists of one or more AvailabilityZones.
pub type Region = Box<str>;

/// How a route's requests may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Requests may run more than once.
    #[default]
    Idempotent,
    /// Requests may run at most once.
    AtMostOnce,
    /// Responses are event streams; requests may run again only if the route's streams are resumable.
    Stream,
}

/// Service that a route sends requests to, with its share of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Box<str>,
    /// Share relative to the other targets of the route.
    pub weight: f64,
}

/// Route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Box<str>,
    /// Prefix of the paths it serves; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Services that run its requests; never empty.
    pub targets: Vec<Target>,
    /// How its requests may be repeated.
    pub kind: RouteKind,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Operator's latency objective: time to the response, or to a stream's first event.
    pub objective: Duration,
    /// Maximum pause between two events of a stream that still counts as on time.
    pub max_event_gap: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of times that one request may run.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether requests that share prompt parts should go to the same server.
    pub is_sticky: bool,
    /// Whether an interrupted stream may be resumed at another server.
    pub is_resumable: bool,
    /// Regions whose servers may run its requests; empty if all may.
    pub permitted_regions: Vec<Region>,
    /// Models of the cascade, from smallest to largest; empty if the caller names the model.
    pub cascade: Vec<Box<str>>,
}

/// Whether servers in a region may run an Organisation's requests on a route. If both restrict the
/// regions, the region must satisfy both; an unknown region satisfies no restriction.
pub fn is_permitted_region(
    route: &Route,
    organisation: Option<&Organisation>,
    region: Option<&str>,
) -> bool {
    let of_organisation =
        organisation.map_or(&[][..], |organisation| &organisation.permitted_regions);
    let mut restrictions = [&route.permitted_regions[..], of_organisation]
        .into_iter()
        .filter(|regions| !regions.is_empty());
    let permits = |regions: &[Region]| {
        region.is_some_and(|r| regions.iter().any(|permitted| **permitted == *r))
    };
    restrictions.all(permits)
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

    /// Whether a caller may name a model: one of the cascade, or any if the route has none.
    pub fn may_name(&self, model: &str) -> bool {
        self.cascade.is_empty() || self.cascade.iter().any(|stage| **stage == *model)
    }
}

/// Organisation as declared by the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, which is sent to servers.
    pub name: Box<str>,
    /// Priority that overrides the route's, if set.
    pub priority: Option<u8>,
    /// Regions whose servers may run its requests; empty if all may.
    pub permitted_regions: Vec<Region>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time within which a request's head must arrive.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the operator's configuration; replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Version; increases with each change.
    pub version: Revision,
    /// Routes by host, sorted by descending prefix length.
    pub routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    /// Capacity in tokens of the KV cache of a BackendServer, by service; missing for services that run no
    /// model.
    pub kv_cache_tokens: HashMap<Box<str>, u64>,
    /// Shortest objective of the routes with a cascade, by service; missing for services without such routes.
    pub shortest_objectives: HashMap<Box<str>, Duration>,
    /// Limits of cold BackendServers, by service; missing for services that start warm.
    pub cold_starts: HashMap<Box<str>, ColdStartLimit>,
    /// Organisations by API key; `None` if requests need no API keys.
    pub organisations_by_key: Option<HashMap<Box<str>, Arc<Organisation>>>,
    /// Limits on callers; `None` if the operator sets none.
    pub limits: Option<CallerLimits>,
}

impl RoutingTable {
    /// Finds the route with the longest prefix that matches a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
