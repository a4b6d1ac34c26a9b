//! A planned stop interrupts no request and ends with exit code 0.

use std::thread;
use std::time::Duration;

use uuid::Uuid;
use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_harness::caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_wire::caller::IDEMPOTENCY_KEY_HEADER;

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

/// Guards against requests that are cut because they wait here or at an endpoint for longer than a stop takes: plain ones of
/// both kinds, streams and bookings, on VMs that stop one after the other.
#[test]
fn waiting_requests_are_answered() {
    let mut deployment = Deployment::start(&Plan {
        daemons: 3,
        engine_options: vec!["--first-token-ms", "3000", "--running-max", "4"],
        services: 1,
        service_options: vec!["--service-ms", "1500", "--running-max", "1"],
        vm_extra: "[limits]\nentries_lifetime_s = 1\n".to_owned(),
        ..Plan::default()
    });
    deployment.wait_for_members();
    let mut threads = Vec::new();
    for number in 0..24 {
        let caller = deployment.caller(number % 3);
        threads.push(thread::spawn(move || {
            let prompt = format!("letter {number}");
            let key = Uuid::now_v7().to_string();
            let headers = [(IDEMPOTENCY_KEY_HEADER, key.as_str())];
            let path = "/v1/services/dispatch/book";
            let answer = match number % 4 {
                0 => {
                    let streamed = caller.stream("draft", &prompt, 5).expect("an answer");
                    let is_whole = streamed.is_done || streamed.refusal.is_some();
                    return assert!(is_whole, "{streamed:?}");
                }
                1 => caller.chat("draft", &prompt, 5),
                2 => caller.post(path, "lookup", &[], b"x"),
                _ => caller.post(path, "booking", &headers, b"x"),
            };
            let answer = answer.expect("an answer");
            assert!(answer.is_complete, "{answer:?}");
            assert!(
                answer.status == 200 || answer.refusal().is_some(),
                "{answer:?}"
            );
        }));
    }
    condition::wait_until("the engine is full, and other requests wait", || {
        deployment.engines[0].running() == 4
    });
    for index in 0..3 {
        deployment.daemons[index].process().terminate();
        thread::sleep(Duration::from_millis(700));
    }
    for thread in threads {
        assert!(thread.join().is_ok(), "a caller failed");
    }
    for index in 0..3 {
        let status = deployment.daemons[index].process().wait();
        assert_eq!(status.code(), Some(0));
    }
}

/// Guards against jobs that run again because the VM that ran them stopped before their results were in the log.
#[test]
fn stopping_vm_records_its_results() {
    const JOBS: usize = 3;
    let mut deployment = Deployment::start(&Plan {
        engine_options: vec!["--first-token-ms", "2500"],
        vm_extra: "[limits]\nentries_lifetime_s = 1\n".to_owned(),
        ..Plan::default()
    });
    let caller = deployment.caller(0);
    let mut ids = Vec::new();
    for number in 0..JOBS {
        let prompt = format!("digest {number}");
        let body = condition::wait_for("a job is accepted", || {
            let answer = caller.submit("digest", &prompt, 5)?;
            (answer.status == 202).then(|| answer.to_json())?
        });
        ids.push(body["id"].as_str().expect("an id").to_owned());
    }
    condition::wait_until("the jobs run", || {
        deployment.engines[0].running() == JOBS as u64
    });
    deployment.daemons[0].process().terminate();
    let status = deployment.daemons[0].process().wait();
    assert_eq!(status.code(), Some(0));
    // Nobody can run the jobs again, so their results have to be in the log.
    deployment.engines[0].process().kill();
    deployment.daemons[0].restart();
    deployment.daemons[0].wait_for_settings();
    for id in &ids {
        condition::wait_until("the job is finished", || {
            let answer = caller.get(&format!("/v1/jobs/{id}"));
            let view = answer.and_then(|answer| answer.to_json());
            view.is_some_and(|view| view["state"] == "finished" && view["status"] == 200)
        });
    }
}
