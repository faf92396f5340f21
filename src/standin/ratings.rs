//! Stand-in for the rating service: an engine's answers carry the mark it reads.

use axum::{Json, Router, routing::post};

use crate::{platform::RatingRequest, standin::faults::FaultControl};

/// Word in an answer that makes this stand-in rate it as poor.
pub const POOR_MARK: &str = "hmm";
/// Rating of a good answer.
pub const GOOD: f64 = 1.0;
/// Rating of a poor answer.
pub const POOR: f64 = 0.0;

/// The HTTP face of the stand-in.
pub fn router(faults: &FaultControl) -> Router {
    faults.wrap(Router::new().route("/v1/ratings", post(rate)))
}

async fn rate(Json(req): Json<RatingRequest>) -> Json<serde_json::Value> {
    let score = if req.answer.contains(POOR_MARK) { POOR } else { GOOD };
    Json(serde_json::json!({ "score": score }))
}
