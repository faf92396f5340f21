//! The operators' resource API: commands change objects, queries read them.

pub mod api;
pub mod commands;
pub mod queries;
