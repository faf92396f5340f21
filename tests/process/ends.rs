//! Ends of a process: panics, threads that end, signals.
