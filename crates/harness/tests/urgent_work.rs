//! Urgent work is served first while long work of a lower tier fills all slots and the queue.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use uuid::Uuid;
use waxwing_core::Reason;
use waxwing_harness::caller;
use waxwing_harness::caller::Answer;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_harness::publish;

const SLOTS_MAX: usize = 8;
const QUEUE_MAX: usize = 8;
const NIGHT_TOKENS: u64 = 400;
const URGENT_TOKENS: u64 = 5;

/// Time before a refused night summary comes back, in milliseconds.
const REPEAT_AFTER_MS: u64 = 200;

/// Bell changes that are answered before a test begins, so that all eight key ranges are very likely in use.
const WARM_UP_CHANGES: usize = 32;

const CLASSES: &str = r#"
[teams.desk.classes.lesson]
pool = "chat"
tier = 0
target_ms = 800
deadline_ms = 20000
[teams.desk.classes.bell]
pool = "chat"
tier = 1
target_ms = 5000
deadline_ms = 30000
idempotent = false
[teams.desk.classes.night]
pool = "chat"
tier = 3
target_ms = 30000
deadline_ms = 50000
preemptible = true
"#;

/// Night summaries that fill slots and queue, with the number of those that have their whole answer.
struct Night {
    threads: Vec<JoinHandle<()>>,
    whole: Arc<AtomicUsize>,
    shed: Arc<AtomicUsize>,
}

fn start_deployment() -> Deployment {
    let deployment = Deployment::start(&Plan {
        engine_options: vec!["--gap-ms", "10", "--knee", "1000", "--report-lag-ms", "0"],
        ..Plan::default()
    });
    let kind = "kind = \"model\"\n";
    let bounded = format!("{kind}queue_max = {QUEUE_MAX}\n");
    let settings = deployment.settings_text(CLASSES).replace(kind, &bounded);
    let version = deployment.daemons[0].wait_for_settings();
    let log = deployment.log.address();
    assert!(publish::publish_settings(&log, &settings));
    condition::wait_until("the settings are in force", || {
        deployment.daemons[0].wait_for_settings() > version
    });
    deployment
}

/// Repeats a night summary until it has its whole answer; every refusal must say when to come back.
fn summarise(caller: &Caller, number: usize, shed: &AtomicUsize) {
    let prompt = format!("summary {number}");
    let expected = caller::expected_answer(&prompt, NIGHT_TOKENS);
    condition::wait_until("a night summary is answered", || {
        let answer = caller.chat("night", &prompt, NIGHT_TOKENS);
        let answer = answer.expect("an answer");
        let Some(refusal) = answer.refusal() else {
            assert_eq!(answer.text().as_ref(), Some(&expected));
            return true;
        };
        assert!(answer.retry_after.is_some(), "{refusal:?}");
        shed.fetch_add(usize::from(refusal.code == Reason::Shed), Ordering::SeqCst);
        thread::sleep(Duration::from_millis(REPEAT_AFTER_MS));
        false
    });
}

fn start_night(deployment: &Deployment) -> Night {
    let mut night = Night {
        threads: Vec::new(),
        whole: Arc::default(),
        shed: Arc::default(),
    };
    for number in 0..SLOTS_MAX + QUEUE_MAX {
        let caller = deployment.caller(0);
        let whole = Arc::clone(&night.whole);
        let shed = Arc::clone(&night.shed);
        night.threads.push(thread::spawn(move || {
            summarise(&caller, number, &shed);
            whole.fetch_add(1, Ordering::SeqCst);
        }));
    }
    condition::wait_until("slots and queue are full", || {
        let status = deployment.daemons[0].status().unwrap_or_default();
        let running = deployment.engines[0].running() as usize;
        running == SLOTS_MAX
            && status["in_progress"].as_u64() == Some((SLOTS_MAX + QUEUE_MAX) as u64)
    });
    night
}

/// Sends a bell change with a new key.
fn ring(caller: &Caller, prompt: &str) -> Answer {
    let body = caller::chat_body(prompt, URGENT_TOKENS, false).to_string();
    let key = Uuid::now_v7().to_string();
    let headers = [("Idempotency-Key", key.as_str())];
    let path = "/v1/chat/completions";
    let answer = caller.post(path, "bell", &headers, body.as_bytes());
    answer.expect("an answer")
}

/// Guards against urgent requests that wait behind long work or are shed for it, and long work that is never done.
#[test]
fn full_pool_serves_urgent_work_at_once() {
    let deployment = start_deployment();
    let night = start_night(&deployment);
    let mut urgent = Vec::new();
    for number in 0..6 {
        let caller = deployment.caller(0);
        urgent.push(thread::spawn(move || {
            let prompt = format!("lesson {number}");
            let answer = caller.chat("lesson", &prompt, URGENT_TOKENS);
            let expected = caller::expected_answer(&prompt, URGENT_TOKENS);
            assert_eq!(answer.expect("an answer").text(), Some(expected));
        }));
    }
    for thread in urgent {
        assert!(thread.join().is_ok(), "an urgent request failed");
    }
    assert_eq!(
        night.whole.load(Ordering::SeqCst),
        0,
        "urgent work waited for a night summary"
    );
    for thread in night.threads {
        assert!(thread.join().is_ok(), "a night summary failed");
    }
    assert!(deployment.daemons[0].counter_sum("waxwing_retries_total") > 0.0);
}

/// Guards against non-idempotent calls that are shed or preempted while work of a lower tier fills the pool.
#[test]
fn full_pool_keeps_non_idempotent_calls() {
    let deployment = start_deployment();
    condition::wait_until("the VM runs bell changes", || {
        let caller = deployment.caller(0);
        (0..WARM_UP_CHANGES).all(|_| ring(&caller, "warm-up").status == 200)
    });
    let night = start_night(&deployment);
    let mut bells = Vec::new();
    for number in 0..4 {
        let caller = deployment.caller(0);
        bells.push(thread::spawn(move || {
            let prompt = format!("bell {number}");
            let answer = ring(&caller, &prompt);
            let expected = caller::expected_answer(&prompt, URGENT_TOKENS);
            assert_eq!(answer.text(), Some(expected), "{answer:?}");
        }));
    }
    for thread in bells {
        assert!(thread.join().is_ok(), "a bell change failed");
    }
    for thread in night.threads {
        assert!(thread.join().is_ok(), "a night summary failed");
    }
    assert!(
        night.shed.load(Ordering::SeqCst) > 0,
        "the queue was not full"
    );
}
