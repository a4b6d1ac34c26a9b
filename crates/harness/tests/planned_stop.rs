//! A planned stop interrupts no request and ends with exit code 0.

use std::thread;

use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_harness::caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;

const TOKENS: u64 = 150;

fn start_deployment() -> Deployment {
    let deployment = Deployment::start(&Plan {
        daemons: 3,
        engine_options: vec!["--gap-ms", "20", "--knee", "1000"],
        vm_extra: "[limits]\nentries_lifetime_s = 1\n".to_owned(),
        ..Plan::default()
    });
    deployment.wait_for_members();
    deployment
}

/// Guards against requests that are cut, on the stopping VM or on those that it schedules, and against a second signal
/// that ends the process early.
#[test]
fn stopping_owner_interrupts_no_request() {
    let mut deployment = start_deployment();
    let owner = deployment.owner_index("chat");
    let mut threads = Vec::new();
    for number in 0..24 {
        let caller = deployment.caller(number % 3);
        threads.push(thread::spawn(move || {
            let prompt = format!("letter {number}");
            let streamed = caller.stream("draft", &prompt, TOKENS).expect("an answer");
            assert_eq!(
                streamed.text,
                caller::expected_answer(&prompt, TOKENS),
                "{:?}",
                streamed.refusal
            );
            assert!(streamed.is_done);
        }));
    }
    condition::wait_until("requests are in progress on the owner", || {
        let status = deployment.daemons[owner].status().unwrap_or_default();
        status["in_progress"].as_u64() == Some(8)
    });
    deployment.daemons[owner].process().terminate();
    let caller = deployment.caller(owner);
    condition::wait_until("the owner says that it stops", || {
        caller.get("/healthz").map(|answer| answer.status) == Some(503)
    });
    let answer = caller.chat("draft", "a late letter", 1);
    let answer = answer.expect("the stopping VM answers");
    let stopping = answer.refusal().expect("a refusal");
    assert_eq!(stopping.code, Reason::Stopping);
    assert_eq!(stopping.run, ExecutionStatus::NotRun);
    deployment.daemons[owner].process().terminate();
    for thread in threads {
        assert!(thread.join().is_ok(), "a caller failed");
    }
    let status = deployment.daemons[owner].process().wait();
    assert_eq!(status.code(), Some(0));
}

/// Guards against callers that are sent to a VM that is about to stop, and against a stop before their answer expires.
#[test]
fn draining_vm_leaves_the_entries_and_still_serves() {
    let mut deployment = Deployment::start(&Plan {
        daemons: 2,
        vm_extra: "[limits]\nentries_lifetime_s = 5\n".to_owned(),
        ..Plan::default()
    });
    deployment.wait_for_members();
    let entry_addresses = |deployment: &Deployment, index: usize| {
        let answer = deployment.caller(index).get("/v1/entries")?;
        let entries: waxwing_wire::caller::Entries = serde_json::from_slice(&answer.body).ok()?;
        let addresses = entries.entries.into_iter().map(|entry| entry.address);
        Some(addresses.collect::<Vec<String>>())
    };
    let drained = deployment.daemons[0].caller_address().to_owned();
    let other = deployment.daemons[1].caller_address().to_owned();
    for index in 0..2 {
        let entries = entry_addresses(&deployment, index).expect("entries");
        assert!(entries.contains(&drained) && entries.contains(&other));
    }
    assert!(deployment.daemons[0].drain());
    for index in 0..2 {
        condition::wait_until("the draining VM has left the entries", || {
            entry_addresses(&deployment, index).as_ref() == Some(&vec![other.clone()])
        });
    }
    let answer = deployment.caller(0).chat("draft", "a letter", 5);
    let expected = caller::expected_answer("a letter", 5);
    assert_eq!(answer.expect("the daemon answers").text(), Some(expected));
    let status = deployment.daemons[0].process().wait();
    assert_eq!(status.code(), Some(0));
}
