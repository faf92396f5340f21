//! `apply`: creates or replaces the objects in a TOML file.

use eyre::{Result, WrapErr, eyre};
use http::Method;
use mintmoor::resources::{Kind, Spec};
use serde::Deserialize;
use serde_json::Value;

use crate::{args::ApplyArgs, ending::Ending, remote::Remote};

/// A file of objects.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ObjectFile {
    object: Vec<ObjectEntry>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ObjectEntry {
    kind: Kind,
    name: Box<str>,
    #[serde(default)]
    revision: Option<u64>,
    spec: toml::Table,
}

/// An object read from a file.
#[derive(Debug)]
pub(crate) struct FileObject {
    kind: Kind,
    name: Box<str>,
    revision: Option<u64>,
    spec: Value,
}

/// Reads a file of objects; each spec must have its kind's shape.
pub(crate) fn read_objects(file: &str, text: &str) -> Result<Vec<FileObject>> {
    let parsed: ObjectFile = toml::from_str(text).wrap_err_with(|| file.to_owned())?;
    let mut problems = Vec::new();
    let mut objects = Vec::new();
    for ObjectEntry { kind, name, revision, spec } in parsed.object {
        let spec = serde_json::to_value(spec)?;
        if let Err(e) = Spec::from_json(kind, spec.clone()) {
            problems.push(format!("{file}: {} {name}: {e}", kind.as_str()));
        }
        objects.push(FileObject { kind, name, revision, spec });
    }
    if problems.is_empty() { Ok(objects) } else { Err(eyre!("{}", problems.join("\n"))) }
}

/// Applies a file; goes on after an error and reports each object.
pub(crate) async fn run(args: &ApplyArgs) -> Result<Ending> {
    let text = std::fs::read_to_string(&args.file)
        .wrap_err_with(|| format!("{} can't be read", args.file))?;
    let objects = read_objects(&args.file, &text)?;
    let remote = Remote::new(args.operator.as_deref())?;
    let mut all_good = true;
    for object in objects {
        let query = if args.dry_run { "?dry_run=true" } else { "" };
        let path = format!("{}/{}{query}", object.kind.as_str(), object.name);
        let (status, body) =
            remote.call(Method::PUT, &path, object.revision, Some(&object.spec)).await?;
        let label = format!("{} {}", object.kind.as_str(), object.name);
        if (200..300).contains(&status) {
            println!("{label}: accepted at revision {}", body["revision"]);
            continue;
        }
        all_good = false;
        println!("{label}: {status} {}", describe(&body));
    }
    Ok(Ending::of(all_good))
}

/// An API error on one line.
pub(crate) fn describe(body: &Value) -> String {
    let error = &body["error"];
    let mut text = format!(
        "{}: {}",
        error["code"].as_str().unwrap_or("error"),
        error["message"].as_str().unwrap_or("no message")
    );
    for field in error["details"]["fields"].as_array().unwrap_or(&Vec::new()) {
        let name = field["field"].as_str().unwrap_or_default();
        let problem = field["problem"].as_str().unwrap_or_default();
        text.push_str(&format!("; {name} {problem}"));
    }
    text
}
