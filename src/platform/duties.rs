//! Client of the platform's duty service: calls that one node at a time makes for the whole system.
//!
//! The service does not check the fencing token, so the caller has to bound how long its calls may be on their way.
//! Each call has a connection of its own, which is reset when the time limit is over: bytes that were not delivered
//! by then are lost.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinSet, time::timeout};

use crate::platform::{Error, Result};

/// Name of the Host that performs the duty.
const HOLDER: &str = "x-lease-holder";
/// Fencing token; rises with each new holder.
const FENCING_TOKEN: &str = "x-fencing-token";
const USAGE_PATH: &str = "/usage";

/// Who calls the duty service.
#[derive(Clone, Copy, Debug)]
pub struct DutyHolder<'a> {
    /// Name of the Host.
    pub host: &'a str,
    /// Its fencing token.
    pub fencing: u64,
}

#[derive(Serialize)]
struct UsageDoc<'a> {
    window: u64,
    counts: &'a BTreeMap<Box<str>, u64>,
}

/// Answer of the duty service to a call that it received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The call took effect, now or when it was made before.
    Accepted,
    /// There are too many calls, or the service is unavailable; the call may be repeated.
    Busy,
    /// The service rejects the call for good.
    Rejected(StatusCode),
}

/// A connection for one call.
#[derive(Debug)]
pub struct DutyConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    /// Drives the connection; dropping it closes the socket.
    _work: JoinSet<()>,
}

fn refused(address: SocketAddr, cause: &impl std::fmt::Display) -> Error {
    Error::Refused(format!("duty service {address}: {cause}").into())
}

/// Opens a connection for one call.
///
/// # Errors
/// [`Error::Refused`] if the service can't be reached within `max_time`.
pub async fn connect(address: SocketAddr, max_time: Duration) -> Result<DutyConnection> {
    let Ok(stream) = timeout(max_time, TcpStream::connect(address)).await else {
        return Err(refused(address, &"connect timed out"));
    };
    let stream = stream.map_err(|e| refused(address, &e))?;
    let options = SockRef::from(&stream);
    options
        .set_tcp_nodelay(true)
        .and_then(|()| options.set_tcp_user_timeout(Some(max_time)))
        // Closing the connection resets it, so that the kernel delivers nothing after the time limit.
        .and_then(|()| options.set_linger(Some(Duration::ZERO)))
        .map_err(|e| refused(address, &e))?;
    let (sender, work) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| refused(address, &e))?;
    let mut tasks = JoinSet::new();
    // An error of the connection also fails the call that waits on it.
    tasks.spawn(async move { drop(work.await) });
    Ok(DutyConnection { sender, address, _work: tasks })
}

impl DutyConnection {
    /// Reports how many requests of each Organisation began in a window.
    ///
    /// # Errors
    /// [`Error::Unknown`] if no answer arrives within `max_time`: the report may have been received.
    pub async fn report_usage(
        self,
        holder: DutyHolder<'_>,
        window: u64,
        counts: &BTreeMap<Box<str>, u64>,
        max_time: Duration,
    ) -> Result<DutyAnswer> {
        let body = serde_json::to_vec(&UsageDoc { window, counts })
            .map_err(|e| Error::Refused(e.to_string().into()))?;
        self.post(USAGE_PATH, holder, body, max_time).await
    }

    async fn post(
        mut self,
        path: &str,
        holder: DutyHolder<'_>,
        body: Vec<u8>,
        max_time: Duration,
    ) -> Result<DutyAnswer> {
        let address = self.address;
        let lost = |cause: &dyn std::fmt::Display| {
            Error::Unknown(format!("duty service {address}{path}: {cause}").into())
        };
        let req = Request::post(path)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(HOLDER, holder.host)
            .header(FENCING_TOKEN, holder.fencing)
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| refused(address, &e))?;
        let answer = timeout(max_time, self.sender.send_request(req)).await;
        let res = answer.map_err(|_| lost(&"no answer in time"))?.map_err(|e| lost(&e))?;
        Ok(classify(res.status()))
    }
}

fn classify(status: StatusCode) -> DutyAnswer {
    match status {
        status if status.is_success() => DutyAnswer::Accepted,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => DutyAnswer::Busy,
        status if status.is_client_error() => DutyAnswer::Rejected(status),
        _ => DutyAnswer::Busy,
    }
}
