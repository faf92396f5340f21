//! AvailabilityZones that are evacuated by order of the operator.

use std::{collections::HashMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use serde_json::{Value, json};

use crate::telemetry::event;

/// Evacuation state of an AvailabilityZone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ZoneState {
    /// No requests are sent to the zone since this time.
    Evacuated(Duration),
    /// The operator ended the evacuation at this time.
    Ended(Duration),
}

type ZoneStates = HashMap<Box<str>, ZoneState>;

/// The operator's evacuation orders. They are checked for every request when a server is chosen.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    states: ArcSwap<ZoneStates>,
}

impl Evacuations {
    /// Starts the evacuation of a zone.
    pub(crate) fn begin(&self, zone: &str, now: Duration) {
        if self.is_evacuated(zone) {
            return;
        }
        self.set(zone, ZoneState::Evacuated(now));
        event::ZONE_EVACUATED.log(format_args!("zone={zone}"));
    }

    /// Ends the evacuation of a zone.
    pub(crate) fn end(&self, zone: &str, now: Duration) {
        if !self.is_evacuated(zone) {
            return;
        }
        self.set(zone, ZoneState::Ended(now));
        event::ZONE_TAKEN_BACK.log(format_args!("zone={zone}"));
    }

    /// Only the task that reads orders calls this, so no update is lost between the load and the
    /// store.
    fn set(&self, zone: &str, state: ZoneState) {
        let mut states = ZoneStates::clone(&self.states.load());
        states.insert(zone.into(), state);
        self.states.store(Arc::new(states));
    }

    /// Whether any zone is evacuated. Usually none is, and the lookup by zone can be skipped.
    pub(crate) fn has_any(&self) -> bool {
        self.states.load().values().any(|state| matches!(state, ZoneState::Evacuated(_)))
    }

    /// Whether a zone is evacuated, so that its servers receive no requests.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        matches!(self.states.load().get(zone), Some(ZoneState::Evacuated(_)))
    }

    /// When the evacuation of a zone ended; none if it is still evacuated or never was.
    pub(crate) fn ended_at(&self, zone: &str) -> Option<Duration> {
        match self.states.load().get(zone)? {
            ZoneState::Ended(at) => Some(*at),
            ZoneState::Evacuated(_) => None,
        }
    }

    /// Zones that are evacuated.
    pub(crate) fn zones(&self) -> Vec<Box<str>> {
        let states = self.states.load();
        let evacuated = states.iter().filter(|(_, state)| matches!(state, ZoneState::Evacuated(_)));
        evacuated.map(|(zone, _)| zone.clone()).collect()
    }

    /// The evacuation section of the state dump.
    pub(crate) fn dump(&self, now: Duration) -> Value {
        let states = self.states.load();
        let describe = |(zone, state): (_, &ZoneState)| match state {
            ZoneState::Evacuated(since) => {
                let for_s = now.saturating_sub(*since).as_secs_f64();
                Some(json!({"zone": zone, "for_s": for_s}))
            }
            ZoneState::Ended(_) => None,
        };
        Value::Array(states.iter().filter_map(describe).collect())
    }
}
