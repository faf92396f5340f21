//! Fields of the operator's configuration that can't be read: each harms only what it is part of, and nothing becomes
//! public or wider than it is written.

use std::time::Duration;

use mintmoor::{
    platform::{
        documents::{OperatorChange, parse_operator_row},
        store::{Row, Table},
    },
    routing::{RouteKind, RoutingTable},
};
use proptest::prelude::*;

use crate::row_envelope_properties::balanced_text;

const SOUND_ROUTE: &str =
    r#"{"name": "sound", "host": "h", "prefix": "/", "service": "app", "public": true}"#;

fn parse(text: &str) -> Option<RoutingTable> {
    let key = "config".into();
    let value = text.into();
    let row = Row { table: Table::Orders, key, value, version: 1, era: 0, is_removed: false };
    match parse_operator_row(&row) {
        Ok(Some(OperatorChange::Configuration(table))) => Some(*table),
        Ok(other) => panic!("{other:?}"),
        Err(_) => None,
    }
}

/// The configuration with a sound route for all paths, and another one for `/a/` with this further field.
fn with_route(field: &str) -> RoutingTable {
    let text = format!(
        r#"{{"version": 3, "routes": [{SOUND_ROUTE}, {{"name": "other", "host": "h", "prefix": "/a/", {field}}}]}}"#
    );
    parse(&text).unwrap_or_else(|| panic!("not read: {text}"))
}

/// Numbers of another type than a field's.
const ODD: [&str; 6] = ["-1", "1.5", "\"2\"", "null", "[1]", "{}"];
/// Values that a parser of whole documents gives up on.
const UNPARSABLE: [&str; 3] = ["1e400", "\"\\ud800\"", "NaN"];

#[test]
fn a_number_of_a_route_that_cannot_be_read_takes_its_default() {
    for odd in ODD.iter().chain(&UNPARSABLE) {
        let table = with_route(&format!(
            r#""service": "app", "timeout-ms": "x", "priority": {odd}, "max-attempts": {odd}"#
        ));

        let route = table.route("h", "/a/b").unwrap();
        assert_eq!((route.priority, route.max_attempts), (0, 1), "{odd}");
        assert_eq!((&*route.name, route.timeout), ("other", Duration::from_secs(30)), "{odd}");
    }
}

#[test]
fn numbers_above_range_saturate_and_whole_ones_may_be_written_as_fractions() {
    for (written, priority, attempts) in [
        ("300", 255, 300),
        ("2.0", 2, 2),
        ("18446744073709551616", 255, u32::MAX),
        ("1e300", 255, u32::MAX),
        ("0", 0, 1),
    ] {
        let table = with_route(&format!(
            r#""service": "app", "priority": {written}, "max-attempts": {written}"#
        ));

        let route = table.route("h", "/a/b").unwrap();
        assert_eq!((route.priority, route.max_attempts), (priority, attempts), "{written}");
    }
}

#[test]
fn times_that_cannot_be_read_take_their_defaults() {
    for odd in ["\"2\"", "null", "[1]", "1e400"] {
        let table = with_route(&format!(
            r#""service": "app", "timeout-ms": {odd}, "target-latency-ms": {odd}, "itl-target-ms": {odd}"#
        ));

        let route = table.route("h", "/a/b").unwrap();
        let default = Duration::from_secs(30);
        assert_eq!((route.timeout, route.objective, route.max_event_gap), (default, default, None));
    }
}

/// Without it, its requests would match the public route for all paths.
#[test]
fn a_route_whose_destination_cannot_be_read_is_closed_and_harms_no_other() {
    for field in [
        "\"service\": 7",
        "\"service\": \"\\ud800\"",
        "\"split\": [{\"service\": \"app\"}]",
        "\"split\": {}",
        "\"service\": \"app\", \"sizes\": [1]",
        "\"service\": \"app\", \"sizes\": null",
        "\"service\": \"app\", \"allowed-regions\": \"r\"",
        "\"service\": \"app\", \"allowed-regions\": [7]",
        "\"service\": \"app\", \"name\": \"twice\"",
    ] {
        let table = with_route(&format!("{field}, \"public\": true"));

        let route = table.route("h", "/a/b").unwrap();
        assert_eq!((&*route.prefix, route.is_public), ("/a/", false), "{field}");
        assert!(route.targets.iter().all(|target| target.service.is_empty()), "{field}");
        assert_eq!(&*table.route("h", "/b").unwrap().name, "sound", "{field}");
    }
}

