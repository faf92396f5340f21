//! Outcome of an attempt that ran on a server.

/// Outcome of an attempt that ran, as evidence about its version. Failures and slowness are tested
/// separately: healthy servers are occasionally slow next to long prompts, but rarely fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// Complete and not slow.
    Good,
    /// Failed or interrupted.
    Failed,
    /// Complete, but several times slower than usual.
    Slow,
    /// Not complete yet, though it took several times longer than usual. Another outcome follows when it ends.
    Overdue,
    /// Complete after it was counted as overdue.
    CompleteAfterOverdue,
}
