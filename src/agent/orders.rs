//! Orders to the engine: what is declared for it is what it should have loaded.
//!
//! The fencing number of an order is the revision of the BackendServer's object, which only
//! grows. For engines that ignore fencing numbers, this agent is the only issuer and never
//! sends an older declaration after a newer one.

use std::{sync::Arc, time::Duration};

use http::Method;

use crate::{
    agent::Agent,
    ids::{Revision, VersionId, partner_of, qualify},
    platform::{EngineOrder, Result},
    resources::{BackendKind, Kind, Snapshot},
    telemetry::event,
};

const CHECK: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps the engine at what is declared.
pub(super) async fn follow(agent: Arc<Agent>) {
    let mut revision = agent.config.subscribe();
    let mut was_failing = false;
    while !agent.is_dead() {
        let res = reconcile(&agent).await;
        // Told when it begins; an engine that stays away would fill the log.
        if let Err(e) = res.as_ref().map_err(|e| e.to_string())
            && !was_failing
        {
            let server = &agent.settings.server;
            event::ENGINE_ORDER_FAILED.log(format_args!("server={server} problem={e}"));
        }
        was_failing = res.is_err();
        tokio::select! {
            () = tokio::time::sleep(CHECK) => {}
            _ = revision.changed() => {}
        }
    }
}

async fn reconcile(agent: &Agent) -> Result<()> {
    let snapshot = agent.config.snapshot();
    let Some((wanted, fencing)) = declared(&snapshot, &agent.settings.server) else {
        return Ok(());
    };
    let uri = format!("{}/v1/engine/state", agent.settings.backend_url);
    let state: EngineOrder = agent.http.call_json(Method::GET, &uri, &(), TIMEOUT).await?;
    let mut loaded = state.versions;
    loaded.sort();
    *agent.loaded.lock().expect("no panics under the lock") = Some(loaded.clone());
    if loaded == wanted || state.fencing > fencing {
        return Ok(());
    }
    let uri = format!("{}/v1/engine/orders", agent.settings.backend_url);
    let order = EngineOrder { fencing, versions: wanted };
    let body = serde_json::to_vec(&order).unwrap_or_default();
    let mut headers = http::HeaderMap::new();
    headers.insert("content-type", http::HeaderValue::from_static("application/json"));
    let reply = agent.http.call(Method::POST, &uri, headers, body.into(), TIMEOUT).await?;
    if reply.status.is_success() {
        event::ENGINE_ORDERED.log(format_args!("versions={:?} fencing={fencing}", order.versions));
    } else {
        event::ENGINE_ORDER_FAILED.log(format_args!("status={} fencing={fencing}", reply.status));
    }
    Ok(())
}

/// Versions declared for an engine, sorted, and the revision that declared them.
fn declared(snapshot: &Snapshot, server: &str) -> Option<(Vec<VersionId>, Revision)> {
    let spec = snapshot.servers.get(server)?;
    if spec.kind != BackendKind::Engine {
        return None;
    }
    let owner = partner_of(server);
    let mut versions: Vec<VersionId> = spec.versions.iter().map(|v| qualify(owner, v)).collect();
    versions.sort();
    let revision = snapshot.object_revisions.get(&(Kind::BackendServer, server.into())).copied()?;
    Some((versions, revision))
}
