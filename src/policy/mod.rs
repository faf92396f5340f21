//! Pure decisions: functions and state machines over (state, event, now).
//!
//! Nothing here does I/O, reads a clock or draws randomness of its own, so that the model
//! checks in `tests/model/`, the property tests and the measurements drive what production runs.

pub mod announced;
pub mod answer_timeout;
pub mod attempt;
pub mod availability;
pub mod cascade;
pub mod catch_up;
pub mod charge;
pub mod choice;
pub mod claim;
pub mod cold;
pub mod comeback;
pub mod escalation;
pub mod exposure;
pub mod extra_share;
pub mod failure_rate;
pub mod fair_queue;
pub mod gate;
pub mod lease;
pub mod lifecycle;
pub mod limit;
pub mod limit_news;
pub mod load;
pub mod outlier;
pub mod place;
pub mod placement;
pub mod prefix_cache;
pub mod quarantine;
pub mod rate_limit;
pub mod retry;
pub mod retry_after;
pub mod roll_out;
pub mod send_budget;
pub mod send_window;
pub mod session;
pub mod shutdown;
pub mod timing;
