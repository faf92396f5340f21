//! Requests during a planned stop.
