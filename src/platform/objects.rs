//! Client of the object store.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use crate::{
    platform::{
        Error, HttpClient, ReplyFuture, Result, http_client::check_status, json_parts::parse_list,
    },
    telemetry::event,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// A call to the object store.
#[derive(Clone, Debug)]
pub enum ObjectRequest {
    /// Writes an object, replacing one of the same name.
    Put(Box<str>, Bytes),
    /// Reads an object.
    Get(Box<str>),
    /// Lists the names with a prefix, sorted.
    List(Box<str>),
    /// Deletes an object; it is no error if there is none.
    Delete(Box<str>),
}

/// A reply of the object store.
#[derive(Clone, Debug)]
pub enum ObjectReply {
    /// The object was written or deleted.
    Done,
    /// The object that was read; `None` if there is none.
    Object(Option<Bytes>),
    /// The names that match the prefix.
    Names(Vec<Box<str>>),
}

/// Client of the object store.
#[derive(Clone)]
pub struct ObjectsClient {
    send: Arc<dyn Fn(ObjectRequest) -> ReplyFuture<ObjectReply> + Send + Sync>,
}

impl fmt::Debug for ObjectsClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ObjectsClient")
    }
}

impl ObjectsClient {
    /// Creates a client whose calls go through `send`; tests pass a fake.
    pub fn new(
        send: impl Fn(ObjectRequest) -> ReplyFuture<ObjectReply> + Send + Sync + 'static,
    ) -> Self {
        Self { send: Arc::new(send) }
    }

    /// Creates a client of the HTTP service at `base`.
    pub fn over_http(http: HttpClient, base: &str) -> Self {
        let base: Arc<str> = base.into();
        Self::new(move |req| Box::pin(call(http.clone(), base.clone(), req)))
    }

    /// Writes an object. The call is idempotent.
    ///
    /// # Errors
    /// When the service can't be reached or its reply is invalid.
    pub async fn put(&self, name: &str, body: Bytes) -> Result<()> {
        (self.send)(ObjectRequest::Put(name.into(), body)).await.map(drop)
    }

    /// Reads an object.
    ///
    /// # Errors
    /// When the service can't be reached or its reply is invalid.
    pub async fn get(&self, name: &str) -> Result<Option<Bytes>> {
        match (self.send)(ObjectRequest::Get(name.into())).await? {
            ObjectReply::Object(body) => Ok(body),
            _ => Err(Error::Unreadable("unexpected kind of reply".into())),
        }
    }

    /// Lists names with a prefix.
    ///
    /// # Errors
    /// When the service can't be reached or its reply is invalid.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Box<str>>> {
        match (self.send)(ObjectRequest::List(prefix.into())).await? {
            ObjectReply::Names(names) => Ok(names),
            _ => Err(Error::Unreadable("unexpected kind of reply".into())),
        }
    }

    /// Deletes an object.
    ///
    /// # Errors
    /// When the service can't be reached or its reply is invalid.
    pub async fn delete(&self, name: &str) -> Result<()> {
        (self.send)(ObjectRequest::Delete(name.into())).await.map(drop)
    }
}

async fn call(http: HttpClient, base: Arc<str>, req: ObjectRequest) -> Result<ObjectReply> {
    let (method, uri, body) = match &req {
        ObjectRequest::Put(name, body) => {
            (Method::PUT, format!("{base}/v1/objects/{name}"), body.clone())
        }
        ObjectRequest::Get(name) => {
            (Method::GET, format!("{base}/v1/objects/{name}"), Bytes::new())
        }
        ObjectRequest::List(prefix) => {
            (Method::GET, format!("{base}/v1/names/{prefix}"), Bytes::new())
        }
        ObjectRequest::Delete(name) => {
            (Method::DELETE, format!("{base}/v1/objects/{name}"), Bytes::new())
        }
    };
    let reply = http.call(method, &uri, HeaderMap::new(), body, TIMEOUT).await?;
    if matches!(req, ObjectRequest::Get(_)) && reply.status == StatusCode::NOT_FOUND {
        return Ok(ObjectReply::Object(None));
    }
    check_status(&uri, &reply)?;
    match req {
        ObjectRequest::Get(_) => Ok(ObjectReply::Object(Some(reply.body))),
        ObjectRequest::List(_) => {
            let (names, unreadable) = parse_list(&reply.body)
                .ok_or_else(|| Error::Unreadable(format!("{uri}: not a list").into()))?;
            if unreadable > 0 {
                let details = format_args!("cause=\"names of objects\" unreadable={unreadable}");
                event::DOCUMENT_UNREADABLE.log(details);
            }
            Ok(ObjectReply::Names(names))
        }
        ObjectRequest::Put(..) | ObjectRequest::Delete(_) => Ok(ObjectReply::Done),
    }
}
