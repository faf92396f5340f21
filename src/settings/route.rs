//! Settings of the `route` process that the platform's own settings file does not contain.
//! `docs/SETTINGS.md` lists the keys.

use std::time::Duration;

use crate::{
    policy::{
        caller_limits::CallerLimits, escalation::EscalationConfig, exposure::ExposureConfig,
        overload_control::OverloadControl, placement::PlacementConfig,
        reservation::ReservationConfig,
    },
    settings::{SettingsError, reader::Reader},
    telemetry::log::LogLevel,
};

/// Policies and local options of a `route` process. All have defaults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteSettings {
    /// When a cascade asks a larger model.
    pub escalation: EscalationConfig,
    /// How the traffic share of a new version grows during a roll-out.
    pub exposure: ExposureConfig,
    /// Placement costs of a server besides its backlog.
    pub placement: PlacementConfig,
    /// When overload control is in force.
    pub overload_control: OverloadControl,
    /// Queue for the largest model at which requests give way to more urgent ones under overload control.
    pub reservation: ReservationConfig,
    /// What callers may use, and how fast they have to be.
    pub callers: CallerLimits,
    /// Port on the Host's address that serves metrics and the state dump, in addition to the readiness
    /// address.
    pub metrics_port: Option<u16>,
    /// Minimum level that is logged.
    pub log_level: LogLevel,
}

/// Reads the settings of a `route` process.
///
/// # Errors
/// All problems of the text.
pub fn load_route(file: &str, text: &str) -> Result<RouteSettings, SettingsError> {
    let mut r = Reader::parse(file, text)?;
    let defaults = RouteSettings::default();
    let escalation = get_escalation(&mut r, &defaults.escalation);
    let shares = defaults.exposure;
    let exposure = ExposureConfig {
        trial_share: get_number(&mut r, "roll_out.trial_share", shares.trial_share, 1.0),
        sessions_from: get_number(&mut r, "roll_out.sessions_from", shares.sessions_from, 1.0),
        grows_from: get_number(&mut r, "roll_out.grows_from", shares.grows_from, 1.0),
        all_from: get_number(&mut r, "roll_out.all_from", shares.all_from, 1.0),
        complete_from: get_number(&mut r, "roll_out.complete_from", shares.complete_from, 1.0),
    };
    let costs = defaults.placement;
    let placement = PlacementConfig {
        running: get_micros(&mut r, "placement.running_us", costs.running),
        waiting: get_micros(&mut r, "placement.waiting_us", costs.waiting),
        failure: get_micros(&mut r, "placement.failure_us", costs.failure),
        far: get_micros(&mut r, "placement.far_us", costs.far),
        far_kilobyte: get_micros(&mut r, "placement.far_kilobyte_us", costs.far_kilobyte),
        spare_backlog: get_micros(&mut r, "placement.spare_backlog_us", costs.spare_backlog),
        reread_token: get_micros(&mut r, "placement.reread_token_us", costs.reread_token),
        choices: get_positive(&mut r, "placement.choices", costs.choices),
    };
    let expected = "requested, always or never";
    let overload_control =
        r.get("overload.control", expected, Some(defaults.overload_control)).unwrap_or_default();
    let bounds = defaults.reservation;
    let reservation = ReservationConfig {
        from: get_number(&mut r, "overload.reserve_from", bounds.from, 10.0),
        full: get_number(&mut r, "overload.reserve_full", bounds.full, 10.0),
    };
    let callers = get_callers(&mut r, &defaults.callers);
    let metrics_port = r.get_optional("listen.metrics_port", "a port number");
    let expected = "error, warn, info or debug";
    let log_level = r.get("log.level", expected, Some(defaults.log_level)).unwrap_or_default();
    if escalation.pressure_full <= escalation.pressure_from {
        r.add_problem_at_key("cascade.pressure_full", "must be above `cascade.pressure_from`");
    }
    if reservation.full <= reservation.from {
        r.add_problem_at_key("overload.reserve_full", "must be above `overload.reserve_from`");
    }
    let thresholds =
        [exposure.sessions_from, exposure.grows_from, exposure.all_from, exposure.complete_from];
    if !thresholds.is_sorted() {
        let problem = "`sessions_from`, `grows_from`, `all_from` and `complete_from` must be in non-decreasing order";
        r.add_problem_at_key("roll_out", problem);
    }
    r.finish()?;
    Ok(RouteSettings {
        escalation,
        exposure,
        placement,
        overload_control,
        reservation,
        callers,
        metrics_port,
        log_level,
    })
}

fn get_callers(r: &mut Reader<'_>, callers: &CallerLimits) -> CallerLimits {
    CallerLimits {
        min_bytes_per_s: r
            .get("callers.min_bytes_per_s", "a whole number", Some(callers.min_bytes_per_s))
            .unwrap_or(callers.min_bytes_per_s),
        period: get_millis(r, "callers.period_ms", callers.period),
        yield_after: get_millis(r, "callers.yield_after_ms", callers.yield_after),
        evict_after: get_millis(r, "callers.evict_after_ms", callers.evict_after),
        connection_bytes: get_positive(r, "callers.connection_bytes", callers.connection_bytes),
    }
}

fn get_escalation(r: &mut Reader<'_>, cascade: &EscalationConfig) -> EscalationConfig {
    EscalationConfig {
        confident: get_number(r, "cascade.confident", cascade.confident, 100.0),
        confident_under_pressure: get_number(
            r,
            "cascade.confident_under_pressure",
            cascade.confident_under_pressure,
            100.0,
        ),
        confident_if_late: get_number(
            r,
            "cascade.confident_if_late",
            cascade.confident_if_late,
            100.0,
        ),
        pressure_from: get_number(r, "cascade.pressure_from", cascade.pressure_from, 10.0),
        pressure_full: get_number(r, "cascade.pressure_full", cascade.pressure_full, 10.0),
    }
}

fn get_number(r: &mut Reader<'_>, key: &str, default: f64, max: f64) -> f64 {
    let value = r.get(key, "a number", Some(default)).unwrap_or(default);
    if !(0.0..=max).contains(&value) {
        r.add_problem_at_key(
            key,
            &format!("invalid value `{value}`; expected a number from 0 to {max}"),
        );
    }
    value
}

fn get_positive(r: &mut Reader<'_>, key: &str, default: usize) -> usize {
    let value = r.get(key, "a whole number", Some(default)).unwrap_or(default);
    if value == 0 {
        r.add_problem_at_key(key, "invalid value `0`; expected a whole number above 0");
    }
    value
}

fn get_millis(r: &mut Reader<'_>, key: &str, default: Duration) -> Duration {
    let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
    let millis = r.get(key, "a whole number of milliseconds", Some(default)).unwrap_or(default);
    Duration::from_millis(millis)
}

fn get_micros(r: &mut Reader<'_>, key: &str, default: Duration) -> Duration {
    let default = u64::try_from(default.as_micros()).unwrap_or(u64::MAX);
    let micros = r.get(key, "a whole number of microseconds", Some(default)).unwrap_or(default);
    Duration::from_micros(micros)
}
