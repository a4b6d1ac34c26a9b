//! Tests of `ClaimOwner` at its limits: age of keys, log retention, buffers, deadlines and requests that give up.

use std::collections::BTreeSet;

use uuid::Uuid;
use waxwing_core::ExecutionStatus;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::coordination::claim_owner::ClaimDecision;
use waxwing_core::coordination::claim_owner::ClaimOwner;
use waxwing_core::coordination::claim_owner::Effect;
use waxwing_core::coordination::claim_owner::Input;
use waxwing_core::coordination::claim_owner::Limits;
use waxwing_core::coordination::claim_owner::Now;
use waxwing_core::coordination::claim_owner::Request;
use waxwing_core::state::claims::Answer;
use waxwing_core::state::claims::Claim;
use waxwing_core::state::claims::ClaimId;
use waxwing_core::state::claims::ClaimKey;
use waxwing_core::state::claims::ClaimTable;
use waxwing_core::state::claims::Outcome;
use waxwing_core::state::claims::Owner;
use waxwing_core::state::claims::Record;

const WALL_MS: u64 = 1_000_000;
const LIFETIME_MS: u64 = 60_000;
const SKEW_MS: u64 = 1_000;

fn key(created_ms: u64, low: u64) -> ClaimKey {
    ClaimKey {
        organisation: Name::from("o"),
        key: Uuid::from_u128(u128::from(created_ms) << 80 | 7 << 76 | u128::from(low)),
    }
}

fn identity() -> Owner {
    Owner {
        vm: Name::from("a"),
        incarnation: 1,
    }
}

fn now(monotonic_ms: u64) -> Now {
    Now {
        monotonic_ms,
        wall_ms: WALL_MS,
    }
}

/// Returns an owner that serves its range, and the next offset of its log stream.
fn serving_owner() -> (ClaimOwner, u64) {
    let limits = Limits {
        key_lifetime_ms: LIFETIME_MS,
        clock_skew_max_ms: SKEW_MS,
        group_commit_ms: 0,
        append_retry_ms: 0,
        outage_after_ms: 5_000,
        renew_ms: 600_000,
        reacquire_delay_ms: 0,
        uses_memory: true,
    };
    let mut owner = ClaimOwner::new(identity(), limits, now(0));
    let preferred = Name::from("a");
    let live = BTreeSet::from([preferred.clone()]);
    owner.step(now(0), Input::Members { preferred, live });
    let mut offset = 0;
    let mut effects = read(&mut owner, Vec::new());
    while !owner.table().is_active() {
        let mut records = Vec::new();
        for effect in effects.drain(..) {
            let Effect::Append(appended) = effect else {
                continue;
            };
            for record in appended {
                records.push((offset, Some(record)));
                offset += 1;
            }
        }
        owner.step(now(0), Input::AppendEnded { is_confirmed: true });
        effects = read(&mut owner, records);
    }
    (owner, offset)
}

fn read(owner: &mut ClaimOwner, records: Vec<(u64, Option<Record>)>) -> Vec<Effect> {
    let is_end = true;
    owner.step(now(0), Input::Read { records, is_end })
}

fn ask(owner: &mut ClaimOwner, now: Now, key: ClaimKey) -> Option<ClaimDecision> {
    let request = Request {
        key,
        claimant: 1,
        body_hash: [0; 32],
        may_use_memory: true,
        deadline_ms: now.monotonic_ms + 1_000,
    };
    let effects = owner.step(now, Input::Claim(Box::new(request)));
    effects.into_iter().find_map(|effect| match effect {
        Effect::Reply { decision, .. } => Some(decision),
        _ => None,
    })
}

fn refusal_reason(decision: Option<ClaimDecision>) -> Option<(Reason, ExecutionStatus)> {
    match decision {
        Some(ClaimDecision::Refused(refusal)) => Some((refusal.reason, refusal.run)),
        _ => None,
    }
}

