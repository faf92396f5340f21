//! Records rejections with status 421, and signed responses, which show who has a server's address.

use crate::{
    policy::{address_owner::AddressChange, misdirected_by::MisdirectedBy},
    router::{Member, Router, servers::connection::Connection},
    routing::ResponseHead,
    telemetry::event,
};

impl Router {
    /// Records a 421 response to a request that was sent to a server; returns who sent it.
    pub(crate) fn record_misdirected(
        &self,
        member: &Member,
        connection: &Connection,
        head: &ResponseHead,
        request_id: &str,
    ) -> MisdirectedBy {
        let named = head.rejected_by.as_deref();
        let by = member.identify_rejection(connection, named);
        self.metrics.count_misdirected(by.as_str());
        let change = member.record_misdirected(by, self.now());
        log_address_change(member, change, named.unwrap_or("-"), request_id);
        by
    }

    /// Records a signed response of a server.
    pub(crate) fn record_signed(&self, member: &Member, request_id: &str) {
        let change = member.record_signed(self.now());
        log_address_change(member, change, &member.server.id, request_id);
    }
}

/// Logs that a server's address was taken by another one, or that the server is back.
fn log_address_change(
    member: &Member,
    change: Option<AddressChange>,
    answered_by: &str,
    request_id: &str,
) {
    let server = &member.server.id;
    match change {
        Some(AddressChange::Taken(closed_for)) => event::SERVER_REPLACED.log(format_args!(
            "server={server} request={request_id} answered_by={answered_by} closed_ms={}",
            closed_for.as_millis()
        )),
        Some(AddressChange::Confirmed) => {
            event::SERVER_CONFIRMED.log(format_args!("server={server} request={request_id}"));
        }
        None => {}
    }
}
