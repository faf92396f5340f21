//! Settings files that are incomplete or have values of another type.
