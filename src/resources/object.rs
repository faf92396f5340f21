//! The common form of all configuration objects: identity, revision and kind-specific spec.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ObjectId, Revision, partner_of},
    resources::{BackendServer, Cascade, Model, Organisation, Partner, RollOut, Version},
};

/// Kinds of configuration object. API paths contain the form that [`Kind::as_str`] returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Kind {
    Partner,
    Organisation,
    Model,
    Version,
    Cascade,
    RollOut,
    BackendServer,
}

/// Error for text that names no kind.
#[derive(Debug, thiserror::Error)]
#[error(
    "unknown kind `{0}`; kinds are partner, organisation, model, version, cascade, roll_out, backend_server"
)]
pub struct UnknownKind(pub Box<str>);

impl Kind {
    /// All kinds, ordered so that objects refer only to kinds before their own. The one exception
    /// is the stable version that a model names.
    pub const ALL: [Kind; 7] = [
        Kind::Partner,
        Kind::Model,
        Kind::Version,
        Kind::Organisation,
        Kind::Cascade,
        Kind::RollOut,
        Kind::BackendServer,
    ];

    /// The name used in API paths and object files.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Partner => "partner",
            Kind::Organisation => "organisation",
            Kind::Model => "model",
            Kind::Version => "version",
            Kind::Cascade => "cascade",
            Kind::RollOut => "roll_out",
            Kind::BackendServer => "backend_server",
        }
    }
}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        Kind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| UnknownKind(text.into()))
    }
}

/// The part of an object that its owner declares, by kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Spec {
    Partner(Partner),
    Organisation(Organisation),
    Model(Model),
    Version(Version),
    Cascade(Cascade),
    RollOut(RollOut),
    BackendServer(BackendServer),
}

impl Spec {
    /// The kind of object that this spec belongs to.
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Partner(_) => Kind::Partner,
            Spec::Organisation(_) => Kind::Organisation,
            Spec::Model(_) => Kind::Model,
            Spec::Version(_) => Kind::Version,
            Spec::Cascade(_) => Kind::Cascade,
            Spec::RollOut(_) => Kind::RollOut,
            Spec::BackendServer(_) => Kind::BackendServer,
        }
    }

    /// Parses the JSON of a spec without a kind tag, the form that the operator API accepts.
    pub fn from_json(kind: Kind, json: serde_json::Value) -> Result<Spec, serde_json::Error> {
        Ok(match kind {
            Kind::Partner => Spec::Partner(serde_json::from_value(json)?),
            Kind::Organisation => Spec::Organisation(serde_json::from_value(json)?),
            Kind::Model => Spec::Model(serde_json::from_value(json)?),
            Kind::Version => Spec::Version(serde_json::from_value(json)?),
            Kind::Cascade => Spec::Cascade(serde_json::from_value(json)?),
            Kind::RollOut => Spec::RollOut(serde_json::from_value(json)?),
            Kind::BackendServer => Spec::BackendServer(serde_json::from_value(json)?),
        })
    }

    /// The spec as JSON, without a kind tag.
    pub fn to_json(&self) -> serde_json::Value {
        let json = match self {
            Spec::Partner(spec) => serde_json::to_value(spec),
            Spec::Organisation(spec) => serde_json::to_value(spec),
            Spec::Model(spec) => serde_json::to_value(spec),
            Spec::Version(spec) => serde_json::to_value(spec),
            Spec::Cascade(spec) => serde_json::to_value(spec),
            Spec::RollOut(spec) => serde_json::to_value(spec),
            Spec::BackendServer(spec) => serde_json::to_value(spec),
        };
        json.unwrap_or_default()
    }
}

/// A configuration object and the revision at which it was last changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Full name, `partner/name`. The object that describes a partner is named `partner/partner`.
    pub id: ObjectId,
    /// Revision of the last change, which `If-Match` is compared with.
    pub revision: Revision,
    /// The part that the owner declares.
    pub spec: Spec,
}

impl Object {
    /// Name of the partner that owns the object.
    pub fn owner(&self) -> &str {
        partner_of(&self.id)
    }

    /// Name within the owner: the full name without the partner.
    pub fn name(&self) -> &str {
        self.id.split_once('/').map_or(&self.id, |(_, name)| name)
    }
}
