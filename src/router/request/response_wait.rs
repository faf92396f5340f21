//! Waits for a server's response, but not for a server that is gone or too slow.

use std::{future::Future, pin::Pin, time::Duration};

use crate::{
    policy::answer_timeout::AnswerTimeouts,
    router::{Member, Router, request::request_context::RequestContext},
};

/// Interval at which a silent server is checked again.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Which response is awaited from which server, and for how long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseWait<'a> {
    /// The request.
    pub(crate) ctx: &'a RequestContext,
    /// The server that runs it.
    pub(crate) member: &'a Member,
    /// When it was sent.
    pub(crate) sent_at: Duration,
    /// How long the server may be silent; `None` if no other server may be tried.
    pub(crate) timeouts: Option<AnswerTimeouts>,
    /// When to give up in any case, on the entry's clock; the end of a planned stop may come before.
    pub(crate) deadline: Duration,
    /// Whether part of the response has arrived, which shows that the server runs the request.
    pub(crate) has_begun: bool,
}

/// Waits for `work`. Returns `None` at the deadline, at the end of a planned stop, when the server has restarted, when
/// the request is quarantined before the response has begun, when the server has been too slow, or when it has been
/// silent on all its connections for longer than a healthy server is. A slow or silent server is abandoned only if
/// `can_fail_over` returns true: a slow response is better than none.
pub(crate) async fn wait_for_response<F: Future>(
    router: &Router,
    wait: &ResponseWait<'_>,
    work: Pin<&mut F>,
    can_fail_over: impl FnMut() -> bool,
) -> Option<F::Output> {
    let quarantined = async {
        if wait.has_begun {
            std::future::pending::<()>().await;
        }
        router.wait_until_refused(wait.ctx).await;
    };
    tokio::select! {
        // `work` is polled first: data that has arrived is used even if the server has restarted since.
        biased;
        output = wait_with_timeouts(router, wait, work, can_fail_over) => output,
        () = wait.member.wait_until_ended(wait.sent_at) => None,
        // Cancelling a quarantined request that the server has not begun to run spares the server.
        () = quarantined => None,
    }
}

/// Waits for `work` until the deadline, or until the server has been slow or silent for too long.
async fn wait_with_timeouts<F: Future>(
    router: &Router,
    wait: &ResponseWait<'_>,
    mut work: Pin<&mut F>,
    mut can_fail_over: impl FnMut() -> bool,
) -> Option<F::Output> {
    let ResponseWait { member, deadline, .. } = *wait;
    let Some(timeouts) = wait.timeouts else {
        return router.timeout_at(deadline, work).await;
    };
    let started_at = router.now();
    let slow_at = started_at + timeouts.slow;
    let mut next_check = slow_at.min(started_at + timeouts.silent);
    loop {
        if let Some(output) = router.timeout_at(deadline.min(next_check), work.as_mut()).await {
            return Some(output);
        }
        let now = router.now();
        if now >= router.limit_to_stop(deadline) {
            return None;
        }
        let silent_since = member.received_at().max(started_at);
        // A server sends nothing while it processes a long prompt, so the prompts in its queue are allowed for.
        let silent_too_long_at = silent_since + timeouts.silent + member.backlog_for_placement(now);
        if (now >= slow_at || now >= silent_too_long_at) && can_fail_over() {
            return None;
        }
        next_check = now + CHECK_INTERVAL;
    }
}
