//! Reporting of this entry's server load, observations and roll-out evidence to the seeds.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};
use tokio_tungstenite::tungstenite::Message;

use crate::{
    control::supervisor::supervise,
    protocol::{Error, Result, decode},
    router::{
        Router,
        peers::{
            links::{
                BATCH_DELAY, OPEN_TIMEOUT, connect, next_message, other_seeds, send_message,
                send_ping, timed_out,
            },
            messages::{PeerMessage, PeerRequest, Report},
        },
    },
    telemetry::event,
};

/// Interval between load reports to the seeds; streams last one second to a few seconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two attempts to connect to the same seed, as for a link that is followed. A link that lasted
/// longer is opened again at once: what an entry observes reaches the others only over these links, and has to within a
/// tenth of a second.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(500);

/// Reports to every seed. A seed also applies the sums of all reports to its own fleet.
pub(crate) async fn report_to_seeds(router: &Arc<Router>) {
    let mut links: JoinSet<()> = JoinSet::new();
    let mut linked_seeds: Vec<SocketAddr> = Vec::new();
    let (reports, _) = watch::channel(Report::default());
    // Seeds also forward what they receive, since some entries may not reach all seeds.
    let (mut quarantine_changes, mut limit_changes) = if router.is_seed() {
        (router.quarantine.changes(), router.shared_limits.urgent_changes())
    } else {
        (router.quarantine.own_changes(), router.shared_limits.own_urgent_changes())
    };
    loop {
        let settings = router.settings.load_full();
        let others = other_seeds(&settings);
        if others != linked_seeds {
            links.abort_all();
            for seed in &others {
                let host = settings.host.clone();
                links.spawn(report_supervised(router.clone(), *seed, host, reports.subscribe()));
            }
            linked_seeds = others;
        }
        let fleet = router.fleet.load();
        let evidence = router.roll_outs.evidence();
        let loads = router.load_reports.collect_own(&fleet);
        let is_new = router.place().is_none();
        reports.send_replace(Report { loads, evidence, is_new, ..Report::default() });
        if router.is_seed() {
            let now = router.now();
            router.record_entries(router.load_reports.entry_count(now));
            if let Some(place) = router.place_of(&settings.host) {
                router.own_place.record(place, now);
            }
            router.load_reports.apply(&router.load_reports.sums(now), &fleet, now);
        }
        drop(fleet);
        let urgent = async {
            tokio::select! {
                _ = quarantine_changes.changed() => {}
                _ = limit_changes.changed() => {}
            }
        };
        let is_urgent = timeout(REPORT_INTERVAL, urgent).await.is_ok();
        // Only seeds batch changes. Other entries report what they observed immediately, since they
        // may be killed next.
        if is_urgent && router.is_seed() {
            sleep(BATCH_DELAY).await;
        }
    }
}

/// Reports to one seed forever; without it, the seed would count this entry as gone.
async fn report_supervised(
    router: Arc<Router>,
    seed: SocketAddr,
    host: Box<str>,
    reports: watch::Receiver<Report>,
) {
    let report = || report_with_retries(router.clone(), seed, host.clone(), reports.clone());
    supervise("seed link", &router.metrics, report).await;
}

/// Reports to one seed forever, reconnecting after errors.
async fn report_with_retries(
    router: Arc<Router>,
    seed: SocketAddr,
    host: Box<str>,
    mut reports: watch::Receiver<Report>,
) {
    loop {
        let opened_at = Instant::now();
        if let Err(e) = report_to_seed(&router, seed, &host, &mut reports).await {
            event::PEER_FAILED.log(format_args!("peer={seed} cause=\"{e}\""));
        }
        sleep_until(opened_at + RECONNECT_INTERVAL).await;
    }
}

async fn report_to_seed(
    router: &Router,
    seed: SocketAddr,
    host: &str,
    reports: &mut watch::Receiver<Report>,
) -> Result<()> {
    let mut wakes = router.clock.subscribe_suspensions();
    let mut socket = timeout(OPEN_TIMEOUT, connect(seed)).await.map_err(|_| timed_out())??;
    let (mut next_kept, mut next_end, mut next_limit) = (0, None, None);
    let (mut next_speed, mut next_usage) = (0, 0);
    loop {
        let mut report = reports.borrow_and_update().clone();
        (report.kept, next_kept) = router.prefix_reports.own_since(next_kept, router.now());
        let (ends, next) = if router.is_seed() {
            router.quarantine.all_since(next_end, router.now())
        } else {
            router.quarantine.own_since(next_end, router.now())
        };
        (report.ends, next_end) = (ends, Some(next));
        let (limits, next) = if router.is_seed() {
            router.shared_limits.all_since(next_limit.unwrap_or_default())
        } else {
            router.shared_limits.own_since(next_limit)
        };
        (report.limits, next_limit) = (limits, Some(next));
        (report.speeds, next_speed) = router.speed_reports.own_since(next_speed);
        if router.settings.load().duties.is_some() {
            let (usage, next) = router.usage.report_since(next_usage, router.now());
            (report.usage, next_usage) = (Some(usage), next);
        }
        send_message(&mut socket, &PeerRequest::Report { host: host.into(), report }).await?;
        send_ping(&mut socket).await?;
        let mut is_alive = false;
        loop {
            tokio::select! {
                message = next_message(&mut socket) => match message? {
                    Message::Pong(_) => is_alive = true,
                    Message::Binary(data) => apply_urgent_updates(router, decode(&data)?)?,
                    _ => {}
                },
                changed = reports.changed(), if is_alive => match changed {
                    Ok(()) => break,
                    Err(_) => return Ok(()),
                },
                // The Host was suspended, and the seed has closed the link in the meantime.
                _ = wakes.changed() => return Err(timed_out()),
            }
        }
    }
}

/// Applies urgent updates from a seed.
fn apply_urgent_updates(router: &Router, message: PeerMessage) -> Result<()> {
    let PeerMessage::News { ends, limits } = message else {
        return Err(Error::ConnectionFailed("expected urgent updates".into()));
    };
    router.apply_quarantine_updates(&ends);
    router.apply_limit_updates(&limits);
    Ok(())
}
