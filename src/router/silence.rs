//! Waiting for a server without waiting for one that is gone.

use std::{future::Future, pin::Pin, time::Duration};

use tokio::time::{Instant, timeout_at};

use crate::{
    policy::patience::Patience,
    router::{Member, Router},
};

/// Time between looks at whether a slow server still answers others.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Waits for `work`; gives up at the deadline, when the server's life has ended, when the patience with
/// a slow server is over, or when the server has been silent on all its connections for longer than a
/// sound one is. A server that lives is left only if `may_leave` says that the request can go on
/// elsewhere: a slow answer is better than none.
pub(crate) async fn bear<F: Future>(
    router: &Router,
    member: &Member,
    patience: Option<Patience>,
    deadline: Instant,
    work: Pin<&mut F>,
    may_leave: impl FnMut() -> bool,
) -> Option<F::Output> {
    tokio::select! {
        // What has come is taken, also from a life that has ended since.
        biased;
        output = bear_living(router, member, patience, deadline, work, may_leave) => output,
        () = member.until_ended() => None,
    }
}

async fn bear_living<F: Future>(
    router: &Router,
    member: &Member,
    patience: Option<Patience>,
    deadline: Instant,
    mut work: Pin<&mut F>,
    mut may_leave: impl FnMut() -> bool,
) -> Option<F::Output> {
    let Some(patience) = patience else {
        return timeout_at(deadline, work).await.ok();
    };
    let (began, began_at) = (Instant::now(), router.now());
    let slow_at = began + patience.slow;
    let mut look = slow_at.min(began + patience.dark);
    loop {
        if let Ok(output) = timeout_at(deadline.min(look), work.as_mut()).await {
            return Some(output);
        }
        let now = Instant::now();
        if now >= deadline {
            return None;
        }
        let silent_since = member.heard_at().max(began_at);
        // A server that reads a long prompt says nothing meanwhile.
        let dark_at = silent_since + patience.dark + member.backlog_for_choice(router.now());
        if (now >= slow_at || router.now() >= dark_at) && may_leave() {
            return None;
        }
        look = now + LOOK_EVERY;
    }
}
