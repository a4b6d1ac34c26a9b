//! Requests that enter on one VM are scheduled by the owner of their shard.

use std::thread;

use waxwing_harness::caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_harness::publish;

const TOKENS: u64 = 20;
const GRANTED: &str = "waxwing_remote_enqueues_total{outcome=\"granted\"}";
const SLOTS_MAX: u64 = 8;

/// Guards against VMs that each schedule the same endpoints alone.
#[test]
fn request_is_scheduled_by_the_owner() {
    let deployment = Deployment::start(&Plan {
        daemons: 3,
        ..Plan::default()
    });
    deployment.wait_for_members();
    let owner = deployment.owner_index("chat");
    for index in 0..3 {
        let answer = deployment.caller(index).chat("draft", "a letter", TOKENS);
        let answer = answer.expect("the daemon answers");
        let expected = caller::expected_answer("a letter", TOKENS);
        assert_eq!(answer.text(), Some(expected), "{answer:?}");
        let granted = deployment.daemons[index].counter_value(GRANTED);
        assert_eq!(granted, if index == owner { 0.0 } else { 1.0 });
    }
}

/// Guards against VMs that together overfill an endpoint, and against slots that are not given back across VMs.
#[test]
fn vms_share_the_slots_of_an_endpoint() {
    let deployment = Deployment::start(&Plan {
        daemons: 3,
        engine_options: vec!["--report-lag-ms", "0", "--gap-ms", "5"],
        ..Plan::default()
    });
    deployment.wait_for_members();
    let mut threads = Vec::new();
    for number in 0..48 {
        let caller = deployment.caller(number % 3);
        threads.push(thread::spawn(move || {
            let prompt = format!("letter {number}");
            let answer = caller.chat("draft", &prompt, 60).expect("an answer");
            assert_eq!(answer.text(), Some(caller::expected_answer(&prompt, 60)));
        }));
    }
    let mut peak = 0;
    condition::wait_until("all requests are answered", || {
        peak = peak.max(deployment.engines[0].running());
        threads.iter().all(|thread| thread.is_finished())
    });
    for thread in threads {
        assert!(thread.join().is_ok(), "a caller failed");
    }
    assert!(peak > 0, "the engine reports its load");
    assert!(peak <= SLOTS_MAX, "{peak} ran at once");
}

/// Guards against a baseline that is scheduled by an owner, which would make comparisons worthless.
#[test]
fn baseline_is_scheduled_on_each_vm() {
    let deployment = Deployment::start(&Plan {
        daemons: 2,
        ..Plan::default()
    });
    deployment.wait_for_members();
    // The deployment and its team are published as one record each.
    let expected_version = deployment.daemons[0].wait_for_settings() + 2;
    let settings = deployment.settings_text(&baseline_settings(&deployment.engines[0].address()));
    assert!(publish::publish_settings(
        &deployment.log.address(),
        &settings
    ));
    condition::wait_until("all daemons have the new settings", || {
        let mut daemons = deployment.daemons.iter();
        daemons.all(|daemon| daemon.wait_for_settings() == expected_version)
    });
    for index in 0..2 {
        let answer = deployment.caller(index).chat("plain", "a letter", TOKENS);
        let answer = answer.expect("the daemon answers");
        let expected = caller::expected_answer("a letter", TOKENS);
        assert_eq!(answer.text(), Some(expected), "{answer:?}");
        assert_eq!(deployment.daemons[index].counter_value(GRANTED), 0.0);
    }
}

fn baseline_settings(engine_address: &str) -> String {
    format!(
        r#"
[pools.plain]
kind = "model"
policy = "baseline"
[[pools.plain.endpoints]]
name = "plain-1"
address = "{engine_address}"
data_centre = "dc-1"
[teams.desk.classes.plain]
pool = "plain"
tier = 1
target_ms = 1000
deadline_ms = 30000
"#
    )
}
