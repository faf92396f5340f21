//! Pure decision logic: functions and state machines over (state, event, now).
//!
//! Nothing here does I/O, reads a clock or generates random numbers, so that the model checks
//! in `tests/model/`, the property tests and the benchmarks run the same code as production.

pub mod accept_control;
pub mod announcements;
pub mod answer_timeout;
pub mod attempt;
pub mod attempt_log;
pub mod availability;
pub mod backoff;
pub mod caller_limits;
pub mod cascade;
pub mod charge;
pub mod choice;
pub mod claim;
pub mod cold_start;
pub mod concurrency_limit;
pub mod connection_eviction;
pub mod connection_limit;
pub mod escalation;
pub mod exposure;
pub mod extra_share;
pub mod failure_rate;
pub mod fair_queue;
pub mod followed_link;
pub mod gate;
pub mod known_limit;
pub mod lease;
pub mod lifecycle;
pub mod link_age;
pub mod load;
pub mod outlier;
pub mod overload;
pub mod overload_control;
pub mod place;
pub mod placement;
pub mod prefix_cache;
pub mod quarantine;
pub mod rate_limit;
pub mod replication;
pub mod reservation;
pub mod retry;
pub mod retry_after;
pub mod roll_out;
pub mod route_evidence;
pub mod run_outcome;
pub mod send_window;
pub mod server_speed;
pub mod session;
pub mod shutdown;
pub mod timing;
pub mod trial_budget;
pub mod true_time;
pub mod usage;
pub mod version_verdict;
pub mod windowed_retry_budget;
