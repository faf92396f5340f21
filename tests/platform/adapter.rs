//! The platform adapter, which translates settings, headers, documents and responses of the
//! platform into the router's types.

use std::time::Duration;

use http::{HeaderMap, Method, StatusCode, Uri};
use mintmoor::{
    platform::{
        HttpClient,
        documents::{OperatorChange, parse_operator_row, unknown_row_kind},
        request_headers::{AttemptHeaders, HeadError, build_attempt_headers, parse_request_head},
        response_headers::parse_response_head,
        store::{Put, Row, StoreClient, Table, WriteOutcome},
    },
    policy::{
        load::{ReportedLoad, ReportedPace},
        rate_limit::AdvertisedLimit,
        retry_after::RetryAfter,
    },
    routing::{Organisation, ResponseKind},
};

use crate::store::{Fault, Store};

/// Names and values of header lines.
type HeaderPairs<'a> = &'a [(&'static str, &'a str)];

/// A header map with these lines.
fn headers(pairs: HeaderPairs<'_>) -> HeaderMap {
    pairs.iter().map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap())).collect()
}

/// Parses the head of a GET request with these headers.
fn parse_get(pairs: HeaderPairs<'_>) -> Result<mintmoor::routing::RequestHead, HeadError> {
    parse_request_head(&Method::GET, &Uri::from_static("/a/b?c"), &headers(pairs))
}

#[test]
fn all_fields_of_a_request_head_are_parsed() {
    let head = parse_get(&[
        ("host", "h.example:80"),
        ("x-request-id", "r1"),
        ("authorization", "Bearer k"),
        ("x-deadline-ms", "2500"),
        ("x-model", "*"),
        ("x-token-usage", "1460,80"),
        ("x-prefix-hash", "5c:800,91bd:410,e4:250"),
        ("session", "s"),
        ("last-event-id", "12"),
    ])
    .unwrap();

    assert_eq!((&*head.host, &*head.id, head.api_key.as_deref()), ("h.example", "r1", Some("k")));
    assert_eq!(head.caller_timeout, Some(Duration::from_millis(2_500)));
    assert_eq!(
        (head.prompt_tokens, head.max_answer_tokens, head.last_event_id),
        (1_460, 80, Some(12))
    );
    assert_eq!(head.model, None, "the router chooses the model");
    assert_eq!(head.last_shared_part().map(|part| (part.id, part.tokens)), Some((0x91bd, 410)));
    assert_eq!(head.session_key(), "s");
}

/// An entry that can't be read must not shift the last part, which no other request has.
#[test]
fn unreadable_prompt_parts_keep_their_places() {
    let ids = |value: &str| {
        let headers = [("host", "h.example"), ("x-request-id", "r1"), ("x-prefix-hash", value)];
        let head = parse_get(&headers).unwrap();
        head.shared_parts().iter().map(|part| part.id).collect::<Vec<_>>()
    };

    assert_eq!(ids("5c:800, 91BD:410,e4:250"), [0x5c, 0x91bd]);
    assert_eq!(ids("5c:800,91bd:410,not hexadecimal"), [0x5c, 0x91bd]);
    assert_eq!(ids("5c:many,e4:250"), [0x5c]);
    let long = "5c0000000000000000000000e4:800";
    assert_eq!(ids(&format!("{long},e4:1")), ids(&format!("{long},e5:1")));
    assert_eq!(ids("5c:800").len(), 0);
}

#[test]
fn headers_reserved_for_the_router_are_removed_from_requests() {
    let reserved = [
        "x-tenant",
        "x-expect-instance",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "x-request-priority",
        "x-expect-version",
        "authorization",
        "connection",
        "keep-alive",
        "te",
        "upgrade",
    ];
    let mut pairs = vec![("host", "h"), ("x-request-id", "r"), ("x-kept", "1")];
    pairs.extend(reserved.iter().map(|name| (*name, "x-dropped")));
    pairs.push(("x-dropped", "1"));

    let head = parse_get(&pairs).unwrap();

    let forwarded: Vec<&str> = head.headers.keys().map(|name| name.as_str()).collect();
    assert_eq!(forwarded, ["host", "x-request-id", "x-kept"]);
}

