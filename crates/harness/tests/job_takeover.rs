//! A job that one VM accepted is finished and collected on another.

use waxwing_harness::Standin;
use waxwing_harness::caller;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::daemon::Daemon;
use waxwing_harness::daemon::Options;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_standin::proxy;

const JOBS: usize = 6;
const TOKENS: u64 = 30;

fn submit(caller: &Caller, prompt: &str) -> String {
    let body = condition::wait_for("a job is accepted", || {
        let answer = caller.submit("digest", prompt, TOKENS)?;
        (answer.status == 202).then(|| answer.to_json())?
    });
    body["id"]
        .as_str()
        .expect("the answer has an id")
        .to_owned()
}

fn assert_collected(caller: &Caller, id: &str, prompt: &str) {
    let text = condition::wait_for("the job is finished", || {
        let view = caller.get(&format!("/v1/jobs/{id}"))?.to_json()?;
        let content = &view["answer"]["choices"][0]["message"]["content"];
        content.as_str().map(str::to_owned)
    });
    assert_eq!(text, caller::expected_answer(prompt, TOKENS));
}

/// Guards against accepted jobs that nobody runs after the VM that accepted them was killed.
#[test]
fn other_vms_finish_the_jobs_of_a_killed_vm() {
    let mut deployment = Deployment::start(&Plan {
        daemons: 3,
        engine_options: vec!["--gap-ms", "30"],
        ..Plan::default()
    });
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let prompt = format!("digest {number}");
        jobs.push((submit(&deployment.caller(0), &prompt), prompt));
    }
    deployment.daemons[0].process().kill();
    for (id, prompt) in &jobs {
        assert_collected(&deployment.caller(1), id, prompt);
        assert_collected(&deployment.caller(2), id, prompt);
    }
}

/// Guards against a job that a VM denies because it reads the log later than the VM that accepted it.
#[test]
fn accepted_job_is_known_everywhere_at_once() {
    let mut deployment = Deployment::start(&Plan::default());
    let log_address = deployment.log.address();
    let proxy = Standin::start_proxy(&deployment.run, "proxy", &log_address);
    proxy.set_faults(&proxy::Faults {
        to_client: proxy::DirectionFaults {
            delay_ms: 300,
            is_cut: false,
        },
        ..proxy::Faults::default()
    });
    let options = Options {
        log_address: proxy.address(),
        vm_list_address: deployment.vm_list.address(),
        ..Options::default()
    };
    let late = Daemon::start(&deployment.run, "vm-2", &options);
    late.wait_for_settings();
    deployment.daemons.push(late);
    for number in 0..5 {
        let id = submit(&deployment.caller(0), &format!("digest {number}"));
        let answer = deployment.caller(1).get(&format!("/v1/jobs/{id}"));
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
}
