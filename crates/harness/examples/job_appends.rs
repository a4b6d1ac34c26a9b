//! Compares two ways to record jobs: before they are accepted ("record first"), and only when their answer cannot be
//! delivered ("run first"). Counts the log appends of each and the jobs that each loses when the VM is killed.
//! `docs/decisions/jobs.md` cites the results.
//!
//! The daemon implements the first way. To simulate the second, this program sends direct requests and appends the
//! results of a given share of them to the log, as the VM would for answers that it cannot deliver.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_harness::publish;

const JOBS: usize = 160;
const TOKENS: u64 = 20;

/// Jobs in progress when the VM is killed, and their length; each takes about 2 s.
const KILLED_JOBS: usize = 32;
const KILLED_TOKENS: u64 = 200;

fn start() -> Deployment {
    Deployment::start(&Plan {
        engines: 4,
        engine_options: vec!["--gap-ms", "10"],
        ..Plan::default()
    })
}

/// Calls `call` with each number below `count`, on `threads` threads.
fn run_concurrently(threads: usize, count: usize, call: impl Fn(usize) + Send + Sync + 'static) {
    let call = Arc::new(call);
    let next = Arc::new(AtomicUsize::new(0));
    let mut handles = Vec::new();
    for _ in 0..threads {
        let call = Arc::clone(&call);
        let next = Arc::clone(&next);
        handles.push(thread::spawn(move || {
            loop {
                let number = next.fetch_add(1, Ordering::SeqCst);
                if number >= count {
                    return;
                }
                call(number);
            }
        }));
    }
    for handle in handles {
        handle.join().expect("a caller ends without a panic");
    }
}

fn submit(caller: &Caller, prompt: &str, tokens: u64) -> String {
    condition::wait_for("a job is accepted", || {
        let answer = caller.submit("digest", prompt, tokens)?;
        let body = answer.to_json()?;
        body["id"].as_str().map(str::to_owned)
    })
}

fn is_finished(caller: &Caller, id: &str) -> bool {
    let view = caller.get(&format!("/v1/jobs/{id}"));
    let view = view.and_then(|answer| answer.to_json());
    view.is_some_and(|view| view["state"] == "finished" && view["status"] == 200)
}

fn count_record_first(threads: usize) {
    let deployment = start();
    let caller = deployment.caller(0);
    let before = deployment.log.log_counts().appends;
    run_concurrently(threads, JOBS, move |number| {
        let id = submit(&caller, &format!("job {number}"), TOKENS);
        condition::wait_until("the job is finished", || is_finished(&caller, &id));
    });
    let appends = deployment.log.log_counts().appends - before;
    let per_job = appends as f64 / JOBS as f64;
    println!("record first | callers {threads} | {appends} appends | {per_job:.2} per job");
}

fn count_run_first(threads: usize, undelivered: f64) {
    let deployment = start();
    let caller = deployment.caller(0);
    let log_address = deployment.log.address();
    let seed = deployment.run.seed();
    let before = deployment.log.log_counts().appends;
    run_concurrently(threads, JOBS, move |number| {
        let prompt = format!("job {number}");
        let answer = caller.chat("draft", &prompt, TOKENS);
        let answer = answer.expect("the daemon answers");
        assert_eq!(answer.status, 200);
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ number as u64);
        if random.random_bool(undelivered) {
            // A separate stream, so that the daemon does not read the record as one of its jobs.
            assert!(publish::append(&log_address, "trial", &answer.body));
        }
    });
    let appends = deployment.log.log_counts().appends - before;
    let per_job = appends as f64 / JOBS as f64;
    println!(
        "run first | callers {threads} | undelivered {undelivered} | {appends} appends | {per_job:.2} per job"
    );
}

fn lose_record_first() {
    let mut deployment = start();
    let caller = deployment.caller(0);
    let mut ids = Vec::new();
    for number in 0..KILLED_JOBS {
        ids.push(submit(&caller, &format!("job {number}"), KILLED_TOKENS));
    }
    let done = ids.iter().filter(|id| is_finished(&caller, id)).count();
    deployment.daemons[0].process().kill();
    deployment.daemons[0].restart();
    for id in &ids {
        condition::wait_until("the job is finished", || is_finished(&caller, id));
    }
    println!(
        "record first | {KILLED_JOBS} accepted, {done} finished before the kill | {} collected after it",
        ids.len()
    );
}

fn lose_run_first() {
    let mut deployment = start();
    let caller = deployment.caller(0);
    let answered = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&answered);
    let callers = thread::spawn(move || {
        run_concurrently(KILLED_JOBS, KILLED_JOBS, move |number| {
            let answer = caller.chat("draft", &format!("job {number}"), KILLED_TOKENS);
            if answer.is_some_and(|answer| answer.status == 200 && answer.is_complete) {
                counted.fetch_add(1, Ordering::SeqCst);
            }
        });
    });
    let daemon = &mut deployment.daemons[0];
    condition::wait_until("all are in progress", || {
        let status = daemon.status();
        status.is_some_and(|status| status["in_progress"] == KILLED_JOBS)
    });
    daemon.process().kill();
    callers.join().expect("the callers end");
    let answered = answered.load(Ordering::SeqCst);
    println!(
        "run first | {KILLED_JOBS} in progress at the kill | {answered} answered, {} lost",
        KILLED_JOBS - answered
    );
}

fn main() {
    for threads in [1, 8, 32] {
        count_record_first(threads);
    }
    for threads in [1, 8, 32] {
        for undelivered in [0.0, 0.05, 0.5] {
            count_run_first(threads, undelivered);
        }
    }
    lose_record_first();
    lose_run_first();
}