/// Guards against requests that reach a server without their id or host: a caller's `Connection` may name any header.
#[test]
fn a_request_keeps_its_id_and_host_whatever_connection_names() {
    let head = parse_get(&[
        ("host", "h.example:80"),
        ("x-request-id", "r1"),
        ("x-other", "1"),
        ("connection", "X-Request-Id, host, x-other"),
    ])
    .unwrap();

    assert_eq!(head.headers, headers(&[("host", "h.example:80"), ("x-request-id", "r1")]));
}

#[test]
fn attempt_headers_carry_server_deadline_and_organisation() {
    let head = parse_get(&[("host", "h"), ("x-request-id", "r"), ("x-model", "*")]).unwrap();
    let organisation =
        Organisation { name: "org".into(), priority: None, permitted_regions: Vec::new() };
    let attempt = AttemptHeaders {
        server: "i-1",
        organisation: Some(&organisation),
        time_left: Duration::from_millis(800),
        model: Some("small"),
        priority: 2,
        last_event_id: Some(4),
    };

    let sent = build_attempt_headers(&head, &attempt);

    let value = |name: &str| sent.get(name).unwrap().to_str().unwrap().to_owned();
    assert_eq!(value("x-expect-instance"), "i-1");
    assert_eq!(value("x-deadline-ms"), "800");
    assert_eq!(value("x-tenant"), "org");
    assert_eq!(value("x-model"), "small");
    assert_eq!(value("x-request-priority"), "2");
    assert_eq!(value("last-event-id"), "4");
}

#[test]
fn an_ambiguous_length_and_missing_headers_are_rejected() {
    let conflicting = [
        ("host", "h"),
        ("x-request-id", "r"),
        ("content-length", "3"),
        ("transfer-encoding", "chunked"),
    ];
    assert_eq!(parse_get(&conflicting).unwrap_err(), HeadError::AmbiguousLength);
    assert_eq!(parse_get(&[("host", "h")]).unwrap_err(), HeadError::MissingId);
    assert_eq!(parse_get(&[("x-request-id", "r")]).unwrap_err(), HeadError::MissingHost);
}

#[test]
fn response_heads_are_classified_by_status_and_signature() {
    let signed = ("x-instance-stamp", "s");
    let matching_id = ("x-request-id", "r");
    let cases: [(u16, HeaderPairs, ResponseKind); 10] = [
        (200, &[signed, matching_id], ResponseKind::Success),
        (500, &[signed, matching_id], ResponseKind::Failure),
        (503, &[("x-not-executed", "1")], ResponseKind::NotRun),
        (503, &[signed, matching_id], ResponseKind::Failure),
        (421, &[], ResponseKind::Misdirected),
        (421, &[signed, matching_id], ResponseKind::Failure),
        (421, &[signed, matching_id, ("x-not-executed", "1")], ResponseKind::Misdirected),
        (200, &[matching_id], ResponseKind::Unsigned),
        (200, &[signed, ("x-request-id", "other")], ResponseKind::WrongRequest),
        (200, &[signed, matching_id, ("content-encoding", "gzip")], ResponseKind::Unsigned),
    ];
    for (status, pairs, kind) in cases {
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(
            parse_response_head(status, &headers(pairs), "r").kind,
            kind,
            "{status} {pairs:?}"
        );
    }
}

#[test]
fn unknown_response_headers_are_reported() {
    let known = headers(&[
        ("x-request-id", "r"),
        ("x-instance-stamp", "s"),
        ("x-not-executed", "1"),
        ("x-instance-load", "1,0,8"),
        ("server-limit", "3"),
        ("server-leaving", "1"),
        ("x-confidence", "50"),
        ("retry-after", "1"),
        ("connection", "close"),
        ("content-type", "text/plain"),
        ("content-length", "0"),
        ("keep-alive", "timeout=5"),
        ("x-weight-versions", "3"),
        ("x-cold-ms", "0"),
        ("x-instance-id", "i"),
    ]);
    assert!(parse_response_head(StatusCode::OK, &known, "r").unknown_headers.is_empty());

    let unknown = headers(&[("x-request-id", "r"), ("server-mood", "grim")]);
    assert_eq!(parse_response_head(StatusCode::OK, &unknown, "r").unknown_headers, ["server-mood"]);
}

