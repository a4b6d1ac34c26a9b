//! An accepted job ends in a collected answer, whatever fails in between.

use serde_json::Value;
use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_harness::caller;
use waxwing_harness::caller::Answer;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_harness::publish;
use waxwing_standin::fault::CommonFaults;
use waxwing_standin::fault::Outage;
use waxwing_standin::log;

const TOKENS: u64 = 30;

fn submit(caller: &Caller, prompt: &str) -> String {
    // The first read of a fresh VM may not have ended, so the log counts as down for a moment.
    condition::wait_for("a job is accepted", || {
        let answer = caller.submit("digest", prompt, TOKENS)?;
        (answer.status == 202).then(|| job_id(&answer))
    })
}

fn job_id(answer: &Answer) -> String {
    let body = answer.to_json().expect("the answer is JSON");
    body["id"]
        .as_str()
        .expect("the answer has an id")
        .to_owned()
}

/// Returns the text of a finished job.
fn collect(caller: &Caller, id: &str) -> Option<String> {
    let answer = caller.get(&format!("/v1/jobs/{id}"))?;
    if answer.status != 200 {
        return None;
    }
    let view = answer.to_json()?;
    if view["state"] != "finished" {
        return None;
    }
    assert_eq!(view["status"], 200, "{view}");
    let content = &view["answer"]["choices"][0]["message"]["content"];
    content.as_str().map(str::to_owned)
}

fn assert_collected(caller: &Caller, id: &str, prompt: &str) {
    let text = condition::wait_for("the job is finished", || collect(caller, id));
    assert_eq!(text, caller::expected_answer(prompt, TOKENS));
}

fn outage_faults(outage: Outage) -> log::Faults {
    log::Faults {
        common: CommonFaults {
            outage: Some(outage),
            ..CommonFaults::default()
        },
        ..log::Faults::default()
    }
}

/// Guards against an accepted job that is lost with the VM that accepted it.
#[test]
fn job_survives_the_kill_of_its_vm() {
    let mut deployment = Deployment::start(&Plan {
        engine_options: vec!["--gap-ms", "30"],
        ..Plan::default()
    });
    let caller = deployment.caller(0);
    let mut ids = Vec::new();
    for number in 0..5 {
        let prompt = format!("digest {number}");
        ids.push((submit(&caller, &prompt), prompt));
    }
    // Each answer takes a second, so the kill hits all of them.
    deployment.daemons[0].process().kill();
    deployment.daemons[0].restart();
    for (id, prompt) in &ids {
        assert_collected(&caller, id, prompt);
    }
}

/// Guards against a refused or doubled job when the log's acknowledgement is lost.
#[test]
fn lost_acknowledgement_is_read_back() {
    let deployment = Deployment::start(&Plan::default());
    let caller = deployment.caller(0);
    submit(&caller, "warm up");
    deployment.log.set_faults(&log::Faults {
        lose_acknowledgements: true,
        ..log::Faults::default()
    });
    let answer = caller.submit("digest", "a digest", TOKENS);
    let answer = answer.expect("the daemon answers");
    assert_eq!(answer.status, 202, "{answer:?}");
    assert_collected(&caller, &job_id(&answer), "a digest");
}

/// Guards against a result that is lost because the log was down when the job finished.
#[test]
fn result_outlasts_a_log_outage() {
    let deployment = Deployment::start(&Plan {
        // An answer takes 1.5 s, so the outage begins before the job ends.
        engine_options: vec!["--gap-ms", "50"],
        ..Plan::default()
    });
    let caller = deployment.caller(0);
    let failed_appends = || {
        let metrics = deployment.daemons[0].metrics().unwrap_or_default();
        let name = "waxwing_jobs_total{event=\"append_failed\"} ";
        let value = metrics.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(0, |value| value.parse::<u64>().unwrap_or(0))
    };
    for outage in [Outage::Refuse, Outage::Unavailable] {
        let prompt = format!("digest during {outage:?}");
        let id = submit(&caller, &prompt);
        deployment.log.set_faults(&outage_faults(outage));
        let before = failed_appends();
        condition::wait_until("the job ends while the log is down", || {
            failed_appends() > before
        });
        assert_eq!(collect(&caller, &id), None);
        deployment.log.set_faults(&log::Faults::default());
        assert_collected(&caller, &id, &prompt);
    }
}

/// Guards against a job that is told to be not run and runs nevertheless, once the log is available again.
#[test]
fn refused_submission_never_runs() {
    let deployment = Deployment::start(&Plan {
        // The last job takes 1.8 s, in which a submission that was kept would reach the log.
        engine_options: vec!["--gap-ms", "60"],
        ..Plan::default()
    });
    let caller = deployment.caller(0);
    let id = submit(&caller, "warm up");
    assert_collected(&caller, &id, "warm up");
    let before = deployment.log.log_counts();
    let refuse_appends = log::Faults {
        refuse_appends: true,
        ..log::Faults::default()
    };
    // In the first outage the VM finds out by its append; in the second it knows that the log is down.
    for faults in [refuse_appends, outage_faults(Outage::Refuse)] {
        deployment.log.set_faults(&faults);
        let answer = caller.submit("digest", "refused", TOKENS);
        let answer = answer.expect("the daemon answers");
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after.is_some());
        let refusal = answer.refusal().expect("the body is a refusal");
        assert_eq!(refusal.code, Reason::LogUnavailable);
        assert_eq!(refusal.run, ExecutionStatus::NotRun);
        deployment.log.set_faults(&log::Faults::default());
        condition::wait_until("the log is back", || {
            let unknown = uuid::Uuid::nil();
            let answer = caller.get(&format!("/v1/jobs/{unknown}"));
            answer.is_some_and(|answer| answer.status == 404)
        });
    }
    let id = submit(&caller, "after");
    assert_collected(&caller, &id, "after");
    let after = deployment.log.log_counts();
    // The submission and the result of the last job.
    assert_eq!(after.records, before.records + 2);
}

