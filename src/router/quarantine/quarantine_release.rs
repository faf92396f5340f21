//! Admin endpoint with which an operator releases a request from quarantine.

use std::sync::Arc;

use axum::{Router as HttpRouter, extract::Path, http::StatusCode, routing::post};

use crate::router::Router;

/// Outcome of an operator's command to release a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Released {
    /// The request may be sent again by all entries.
    Done,
    /// The request is not in quarantine.
    Unknown,
    /// The text is not a fingerprint.
    Unreadable,
}

/// Serves `POST /quarantine/release/{fingerprint}` on the admin address.
pub(crate) fn routes(router: Arc<Router>) -> HttpRouter {
    let release = move |Path(text): Path<String>| async move {
        match router.release(&text) {
            Released::Done => (StatusCode::OK, "released\n"),
            Released::Unknown => (StatusCode::NOT_FOUND, "nothing is held against this request\n"),
            Released::Unreadable => {
                (StatusCode::BAD_REQUEST, "a fingerprint has 32 hexadecimal digits\n")
            }
        }
    };
    HttpRouter::new().route("/quarantine/release/{fingerprint}", post(release))
}
