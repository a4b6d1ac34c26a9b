//! Guards against a request that crashes endpoint after endpoint, and against blaming requests that only ran beside it.

#[path = "fixture/shard.rs"]
mod shard;

use waxwing_core::Reason;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::Effect;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::SlotRequest;

use shard::Shard;
use shard::grants;
use shard::refusals;
use shard::slot_request;

const POISON: u8 = 66;

fn request_with_content(sequence: u64, content: u8) -> SlotRequest {
    SlotRequest {
        content_hash: [content; 32],
        ..slot_request(sequence, 1)
    }
}

fn granted_endpoint(effects: &[Effect]) -> Option<String> {
    grants(effects).first().map(|(_, name)| name.clone())
}

/// Loses the connections of the requests, then stops the endpoint and restarts it with a new identity.
fn crash(shard: &mut Shard, name: &str, sequences: &[u64]) {
    for sequence in sequences {
        shard.end(*sequence, AttemptEnd::Lost, 0);
    }
    shard.probe(name, false, 0);
    shard.probe(name, true, shard.now_ms);
}

#[test]
fn second_crash_identifies_the_content() {
    let mut shard = Shard::new(Config::default(), &[4, 4, 4]);
    let first =
        granted_endpoint(&shard.enqueue(request_with_content(1, POISON))).expect("slots are free");
    crash(&mut shard, &first, &[1]);
    // This makes the other endpoints busier than the restarted one.
    shard.enqueue(slot_request(10, 1));
    shard.enqueue(slot_request(11, 1));
    let second =
        granted_endpoint(&shard.enqueue(request_with_content(2, POISON))).expect("slots are free");
    assert_ne!(
        first, second,
        "a suspect avoids the endpoint on which it ran when the connection was lost"
    );
    crash(&mut shard, &second, &[2]);
    let refused = shard.enqueue(request_with_content(3, POISON));
    assert_eq!(refusals(&refused), vec![(3, Reason::ContentRefused)]);
    assert_eq!(shard.scheduler.counters().crashes, 2);
}

#[test]
fn crash_seen_by_the_prober_first_counts() {
    let mut shard = Shard::new(Config::default(), &[4, 4]);
    let first =
        granted_endpoint(&shard.enqueue(request_with_content(1, POISON))).expect("slots are free");
    shard.probe(&first, false, 0);
    shard.end(1, AttemptEnd::Lost, 0);
    assert_eq!(shard.scheduler.findings(shard.now_ms).len(), 1);
}

#[test]
fn lost_connection_without_crash_blames_no_content() {
    let mut shard = Shard::new(Config::default(), &[4, 4]);
    shard.probe("e1", true, 1);
    shard.probe("e2", true, 1);
    for sequence in 1..=2 {
        let endpoint = granted_endpoint(&shard.enqueue(request_with_content(sequence, POISON)));
        shard.end(sequence, AttemptEnd::Lost, 0);
        shard.probe(&endpoint.expect("slots are free"), true, 1);
    }
    assert!(shard.scheduler.findings(shard.now_ms).is_empty());
}

#[test]
fn suspects_run_apart_and_are_cleared_when_done() {
    let mut shard = Shard::new(Config::default(), &[4, 4, 4]);
    let mut running = Vec::new();
    for sequence in 1..=12 {
        running.extend(grants(
            &shard.enqueue(request_with_content(sequence, sequence as u8)),
        ));
    }
    let mut on_first = Vec::new();
    for (sequence, endpoint) in running {
        if endpoint == "e1" {
            on_first.push(sequence);
        } else {
            shard.done(sequence);
        }
    }
    assert_eq!(on_first.len(), 4);
    crash(&mut shard, "e1", &on_first);
    let mut isolated = Vec::new();
    for sequence in on_first {
        let effects = shard.enqueue(request_with_content(sequence, sequence as u8));
        isolated.extend(grants(&effects));
    }
    let endpoints: Vec<&str> = isolated.iter().map(|(_, name)| name.as_str()).collect();
    assert_eq!(
        endpoints.len(),
        2,
        "two other endpoints take one suspect each"
    );
    assert_ne!(endpoints[0], endpoints[1]);
    let next = shard.done(isolated[0].0);
    assert_eq!(
        grants(&next).len(),
        1,
        "a cleared suspect makes room for the next"
    );
    let content = [isolated[0].0 as u8; 32];
    let findings = shard.scheduler.findings(shard.now_ms);
    let blamed = findings.iter().filter(|f| f.endpoint.is_some());
    assert!(blamed.into_iter().all(|f| f.content != content));
}

#[test]
fn evidence_of_other_vms_counts() {
    let mut remote = Shard::new(Config::default(), &[4, 4]);
    let first =
        granted_endpoint(&remote.enqueue(request_with_content(1, POISON))).expect("slots are free");
    crash(&mut remote, &first, &[1]);
    let mut local = Shard::new(Config::default(), &[]);
    let specs = vec![shard::endpoint("e8", 1), shard::endpoint("e9", 1)];
    local.step(Input::Endpoints(specs));
    let second =
        granted_endpoint(&local.enqueue(request_with_content(1, POISON))).expect("slots are free");
    crash(&mut local, &second, &[1]);
    let findings = remote.scheduler.findings(remote.now_ms);
    let mut refused = local.step(Input::Evidence(findings.clone()));
    local.step(Input::Evidence(findings));
    refused.extend(local.enqueue(request_with_content(4, POISON)));
    let reason = Reason::ContentRefused;
    assert!(refusals(&refused).contains(&(4, reason)), "{refused:?}");
    assert!(local.scheduler.is_refused(&[POISON; 32]));
    assert!(!local.scheduler.is_refused(&[0; 32]));
}

#[test]
fn others_do_not_join_the_crashing_content_before_the_probe() {
    let mut shard = Shard::new(Config::default(), &[8]);
    let others = 1..=4;
    for sequence in others.clone() {
        shard.enqueue(request_with_content(sequence, sequence as u8));
    }
    shard.enqueue(request_with_content(9, POISON));
    let specs = ["e1", "e2", "e3"].map(|name| shard::endpoint(name, 8));
    shard.step(Input::Endpoints(specs.to_vec()));
    let mut placed = Vec::new();
    for sequence in [9, 1, 2, 3, 4] {
        shard.end(sequence, AttemptEnd::Lost, 0);
        let content = if sequence == 9 {
            POISON
        } else {
            sequence as u8
        };
        placed.extend(grants(
            &shard.enqueue(request_with_content(sequence, content)),
        ));
    }
    let crashing = placed.iter().find(|(sequence, _)| *sequence == 9);
    let (_, second) = crashing.expect("it is placed").clone();
    let on_second = placed.iter().filter(|(_, name)| *name == second).count();
    assert_eq!(
        on_second, 1,
        "only the crashing content runs on its endpoint"
    );
    shard.end(9, AttemptEnd::Lost, 0);
    shard.probe("e1", false, 0);
    shard.probe(&second, false, 0);
    assert!(shard.scheduler.is_refused(&[POISON; 32]));
    for other in others {
        assert!(!shard.scheduler.is_refused(&[other as u8; 32]));
    }
}
