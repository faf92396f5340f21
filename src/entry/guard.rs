//! Suspect versions: held here at once, then for everyone.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    entry::Entry,
    ids::{ObjectId, Revision, VersionId, model_of, partner_of, qualify},
    operator::commands::{Expected, WriteError, WriteRequest},
    policy::roll_out::{Evidence, Finding, GuardStep, VersionTest, apply_step, guard_step},
    protocol::HeldVersion,
    resources::{Kind, RollOut, RollOutState, Snapshot, Spec},
    telemetry::event,
};

/// Versions held at this entry, by the revision of the roll-out they were gathered under.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    held: BTreeMap<VersionId, (Revision, Box<str>)>,
}

impl Suspicion {
    /// Holds a version; true when it was not held under this revision before.
    pub(crate) fn hold(&mut self, version: &VersionId, revision: Revision, why: &str) -> bool {
        if self.held.get(version).is_some_and(|(held, _)| *held >= revision) {
            return false;
        }
        self.held.insert(version.clone(), (revision, why.into()));
        true
    }

    /// Whether a version is held: its roll-out has not been changed since it was gathered.
    pub(crate) fn is_held(&self, version: &str, snapshot: &Snapshot) -> bool {
        let Some((revision, _)) = self.held.get(version) else {
            return false;
        };
        epoch(snapshot, version).is_some_and(|changed| changed <= *revision)
    }

    /// Why a version was held last.
    pub(crate) fn reason(&self, version: &str) -> Option<Box<str>> {
        self.held.get(version).map(|(_, why)| why.clone())
    }

    /// Forgets versions whose roll-out is gone.
    pub(crate) fn forget_ended(&mut self, snapshot: &Snapshot) {
        self.held.retain(|version, _| epoch(snapshot, version).is_some());
    }

    /// Everything held now, for heartbeats and the dump.
    pub(crate) fn all(&self, snapshot: &Snapshot) -> Vec<HeldVersion> {
        let held = self.held.iter().filter(|(version, _)| self.is_held(version, snapshot));
        held.map(|(v, (revision, _))| HeldVersion { version: v.clone(), revision: *revision })
            .collect()
    }
}

fn epoch(snapshot: &Snapshot, version: &str) -> Option<Revision> {
    let (id, _) = snapshot.roll_out_of(model_of(version))?;
    snapshot.object_revisions.get(&(Kind::RollOut, id.clone())).copied()
}

/// One roll-out with what is known about it.
pub(crate) struct RollOutEvidence {
    pub(crate) id: ObjectId,
    pub(crate) spec: RollOut,
    pub(crate) epoch: Revision,
    pub(crate) version: VersionId,
    pub(crate) old: Evidence,
    pub(crate) new: Evidence,
}

/// Sums up the evidence of all linked agents about a roll-out.
pub(crate) fn gather(
    entry: &Entry,
    id: &ObjectId,
    spec: &RollOut,
    epoch: Revision,
) -> RollOutEvidence {
    let model = qualify(partner_of(id), &spec.model);
    let version: VersionId = format!("{model}@{}", spec.to).into();
    let from = format!("{model}@{}", spec.from);
    let links = entry.all_links();
    let sum = |version: &str| {
        links
            .iter()
            .map(|link| link.evidence(version, epoch))
            .fold(Evidence::default(), Evidence::plus)
    };
    let (old, new) = (sum(&from), sum(&version));
    RollOutEvidence { id: id.clone(), spec: spec.clone(), epoch, version, old, new }
}

fn gather_all(entry: &Entry) -> Vec<RollOutEvidence> {
    let snapshot = entry.config.snapshot();
    snapshot
        .roll_outs
        .iter()
        .filter_map(|(id, spec)| {
            let epoch = snapshot.object_revisions.get(&(Kind::RollOut, id.clone()))?;
            Some(gather(entry, id, spec, *epoch))
        })
        .collect()
}

/// Tests of the versions under roll-out, each under one revision of its roll-out.
#[derive(Debug, Default)]
pub(crate) struct VersionTests {
    tests: BTreeMap<VersionId, (Revision, VersionTest)>,
}

