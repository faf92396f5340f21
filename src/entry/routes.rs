//! Which links can run what: rebuilt when links or loaded versions change, read by traffic.

use std::{collections::HashMap, sync::Arc};

use crate::{
    entry::link::Link,
    ids::{ObjectId, VersionId, partner_of, qualify},
    policy::choice::Pool,
    resources::{BackendKind, Snapshot},
};

/// Links that can run one thing, and the ring over them.
#[derive(Debug, Default)]
pub(crate) struct Route {
    pub(crate) pool: Pool,
    pub(crate) links: Vec<Arc<Link>>,
}

/// All routes.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    versions: HashMap<VersionId, Route>,
    services: HashMap<ObjectId, Route>,
}

impl Routes {
    /// Builds the routes over the links that take work.
    pub(crate) fn build(links: &[Arc<Link>], snapshot: &Snapshot) -> Self {
        let mut versions: HashMap<VersionId, Vec<Arc<Link>>> = HashMap::new();
        let mut services: HashMap<ObjectId, Vec<Arc<Link>>> = HashMap::new();
        for link in links.iter().filter(|link| link.takes_work()) {
            let Some(spec) = snapshot.servers.get(&link.server) else {
                continue;
            };
            match spec.kind {
                BackendKind::Engine => {
                    for version in link.loaded() {
                        versions.entry(version).or_default().push(link.clone());
                    }
                }
                BackendKind::Service => {
                    let owner = partner_of(&link.server);
                    let name = if spec.service.is_empty() {
                        link.server.clone()
                    } else {
                        qualify(owner, &spec.service)
                    };
                    services.entry(name).or_default().push(link.clone());
                }
            }
        }
        Self { versions: index(versions), services: index(services) }
    }

    /// Links that have a version loaded.
    pub(crate) fn of_version(&self, version: &str) -> Option<&Route> {
        self.versions.get(version)
    }

    /// Links to the replicas of a plain service.
    pub(crate) fn of_service(&self, service: &str) -> Option<&Route> {
        self.services.get(service)
    }

    /// Links that have each version loaded, counted.
    pub(crate) fn version_counts(&self) -> HashMap<VersionId, usize> {
        self.versions.iter().map(|(version, route)| (version.clone(), route.links.len())).collect()
    }
}

fn index(links: HashMap<ObjectId, Vec<Arc<Link>>>) -> HashMap<ObjectId, Route> {
    links
        .into_iter()
        .map(|(name, mut links)| {
            links.sort_by(|a, b| a.host.name.cmp(&b.host.name));
            let pool = Pool::new(links.iter().map(|link| &*link.host.name));
            (name, Route { pool, links })
        })
        .collect()
}
