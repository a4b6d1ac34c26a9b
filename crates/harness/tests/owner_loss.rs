//! The owner of a shard is lost while requests wait and run.

use std::thread;
use std::thread::JoinHandle;

use waxwing_harness::caller;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;

const TOKENS: u64 = 100;
const SLOTS_MAX: u64 = 8;
const REQUESTS: usize = 24;

fn start_requests(callers: &[Caller]) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    for number in 0..REQUESTS {
        let caller = callers[number % callers.len()].clone();
        threads.push(thread::spawn(move || {
            let prompt = format!("letter {number}");
            let answer = caller.chat("draft", &prompt, TOKENS).expect("an answer");
            let expected = caller::expected_answer(&prompt, TOKENS);
            assert_eq!(answer.text(), Some(expected), "{answer:?}");
        }));
    }
    threads
}

fn start_deployment() -> Deployment {
    let deployment = Deployment::start(&Plan {
        daemons: 3,
        engine_options: vec!["--report-lag-ms", "0", "--gap-ms", "20", "--knee", "1000"],
        ..Plan::default()
    });
    deployment.wait_for_members();
    deployment
}

/// Waits until the engine is full, so that the other requests wait at the owner.
fn wait_for_full_engine(deployment: &Deployment) {
    condition::wait_until("the engine is full", || {
        deployment.engines[0].running() == SLOTS_MAX
    });
}

/// Returns the most requests that ran at once until all were answered.
fn finish(deployment: &Deployment, threads: Vec<JoinHandle<()>>) -> u64 {
    let mut peak = 0;
    condition::wait_until("all requests are answered", || {
        peak = peak.max(deployment.engines[0].running());
        threads.iter().all(|thread| thread.is_finished())
    });
    for thread in threads {
        assert!(thread.join().is_ok(), "a caller failed");
    }
    peak
}

/// Guards against requests that are lost with the owner, and against a new owner that does not count what runs.
#[test]
fn killed_owner_loses_no_request() {
    let mut deployment = start_deployment();
    let owner = deployment.owner_index("chat");
    let mut others = Vec::new();
    for index in 0..3 {
        if index != owner {
            others.push(deployment.caller(index));
        }
    }
    let threads = start_requests(&others);
    wait_for_full_engine(&deployment);
    deployment.daemons[owner].process().kill();
    let peak = finish(&deployment, threads);
    assert!(peak <= SLOTS_MAX, "{peak} ran at once");
    condition::wait_until("the others drop the killed VM", || {
        let mut others = (0..3).filter(|index| *index != owner);
        others.all(|index| deployment.daemons[index].members().len() == 2)
    });
}

/// Guards against requests of a killed VM that hold their slots at the owner for good.
#[test]
fn slots_of_a_killed_vm_are_free_again() {
    let mut deployment = start_deployment();
    let owner = deployment.owner_index("chat");
    let killed = (owner + 1) % 3;
    let caller = deployment.caller(killed);
    let mut threads = Vec::new();
    for number in 0..SLOTS_MAX {
        let caller = caller.clone();
        threads.push(thread::spawn(move || {
            caller.chat("draft", &format!("letter {number}"), 10_000)
        }));
    }
    wait_for_full_engine(&deployment);
    deployment.daemons[killed].process().kill();
    let answer = deployment.caller(owner).chat("draft", "a letter", TOKENS);
    let answer = answer.expect("the daemon answers");
    let expected = caller::expected_answer("a letter", TOKENS);
    assert_eq!(answer.text(), Some(expected), "{answer:?}");
    for thread in threads {
        let answer = thread.join().expect("the caller does not panic");
        assert!(answer.is_none(), "the killed VM answered: {answer:?}");
    }
}

/// Guards against a restarted owner that is taken for the process before it, which knows none of the requests.
#[test]
fn restarted_owner_takes_the_requests_again() {
    let mut deployment = start_deployment();
    let owner = deployment.owner_index("chat");
    let threads = start_requests(&[deployment.caller((owner + 1) % 3)]);
    wait_for_full_engine(&deployment);
    deployment.daemons[owner].restart();
    let peak = finish(&deployment, threads);
    assert!(peak <= SLOTS_MAX, "{peak} ran at once");
    deployment.wait_for_members();
}
