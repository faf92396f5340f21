//! Letting a refused request go, for operators on the admin address.

use std::sync::Arc;

use axum::{Router as HttpRouter, extract::Path, http::StatusCode, routing::post};

use crate::router::Router;

/// What became of an operator's wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Released {
    /// The request may be sent again, from all entries.
    Done,
    /// Nothing is held against it.
    Unknown,
    /// The text names no request.
    Unreadable,
}

/// `POST /quarantine/release/{fingerprint}` of the admin address.
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
