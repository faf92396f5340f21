//! Rows of the store that can't be read.
