//! Letting a refused request go, for operators.

use std::sync::Arc;

use axum::{Router as HttpRouter, extract::Path, http::StatusCode, routing::post};

use crate::{router::Router, routing::Fingerprint, telemetry::event};

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

impl Router {
    /// Lets a request go by its fingerprint, as the state dump shows it; all other entries are told.
    pub fn release(&self, fingerprint: &str) -> Released {
        let Ok(number) = u128::from_str_radix(fingerprint, 16) else {
            return Released::Unreadable;
        };
        if !self.quarantine.clear(Fingerprint(number), self.now()) {
            return Released::Unknown;
        }
        event::QUARANTINE_RELEASED.log(format_args!("fingerprint={fingerprint}"));
        Released::Done
    }
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