/// Guards against a key that is accepted after retention may have removed its records from the log, either because it
/// is too old or because its creation time is in the future.
#[test]
fn key_age() {
    let (mut owner, _) = serving_owner();
    let old = ask(&mut owner, now(0), key(WALL_MS - LIFETIME_MS - 1, 0));
    assert_eq!(
        refusal_reason(old),
        Some((Reason::KeyTooOld, ExecutionStatus::Unknown))
    );
    let ahead = ask(&mut owner, now(0), key(WALL_MS + SKEW_MS + 1, 0));
    assert_eq!(
        refusal_reason(ahead),
        Some((Reason::KeyMalformed, ExecutionStatus::NotRun))
    );
    assert_eq!(ask(&mut owner, now(0), key(WALL_MS - LIFETIME_MS, 0)), None);
    assert_eq!(ask(&mut owner, now(0), key(WALL_MS + SKEW_MS, 0)), None);
}

/// Guards against unbounded growth of the pending changes during a log outage.
#[test]
fn full_buffer() {
    let (mut owner, _) = serving_owner();
    let log_outage = now(5_000);
    let mut granted = 0;
    while matches!(
        ask(&mut owner, log_outage, key(WALL_MS, granted)),
        Some(ClaimDecision::Granted(_))
    ) {
        granted += 1;
    }
    assert_eq!(granted, 1_024);
    let refused = ask(&mut owner, log_outage, key(WALL_MS, granted));
    assert_eq!(
        refusal_reason(refused),
        Some((Reason::QueueFull, ExecutionStatus::NotRun))
    );
}

/// Guards against a request that waits beyond its deadline, and against a claim that stays taken after its requester
/// was refused.
#[test]
fn wait_deadline() {
    let (mut owner, _) = serving_owner();
    assert_eq!(ask(&mut owner, now(0), key(WALL_MS, 0)), None);
    let effects = owner.step(now(1_000), Input::Tick);
    assert!(
        matches!(&effects[..], [Effect::Reply { .. }]),
        "{effects:?}"
    );
    let effects = owner.step(now(1_000), Input::AppendEnded { is_confirmed: true });
    let is_settled = |record: &Record| {
        matches!(
            record,
            Record::Outcome {
                result: Outcome::NotRun,
                ..
            }
        )
    };
    assert!(
        matches!(&effects[..], [Effect::Append(records)] if records.iter().any(is_settled)),
        "{effects:?}"
    );
}

/// Guards against treating a range as unowned because retention has removed the `Own` record of its owner.
#[test]
fn dropped_ownership() {
    let mut table = ClaimTable::new(100);
    let own = Record::Own {
        owner: identity(),
        previous_fence: 0,
    };
    table.apply(100, &own);
    assert_eq!(table.owner(), None);
    let active = Record::Active {
        owner: identity(),
        fence: 7,
        cutoff_ms: 9,
        may_use_memory: true,
    };
    table.apply(101, &active);
    assert_eq!((table.fence(), table.owner()), (7, Some(&identity())));
    assert!(table.is_active() && table.may_use_memory());
}

/// Guards against stored answer bodies that exhaust the memory of the owner.
#[test]
fn dropped_bodies() {
    let (owner, mut offset) = serving_owner();
    let mut table = owner.table().clone();
    let fence = table.fence();
    for low in 0..5 {
        let claim = Claim {
            key: key(WALL_MS, low),
            attempt: 1,
            claimant: low,
            body_hash: [0; 32],
        };
        let outcome = Record::Outcome {
            key: claim.key.clone(),
            claim: ClaimId { fence, attempt: 1 },
            result: Outcome::Done(Answer {
                status: 200,
                content_type: String::new(),
                body: Some(vec![0; 1_024 * 1_024]),
            }),
        };
        let claims = vec![claim];
        table.apply(offset, &Record::Claims { fence, claims });
        table.apply(offset + 1, &outcome);
        offset += 2;
    }
    let has_body = |low| match table.get(&key(WALL_MS, low)).map(|entry| &entry.outcome) {
        Some(Some(Outcome::Done(answer))) => answer.body.is_some(),
        other => panic!("key {low} has the outcome {other:?}"),
    };
    assert_eq!([0, 1, 4].map(has_body), [false, true, true]);
}

/// Returns the records of all appends in `effects`.
fn appended_records(effects: Vec<Effect>) -> Vec<Record> {
    let mut records = Vec::new();
    for effect in effects {
        if let Effect::Append(appended) = effect {
            records.extend(appended);
        }
    }
    records
}

fn give_up(owner: &mut ClaimOwner, key: ClaimKey, claimant: u64) -> Vec<Effect> {
    owner.step(now(0), Input::GiveUp { key, claimant })
}

