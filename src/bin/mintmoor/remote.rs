//! Commands that talk to the operator API or an admin address.

use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::BodyExt;
use mintmoor::platform::HttpClient;
use serde_json::Value;
use tokio_rustls::rustls::{
    RootCertStore,
    pki_types::{CertificateDer, pem::PemObject},
};

use crate::{
    apply::describe,
    args::{DeleteArgs, DumpArgs, ExplainArgs, GetArgs, ReleaseArgs, WatchArgs},
    ending::Ending,
};

const TIMEOUT: Duration = Duration::from_secs(20);
const URL_VARIABLE: &str = "MINTMOOR_OPERATOR";
const KEY_VARIABLE: &str = "MINTMOOR_OPERATOR_KEY";
const KEY_FILE_VARIABLE: &str = "MINTMOOR_OPERATOR_KEY_FILE";
const CA_FILE_VARIABLE: &str = "MINTMOOR_CA_FILE";

/// A connection to the operator API; the key comes from the environment or a file.
pub(crate) struct Remote {
    http: HttpClient,
    base: String,
    key: String,
}

impl Remote {
    pub(crate) fn new(url: Option<&str>) -> Result<Self> {
        let base = match url {
            Some(url) => url.to_owned(),
            None => std::env::var(URL_VARIABLE)
                .map_err(|_| eyre!("give --operator or set {URL_VARIABLE}"))?,
        };
        let key = read_key()?;
        Ok(Self { http: client()?, base: base.trim_end_matches('/').into(), key })
    }

    fn headers(&self, revision: Option<u64>) -> Result<HeaderMap> {
        let mut headers = HeaderMap::new();
        let bearer = HeaderValue::from_str(&format!("Bearer {}", self.key))
            .map_err(|_| eyre!("the operator key is not printable"))?;
        headers.insert("authorization", bearer);
        if let Some(revision) = revision {
            headers.insert("if-match", HeaderValue::from_str(&format!("\"{revision}\""))?);
        }
        Ok(headers)
    }

    /// Calls a path under `/api/v1/`; returns the status and the JSON body.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        revision: Option<u64>,
        body: Option<&Value>,
    ) -> Result<(u16, Value)> {
        let uri = format!("{}/api/v1/{path}", self.base);
        let body = body.map(Value::to_string).unwrap_or_default();
        let headers = self.headers(revision)?;
        let reply = self.http.call(method, &uri, headers, body.into(), TIMEOUT).await?;
        let json = serde_json::from_slice(&reply.body).unwrap_or_default();
        Ok((reply.status.as_u16(), json))
    }

    async fn get(&self, path: &str) -> Result<Option<Value>> {
        let (status, body) = self.call(Method::GET, path, None, None).await?;
        if status == 200 {
            return Ok(Some(body));
        }
        eprintln!("{path}: {status} {}", describe(&body));
        Ok(None)
    }
}

fn read_key() -> Result<String> {
    if let Ok(key) = std::env::var(KEY_VARIABLE) {
        return Ok(key);
    }
    let file = std::env::var(KEY_FILE_VARIABLE)
        .map_err(|_| eyre!("set {KEY_VARIABLE} or {KEY_FILE_VARIABLE}"))?;
    let key = std::fs::read_to_string(&file).wrap_err_with(|| format!("{file} can't be read"))?;
    Ok(key.trim().into())
}

fn client() -> Result<HttpClient> {
    let Ok(file) = std::env::var(CA_FILE_VARIABLE) else {
        return Ok(HttpClient::default());
    };
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(&file)? {
        roots.add(certificate?)?;
    }
    Ok(HttpClient::with_root_certificates(roots))
}

