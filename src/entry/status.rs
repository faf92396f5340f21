//! Status of declared objects, as far as this entry knows.

use serde_json::{Value, json};

use crate::{
    entry::{Entry, guard},
    ids::{PartnerId, RequestId, ServerId, partner_of},
    operator::queries::{RollOutStatus, Status},
    resources::{Object, Spec},
};

impl Entry {
    /// Status of one object.
    pub(crate) fn status_of(&self, object: &Object) -> Status {
        let links = self.all_links();
        let behind = links.iter().filter(|link| link.beat().revision < object.revision).count();
        let mut status = Status {
            revision_in_force: self.config.revision(),
            processes: links.len(),
            processes_behind: behind,
            ..Status::default()
        };
        match &object.spec {
            Spec::Version(_) => {
                let routes = self.routes.load();
                let loaded = routes.of_version(&object.id).map_or(0, |route| route.links.len());
                status.servers_loaded = Some(loaded);
            }
            Spec::BackendServer(_) => {
                let link = links.iter().find(|link| link.server == object.id);
                status.loaded = link.map(|link| link.loaded());
            }
            Spec::RollOut(spec) => {
                let gathered = guard::gather(self, &object.id, spec, object.revision);
                let suspicion = self.suspicion.lock().expect("no panics under the lock");
                status.roll_out = Some(RollOutStatus {
                    state: spec.state,
                    share: spec.share(),
                    held_here: suspicion.is_held(&gathered.version, &self.config.snapshot()),
                    reason: suspicion.reason(&gathered.version),
                    old: gathered.old,
                    new: gathered.new,
                });
            }
            _ => {}
        }
        status
    }

    /// BackendServer whose agent writes this entry's rows, if it is linked.
    pub fn relay_server(&self) -> Option<ServerId> {
        self.relay_link().map(|link| link.server.clone())
    }

    /// Story of a recent request of one of the partner's organisations.
    pub(crate) fn explanation(&self, request: RequestId, partner: &PartnerId) -> Option<Value> {
        let explanations = self.explanations.lock().expect("no panics under the lock");
        let story = explanations.get(request)?;
        (partner_of(&story.organisation) == &**partner).then(|| json!(story))
    }
}
