//! What a caller gets when the code that serves its request panics.

use std::{future::Future, panic::AssertUnwindSafe};

use futures_util::FutureExt;

use crate::{router::request::refusal::Refusal, telemetry::event};

/// Serves a request; a panic becomes a response, so that the caller's connection, which a balancer may use for others,
/// goes on. What the request held is released while its state is unwound.
pub(super) async fn refuse_on_panic<T>(
    id: &str,
    serving: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    match AssertUnwindSafe(serving).catch_unwind().await {
        Ok(served) => served,
        Err(_) => {
            event::REQUEST_PANICKED.log(format_args!("request={id}"));
            Err(Refusal::Panicked)
        }
    }
}
