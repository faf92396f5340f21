//! AvailabilityZones whose servers get nothing, by the operator's order.

use std::{collections::HashMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use serde_json::{Value, json};

use crate::telemetry::event;

/// What is known of one AvailabilityZone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ZoneState {
    /// Nothing is sent there, since this time.
    Evacuated(Duration),
    /// The operator took it back at this time.
    Ended(Duration),
}

type ZoneStates = HashMap<Box<str>, ZoneState>;

/// The operator's evacuation orders. Every send asks when its server is chosen, whatever it is for.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    states: ArcSwap<ZoneStates>,
}

impl Evacuations {
    /// Notes an order to send nothing to a zone's servers.
    pub(crate) fn begin(&self, zone: &str, now: Duration) {
        if self.is_evacuated(zone) {
            return;
        }
        self.set(zone, ZoneState::Evacuated(now));
        event::ZONE_EVACUATED.log(format_args!("zone={zone}"));
    }

    /// Notes that an order is gone.
    pub(crate) fn end(&self, zone: &str, now: Duration) {
        if !self.is_evacuated(zone) {
            return;
        }
        self.set(zone, ZoneState::Ended(now));
        event::ZONE_TAKEN_BACK.log(format_args!("zone={zone}"));
    }

    /// Orders are read by one task, so none is lost between the load and the store.
    fn set(&self, zone: &str, state: ZoneState) {
        let mut states = ZoneStates::clone(&self.states.load());
        states.insert(zone.into(), state);
        self.states.store(Arc::new(states));
    }

    /// Whether any zone is evacuated: mostly none is, and no zone has to be looked up.
    pub(crate) fn has_any(&self) -> bool {
        self.states.load().values().any(|state| matches!(state, ZoneState::Evacuated(_)))
    }

    /// Whether nothing may be sent to a zone's servers.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        matches!(self.states.load().get(zone), Some(ZoneState::Evacuated(_)))
    }

    /// When the operator last took a zone back; none where it is evacuated or never was.
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

    /// Part of the state dump.
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