/// Takes new evidence into a version's test.
fn note_evidence(entry: &Entry, gathered: &RollOutEvidence) -> Finding {
    let mut tests = entry.version_tests.lock().expect("no panics under the lock");
    let fresh = (gathered.epoch, VersionTest::default());
    let held = tests.tests.entry(gathered.version.clone()).or_insert(fresh);
    if held.0 != gathered.epoch {
        *held = fresh;
    }
    held.1.observe(gathered.old, gathered.new, &gathered.spec.guard);
    held.1.finding(&gathered.spec.guard)
}

/// What the test of a version has found so far.
fn finding_of(entry: &Entry, gathered: &RollOutEvidence) -> Finding {
    let tests = entry.version_tests.lock().expect("no panics under the lock");
    let held = tests.tests.get(&gathered.version).filter(|(epoch, _)| *epoch == gathered.epoch);
    held.map_or(Finding::Undecided, |(_, test)| test.finding(&gathered.spec.guard))
}

/// Holds suspect versions here at once and, as far as the store lets, for everyone.
///
/// The durable hold is conditional on the roll-out's revision, so any entry may write it: one
/// wins, and an operator's newer write is never undone.
pub(crate) async fn hold_suspects(entry: &Arc<Entry>) {
    for gathered in gather_all(entry) {
        let why = describe(&gathered);
        let heard = is_held(entry, &gathered.version);
        if note_evidence(entry, &gathered) == Finding::Worse {
            note_hold(entry, &gathered.version, gathered.epoch, &why);
        } else if !heard {
            continue;
        }
        let runs = matches!(gathered.spec.state, RollOutState::Running | RollOutState::Paused);
        if runs && !entry.health.last_call_failed() {
            write_step(entry, &gathered, GuardStep::Hold, &why).await;
        }
    }
}

/// Moves roll-outs on that are no worse; only under the guard's lease.
pub(crate) async fn advance_sound(entry: &Arc<Entry>) {
    for gathered in gather_all(entry) {
        if is_held(entry, &gathered.version) {
            continue;
        }
        let step = guard_step(&gathered.spec, finding_of(entry, &gathered));
        if step == GuardStep::Advance {
            write_step(entry, &gathered, step, &describe(&gathered)).await;
        }
    }
}

/// Holds a version here.
pub(crate) fn note_hold(entry: &Entry, version: &VersionId, revision: Revision, why: &str) {
    let mut suspicion = entry.suspicion.lock().expect("no panics under the lock");
    if suspicion.hold(version, revision, why) {
        event::VERSION_HELD.log(format_args!("version={version} revision={revision} {why}"));
    }
}

/// Whether a version is held here.
pub(crate) fn is_held(entry: &Entry, version: &str) -> bool {
    if !entry.policy.guard {
        return false;
    }
    let snapshot = entry.config.snapshot();
    entry.suspicion.lock().expect("no panics under the lock").is_held(version, &snapshot)
}

async fn write_step(entry: &Arc<Entry>, gathered: &RollOutEvidence, step: GuardStep, why: &str) {
    let next = apply_step(&gathered.spec, step);
    let name = match step {
        GuardStep::Hold => "hold",
        _ => "advance",
    };
    let req = WriteRequest {
        kind: Kind::RollOut,
        id: gathered.id.clone(),
        spec: Some(Spec::RollOut(next.clone())),
        expected: Expected::Revision(gathered.epoch),
        actor: "guard".into(),
        // The same step of the same revision is one change, whoever writes it.
        change_id: format!("guard-{name}-{}-{}", gathered.id.replace('/', "."), gathered.epoch)
            .into(),
        dry_run: false,
    };
    match entry.writer.write(&req).await {
        Ok(revision) => event::ROLL_OUT_MOVED.log(format_args!(
            "roll_out={} state={:?} step={} revision={revision} {why}",
            gathered.id, next.state, next.step
        )),
        Err(WriteError::Conflict(_)) => {
            event::ROLL_OUT_LEFT.log(format_args!("roll_out={} step={name}", gathered.id));
        }
        Err(e) => event::STORE_UNREACHABLE.log(format_args!("cause=guard problem={e}")),
    }
}

fn describe(gathered: &RollOutEvidence) -> Box<str> {
    let (old, new) = (gathered.old, gathered.new);
    format!(
        "failures {}/{} against {}/{}, poor {}/{} against {}/{}",
        new.failures,
        new.answers,
        old.failures,
        old.answers,
        new.poor,
        new.rated,
        old.poor,
        old.rated
    )
    .into()
}
