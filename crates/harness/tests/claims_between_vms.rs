//! Non-idempotent requests that enter on one VM and are claimed on another.

use std::collections::BTreeMap;
use std::thread;

use uuid::Uuid;
use waxwing_core::ExecutionStatus;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::coordination::rendezvous;
use waxwing_core::state::claims::ClaimKey;
use waxwing_harness::caller::Answer;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_wire::claim_record;

const DAEMONS: usize = 3;
const KEYS: usize = 24;
const UNCONFIRMED: &str = "waxwing_claim_pending_keys";

fn start_deployment() -> Deployment {
    let deployment = Deployment::start(&Plan {
        daemons: DAEMONS,
        services: 1,
        vm_extra: "[limits]\nentries_lifetime_s = 1\n".to_owned(),
        ..Plan::default()
    });
    deployment.wait_for_members();
    deployment
}

fn book(caller: &Caller, key: Uuid) -> Answer {
    let key = key.to_string();
    let headers = [("Idempotency-Key", key.as_str())];
    let path = "/v1/services/dispatch/bookings";
    let answer = caller.post(path, "booking", &headers, key.as_bytes());
    answer.expect("the daemon answers")
}

/// Repeats a request until it has an answer of the service.
fn book_until_done(caller: &Caller, key: Uuid) -> Answer {
    condition::wait_for("the booking is answered", || {
        let answer = book(caller, key);
        (answer.status == 200).then_some(answer)
    })
}

/// Returns the index of the daemon that owns the range of a key while all daemons live.
fn range_owner(key: Uuid) -> usize {
    let organisation = "harness".into();
    let range = ClaimKey { organisation, key }.range();
    let mut names = Vec::new();
    for number in 1..=DAEMONS {
        names.push(Name::from(format!("vm-{number}")));
    }
    let order = rendezvous::rank_candidates(&claim_record::stream_name(range), &names);
    let index = names.iter().position(|name| name == order[0]);
    index.expect("the range has an owner")
}

fn runs_by_key(deployment: &Deployment) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for entry in deployment.services[0].ledger().entries {
        *runs.entry(entry.key.unwrap_or_default()).or_default() += 1;
    }
    runs
}

fn assert_each_ran_once(deployment: &Deployment, keys: &[Uuid]) {
    let mut expected = BTreeMap::new();
    for key in keys {
        expected.insert(key.to_string(), 1);
    }
    assert_eq!(runs_by_key(deployment), expected);
}

/// Sends a key to all VMs at once.
fn book_everywhere(deployment: &Deployment, key: Uuid) -> Vec<Answer> {
    let mut threads = Vec::new();
    for index in 0..DAEMONS {
        let caller = deployment.caller(index);
        threads.push(thread::spawn(move || book(&caller, key)));
    }
    let mut answers = Vec::new();
    for thread in threads {
        answers.push(thread.join().expect("a caller ends"));
    }
    answers
}

/// Guards against a key that runs on several VMs, against a VM that refuses the ranges of others, and against an answer
/// that only the VM that ran the request knows.
#[test]
fn key_sent_to_all_vms_runs_once() {
    let deployment = start_deployment();
    book_until_done_everywhere(&deployment);
    let before = runs_by_key(&deployment);
    let mut keys = Vec::new();
    for _ in 0..KEYS {
        let key = Uuid::now_v7();
        let answers = book_everywhere(&deployment, key);
        let done: Vec<&Answer> = answers.iter().filter(|it| it.status == 200).collect();
        assert!(!done.is_empty(), "{answers:?}");
        for answer in answers.iter().filter(|it| it.status != 200) {
            let refusal = answer.refusal().expect("a refusal");
            assert_eq!(refusal.run, ExecutionStatus::Unknown, "{refusal:?}");
        }
        for index in 0..DAEMONS {
            let repeated = book_until_done(&deployment.caller(index), key);
            assert_eq!(repeated.body, done[0].body);
        }
        keys.push(key);
    }
    let mut runs = runs_by_key(&deployment);
    runs.retain(|key, _| !before.contains_key(key));
    let expected: BTreeMap<String, usize> = keys.iter().map(|it| (it.to_string(), 1)).collect();
    assert_eq!(runs, expected);
    for daemon in &deployment.daemons {
        assert_eq!(
            daemon.counter_sum("waxwing_claim_settlements_lost_total"),
            0.0
        );
    }
}

/// Waits until each range has an owner that serves the requests of every VM.
fn book_until_done_everywhere(deployment: &Deployment) -> Vec<Uuid> {
    let mut keys = Vec::new();
    for number in 0..KEYS {
        let key = Uuid::now_v7();
        book_until_done(&deployment.caller(number % DAEMONS), key);
        keys.push(key);
    }
    keys
}

/// Waits until the log holds the outcomes of all keys; a VM that is killed before takes an outcome with it.
fn wait_for_outcomes(deployment: &Deployment, keys: &[Uuid]) {
    // A repeat is answered only once the owner of the range knows the outcome.
    for key in keys {
        book_until_done(&deployment.caller(0), *key);
    }
    condition::wait_until("the log holds all outcomes", || {
        let mut daemons = deployment.daemons.iter();
        daemons.all(|it| it.metrics().is_some() && it.counter_sum(UNCONFIRMED) == 0.0)
    });
}

/// Guards against ranges that stay without an owner after a VM was killed, and against old keys that run again there.
#[test]
fn ranges_of_a_killed_vm_are_taken_over() {
    let mut deployment = start_deployment();
    let mut keys = book_until_done_everywhere(&deployment);
    let old = keys.len();
    assert_each_ran_once(&deployment, &keys);
    wait_for_outcomes(&deployment, &keys);
    let killed = range_owner(keys[0]);
    deployment.daemons[killed].process().kill();
    for number in 0..KEYS {
        let caller = deployment.caller((killed + 1 + number % 2) % DAEMONS);
        let key = condition::wait_for("a new key is served", || {
            let key = Uuid::now_v7();
            let answer = book(&caller, key);
            if answer.status == 200 {
                return Some(key);
            }
            let refusal = answer.refusal().expect("a refusal");
            let runs = runs_by_key(&deployment).get(&key.to_string()).copied();
            assert_eq!(runs, None, "{refusal:?}");
            None
        });
        keys.push(key);
    }
    for key in &keys[..old] {
        let answer = book_until_done(&deployment.caller((killed + 1) % DAEMONS), *key);
        assert!(answer.is_complete);
    }
    assert_each_ran_once(&deployment, &keys);
}

/// Guards against a key that stays claimed although the VM that asked for it has told its caller that it did not run.
#[test]
fn claim_without_answer_is_given_up() {
    let mut deployment = start_deployment();
    book_until_done_everywhere(&deployment);
    let key = Uuid::now_v7();
    let owner = range_owner(key);
    let caller = deployment.caller((owner + 1) % DAEMONS);
    let process = deployment.daemons[owner].process();
    process.suspend();
    let answer = book(&caller, key);
    process.resume();
    let refusal = answer.refusal().expect("a refusal");
    let reasons = [Reason::LogUnavailable, Reason::RangeHandover];
    assert!(reasons.contains(&refusal.code), "{refusal:?}");
    // The VM that was asked cannot know whether the key ran before on another one.
    assert_eq!(refusal.run, ExecutionStatus::Unknown);
    assert_eq!(runs_by_key(&deployment).get(&key.to_string()), None);
    book_until_done(&caller, key);
    assert_eq!(runs_by_key(&deployment).get(&key.to_string()), Some(&1));
}
