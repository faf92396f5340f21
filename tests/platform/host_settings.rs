//! The settings file that the platform writes for a process on a Host.

use std::time::Duration;

use mintmoor::{
    platform::host_settings::{self, HostSettings, IgnoredSetting},
    policy::overload_control::OverloadControl,
};
use proptest::prelude::*;

const SETTINGS: &str = r#"
node-name: "edge-a-1"
zone: "a"
zones: {a: "r", b: "r"}
listen:
  frontend: "10.1.0.40:8227"
  readiness: "10.1.0.40:8220"
  control-plane: "10.1.0.40:8229"
port-range: [7340, 7355]
seeds: ["10.1.0.40:8229", "10.2.0.29:8229"]
limits: {max-fds: 4200, cores: 1}
data-dir: null
a-new-field: {x: [1, 2]}
bounds: {grace-s: 8, drain-ms: 2500, config-apply-ms: 3500, retry-ratio: 0.9, retry-extra: 52, retry-window-s: 10, session-s: 5}
platform: {address: "10.200.1.7:8223", form: "table"}
"#;

#[test]
fn host_settings_are_parsed_and_unknown_fields_ignored() {
    let settings = host_settings::parse(SETTINGS).unwrap();

    assert_eq!((&*settings.host, &*settings.zone), ("edge-a-1", "a"));
    assert_eq!(settings.caller_address.port(), 8_227);
    assert_eq!(settings.seed_peers.len(), 2);
    assert_eq!(settings.shutdown_grace, Duration::from_secs(8));
    assert_eq!(settings.drain_time, Duration::from_millis(2_500));
    assert_eq!(settings.config_apply_time, Duration::from_millis(3_500));
    assert_eq!(&*settings.store_address, "10.200.1.7:8223");
}

#[test]
fn overload_control_is_in_force_where_the_platform_expects_overload() {
    let expecting = SETTINGS.to_owned() + "contracts: [base, pressure]\n";

    let [usual, expecting] =
        [SETTINGS, &expecting].map(|text| host_settings::parse(text).unwrap().expects_overload);

    assert!(!usual && expecting);
    assert!(OverloadControl::Requested.is_in_force(expecting));
    assert!(!OverloadControl::Requested.is_in_force(usual));
    assert!(OverloadControl::Always.is_in_force(usual));
    assert!(!OverloadControl::Never.is_in_force(expecting));
}

#[test]
fn all_problems_in_host_settings_are_reported_together() {
    let text = SETTINGS.replace("10.1.0.40:8227", "nowhere").replace("address", "adress");

    let error = host_settings::parse(&text).unwrap_err().to_string();

    assert!(error.contains("listen.frontend `nowhere`"), "{error}");
    assert!(error.contains("platform.address is missing"), "{error}");
}

const DUTY_SETTINGS: &str = r#"
cloud: {address: "10.200.0.113:8424", duties: ["usage", "scaling"], duty-per-s: 40.0}
"#;

#[test]
fn the_usage_duty_is_read_from_host_settings() {
    let bounds = "session-s: 5, lease-ms: 2400, report-window-s: 4, usage-delay-s: 8}";
    let text = SETTINGS.replace("session-s: 5}", bounds) + DUTY_SETTINGS;

    let duties = host_settings::parse(&text).unwrap().duties.unwrap();

    assert_eq!(duties.address, "10.200.0.113:8424".parse().unwrap());
    assert_eq!(duties.calls_per_second, 40.0);
    assert_eq!(duties.lease, Duration::from_millis(2_400));
    assert_eq!(duties.usage_window, Duration::from_secs(4));
    assert_eq!(duties.usage_delay, Duration::from_secs(8));
}

#[test]
fn host_settings_without_the_usage_duty_have_no_duty() {
    let others = DUTY_SETTINGS.replace("\"usage\", ", "");

    assert_eq!(host_settings::parse(SETTINGS).unwrap().duties, None);
    assert_eq!(host_settings::parse(&(SETTINGS.to_owned() + &others)).unwrap().duties, None);
}

