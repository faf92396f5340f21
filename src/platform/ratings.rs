//! Client of the service that rates the quality of answers.

use std::{fmt, sync::Arc, time::Duration};

use http::Method;
use serde::{Deserialize, Serialize};

use crate::{
    ids::VersionId,
    platform::{HttpClient, ReplyFuture, Result},
};

const TIMEOUT: Duration = Duration::from_millis(500);

/// An answer to rate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RatingRequest {
    /// Kind of task named by the caller; may be empty.
    pub task: Box<str>,
    /// Version that answered.
    pub version: VersionId,
    /// Prompt of the request.
    pub prompt: Box<str>,
    /// Text of the answer.
    pub answer: Box<str>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Rating {
    score: f64,
}

/// Client of the rating service.
#[derive(Clone)]
pub struct RatingsClient {
    send: Arc<dyn Fn(RatingRequest) -> ReplyFuture<f64> + Send + Sync>,
}

impl fmt::Debug for RatingsClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RatingsClient")
    }
}

impl RatingsClient {
    /// Creates a client whose calls go through `send`; tests pass a fake.
    pub fn new(send: impl Fn(RatingRequest) -> ReplyFuture<f64> + Send + Sync + 'static) -> Self {
        Self { send: Arc::new(send) }
    }

    /// Creates a client of the HTTP service at `base`.
    pub fn over_http(http: HttpClient, base: &str) -> Self {
        let uri: Arc<str> = format!("{base}/v1/ratings").into();
        Self::new(move |req| {
            let (http, uri) = (http.clone(), uri.clone());
            Box::pin(async move {
                let rating: Rating = http.call_json(Method::POST, &uri, &req, TIMEOUT).await?;
                Ok(rating.score)
            })
        })
    }

    /// Rates an answer from 0 to 1.
    ///
    /// # Errors
    /// When the service can't be reached, is too slow or its reply is invalid.
    pub async fn rate(&self, req: RatingRequest) -> Result<f64> {
        (self.send)(req).await
    }
}
