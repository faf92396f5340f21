//! Ratings of answers, and what they tell about versions.

use crate::{
    entry::{Entry, link::Link},
    ids::VersionId,
    platform::RatingRequest,
    protocol::ToAgent,
};

/// Rating below which an answer counts as poor evidence.
pub(crate) const POOR_BELOW: f64 = 0.5;

/// Rates an answer and tells the agent, whose evidence it is; none where there is no rating.
pub(crate) async fn rate(
    entry: &Entry,
    req: RatingRequest,
    link: &Link,
    version: &VersionId,
) -> Option<f64> {
    let rating = entry.ratings.rate(req).await.ok()?;
    let frame = ToAgent::Rated { version: version.clone(), poor: rating < POOR_BELOW };
    link.send(&frame).await;
    Some(rating)
}