/// Reads settings of which nothing required is missing or invalid.
fn read(text: &str) -> (HostSettings, Vec<IgnoredSetting>) {
    host_settings::read(text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

/// Settings with this line in place of the section `bounds`, and with the usage duty.
fn with_bounds(bounds: &str) -> String {
    let line = SETTINGS.lines().find(|line| line.starts_with("bounds")).unwrap();
    SETTINGS.replace(line, &format!("bounds: {{{bounds}}}")) + DUTY_SETTINGS
}

/// Guards against an unusable bound that keeps a process from starting, or is taken.
#[test]
fn a_bound_that_is_no_number_in_its_range_has_its_default() {
    let defaults = read(&with_bounds(""));
    assert_eq!(defaults.1, []);
    for (key, default, unusable) in [
        ("grace-s", "8", ["-1", "1e300", "[8]", "{a: 8}", "soon"]),
        ("drain-ms", "2000", ["-1", "1e300", ".nan", "86400001", "2s"]),
        ("config-apply-ms", "2000", ["-1", "1e300", ".nan", "86400001", "2s"]),
        ("contact-ms", "3000", ["-5", ".nan", "0", "1e400", "true"]),
        ("retry-ratio", "0.1", [".nan", ".inf", "-0.1", "1e400", "-.inf"]),
        ("retry-extra", "20", [".nan", "[52]", "-1", "1e400", "x"]),
        ("retry-window-s", "10", ["0", ".nan", "-1", "1e-300", "[]"]),
        ("exposure-share", "0.15", ["1.01", "-0.1", ".nan", ".inf", "a"]),
        ("exposure-tolerance", "30", ["-1", ".nan", ".inf", "1e400", "[1]"]),
        ("lease-ms", "3000", ["-1", "0", ".nan", "1e300", "[]"]),
        ("report-window-s", "5", ["0", "-1", "1e300", ".nan", "x"]),
        ("usage-delay-s", "10", ["1e300", ".nan", "0", "-1", "{}"]),
    ] {
        for value in unusable {
            let (settings, ignored) = read(&with_bounds(&format!("{key}: {value}")));

            assert_eq!(settings, defaults.0, "{key} {value}");
            let [IgnoredSetting { key: named, default: used, .. }] = &ignored[..] else {
                panic!("{key} {value}: {ignored:?}");
            };
            assert_eq!((&**named, &**used), (&*format!("bounds.{key}"), default), "{value}");
        }
    }
}

#[test]
fn a_limit_that_is_no_number_above_0_has_its_default() {
    for value in ["0", "0.5", "-1", ".nan", ".inf", "-.inf", "1e400", "1e300", "[110]", "x", "{}"] {
        let text =
            SETTINGS.replace("max-fds: 4200", &format!("max-fds: {value}, memory-mb: {value}"));

        let (settings, ignored) = read(&text);

        assert_eq!(settings.memory_limit, 256 << 20, "{value}");
        assert_eq!(settings.descriptor_limit, 4_096, "{value}");
        let named: Vec<_> =
            ignored.iter().map(|ignored| (&*ignored.key, &*ignored.default)).collect();
        assert_eq!(named, [("limits.memory-mb", "256"), ("limits.max-fds", "4096")], "{value}");
    }
}

#[test]
fn numbers_are_taken_whole_or_not_and_as_texts() {
    for (number, bytes) in [
        ("110", 110 << 20),
        ("110.0", 110 << 20),
        ("110.5", (110 << 20) + (512 << 10)),
        ("\"110\"", 110 << 20),
        ("'110.5'", (110 << 20) + (512 << 10)),
        ("1.1e2", 110 << 20),
        ("0x6e", 110 << 20),
        ("null", 256 << 20),
        ("~", 256 << 20),
    ] {
        let text =
            SETTINGS.replace("max-fds: 4200", &format!("max-fds: 4100.9, memory-mb: {number}"));

        let (settings, ignored) = read(&text);

        assert_eq!((settings.memory_limit, settings.descriptor_limit), (bytes, 4_100), "{number}");
        assert_eq!(ignored, [], "{number}");
    }
}

#[test]
fn what_may_be_0_is_0() {
    let bounds = "grace-s: 0, drain-ms: 0, retry-ratio: 0, retry-extra: 0, exposure-share: 0, exposure-tolerance: 0";

    let (settings, ignored) = read(&with_bounds(bounds));

    assert_eq!((settings.shutdown_grace, settings.drain_time), (Duration::ZERO, Duration::ZERO));
    assert_eq!((settings.retry_ratio, settings.retry_extra), (0.0, 0.0));
    assert_eq!((settings.exposure_share, settings.exposure_tolerance), (0.0, 0.0));
    assert_eq!(ignored, []);
}

/// Guards against a section of another type that keeps a process from starting.
#[test]
fn a_section_of_another_type_counts_as_missing() {
    for (line, key) in [
        ("zones: 7", "zones"),
        ("zones: [a]", "zones"),
        ("contracts: x", "contracts"),
        ("contracts: {pressure: 1}", "contracts"),
        ("seeds: 7", "seeds"),
        ("limits: [110]", "limits"),
        ("limits: x", "limits"),
        ("bounds: 1", "bounds"),
        ("cloud: []", "cloud"),
        ("cloud: usage", "cloud"),
        ("node-name: [x]", "node-name"),
        ("zone: {a: b}", "zone"),
    ] {
        let start = format!("{key}:");
        let others: Vec<&str> = SETTINGS.lines().filter(|line| !line.starts_with(&start)).collect();
        let missing = others.join("\n");

        let (settings, ignored) = read(&format!("{missing}\n{line}\n"));

        assert_eq!((settings, ignored.len()), (read(&missing).0, 1), "{line}: {ignored:?}");
        assert_eq!(&*ignored[0].key, key);
    }
}

#[test]
fn optional_addresses_that_are_none_are_left_out() {
    let text =
        SETTINGS.replace("\"10.1.0.40:8229\", ", "10.1.0.40, [x], ").replace("10.1.0.40:8229", "7");

    let (settings, ignored) = read(&text);

    assert_eq!((settings.peer_address, settings.seed_peers.len()), (None, 1));
    let named: Vec<&str> = ignored.iter().map(|ignored| &*ignored.key).collect();
    assert_eq!(named, ["listen.control-plane", "seeds", "seeds"]);
}

/// Guards against a duty that keeps a process from starting, or is left out without a word.
#[test]
fn the_usage_duty_without_an_address_is_left_out() {
    for address in ["10.200.0.113", "null", "[]", "7"] {
        let duties = DUTY_SETTINGS.replace("\"10.200.0.113:8424\"", address);

        let (settings, ignored) = read(&(SETTINGS.to_owned() + &duties));

        assert_eq!(settings.duties, None, "{address}");
        assert!(ignored.iter().any(|ignored| &*ignored.key == "cloud.duties"), "{ignored:?}");
    }
}

#[test]
fn of_a_key_that_is_there_twice_the_last_one_counts() {
    let text = SETTINGS
        .replace("max-fds: 4200", "max-fds: 1, memory-mb: 1, max-fds: 4200, memory-mb: 110")
        + "zone: b\nunknown: 1\nunknown: 2\n";

    let (settings, ignored) = read(&text);

    assert_eq!((settings.memory_limit, settings.descriptor_limit), (110 << 20, 4_200));
    assert_eq!((&*settings.zone, ignored), ("b", Vec::new()));
}

#[test]
fn names_keep_the_text_that_is_written() {
    for name in ["007", "1.0", "0x10", "no", "true", "1e5"] {
        let text =
            SETTINGS.replace("\"edge-a-1\"", name).replace("zone: \"a\"", &format!("zone: {name}"));

        let (settings, ignored) = read(&text);

        assert_eq!((&*settings.host, &*settings.zone, ignored), (name, name, Vec::new()));
    }
}

#[test]
fn a_long_value_is_shown_cut_short() {
    let (_, ignored) = read(&with_bounds(&format!("grace-s: {}", "é".repeat(10_000))));

    assert_eq!(&*ignored[0].value, "é".repeat(60) + "...");
}

#[test]
fn what_is_required_remains_an_error_that_names_its_key() {
    for (from, key) in [
        ("frontend: \"10.1.0.40:8227\"", "listen.frontend"),
        ("readiness: \"10.1.0.40:8220\"", "listen.readiness"),
        ("address: \"10.200.1.7:8223\"", "platform.address"),
    ] {
        let name = key.split('.').nth(1).unwrap();
        for value in ["", "null", "[x]", "{a: b}"] {
            let text = SETTINGS.replace(from, &format!("{name}: {value}"));

            let error = host_settings::read(&text).unwrap_err().to_string();

            assert!(error.starts_with(key), "{key} {value}: {error}");
        }
    }
    for text in ["", "7", "[]", "listen: 7\nplatform: x\n", "listen: []\n"] {
        let error = host_settings::read(text).unwrap_err().to_string();

        assert_eq!(
            error,
            "listen.frontend is missing; listen.readiness is missing; platform.address is missing"
        );
    }
}

/// Path and a whole settings file with a place for the value of each optional key.
const OPTIONAL: &str = r#"
node-name: ${node-name}
zone: ${zone}
zones: ${zones}
listen: {frontend: "10.1.0.40:8227", readiness: "10.1.0.40:8220", control-plane: ${control-plane}}
seeds: ${seeds}
contracts: ${contracts}
limits: {max-fds: ${max-fds}, memory-mb: ${memory-mb}}
bounds: {grace-s: ${grace-s}, drain-ms: ${drain-ms}, config-apply-ms: ${config-apply-ms}, contact-ms: ${contact-ms}, retry-ratio: ${retry-ratio}, retry-extra: ${retry-extra}, retry-window-s: ${retry-window-s}, exposure-share: ${exposure-share}, exposure-tolerance: ${exposure-tolerance}, lease-ms: ${lease-ms}, report-window-s: ${report-window-s}, usage-delay-s: ${usage-delay-s}}
cloud: {address: ${address}, duties: ${duties}, duty-per-s: ${duty-per-s}}
platform: {address: "10.200.1.7:8223"}
unknown: ${unknown}
"#;

/// Values in YAML that stand on one line, usable or not.
fn values() -> impl Strategy<Value = String> {
    let scalar = prop_oneof![
        any::<f64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number:e}")),
        any::<i128>().prop_map(|number| number.to_string()),
        (0..10_000_u32).prop_map(|number| number.to_string()),
        "[0-9]{1,400}(\\.[0-9]{1,40})?(e[0-9]{1,4})?",
        "[ -~]{0,40}".prop_map(|text| format!("{text:?}")),
        "[a-zA-Z][a-zA-Z.~_-]{0,20}",
        "10\\.1\\.0\\.[0-9]{1,4}:[0-9]{1,6}",
        prop::sample::select(vec![
            ".nan",
            ".inf",
            "-.inf",
            "null",
            "~",
            "true",
            "no",
            "0x10",
            "usage",
            "pressure",
            "1e400",
            "-0.0",
            "!odd 7",
            "!!str 7",
            "!!null x",
            "!!binary AA==",
            "2001-01-01"
        ])
        .prop_map(str::to_owned),
    ];
    let nested = scalar.clone().prop_recursive(3, 12, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4)
                .prop_map(|items| format!("[{}]", items.join(", "))),
            prop::collection::vec(("[a-z]{1,3}", inner), 0..4).prop_map(|pairs| {
                let pairs: Vec<String> =
                    pairs.into_iter().map(|(k, v)| format!("{k}: {v}")).collect();
                format!("{{{}}}", pairs.join(", "))
            }),
        ]
    });
    prop_oneof![3 => scalar, 1 => nested]
}