#[test]
fn the_time_that_work_takes_is_parsed_from_the_load() {
    let load = |value| {
        let pairs = [("x-instance-load", value)];
        parse_response_head(StatusCode::OK, &headers(&pairs), "r").load
    };
    let cases = [
        ("1,2,8", ReportedPace::Absent),
        ("1,2,8,55", ReportedPace::Percent(55)),
        ("1,2,8, 300", ReportedPace::Percent(300)),
        ("1,2,8,1000000000", ReportedPace::Percent(1_000_000_000)),
        ("1,2,8,0", ReportedPace::Unreadable),
        ("1,2,8,-55", ReportedPace::Unreadable),
        ("1,2,8,", ReportedPace::Unreadable),
        ("1,2,8,fast", ReportedPace::Unreadable),
        ("1,2,8,0.55", ReportedPace::Unreadable),
        ("1,2,8,NaN", ReportedPace::Unreadable),
        ("1,2,8,99999999999", ReportedPace::Unreadable),
        ("1,2,8,55,7", ReportedPace::Unreadable),
    ];
    for (value, pace) in cases {
        let expected = ReportedLoad { running: 1, waiting: 2, slots: 8, pace };
        assert_eq!(load(value), Some(expected), "{value}");
    }
    assert_eq!(load("1,2"), None);
}

#[test]
fn a_draining_notice_and_retry_after_are_parsed() {
    let read = |pairs| parse_response_head(StatusCode::SERVICE_UNAVAILABLE, &headers(pairs), "r");
    let draining = |pairs| read(pairs).is_draining;
    assert!(!draining(&[]));
    assert!(draining(&[("server-leaving", "1")]));
    assert!(draining(&[("server-leaving", "0"), ("server-leaving", "1")]));
    assert!(!draining(&[("server-leaving", "0")]));

    let pause = |pairs| read(pairs).retry_after;
    assert_eq!(pause(&[]), RetryAfter::None);
    let seconds = |seconds| RetryAfter::After(Duration::from_secs(seconds));
    assert_eq!(pause(&[("retry-after", "2"), ("retry-after", "5")]), seconds(5));
    assert_eq!(pause(&[("retry-after", "soon"), ("retry-after", "5")]), seconds(5));
    assert_eq!(pause(&[("retry-after", "soon")]), RetryAfter::Unreadable);
}

#[test]
fn unknown_order_kinds_are_reported() {
    for known in ["config", "rollout/app", "evacuate/zone-a"] {
        assert_eq!(unknown_row_kind(known), None);
    }
    assert_eq!(unknown_row_kind("quota/org"), Some("quota"));
    assert_eq!(unknown_row_kind("pause"), Some("pause"));
}

#[test]
fn the_advertised_rate_limit_is_parsed() {
    let cases: [(&[&str], AdvertisedLimit); 11] = [
        (&[], AdvertisedLimit::Nothing),
        (&["1.9"], AdvertisedLimit::Rate(1.9)),
        (&[" 0 "], AdvertisedLimit::Rate(0.0)),
        (&["1e9"], AdvertisedLimit::Rate(1e9)),
        (&["2.4", "1.9"], AdvertisedLimit::Rate(1.9)),
        (&["2.4, 1.9"], AdvertisedLimit::Rate(1.9)),
        (&["few", "1.9"], AdvertisedLimit::Rate(1.9)),
        (&["few"], AdvertisedLimit::Unreadable),
        (&["-1"], AdvertisedLimit::Unreadable),
        (&["NaN"], AdvertisedLimit::Unreadable),
        (&["inf"], AdvertisedLimit::Unreadable),
    ];
    for (lines, expected) in cases {
        let mut header_map = HeaderMap::new();
        lines.iter().for_each(|line| {
            header_map.append("server-limit", line.parse().unwrap());
        });
        assert_eq!(
            parse_response_head(StatusCode::OK, &header_map, "r").rate_limit,
            expected,
            "{lines:?}"
        );
    }
}

