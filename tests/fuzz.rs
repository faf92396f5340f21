//! Property tests: arbitrary input never causes a panic, encoding and decoding round-trips, and the rules of
//! charges, claims, queues and the configuration log hold for arbitrary sequences.

use mintmoor::{
    ids::{format_id, parse_id},
    policy::{
        attempt::AttemptKey,
        charge::{ChargeRecord, ChargedAttempt, Delivery, merge, settle},
        claim::{Claim, ClaimState, ClaimStep, InsertReply, next_step},
        fair_queue::{FairQueue, QueuedAttempt},
        session::{Session, sign, verify},
    },
    protocol::{ToAgent, ToEntry, decode, encode},
    resources::{ConfigLog, Kind, Object, Snapshot, Spec, check_object},
    settings::{load_agent, load_entry},
};
use proptest::{collection::vec, prelude::*};

fn record(request: u128, tokens: u64, delivery: Delivery) -> ChargeRecord {
    let attempt = ChargedAttempt {
        version: "p/m@1".into(),
        server: "p/s".into(),
        tokens_in: tokens,
        tokens_out: tokens,
        cost: tokens,
    };
    ChargeRecord { request, organisation: "p/o".into(), attempts: vec![attempt], delivery }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in vec(any::<u8>(), 0..2048)) {
        let _ = decode::<ToAgent>(&bytes);
        let _ = decode::<ToEntry>(&bytes);
    }

    #[test]
    fn truncated_frame_is_an_error(payload in vec(any::<u8>(), 1..512), cut in 1usize..40) {
        let key = AttemptKey { request: 7, number: 1 };
        let frame = encode(&ToEntry::Chunk { key, sequence: 3, payload });
        let short = &frame[..frame.len().saturating_sub(cut)];
        prop_assert!(decode::<ToEntry>(short).is_err());
    }

    #[test]
    fn frame_round_trips(
        request in any::<u128>(), number in any::<u32>(), sequence in any::<u64>(),
        payload in vec(any::<u8>(), 0..512),
    ) {
        let key = AttemptKey { request, number };
        let frame = ToEntry::Chunk { key, sequence, payload };
        prop_assert_eq!(decode::<ToEntry>(&encode(&frame)).unwrap(), frame);
    }

    #[test]
    fn problems_of_arbitrary_settings_have_valid_line_numbers(text in "\\PC{0,200}(\n\\PC{0,60}){0,8}") {
        let lines = text.lines().count().max(1);
        for error in [load_entry("f", &text).unwrap_err(), load_agent("f", &text).unwrap_err()] {
            prop_assert!(!error.problems.is_empty());
            prop_assert!(error.problems.iter().all(|p| p.line <= lines + 1));
        }
    }

    #[test]
    fn checking_a_spec_from_arbitrary_json_never_panics(kind in 0usize..7, text in "[\\[{]\\PC{0,120}[\\]}]") {
        let Ok(json) = serde_json::from_str(&text) else { return Ok(()) };
        if let Ok(spec) = Spec::from_json(Kind::ALL[kind], json) {
            let object = Object { id: "p/x".into(), revision: 1, spec };
            let _ = check_object(&object, &Snapshot::default());
        }
    }

    #[test]
    fn only_an_unmodified_session_token_is_accepted(id in "[a-z0-9]{1,20}", flip in any::<prop::sample::Index>()) {
        let session = Session { organisation: "p/o".into(), id: id.into(), ..Session::default() };
        let token = sign(&session, b"key");
        prop_assert_eq!(verify(&token, b"key"), Some(session));
        prop_assert_eq!(verify(&token, b"other"), None);
        let mut bytes = token.as_bytes().to_vec();
        let at = flip.index(bytes.len());
        bytes[at] = if bytes[at] == b'0' { b'1' } else { b'0' };
        prop_assert_eq!(verify(std::str::from_utf8(&bytes).unwrap(), b"key"), None);
    }

    #[test]
    fn id_round_trips(id in any::<u128>()) {
        prop_assert_eq!(parse_id(&format_id(id)), Some(id));
    }

    #[test]
    fn each_request_is_billed_once_for_any_order_and_number_of_records(
        copies in vec((0u128..12, 1u64..9, 0u8..3), 0..60),
    ) {
        let all: Vec<ChargeRecord> = copies
            .iter()
            .map(|(request, tokens, kind)| {
                let delivery = match kind {
                    0 => Delivery::Whole,
                    1 => Delivery::Part,
                    _ => Delivery::Presumed,
                };
                record(*request, *tokens, delivery)
            })
            .collect();
        let (totals, ids) = settle(&merge(all.clone()), &Default::default());
        let distinct: std::collections::BTreeSet<u128> = all.iter().map(|r| r.request).collect();
        let billed: u64 = totals.values().map(|t| t.requests).sum();
        prop_assert_eq!(billed, distinct.len() as u64);
        let again = settle(&merge(all), &ids.into_iter().collect());
        prop_assert!(again.1.is_empty());
    }

    #[test]
    fn request_is_never_sent_while_another_claim_exists(
        state in 0u8..3, same_fingerprint in any::<bool>(), held_until in 0u64..20, now in 0u64..20,
    ) {
        let mine = Claim::new(1, 1, 5, 10);
        let mut theirs = Claim::new(2, 2, if same_fingerprint { 5 } else { 6 }, held_until);
        theirs.state = match state {
            0 => ClaimState::Held,
            1 => ClaimState::NotRun,
            _ => ClaimState::Unknown,
        };
        let step = next_step(&mine, InsertReply::Found(theirs, 3), now);
        prop_assert_ne!(step, ClaimStep::Send);
    }

    #[test]
    fn queue_returns_every_attempt_it_accepted(organisations in vec(0u8..5, 1..80), capacity in 1usize..40) {
        let mut queue = FairQueue::new(capacity);
        let mut dropped = 0;
        for (i, organisation) in organisations.iter().enumerate() {
            let waiting = QueuedAttempt {
                organisation: format!("p/{organisation}").into(),
                priority: 0,
                cost: 1.0,
                weight: 1.0,
                item: i,
            };
            dropped += usize::from(queue.push(waiting).is_some());
        }
        let mut seen = std::collections::BTreeSet::new();
        while let Some(item) = queue.pop() {
            prop_assert!(seen.insert(item));
        }
        prop_assert_eq!(seen.len() + dropped, organisations.len());
        prop_assert!(seen.len() <= capacity);
    }

    #[test]
    fn config_log_revision_never_decreases(offers in vec(0u64..12, 0..60)) {
        let mut log = ConfigLog::default();
        let mut highest = 0;
        for revision in offers {
            let before = log.revision();
            log.replace(revision, Vec::new());
            prop_assert!(log.revision() >= before);
            highest = highest.max(revision);
        }
        prop_assert_eq!(log.revision(), highest);
    }
}
