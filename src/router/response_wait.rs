//! Waiting for a server without waiting for one that is gone.

use std::{future::Future, pin::Pin, time::Duration};

use crate::{
    policy::answer_timeout::AnswerTimeouts,
    router::{Member, Router, request_context::RequestContext},
};

/// Time between looks at whether a slow server still answers others.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What is waited for at a server, and how long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseWait<'a> {
    pub(crate) ctx: &'a RequestContext,
    pub(crate) member: &'a Member,
    /// How long silence is tolerated; none where nothing else could be done.
    pub(crate) patience: Option<AnswerTimeouts>,
    /// On the entry's clock.
    pub(crate) deadline: Duration,
    /// Whether something of the answer is here: the server runs the request and lives.
    pub(crate) has_begun: bool,
}

/// Waits for `work`; gives up at the deadline, when the server's life has ended, when the request is found to
/// end servers, when the patience with a slow server is over, or when the server has been silent on all its
/// connections for longer than a healthy one is. A server that lives is left only if `can_fail_over` says that the
/// request can go on elsewhere: a slow answer is better than none.
pub(crate) async fn wait_for_response<F: Future>(
    router: &Router,
    wait: &ResponseWait<'_>,
    work: Pin<&mut F>,
    can_fail_over: impl FnMut() -> bool,
) -> Option<F::Output> {
    let withdrawn = async {
        if wait.has_begun {
            std::future::pending::<()>().await;
        }
        router.wait_until_refused(wait.ctx).await;
    };
    tokio::select! {
        // What has come is taken, also from a life that has ended since.
        biased;
        output = wait_while_alive(router, wait, work, can_fail_over) => output,
        () = wait.member.wait_until_ended() => None,
        // What waits at a server that has not begun to run it is taken back, and the server lives on.
        () = withdrawn => None,
    }
}

async fn wait_while_alive<F: Future>(
    router: &Router,
    wait: &ResponseWait<'_>,
    mut work: Pin<&mut F>,
    mut can_fail_over: impl FnMut() -> bool,
) -> Option<F::Output> {
    let ResponseWait { member, deadline, .. } = *wait;
    let Some(patience) = wait.patience else {
        return router.clock.timeout_at(deadline, work).await;
    };
    let began = router.now();
    let slow_at = began + patience.slow;
    let mut next_check = slow_at.min(began + patience.silent);
    loop {
        if let Some(output) = router.clock.timeout_at(deadline.min(next_check), work.as_mut()).await
        {
            return Some(output);
        }
        let now = router.now();
        if now >= deadline {
            return None;
        }
        let silent_since = member.received_at().max(began);
        // A server that reads a long prompt says nothing meanwhile.
        let silent_too_long_at = silent_since + patience.silent + member.backlog_for_choice(now);
        if (now >= slow_at || now >= silent_too_long_at) && can_fail_over() {
            return None;
        }
        next_check = now + CHECK_INTERVAL;
    }
}
