//! Claiming requests that may run only once.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::sleep;

use crate::{
    control::config::HEAD_KEY,
    entry::{ApiError, Entry},
    ids::RequestId,
    platform::InsertOutcome,
    policy::claim::{Claim, ClaimState, ClaimStep, InsertReply, SavedAnswer, next_step},
    telemetry::event,
};

/// Steps before a claim is given up.
const MAX_STEPS: usize = 8;
/// Time beyond the deadline after which a held claim counts as abandoned.
const HELD_MARGIN: Duration = Duration::from_secs(30);
const FINISH_TRIES: u32 = 40;
const FINISH_PAUSE: Duration = Duration::from_millis(500);
/// Time a repeat waits for the end of a request that holds its claim. The end is written while the
/// answer is on its way to the caller, so a repeat that comes at once may be there first; a write
/// takes 5 ms at the platform's store, and many times that on a busy host.
const END_WAIT: Duration = Duration::from_millis(800);
/// Pause between two looks at the claim meanwhile.
const END_PAUSE: Duration = Duration::from_millis(40);

/// A claim this entry holds.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    key: Box<str>,
    claim: Claim,
    version: u64,
}

/// What a claim came to.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// The request may be sent.
    Granted(Grant),
    /// The request ran before; this is its answer.
    Replay(SavedAnswer),
}

/// Claims a request before its first send.
///
/// # Errors
/// What the caller has to be told instead.
pub(crate) async fn claim(
    entry: &Entry,
    key: Box<str>,
    request: RequestId,
    fingerprint: u64,
    deadline: Duration,
) -> Result<Claimed, ApiError> {
    // One lost reply says nothing about the store: a twin of this request may well have run.
    if entry.health.is_unavailable() && entry.table.get(HEAD_KEY).await.is_err() {
        return Err(ApiError::not_run("the store that keeps claims gives no answer"));
    }
    let now = unix_now();
    let held_until = now + (deadline + HELD_MARGIN).as_secs();
    let mine = Claim::new(request, entry.incarnation, fingerprint, held_until);
    let mut expected = None;
    let mut step = ClaimStep::Insert;
    let mut version = 0;
    let mut waited = Duration::ZERO;
    let mut steps = 0;
    while steps < MAX_STEPS {
        steps += 1;
        let reply = match step {
            ClaimStep::Insert => insert(entry, &key, &mine, expected, &mut version).await,
            ClaimStep::TakeOver(held) => {
                expected = Some(held);
                insert(entry, &key, &mine, expected, &mut version).await
            }
            ClaimStep::ReadBack => read_back(entry, &key, &mut version).await,
            ClaimStep::Send => {
                return Ok(Claimed::Granted(Grant { key, claim: mine, version }));
            }
            ClaimStep::Replay(answer) => return Ok(Claimed::Replay(answer)),
            ClaimStep::InProgress if waited >= END_WAIT => return Err(ApiError::duplicate()),
            ClaimStep::InProgress => {
                sleep(END_PAUSE).await;
                waited += END_PAUSE;
                steps -= 1;
                read_back(entry, &key, &mut version).await
            }
            ClaimStep::KeyReused => return Err(ApiError::key_reused()),
            ClaimStep::OutcomeUnknown => {
                let message = "what became of a request with this idempotency key is not known";
                return Err(ApiError::outcome_unknown(message));
            }
            ClaimStep::NotRun => {
                return Err(ApiError::not_run("the store did not take the claim"));
            }
        };
        if matches!(reply, InsertReply::Absent) {
            expected = None;
        }
        step = next_step(&mine, reply, now);
    }
    Err(ApiError::outcome_unknown("the claim could not be settled"))
}

async fn insert(
    entry: &Entry,
    key: &str,
    mine: &Claim,
    expected: Option<u64>,
    version: &mut u64,
) -> InsertReply {
    let value = serde_json::to_value(mine).expect("claims are plain data");
    match entry.write_row(key.into(), expected, value).await {
        InsertOutcome::Inserted(written) => {
            *version = written;
            InsertReply::Inserted
        }
        InsertOutcome::Conflict => read_back(entry, key, version).await,
        InsertOutcome::Refused => InsertReply::Refused,
        InsertOutcome::Lost => {
            event::CLAIM_LOST_REPLY.log(format_args!("request={}", mine.request));
            InsertReply::Lost
        }
    }
}

async fn read_back(entry: &Entry, key: &str, version: &mut u64) -> InsertReply {
    match entry.health.track("claim_read", entry.table.get(key)).await {
        Ok(None) => InsertReply::Absent,
        Ok(Some(row)) => {
            *version = row.version;
            row.parse()
                .map_or(InsertReply::Unreadable, |claim| InsertReply::Found(claim, row.version))
        }
        Err(_) => InsertReply::Unreadable,
    }
}

/// Writes down how a claimed request ended; repeated until the store takes it.
pub(crate) async fn finish(entry: &Entry, grant: Grant, state: ClaimState) {
    let claim = Claim { state, ..grant.claim };
    let value = serde_json::to_value(&claim).expect("claims are plain data");
    for _ in 0..FINISH_TRIES {
        match entry.write_row(grant.key.clone(), Some(grant.version), value.clone()).await {
            InsertOutcome::Inserted(_) | InsertOutcome::Conflict => return,
            // A repeat after a lost reply conflicts with our own write, which ends it.
            InsertOutcome::Refused | InsertOutcome::Lost => sleep(FINISH_PAUSE).await,
        }
    }
}

fn unix_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
