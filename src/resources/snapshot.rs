//! An immutable, indexed view of one configuration revision, read while serving requests.

use std::collections::HashMap;

use subtle::ConstantTimeEq;

use crate::{
    ids::{
        ObjectId, OrganisationId, PartnerId, Revision, VersionId, model_of, partner_of, qualify,
    },
    resources::{
        BackendServer, Cascade, Kind, Model, Object, Organisation, Partner, RollOut, Spec, Version,
        VersionState, hash_key,
    },
};

/// All configuration objects of one revision, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Configuration revision that this is a snapshot of.
    pub revision: Revision,
    /// Partners by name.
    pub partners: HashMap<PartnerId, Partner>,
    /// Organisations by full name.
    pub organisations: HashMap<OrganisationId, Organisation>,
    /// Models by full name.
    pub models: HashMap<ObjectId, Model>,
    /// Versions by full name.
    pub versions: HashMap<VersionId, Version>,
    /// Cascades by full name.
    pub cascades: HashMap<ObjectId, Cascade>,
    /// Roll-outs by full name.
    pub roll_outs: HashMap<ObjectId, RollOut>,
    /// BackendServers by full name.
    pub servers: HashMap<ObjectId, BackendServer>,
    /// Revision at which each object was last changed.
    pub object_revisions: HashMap<(Kind, ObjectId), Revision>,
    caller_keys: HashMap<Box<str>, OrganisationId>,
    operator_keys: HashMap<Box<str>, PartnerId>,
    roll_out_of_model: HashMap<ObjectId, ObjectId>,
}

impl Snapshot {
    /// Builds the snapshot from the objects in force at `revision`.
    pub fn build<'a>(revision: Revision, objects: impl Iterator<Item = &'a Object>) -> Snapshot {
        let mut snapshot = Snapshot { revision, ..Snapshot::default() };
        for object in objects {
            snapshot.insert(object);
        }
        snapshot
    }

    fn insert(&mut self, object: &Object) {
        let id = object.id.clone();
        let owner = object.owner();
        self.object_revisions.insert((object.spec.kind(), id.clone()), object.revision);
        match &object.spec {
            Spec::Partner(spec) => {
                for hash in &spec.operator_key_hashes {
                    self.operator_keys.insert(hash.clone(), owner.into());
                }
                self.partners.insert(owner.into(), spec.clone());
            }
            Spec::Organisation(spec) => {
                for hash in &spec.key_hashes {
                    self.caller_keys.insert(hash.clone(), id.clone());
                }
                self.organisations.insert(id, spec.clone());
            }
            Spec::Model(spec) => drop(self.models.insert(id, spec.clone())),
            Spec::Version(spec) => drop(self.versions.insert(id, spec.clone())),
            Spec::Cascade(spec) => drop(self.cascades.insert(id, spec.clone())),
            Spec::RollOut(spec) => {
                self.roll_out_of_model.insert(qualify(owner, &spec.model), id.clone());
                self.roll_outs.insert(id, spec.clone());
            }
            Spec::BackendServer(spec) => drop(self.servers.insert(id, spec.clone())),
        }
    }

    /// The organisation that a caller key belongs to.
    pub fn organisation_by_key(&self, key: &str) -> Option<&str> {
        find_key_owner(&self.caller_keys, key)
    }

    /// The partner that an operator key belongs to.
    pub fn partner_by_key(&self, key: &str) -> Option<&str> {
        find_key_owner(&self.operator_keys, key)
    }

    /// Whether `partner` owns a model or the model is shared with it.
    pub fn model_is_shared(&self, model: &str, partner: &str) -> bool {
        let Some(spec) = self.models.get(model) else {
            return false;
        };
        partner_of(model) == partner || is_shared_with(&spec.shared_with, partner)
    }

    /// Whether `partner` owns a BackendServer or the server is shared with it.
    pub fn server_is_shared(&self, server: &str, partner: &str) -> bool {
        let Some(spec) = self.servers.get(server) else {
            return false;
        };
        partner_of(server) == partner || is_shared_with(&spec.shared_with, partner)
    }

    /// Whether an organisation may use a version: its `allowed` list must contain the version or
    /// the model, its partner must have access to the model, and the version must exist.
    pub fn is_allowed(&self, organisation: &str, version: &str) -> bool {
        let Some(spec) = self.organisations.get(organisation) else {
            return false;
        };
        let partner = partner_of(organisation);
        let model = model_of(version);
        if !self.versions.contains_key(version) || !self.model_is_shared(model, partner) {
            return false;
        }
        spec.allowed.iter().any(|entry| {
            let entry = qualify(partner, entry);
            *entry == *version || *entry == *model
        })
    }

    /// Whether a version exists and has not been withdrawn.
    pub fn is_available(&self, version: &str) -> bool {
        self.versions.get(version).is_some_and(|v| v.state == VersionState::Available)
    }

    /// Full name of a model's stable version.
    pub fn stable_version(&self, model: &str) -> Option<VersionId> {
        let spec = self.models.get(model)?;
        Some(format!("{model}@{}", spec.stable).into())
    }

    /// Full name and spec of the roll-out declared for a model, if there is one.
    pub fn roll_out_of(&self, model: &str) -> Option<(&ObjectId, &RollOut)> {
        let id = self.roll_out_of_model.get(model)?;
        self.roll_outs.get(id).map(|spec| (id, spec))
    }
}

fn is_shared_with(partners: &[PartnerId], partner: &str) -> bool {
    partners.iter().any(|listed| &**listed == "*" || &**listed == partner)
}

/// Finds the owner of a key by the key's hash. The final comparison runs in constant time.
fn find_key_owner<'a>(keys: &'a HashMap<Box<str>, Box<str>>, key: &str) -> Option<&'a str> {
    let hash = hash_key(key);
    let (stored_hash, owner) = keys.get_key_value(&hash)?;
    bool::from(stored_hash.as_bytes().ct_eq(hash.as_bytes())).then_some(&**owner)
}

/// Lookup of the objects that depend on another object.
impl Snapshot {
    /// Sorted full names of the owner's objects that prevent the deletion of this one: the versions
    /// of a model, the model and roll-out that name a version, or all objects of a partner.
    pub fn dependents_of(&self, kind: Kind, id: &str) -> Vec<ObjectId> {
        let mut dependents: Vec<ObjectId> = match kind {
            Kind::Model => self.versions.keys().filter(|v| model_of(v) == id).cloned().collect(),
            Kind::Version => self.dependents_of_version(id),
            Kind::Partner => self.objects_owned_by(partner_of(id)),
            _ => Vec::new(),
        };
        dependents.sort();
        dependents
    }

    fn dependents_of_version(&self, version: &str) -> Vec<ObjectId> {
        let model = model_of(version);
        let mut dependents = Vec::new();
        if self.stable_version(model).as_deref() == Some(version) {
            dependents.push(model.into());
        }
        if let Some((id, roll_out)) = self.roll_out_of(model) {
            let name = version.split_once('@').map_or("", |(_, name)| name);
            if *roll_out.from == *name || *roll_out.to == *name {
                dependents.push(id.clone());
            }
        }
        dependents
    }

    fn objects_owned_by(&self, partner: &str) -> Vec<ObjectId> {
        let owned = self
            .object_revisions
            .keys()
            .filter(|(kind, id)| *kind != Kind::Partner && partner_of(id) == partner);
        owned.map(|(_, id)| id.clone()).collect()
    }
}
