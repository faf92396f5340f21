//! The object store.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use crate::platform::{Error, HttpClient, Reply, Result, http_client::check_status};

const TIMEOUT: Duration = Duration::from_secs(5);

/// A call to the object store.
#[derive(Clone, Debug)]
pub enum ObjectRequest {
    /// Writes an object whole, over an older one of the same name.
    Put(Box<str>, Bytes),
    /// Reads an object.
    Get(Box<str>),
    /// Names with a prefix, in order.
    List(Box<str>),
    /// Deletes an object; deleting none is no error.
    Delete(Box<str>),
}

/// An answer of the object store.
#[derive(Clone, Debug)]
pub enum ObjectReply {
    /// Done.
    Done,
    /// The object, if there is one.
    Object(Option<Bytes>),
    /// Names.
    Names(Vec<Box<str>>),
}

/// Client of the object store.
#[derive(Clone)]
pub struct ObjectsClient {
    send: Arc<dyn Fn(ObjectRequest) -> Reply<ObjectReply> + Send + Sync>,
}

impl fmt::Debug for ObjectsClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ObjectsClient")
    }
}

impl ObjectsClient {
    /// A client whose calls go through `send`; tests pass a fake.
    pub fn new(send: impl Fn(ObjectRequest) -> Reply<ObjectReply> + Send + Sync + 'static) -> Self {
        Self { send: Arc::new(send) }
    }

    /// A client of the service at `base`.
    pub fn over_http(http: HttpClient, base: &str) -> Self {
        let base: Arc<str> = base.into();
        Self::new(move |req| Box::pin(call(http.clone(), base.clone(), req)))
    }

    /// Writes an object; repeating it with the same bytes is harmless.
    ///
    /// # Errors
    /// When the service gives no answer.
    pub async fn put(&self, name: &str, body: Bytes) -> Result<()> {
        (self.send)(ObjectRequest::Put(name.into(), body)).await.map(drop)
    }

    /// Reads an object.
    ///
    /// # Errors
    /// When the service gives no answer.
    pub async fn get(&self, name: &str) -> Result<Option<Bytes>> {
        match (self.send)(ObjectRequest::Get(name.into())).await? {
            ObjectReply::Object(body) => Ok(body),
            _ => Err(Error::Unreadable("answer to another call".into())),
        }
    }

    /// Lists names with a prefix.
    ///
    /// # Errors
    /// When the service gives no answer.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Box<str>>> {
        match (self.send)(ObjectRequest::List(prefix.into())).await? {
            ObjectReply::Names(names) => Ok(names),
            _ => Err(Error::Unreadable("answer to another call".into())),
        }
    }

    /// Deletes an object.
    ///
    /// # Errors
    /// When the service gives no answer.
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
        ObjectRequest::List(_) => serde_json::from_slice(&reply.body)
            .map(ObjectReply::Names)
            .map_err(|e| Error::Unreadable(format!("{uri}: {e}").into())),
        ObjectRequest::Put(..) | ObjectRequest::Delete(_) => Ok(ObjectReply::Done),
    }
}
