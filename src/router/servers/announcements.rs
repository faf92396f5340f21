//! Records drain notices, pauses and unknown headers in responses of servers.

use std::sync::Arc;

use crate::{
    policy::{
        availability::{Availability, UnavailableCause},
        retry_after::RetryAfter,
    },
    router::{Member, Router},
    routing::ResponseHead,
    telemetry::event,
};

impl Router {
    /// Records what the head of a server's own response announces.
    pub(crate) fn record_announcements(
        &self,
        member: &Member,
        head: &ResponseHead,
        request_id: &str,
    ) {
        let (now, id) = (self.now(), &member.server.id);
        if head.is_draining && member.record_draining(now) {
            event::SERVER_DRAINING.log(format_args!("server={id} request={request_id}"));
        }
        if !head.is_overload_rejection() {
            return;
        }
        if head.retry_after == RetryAfter::Unreadable && member.record_unreadable_retry_after(now) {
            event::RETRY_AFTER_UNREADABLE.log(format_args!("server={id} request={request_id}"));
        }
        let Some(pause) = head.retry_after.pause() else {
            return;
        };
        if member.record_pause(pause, now) {
            event::PAUSE_REQUESTED.log(format_args!(
                "server={id} request={request_id} status={} pause_ms={}",
                head.status.as_u16(),
                pause.as_millis()
            ));
        }
    }

    /// Records a response that shows a server as healthy.
    pub(crate) fn record_answer(&self, member: &Member) {
        if member.record_answer(self.now()) {
            event::PAUSE_ENDED.log(format_args!("server={}", member.server.id));
        }
    }

    /// Counts response headers that this program does not know, and logs each name once.
    pub(crate) fn record_unread_headers(&self, member: &Member, head: &ResponseHead) {
        for name in &head.unknown_headers {
            if self.metrics.count_unread_header(name.as_str()) {
                event::HEADER_UNREAD.log(format_args!("header={name} server={}", member.server.id));
            }
        }
    }

    /// Counts servers that were skipped in a selection because they are unavailable.
    pub(crate) fn count_avoided(&self, closed: &[(&Arc<Member>, Availability)]) {
        for cause in UnavailableCause::ALL {
            let servers = closed.iter().filter(|(_, a)| a.is_closed_by(cause)).count() as u64;
            if servers > 0 {
                self.metrics.count_avoided_servers(cause.as_str(), servers);
            }
        }
    }

    /// Counts a send to a server that has announced that it is draining or paused.
    pub(crate) fn count_unavailable_send(&self, member: &Member, send: &str) {
        let announced = member.state().announced;
        if announced.draining_since().is_some() {
            self.metrics.count_unavailable_send("draining", send);
        }
        if announced.is_paused(self.now()) {
            self.metrics.count_unavailable_send("paused", send);
        }
    }
}
