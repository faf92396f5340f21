//! The configuration `mintmoor local` starts with: two partners that share a pool.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::{
    ids::ObjectId,
    resources::{Kind, hash_key},
};

/// Keys of the preset by who holds them.
pub type Keys = BTreeMap<Box<str>, Box<str>>;

/// Key of an organisation in the preset.
pub fn caller_key(organisation: &str) -> Box<str> {
    format!("caller-key-of-{}", organisation.replace('/', "-")).into()
}

/// Key of a partner's operator in the preset.
pub fn operator_key(partner: &str) -> Box<str> {
    format!("operator-key-of-{partner}").into()
}

/// An object of the preset.
pub type PresetObject = (Kind, ObjectId, Value);

/// The preset's objects in an order in which each refers to earlier ones only.
///
/// `servers` are the BackendServers: full name, versions, and whether it is a plain service.
pub fn standard_objects(servers: &[(ObjectId, Vec<ObjectId>, bool)]) -> Vec<PresetObject> {
    let mut objects = Vec::new();
    for partner in ["ricarica", "majlis"] {
        let hash = hash_key(&operator_key(partner));
        let id = format!("{partner}/{partner}").into();
        objects.push((Kind::Partner, id, json!({ "operator_key_hashes": [hash] })));
    }
    add_models(&mut objects);
    add_organisations(&mut objects);
    let cascades = [
        ("ricarica/topup", json!(["swift", "deep"]), 0.90),
        ("majlis/listings", json!(["tagger", "counsel"]), 0.93),
    ];
    for (id, stages, target) in cascades {
        let spec = json!({ "stages": stages, "quality_target": target });
        objects.push((Kind::Cascade, id.into(), spec));
    }
    for (id, versions, is_service) in servers {
        let spec = if *is_service {
            json!({ "kind": "service", "shared_with": ["*"] })
        } else {
            json!({ "versions": versions, "checks_fencing": true, "shared_with": ["*"] })
        };
        objects.push((Kind::BackendServer, id.clone(), spec));
    }
    objects
}

/// Versions of the preset with cost in, cost out and quality.
pub const VERSIONS: [(&str, u64, u64, f64); 6] = [
    ("ricarica/swift@1", 100, 400, 0.75),
    ("ricarica/swift@2", 100, 400, 0.76),
    ("ricarica/deep@1", 1_000, 4_000, 0.97),
    ("majlis/tagger@1", 120, 450, 0.72),
    ("majlis/tagger@2", 120, 450, 0.73),
    ("majlis/counsel@1", 1_100, 4_200, 0.98),
];

fn add_models(objects: &mut Vec<PresetObject>) {
    for model in ["ricarica/swift", "ricarica/deep", "majlis/tagger", "majlis/counsel"] {
        let shared: &[&str] = if model == "ricarica/deep" { &["majlis"] } else { &[] };
        let spec = json!({ "stable": "1", "shared_with": shared });
        objects.push((Kind::Model, model.into(), spec));
    }
    for (id, cost_in, cost_out, quality) in VERSIONS {
        let spec = json!({ "cost_in": cost_in, "cost_out": cost_out, "quality": quality });
        objects.push((Kind::Version, id.into(), spec));
    }
}

fn add_organisations(objects: &mut Vec<PresetObject>) {
    let organisations = [
        ("ricarica/tills", json!(["swift", "deep"]), 4),
        ("ricarica/kiosks", json!(["swift"]), 1),
        ("majlis/clerks", json!(["tagger", "counsel"]), 4),
        ("majlis/advocates", json!(["tagger", "ricarica/deep"]), 1),
    ];
    for (id, allowed, weight) in organisations {
        let spec = json!({
            "key_hashes": [hash_key(&caller_key(id))], "allowed": allowed, "weight": weight,
        });
        objects.push((Kind::Organisation, id.into(), spec));
    }
}