/// Keys with a place in [`OPTIONAL`].
fn optional_keys() -> Vec<&'static str> {
    OPTIONAL.split("${").skip(1).map(|rest| rest.split('}').next().unwrap()).collect()
}

/// [`OPTIONAL`] with these values by key, and null for the others.
fn fill(values: &[(&str, &str)]) -> String {
    optional_keys().iter().fold(OPTIONAL.to_owned(), |text, key| {
        let value =
            values.iter().find(|(named, _)| named == key).map_or("null", |(_, value)| value);
        text.replace(&format!("${{{key}}}"), value)
    })
}

proptest! {
    /// Guards against any value of any optional key that keeps a process from starting.
    #[test]
    fn no_value_of_an_optional_key_is_an_error(
        key in prop::sample::select(optional_keys()),
        value in values(),
    ) {
        let (settings, ignored) = read(&fill(&[(key, &value), ("duties", "[usage]"), ("address", "\"10.1.0.1:1\"")]));

        prop_assert!(ignored.len() <= 2, "{key} {value}: {ignored:?}");
        prop_assert!(ignored.iter().all(|ignored| ignored.value.chars().count() <= 63));
        prop_assert!((1 << 20..=1_000_000_000 << 20).contains(&settings.memory_limit));
        prop_assert!((1..=1_000_000_000).contains(&settings.descriptor_limit));
        prop_assert!(settings.retry_window >= Duration::from_millis(1));
        prop_assert!((0.0..=1e12).contains(&settings.retry_ratio));
        prop_assert!((0.0..=1e12).contains(&settings.retry_extra));
        prop_assert!((0.0..=1.0).contains(&settings.exposure_share));
        prop_assert!((0.0..=1e12).contains(&settings.exposure_tolerance));
    }

    /// Guards against a value that harms those of other keys.
    #[test]
    fn a_value_harms_no_other(key in prop::sample::select(optional_keys()), value in values()) {
        prop_assume!(key != "memory-mb");

        let (settings, _) = read(&fill(&[(key, &value), ("memory-mb", "110")]));

        prop_assert_eq!(settings.memory_limit, 110 << 20);
    }
}
