//! The resource API: ownership, conflicts, validation, watching, idempotent changes.

mod common;

use std::sync::Arc;

use common::wait_until;
use http::Method;
use mintmoor::{
    local::{Fleet, LocalSystem, operator_key},
    platform::HttpClient,
    resources::Kind,
};
use serde_json::{Value, json};

struct Api {
    system: Arc<LocalSystem>,
    http: HttpClient,
}

impl Api {
    async fn start() -> Api {
        let system = LocalSystem::start(Fleet::standard(3)).await.unwrap();
        Api { system: Arc::new(system), http: HttpClient::default() }
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        partner: &str,
        headers: &[(&'static str, &str)],
        body: &Value,
    ) -> (u16, Value) {
        let uri = format!("{}/api/v1/{path}", self.system.urls[0].1);
        let mut map = http::HeaderMap::new();
        let key = operator_key(partner);
        map.insert("authorization", format!("Bearer {key}").parse().unwrap());
        for (name, value) in headers {
            map.insert(*name, value.parse().unwrap());
        }
        let method: Method = method.parse().unwrap();
        let body = body.to_string().into();
        let timeout = std::time::Duration::from_secs(20);
        let reply = self.http.call(method, &uri, map, body, timeout).await.unwrap();
        (reply.status.as_u16(), serde_json::from_slice(&reply.body).unwrap_or_default())
    }
}

fn cascade(target: f64) -> Value {
    json!({ "stages": ["swift", "deep"], "quality_target": target })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_partner_can_not_touch_or_infer_the_first_ones_objects() {
    let api = Api::start().await;

    // The same answers for an object that exists and for one that does not.
    for name in ["ricarica%2Ftopup", "ricarica%2Fnothing"] {
        let path = format!("cascade/{name}");
        for method in ["GET", "PUT", "DELETE"] {
            let (status, body) = api.call(method, &path, "majlis", &[], &cascade(0.5)).await;
            assert_eq!(status, 404, "{method} {path}: {body}");
            assert_eq!(body["error"]["code"], "not_found");
        }
    }
    let (_, list) = api.call("GET", "cascade", "majlis", &[], &json!({})).await;
    assert!(!list.to_string().contains("ricarica"), "{list}");
    let (_, servers) = api.call("GET", "backend_server", "majlis", &[], &json!({})).await;
    assert!(!servers.to_string().contains("ricarica/engine"), "{servers}");
    let (status, _) = api.call("GET", "partner/ricarica", "majlis", &[], &json!({})).await;
    assert_eq!(status, 404);
    let (_, totals) = api.call("GET", "totals", "majlis", &[], &json!({})).await;
    assert!(!totals.to_string().contains("ricarica"), "{totals}");

    // A reference to what is not shared reads like a reference to nothing.
    let reference = |stage: &str| json!({ "stages": [stage], "quality_target": 0.5 });
    let (a, hidden) =
        api.call("PUT", "cascade/x", "majlis", &[], &reference("ricarica/swift")).await;
    let (b, missing) =
        api.call("PUT", "cascade/x", "majlis", &[], &reference("ricarica/nothing")).await;
    assert_eq!((a, &hidden), (b, &missing));
    assert_eq!(a, 422);
    // What is shared may be used, and the same name in another partner is another object.
    let (status, _) =
        api.call("PUT", "cascade/topup", "majlis", &[], &reference("ricarica/deep")).await;
    assert_eq!(status, 200);
    let (_, theirs) = api.call("GET", "cascade/topup", "ricarica", &[], &json!({})).await;
    assert_eq!(theirs["spec"]["stages"], json!(["swift", "deep"]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_partner_watches_only_its_own() {
    let api = Api::start().await;
    let since = api.system.entries.lock().unwrap()[0].as_ref().unwrap().entry.config.revision();

    api.system.put(Kind::Cascade, "ricarica/topup", &cascade(0.8)).await.unwrap();
    let listings = json!({ "stages": ["tagger"], "quality_target": 0.4 });
    api.system.put(Kind::Cascade, "majlis/listings", &listings).await.unwrap();

    let uri = format!("{}/api/v1/cascade?watch=true&since={since}", api.system.urls[0].1);
    let mut headers = http::HeaderMap::new();
    let key = operator_key("majlis");
    headers.insert("authorization", format!("Bearer {key}").parse().unwrap());
    let res = api.http.open(Method::GET, &uri, headers, bytes::Bytes::new()).await.unwrap();
    let mut body = res.into_body();
    let frame = http_body_util::BodyExt::frame(&mut body).await.unwrap().unwrap();
    let text = String::from_utf8(frame.into_data().unwrap().to_vec()).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("majlis/listings"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_at_the_same_moment_one_wins() {
    let api = Api::start().await;
    let (_, before) = api.call("GET", "cascade/topup", "ricarica", &[], &json!({})).await;
    let tag = format!("\"{}\"", before["revision"]);
    let headers = [("if-match", tag.as_str())];

    let (low, high) = (cascade(0.7), cascade(0.8));
    let (a, b) = tokio::join!(
        api.call("PUT", "cascade/topup", "ricarica", &headers, &low),
        api.call("PUT", "cascade/topup", "ricarica", &headers, &high),
    );

    let mut statuses = [a.0, b.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
    let (won, lost) = if a.0 == 200 { (a.1, b.1) } else { (b.1, a.1) };
    // The loser is shown the newer revision.
    assert_eq!(lost["error"]["details"]["current"]["revision"], won["revision"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_repeated_under_its_id_is_accepted_once() {
    let api = Api::start().await;
    let headers = [("mintmoor-change-id", "ticket-17")];

    let first = api.call("PUT", "cascade/topup", "ricarica", &headers, &cascade(0.7)).await;
    let second = api.call("PUT", "cascade/topup", "ricarica", &headers, &cascade(0.7)).await;

    assert_eq!(first.0, 200, "{}", first.1);
    assert_eq!(first.1["revision"], second.1["revision"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_reply_of_the_store_is_settled_and_the_change_made_once() {
    let api = Api::start().await;
    let faults = mintmoor::standin::faults::Faults { lose_replies: 0.3, ..Default::default() };
    api.system.platform.table.faults.set(faults);
    let mut accepted = Vec::new();

    for i in 0..10 {
        let id = format!("change-{i}");
        let headers = [("mintmoor-change-id", id.as_str())];
        let spec = cascade(0.5 + f64::from(i) / 100.0);
        // An operator whose answer was lost repeats the change under its id.
        for _ in 0..20 {
            let (status, body) =
                api.call("PUT", "cascade/topup", "ricarica", &headers, &spec).await;
            if status == 200 {
                accepted.push(body["revision"].as_u64().unwrap());
                break;
            }
            assert!([502, 503].contains(&status), "{status} {body}");
        }
    }

    api.system.platform.table.faults.set(Default::default());
    assert_eq!(accepted.len(), 10);
    // Each change took exactly one revision.
    assert!(accepted.windows(2).all(|pair| pair[1] == pair[0] + 1), "{accepted:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn every_wrong_field_is_named_at_once() {
    let api = Api::start().await;
    let spec = json!({
        "model": "swift", "from": "1", "to": "9", "steps": [0.9, 0.2, 7.0], "step": 5,
    });

    let (status, body) = api.call("PUT", "roll_out/r", "ricarica", &[], &spec).await;

    assert_eq!(status, 422);
    let fields = body["error"]["details"]["fields"].as_array().unwrap();
    let names: Vec<_> = fields.iter().map(|f| f["field"].as_str().unwrap()).collect();
    assert_eq!(names, ["to", "steps", "step", "steps[2]"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_still_used_is_not_deleted() {
    let api = Api::start().await;

    let (status, body) = api.call("DELETE", "version/swift@1", "ricarica", &[], &json!({})).await;
    let (unused, _) = api.call("DELETE", "version/swift@2", "ricarica", &[], &json!({})).await;

    assert_eq!((status, &body["error"]["code"]), (409, &json!("in_use")));
    assert_eq!(unused, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dry_run_changes_nothing() {
    let api = Api::start().await;
    let (_, before) = api.call("GET", "cascade/topup", "ricarica", &[], &json!({})).await;

    let (status, _) =
        api.call("PUT", "cascade/topup?dry_run=true", "ricarica", &[], &cascade(0.1)).await;

    let (_, after) = api.call("GET", "cascade/topup", "ricarica", &[], &json!({})).await;
    assert_eq!(status, 200);
    assert_eq!(before["spec"], after["spec"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_a_change_is_refused_at_once_and_reading_goes_on() {
    let api = Api::start().await;
    let faults = mintmoor::standin::faults::Faults { down: true, ..Default::default() };
    api.system.platform.table.faults.set(faults);

    let (status, body) = api.call("PUT", "cascade/topup", "ricarica", &[], &cascade(0.1)).await;
    let (read, _) = api.call("GET", "cascade/topup", "ricarica", &[], &json!({})).await;

    assert_eq!((status, &body["error"]["code"]), (503, &json!("not_run")));
    assert_eq!(read, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_not_given_out() {
    let api = Api::start().await;
    wait_until("the partner can be read", || async {
        api.call("GET", "partner/ricarica", "ricarica", &[], &json!({})).await.0 == 200
    })
    .await;
    let (_, body) = api.call("GET", "partner/ricarica", "ricarica", &[], &json!({})).await;
    assert!(!body.to_string().contains(&*operator_key("ricarica")));
}
