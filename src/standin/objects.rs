//! Stand-in for the object store.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::get,
};

use crate::{
    platform::{Error, ObjectReply, ObjectRequest, ObjectsClient},
    standin::faults::FaultControl,
};

type Objects = Arc<Mutex<BTreeMap<Box<str>, Bytes>>>;

/// The stand-in store.
#[derive(Clone, Debug)]
pub struct ObjectsStandin {
    objects: Objects,
    /// Fault controls.
    pub faults: FaultControl,
}

impl ObjectsStandin {
    /// An empty store.
    pub fn new(seed: u64) -> Self {
        Self { objects: Objects::default(), faults: FaultControl::new(seed) }
    }

    /// The HTTP face.
    pub fn router(&self) -> Router {
        let router = Router::new()
            .route("/v1/objects/{*name}", get(read).put(write).delete(remove))
            .route("/v1/names/{*prefix}", get(names))
            .with_state(self.objects.clone());
        self.faults.wrap(router)
    }

    /// A client without sockets, under the same faults.
    pub fn client(&self) -> ObjectsClient {
        let standin = self.clone();
        ObjectsClient::new(move |req| {
            let standin = standin.clone();
            Box::pin(async move { standin.call(req) })
        })
    }

    fn call(&self, req: ObjectRequest) -> Result<ObjectReply, Error> {
        if self.faults.get().down {
            return Err(Error::Refused("down".into()));
        }
        let mut objects = self.objects.lock().expect("no panics under the lock");
        let reply = match req {
            ObjectRequest::Put(name, body) => {
                objects.insert(name, body);
                ObjectReply::Done
            }
            ObjectRequest::Get(name) => ObjectReply::Object(objects.get(&name).cloned()),
            ObjectRequest::List(prefix) => ObjectReply::Names(list(&objects, &prefix)),
            ObjectRequest::Delete(name) => {
                objects.remove(&name);
                ObjectReply::Done
            }
        };
        drop(objects);
        if self.faults.loses_reply() {
            return Err(Error::Unknown("reply lost".into()));
        }
        Ok(reply)
    }
}

fn list(objects: &BTreeMap<Box<str>, Bytes>, prefix: &str) -> Vec<Box<str>> {
    let names = objects.range::<Box<str>, _>(Box::<str>::from(prefix)..);
    names.map(|(name, _)| name).take_while(|name| name.starts_with(prefix)).cloned().collect()
}

async fn read(State(objects): State<Objects>, Path(name): Path<Box<str>>) -> Response {
    match objects.lock().expect("no panics under the lock").get(&name) {
        Some(body) => body.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write(
    State(objects): State<Objects>,
    Path(name): Path<Box<str>>,
    body: Bytes,
) -> StatusCode {
    objects.lock().expect("no panics under the lock").insert(name, body);
    StatusCode::NO_CONTENT
}

async fn remove(State(objects): State<Objects>, Path(name): Path<Box<str>>) -> StatusCode {
    objects.lock().expect("no panics under the lock").remove(&name);
    StatusCode::NO_CONTENT
}

async fn names(
    State(objects): State<Objects>,
    Path(prefix): Path<Box<str>>,
) -> Json<Vec<Box<str>>> {
    Json(list(&objects.lock().expect("no panics under the lock"), &prefix))
}
