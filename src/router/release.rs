//! Letting a refused request go, for operators, on the admin address.

use std::sync::Arc;

use axum::{Router as HttpRouter, extract::Path, http::StatusCode, routing::post};

use crate::{router::Router, routing::Fingerprint, telemetry::event};

/// `POST /quarantine/release/{fingerprint}`; all other entries are told.
pub(crate) fn routes(router: Arc<Router>) -> HttpRouter {
    let release = move |Path(text): Path<String>| async move { release(&router, &text) };
    HttpRouter::new().route("/quarantine/release/{fingerprint}", post(release))
}

fn release(router: &Router, text: &str) -> (StatusCode, &'static str) {
    let Ok(fingerprint) = u128::from_str_radix(text, 16) else {
        return (StatusCode::BAD_REQUEST, "a fingerprint has 32 hexadecimal digits\n");
    };
    if !router.quarantine.clear(Fingerprint(fingerprint), router.now()) {
        return (StatusCode::NOT_FOUND, "nothing is held against this request\n");
    }
    event::QUARANTINE_RELEASED.log(format_args!("fingerprint={text}"));
    (StatusCode::OK, "released\n")
}
