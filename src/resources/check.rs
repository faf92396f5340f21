//! Validation of an object, including its references to other objects.

use serde::Serialize;

use crate::{
    ids::{model_of, partner_of, qualify},
    resources::{Cascade, Object, Organisation, RollOut, Snapshot, Spec, Version},
};

/// A validation error in one field of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldError {
    /// Path of the field inside the spec, such as `steps[1]`.
    pub field: Box<str>,
    /// What is wrong, or what a valid value looks like.
    pub problem: Box<str>,
}

/// Validates an object against `snapshot`. Returns all errors rather than only the first, so that
/// an operator can correct them in one go.
pub fn check_object(object: &Object, snapshot: &Snapshot) -> Vec<FieldError> {
    let mut errors = Vec::new();
    check_name(object, &mut errors);
    match &object.spec {
        Spec::Organisation(spec) => check_organisation(object, spec, snapshot, &mut errors),
        Spec::Version(spec) => check_version(object, spec, snapshot, &mut errors),
        Spec::Cascade(spec) => check_cascade(object, spec, snapshot, &mut errors),
        Spec::RollOut(spec) => check_roll_out(object, spec, snapshot, &mut errors),
        Spec::BackendServer(spec) => {
            for (i, version) in spec.versions.iter().enumerate() {
                let version = qualify(object.owner(), version);
                let is_usable = snapshot.versions.contains_key(&version)
                    && snapshot.model_is_shared(model_of(&version), object.owner());
                require(
                    is_usable,
                    &format!("versions[{i}]"),
                    "names no version you may use",
                    &mut errors,
                );
            }
        }
        Spec::Partner(spec) => {
            check_hashes("operator_key_hashes", &spec.operator_key_hashes, &mut errors);
        }
        Spec::Model(_) => {}
    }
    errors
}

/// Records `problem` for `field` unless `is_valid`.
fn require(is_valid: bool, field: &str, problem: &str, errors: &mut Vec<FieldError>) {
    if !is_valid {
        errors.push(FieldError { field: field.into(), problem: problem.into() });
    }
}

fn check_name(object: &Object, errors: &mut Vec<FieldError>) {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || "-_.@".contains(c);
    let name = object.name();
    let is_valid = !name.is_empty() && name.len() <= 64 && name.chars().all(is_name_char);
    require(is_valid, "name", "must be 1 to 64 letters, digits, `-`, `_`, `.`", errors);
    let is_version = matches!(object.spec, Spec::Version(_));
    let is_at_sign_valid = name.matches('@').count() == usize::from(is_version);
    require(
        is_at_sign_valid,
        "name",
        "a version is named `model@version`, nothing else has an `@`",
        errors,
    );
}

fn check_hashes(field: &str, hashes: &[Box<str>], errors: &mut Vec<FieldError>) {
    for (i, hash) in hashes.iter().enumerate() {
        let is_valid = hash.len() == 64 && hash.chars().all(|c| c.is_ascii_hexdigit());
        require(is_valid, &format!("{field}[{i}]"), "must be a SHA-256 in 64 hex digits", errors);
    }
}

fn check_fraction(field: &str, value: f64, errors: &mut Vec<FieldError>) {
    require((0.0..=1.0).contains(&value), field, "must lie between 0 and 1", errors);
}

fn check_organisation(
    object: &Object,
    spec: &Organisation,
    snapshot: &Snapshot,
    errors: &mut Vec<FieldError>,
) {
    check_hashes("key_hashes", &spec.key_hashes, errors);
    require((1..=1000).contains(&spec.weight), "weight", "must lie between 1 and 1000", errors);
    for (i, allowed) in spec.allowed.iter().enumerate() {
        let full_name = qualify(object.owner(), allowed);
        let is_shared = snapshot.model_is_shared(model_of(&full_name), object.owner());
        let exists = !full_name.contains('@') || snapshot.versions.contains_key(&full_name);
        require(
            is_shared && exists,
            &format!("allowed[{i}]"),
            "names no model you may use",
            errors,
        );
    }
}

fn check_version(
    object: &Object,
    spec: &Version,
    snapshot: &Snapshot,
    errors: &mut Vec<FieldError>,
) {
    let model_exists = snapshot.models.contains_key(model_of(&object.id));
    require(model_exists, "name", "the part before the `@` must be one of your models", errors);
    check_fraction("quality", spec.quality, errors);
}

fn check_cascade(
    object: &Object,
    spec: &Cascade,
    snapshot: &Snapshot,
    errors: &mut Vec<FieldError>,
) {
    require((1..=8).contains(&spec.stages.len()), "stages", "must have 1 to 8 entries", errors);
    check_fraction("quality_target", spec.quality_target, errors);
    require(spec.deadline_ms > 0, "deadline_ms", "must be above 0", errors);
    for (i, stage) in spec.stages.iter().enumerate() {
        let full_name = qualify(object.owner(), stage);
        let is_shared = snapshot.model_is_shared(model_of(&full_name), object.owner());
        let exists = !full_name.contains('@') || snapshot.versions.contains_key(&full_name);
        require(is_shared && exists, &format!("stages[{i}]"), "names no model you may use", errors);
    }
}

fn check_roll_out(
    object: &Object,
    spec: &RollOut,
    snapshot: &Snapshot,
    errors: &mut Vec<FieldError>,
) {
    let model = qualify(object.owner(), &spec.model);
    require(partner_of(&model) == object.owner(), "model", "must be one of your own", errors);
    for (field, version) in [("from", &spec.from), ("to", &spec.to)] {
        let full_name = format!("{model}@{version}");
        require(
            snapshot.versions.contains_key(&*full_name),
            field,
            "names no version of the model",
            errors,
        );
    }
    let has_other_roll_out = snapshot.roll_out_of(&model).is_some_and(|(id, _)| *id != object.id);
    require(!has_other_roll_out, "model", "has another roll-out; delete that one first", errors);
    require(spec.from != spec.to, "to", "must differ from `from`", errors);
    require(!spec.steps.is_empty(), "steps", "must not be empty", errors);
    require(spec.steps.is_sorted(), "steps", "must not go down", errors);
    require(spec.step < spec.steps.len().max(1), "step", "must be the index of a step", errors);
    for (i, share) in spec.steps.iter().enumerate() {
        check_fraction(&format!("steps[{i}]"), *share, errors);
    }
    check_fraction("guard.tolerated_rise", spec.guard.tolerated_rise, errors);
    check_fraction("guard.false_hold", spec.guard.false_hold, errors);
}