/// Guards against a key that stays claimed forever because the give-up notice of its request took another connection
/// and arrived before the claim.
#[test]
fn early_give_up() {
    let (mut owner, _) = serving_owner();
    give_up(&mut owner, key(WALL_MS, 0), 1);
    let late = ask(&mut owner, now(0), key(WALL_MS, 0));
    assert_eq!(
        refusal_reason(late),
        Some((Reason::DeadlinePassed, ExecutionStatus::Unknown))
    );
    assert_eq!(owner.pending_len(), 0);
}

/// Guards against an unsettled claim that a former owner logged, if the give-up notice of its request reached this
/// process before the claim was read.
#[test]
fn give_up_before_read() {
    let (mut owner, offset) = serving_owner();
    let claim = Claim {
        key: key(WALL_MS, 0),
        attempt: 1,
        claimant: 7,
        body_hash: [0; 32],
    };
    give_up(&mut owner, claim.key.clone(), 7);
    let fence = owner.table().fence();
    let claims = vec![claim.clone()];
    let effects = read(
        &mut owner,
        vec![(offset, Some(Record::Claims { fence, claims }))],
    );
    let expected = Record::Outcome {
        key: claim.key,
        claim: ClaimId { fence, attempt: 1 },
        result: Outcome::NotRun,
    };
    assert_eq!(appended_records(effects), vec![expected]);
}

/// Guards against a range that no process serves: the former owner returns during a takeover, and this process stops
/// reading the log before it learns that it has become the owner.
#[test]
fn undecided_takeover() {
    let (mut owner, offset) = serving_owner();
    let other = Owner {
        vm: Name::from("b"),
        incarnation: 2,
    };
    let fence = owner.table().fence();
    let taken = Record::Own {
        owner: other,
        previous_fence: fence,
    };
    let effects = read(&mut owner, vec![(offset, Some(taken))]);
    assert_eq!(appended_records(effects.clone()).len(), 1, "{effects:?}");
    owner.step(now(0), Input::AppendEnded { is_confirmed: true });
    let preferred = Name::from("b");
    let live = BTreeSet::from([Name::from("a"), Name::from("b")]);
    owner.step(now(0), Input::Members { preferred, live });
    assert!(!owner.is_handed_over(), "the takeover may have succeeded");

    let mut offset = offset + 1;
    let mut records = appended_records(effects);
    while !owner.is_handed_over() {
        assert!(!records.is_empty(), "the range is not released");
        let mut logged = Vec::new();
        for record in records {
            logged.push((offset, Some(record)));
            offset += 1;
        }
        let mut effects = read(&mut owner, logged);
        effects.extend(owner.step(now(0), Input::AppendEnded { is_confirmed: true }));
        let fence = owner.table().fence();
        effects.extend(owner.step(now(0), Input::FenceRaised(fence)));
        records = appended_records(effects);
    }
    assert!(owner.table().is_released());
}

/// Guards against claims that are granted after the log lost records, when another process may claim the same keys.
#[test]
fn lost_records() {
    let (mut owner, offset) = serving_owner();
    let fence = owner.table().fence();
    let asked = key(now(0).wall_ms, 1);
    assert_eq!(ask(&mut owner, now(10), asked.clone()), None);
    let effects = owner.step(now(20), Input::LostRecords);
    assert!(matches!(
        &effects[..],
        [Effect::Reply { decision: ClaimDecision::Refused(refusal), .. }]
            if refusal.run == ExecutionStatus::NotRun
    ));
    // Neither records of the new log nor an outage let it claim again, and it appends nothing.
    let own = Record::Active {
        owner: identity(),
        fence,
        cutoff_ms: 0,
        may_use_memory: true,
    };
    assert!(read(&mut owner, vec![(offset, Some(own))]).is_empty());
    for at_ms in [30, 60_000] {
        let reason = refusal_reason(ask(&mut owner, now(at_ms), key(now(0).wall_ms, 2)));
        let expected = (Reason::LogUnavailable, ExecutionStatus::Unknown);
        assert_eq!(reason, Some(expected), "{at_ms}");
        assert!(owner.step(now(at_ms), Input::Tick).is_empty());
    }
    assert!(owner.is_handed_over());
}