#[test]
fn a_route_whose_requests_are_unknown_is_left_out() {
    for route in ["7", "null", "{}", "{\"host\": \"h\"}", "{\"host\": 1, \"prefix\": \"/a/\"}", ""]
    {
        let table = parse(&format!(r#"{{"version": 3, "routes": [{route}, {SOUND_ROUTE}]}}"#));

        let table = table.unwrap_or_else(|| panic!("not read: {route}"));
        assert_eq!(&*table.route("h", "/a/b").unwrap().name, "sound", "{route}");
    }
}

#[test]
fn what_a_route_permits_is_never_wider_than_written() {
    for odd in ["\"true\"", "1", "null", "1e400"] {
        let table = with_route(&format!(
            r#""service": "app", "public": {odd}, "resumable": {odd}, "route-kind": {odd}"#
        ));

        let route = table.route("h", "/a/b").unwrap();
        assert!(!route.is_public && !route.is_resumable, "{odd}");
        assert_eq!(route.kind, RouteKind::AtMostOnce, "{odd}");
    }
}

#[test]
fn a_tenant_that_cannot_be_read_grants_nothing_and_the_others_keep_their_keys() {
    let sound = r#"{"name": "sound", "api-keys": ["k-1", "k-2"]}"#;
    for odd in [
        "7",
        "{}",
        r#"{"name": 7, "api-keys": ["k-9"]}"#,
        r#"{"name": "odd"}"#,
        r#"{"name": "odd", "api-keys": "k-9"}"#,
        r#"{"name": "odd", "api-keys": [1e400, null, ["k-9"]]}"#,
        r#"{"name": "odd", "api-keys": ["k-9"], "allowed-regions": 7}"#,
    ] {
        let text = format!(r#"{{"version": 3, "routes": [], "tenants": [{odd}, {sound}]}}"#);
        let table = parse(&text).unwrap_or_else(|| panic!("not read: {text}"));

        let keys = table.organisations_by_key.unwrap();
        let mut known: Vec<&str> = keys.keys().map(|key| &**key).collect();
        known.sort_unstable();
        assert_eq!(known, ["k-1", "k-2"], "{odd}");
    }
}

#[test]
fn a_readable_key_beside_an_odd_one_is_kept() {
    let table = parse(
        r#"{"version": 3, "tenants": [{"name": "o", "api-keys": [7, "k-1"], "priority": 300}]}"#,
    );

    let keys = table.unwrap().organisations_by_key.unwrap();
    assert_eq!((keys.len(), keys["k-1"].priority), (1, Some(255)));
}

/// Without tenants, no request needs a key.
#[test]
fn a_list_of_tenants_that_cannot_be_read_does_not_open_the_routes() {
    for odd in ["7", "{}", "\"x\"", "1e400", "[],\"tenants\":[]"] {
        let table = parse(&format!(r#"{{"version": 3, "routes": [], "tenants": {odd}}}"#));

        let table = table.unwrap_or_else(|| panic!("not read: {odd}"));
        assert_eq!(table.organisations_by_key.map(|keys| keys.len()), Some(0), "{odd}");
    }
}

#[test]
fn services_and_limits_that_cannot_be_read_take_their_defaults() {
    for odd in ODD.iter().chain(&UNPARSABLE) {
        let text = format!(
            r#"{{"version": 3, "routes": [{SOUND_ROUTE}], "services": [{odd},
                {{"name": "llm", "engine": {{"kv-capacity": {odd}}}, "cold-per-s": "x"}},
                {{"name": "app", "engine": {{"kv-capacity": 1000.0}}}}],
                "limits": {{"max-body-bytes": 9, "max-header-bytes": {odd}, "header-timeout-ms": {odd},
                "idle-timeout-ms": 18446744073709551616}}}}"#
        );
        let table = parse(&text).unwrap_or_else(|| panic!("not read: {text}"));

        assert_eq!(table.kv_cache_tokens.into_iter().collect::<Vec<_>>(), [("app".into(), 1_000)]);
        let limits = table.limits.unwrap();
        assert_eq!((limits.body_bytes, limits.header_bytes), (9, 16 << 10), "{odd}");
        assert_eq!(limits.header_timeout, Duration::from_secs(3), "{odd}");
        assert_eq!(limits.idle_timeout, Duration::from_secs(86_400), "{odd}");
    }
}

/// The former configuration stays in force.
#[test]
fn a_configuration_without_a_version_or_routes_that_can_be_read_is_rejected() {
    for text in [
        "",
        "{}",
        "[]",
        "{\"version\": -1, \"routes\": []}",
        "{\"version\": 1.5, \"routes\": []}",
        "{\"version\": 1e400, \"routes\": []}",
        "{\"version\": 1, \"routes\": 7}",
        "{\"version\": 1, \"routes\": [{\"name\": \"cut\"",
    ] {
        assert!(parse(text).is_none(), "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn any_bytes_are_a_configuration_or_an_error(value in proptest::collection::vec(any::<u8>(), 0..512)) {
        let key = "config".into();
        let _ = parse_operator_row(&Row { table: Table::Orders, key, value, version: 1, era: 0, is_removed: false });
    }

    #[test]
    fn sound_routes_beside_any_odd_text_are_read(odd in balanced_text()) {
        let table = parse(&format!(
            r#"{{"version": 3, "x": {odd}, "routes": [{odd}, {SOUND_ROUTE}, {odd}], "services": [{odd}],
                "limits": {odd}, "tenants": {odd}}}"#
        ));
        let table = table.unwrap();
        prop_assert_eq!(&*table.route("h", "/b").unwrap().name, "sound");
    }
}