#[test]
fn huge_times_in_orders_are_cut_to_a_day() {
    let order = |duration: &str| Row {
        table: Table::Orders,
        key: "rollout/llm".into(),
        value: format!(r#"{{"service": "llm", "to": "v2", "duration-s": {duration}}}"#).into(),
        version: 1,
        era: 0,
        is_removed: false,
    };
    let duration = |text: &str| match parse_operator_row(&order(text)).unwrap() {
        Some(OperatorChange::RollOut(order)) => order.duration,
        other => panic!("{other:?}"),
    };

    assert_eq!(duration("1e300"), Duration::from_secs(86_400));
    assert_eq!(duration("-4"), Duration::ZERO);
    assert_eq!(duration("12.5"), Duration::from_millis(12_500));
}

#[tokio::test]
async fn one_row_is_read_by_its_key() {
    let store = Store::start().await;
    for key in ["a", "k", "k1", "z"] {
        store.put("mintmoor-duties", key, &serde_json::json!({}));
    }
    let client = StoreClient::new(HttpClient::default(), &store.address.to_string());

    let read = client.read_row(Table::Duties, "k").await.unwrap();
    let missing = client.read_row(Table::Duties, "b").await.unwrap();

    assert_eq!(read.rows.iter().map(|row| &*row.key).collect::<Vec<_>>(), ["k"]);
    assert!(missing.rows.is_empty());
}

#[tokio::test]
async fn a_write_succeeds_only_if_the_row_has_the_expected_version() {
    let store = Store::start().await;
    let client = StoreClient::new(HttpClient::default(), &store.address.to_string());
    let put =
        |expected| Put { table: Table::Own, key: "k".into(), expected, value: b"{}".to_vec() };

    let first = client.write(&[put(0)], 0).await.unwrap();
    let second = client.write(&[put(0)], 0).await.unwrap();

    let WriteOutcome::Written(version) = first else { panic!("{first:?}") };
    assert!(matches!(second, WriteOutcome::Conflict), "{second:?}");
    assert!(matches!(client.write(&[put(version)], 0).await.unwrap(), WriteOutcome::Written(_)));
}

#[tokio::test]
async fn a_refused_write_is_distinguished_from_one_that_may_have_succeeded() {
    use mintmoor::platform::Error;
    let store = Store::start().await;
    let client = StoreClient::new(HttpClient::default(), &store.address.to_string());
    let put = [Put { table: Table::Own, key: "k".into(), expected: 0, value: b"{}".to_vec() }];

    for fault in [Fault::Down, Fault::RateLimited] {
        store.set_fault(fault);
        assert!(matches!(client.write(&put, 0).await, Err(Error::Refused(_))));
    }
    store.set_fault(Fault::RepliesLost);
    assert!(matches!(client.write(&put, 0).await, Err(Error::Unknown(_))));
    assert!(store.read("mintmoor", "k").is_some(), "the write did take effect");
}

#[test]
fn platform_names_appear_only_in_src_platform() {
    // Headers, store calls and document fields that only the adapter may use.
    const NAMES: [&str; 19] = [
        "x-deadline-ms",
        "x-token-usage",
        "x-prefix-hash",
        "x-instance",
        "x-expect-instance",
        "x-not-executed",
        "x-tenant",
        "x-confidence",
        "rows-tx",
        "rows-get",
        "rows-feed",
        "expected-rev",
        "after-rev",
        "cold-remaining",
        "api-keys",
        "target-latency",
        "itl-target",
        "route-kind",
        "node-name",
    ];
    let mut found = Vec::new();
    let mut folders = vec![std::path::PathBuf::from("src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                if !path.ends_with("src/platform") {
                    folders.push(path);
                }
                continue;
            }
            let text = std::fs::read_to_string(&path).unwrap().to_lowercase();
            let names = NAMES.iter().filter(|name| text.contains(**name));
            found.extend(names.map(|name| format!("{}: {name}", path.display())));
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}