/// `get`
pub(crate) async fn get(args: &GetArgs) -> Result<Ending> {
    let remote = Remote::new(args.operator.as_deref())?;
    let path = match &args.name {
        Some(name) => format!("{}/{name}", args.kind),
        None => args.kind.clone(),
    };
    let Some(body) = remote.get(&path).await? else {
        return Ok(Ending::Bad);
    };
    if args.json || args.kind == "totals" {
        println!("{}", serde_json::to_string_pretty(&body)?);
        return Ok(Ending::Good);
    }
    let one = vec![body.clone()];
    let items = body["items"].as_array().unwrap_or(&one);
    println!("{:<32} {:>8} {:>7}  SPEC", "NAME", "REVISION", "BEHIND");
    for item in items {
        println!(
            "{:<32} {:>8} {:>7}  {}",
            item["name"].as_str().unwrap_or_default(),
            item["revision"],
            item["status"]["processes_behind"],
            item["spec"]
        );
        if !item["status"]["roll_out"].is_null() {
            println!("{:<32} {}", "", item["status"]["roll_out"]);
        }
    }
    Ok(Ending::Good)
}

/// `delete`
pub(crate) async fn delete(args: &DeleteArgs) -> Result<Ending> {
    let remote = Remote::new(args.operator.as_deref())?;
    let path = format!("{}/{}", args.kind, args.name);
    let (status, body) = remote.call(Method::DELETE, &path, args.revision, None).await?;
    if status == 200 {
        println!("{} {}: deleted at revision {}", args.kind, args.name, body["revision"]);
        return Ok(Ending::Good);
    }
    eprintln!("{} {}: {status} {}", args.kind, args.name, describe(&body));
    Ok(Ending::Bad)
}

/// `watch`
pub(crate) async fn watch(args: &WatchArgs) -> Result<Ending> {
    let remote = Remote::new(args.operator.as_deref())?;
    let path = format!("{}?watch=true&since={}", args.kind, args.since);
    let uri = format!("{}/api/v1/{path}", remote.base);
    let res =
        remote.http.open(Method::GET, &uri, remote.headers(None)?, Default::default()).await?;
    if !res.status().is_success() {
        let status = res.status();
        let body = res.into_body().collect().await?.to_bytes();
        let body = serde_json::from_slice(&body).unwrap_or_default();
        eprintln!("{path}: {status} {}", describe(&body));
        return Ok(Ending::Bad);
    }
    let mut body = res.into_body();
    let mut left = args.count.unwrap_or(usize::MAX);
    while left > 0 {
        let Some(frame) = body.frame().await else {
            break;
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let text = String::from_utf8_lossy(&data).into_owned();
        for line in text.lines().filter(|line| !line.is_empty()).take(left) {
            println!("{line}");
            left -= 1;
        }
    }
    Ok(Ending::Good)
}

/// `dump`
pub(crate) async fn dump(args: &DumpArgs) -> Result<Ending> {
    let uri = format!("{}/debug/state", args.admin.trim_end_matches('/'));
    let reply =
        client()?.call(Method::GET, &uri, HeaderMap::new(), Default::default(), TIMEOUT).await?;
    let json: Value = serde_json::from_slice(&reply.body)?;
    println!("{}", serde_json::to_string_pretty(&json)?);
    Ok(Ending::Good)
}

/// `release`
pub(crate) async fn release(args: &ReleaseArgs) -> Result<Ending> {
    let admin = args.admin.trim_end_matches('/');
    let uri = format!("{admin}/quarantine/release/{}", args.fingerprint);
    let reply =
        client()?.call(Method::POST, &uri, HeaderMap::new(), Default::default(), TIMEOUT).await?;
    println!("{}", String::from_utf8_lossy(&reply.body).trim_end());
    Ok(Ending::of(reply.status.is_success()))
}

/// `explain`
pub(crate) async fn explain(args: &ExplainArgs) -> Result<Ending> {
    let remote = Remote::new(args.operator.as_deref())?;
    let Some(story) = remote.get(&format!("explain/{}", args.request)).await? else {
        return Ok(Ending::Bad);
    };
    println!("{} asked {}: {}", story["organisation"], story["model"], story["outcome"]);
    for step in story["steps"].as_array().unwrap_or(&Vec::new()) {
        println!("  {}", step.as_str().unwrap_or_default());
    }
    Ok(Ending::Good)
}