/// Guards against a pending job that the log drops at the end of its retention.
#[test]
fn pending_job_outlasts_the_retention() {
    let deployment = Deployment::start(&Plan {
        engines: 0,
        log_options: vec!["--retention-ms", "1500"],
        ..Plan::default()
    });
    let caller = deployment.caller(0);
    let id = submit(&caller, "a digest");
    let log = Caller::new(&deployment.log.address(), "");
    condition::wait_until("the log drops two records of the job", || {
        let page = log.get("/streams/jobs/records?from=0");
        let page = page.and_then(|answer| answer.to_json());
        let page = page.expect("the log answers with a page or with what it still keeps");
        let first_offset = page["first_offset"].as_u64();
        assert!(page["next_offset"].as_u64() > first_offset, "{page}");
        first_offset >= Some(2)
    });
    let view = caller.get(&format!("/v1/jobs/{id}"));
    let view = view.and_then(|answer| answer.to_json());
    let state = view.map(|view| view["state"].clone());
    assert_eq!(state, Some("pending".into()));
}

/// Guards against a job record that stops, crashes or confuses the daemon.
#[test]
fn undecodable_job_record_is_skipped() {
    let mut deployment = Deployment::start(&Plan::default());
    let caller = deployment.caller(0);
    let log_address = deployment.log.address();
    for content in [b"\xff\xfe".as_slice(), b"{}", b"{\"kind\":\"resubmitted\"}"] {
        assert!(publish::append(&log_address, "jobs", content));
    }
    let id = submit(&caller, "a digest");
    assert_collected(&caller, &id, "a digest");
    let output = deployment.daemons[0].process().output();
    for offset in 0..3 {
        assert!(output.contains(&format!("stream jobs, offset {offset}")));
    }
}

/// Guards against a job that runs twice because its caller submits it again.
#[test]
fn repeated_key_gives_the_same_job() {
    let deployment = Deployment::start(&Plan::default());
    let caller = deployment.caller(0);
    submit(&caller, "warm up");
    let key = uuid::Uuid::now_v7().to_string();
    let post = |prompt: &str| {
        let headers = [("Idempotency-Key", key.as_str())];
        let body = caller::chat_body(prompt, 2_000, false).to_string();
        let answer = caller.post("/v1/jobs", "digest", &headers, body.as_bytes());
        answer.expect("the daemon answers")
    };
    let first = post("a digest");
    let second = post("a digest");
    assert_eq!((first.status, second.status), (202, 202));
    assert_eq!(job_id(&first), job_id(&second));
    let other = post("another digest").refusal();
    assert_eq!(other.map(|refusal| refusal.code), Some(Reason::KeyReused));
}

/// Guards against wrong reasons for calls that concern no job, and against jobs of a class that is delivered directly.
#[test]
fn calls_without_a_job_are_refused() {
    let deployment = Deployment::start(&Plan::default());
    let caller = deployment.caller(0);
    let id = submit(&caller, "warm up");
    let refusal_code = |answer: Option<Answer>| {
        let refusal = answer.and_then(|answer| answer.refusal());
        refusal.map(|refusal| refusal.code)
    };
    for unknown in [uuid::Uuid::nil().to_string(), "none".to_owned()] {
        let answer = caller.get(&format!("/v1/jobs/{unknown}"));
        assert_eq!(refusal_code(answer), Some(Reason::UnknownJob));
    }
    let direct = caller.submit("draft", "a letter", TOKENS);
    assert_eq!(refusal_code(direct), Some(Reason::ClassNotAllowed));
    let stranger = Caller::new(deployment.daemons[0].caller_address(), "wrong-key");
    let answer = stranger.get(&format!("/v1/jobs/{id}"));
    assert_eq!(refusal_code(answer), Some(Reason::Unauthorised));
}

/// Guards against a restart that loses answers which nobody has collected yet.
#[test]
fn uncollected_answer_survives_a_restart() {
    let mut deployment = Deployment::start(&Plan::default());
    let caller = deployment.caller(0);
    let id = submit(&caller, "a digest");
    assert_collected(&caller, &id, "a digest");
    deployment.daemons[0].process().kill();
    deployment.engines.clear();
    deployment.daemons[0].restart();
    assert_collected(&caller, &id, "a digest");
    let view = caller.get(&format!("/v1/jobs/{id}"));
    let view = view.and_then(|answer| answer.to_json());
    assert_eq!(view.map(|view| view["id"].clone()), Some(Value::String(id)));
}
