//! A request that crashes endpoints is refused everywhere after two of them.

use std::thread;

use waxwing_core::Reason;
use waxwing_harness::caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_standin::engine::Faults;
use waxwing_standin::fault::CommonFaults;

const ENGINES: usize = 5;
const CRASH_TEXT: &str = "poison";
const TOKENS: u64 = 100;

fn count_lost(deployment: &mut Deployment) -> usize {
    let mut lost = 0;
    for engine in &mut deployment.engines {
        lost += usize::from(engine.process().exit_status().is_some());
    }
    lost
}

/// Guards against a pool that one request drains, against blame on requests that ran beside it, and against a VM that
/// forgets the evidence when the VM that found it is gone.
#[test]
fn two_engines_are_lost_at_most() {
    let mut deployment = Deployment::start(&Plan {
        engines: ENGINES,
        daemons: 3,
        engine_options: vec!["--gap-ms", "20", "--knee", "1000"],
        ..Plan::default()
    });
    deployment.wait_for_members();
    for engine in &deployment.engines {
        engine.set_faults(&Faults {
            common: CommonFaults {
                crash_text: Some(CRASH_TEXT.to_owned()),
                ..CommonFaults::default()
            },
            ..Faults::default()
        });
    }
    let mut innocents = Vec::new();
    for number in 0..15 {
        let caller = deployment.caller(number % 3);
        innocents.push(thread::spawn(move || {
            let prompt = format!("letter {number}");
            let answer = caller.chat("draft", &prompt, TOKENS).expect("an answer");
            assert_eq!(
                answer.text(),
                Some(caller::expected_answer(&prompt, TOKENS)),
                "{answer:?}"
            );
        }));
    }
    let owner = deployment.owner_index("chat");
    condition::wait_until("innocent requests run", || {
        deployment.daemons[owner].counter_sum("waxwing_slots") > 0.0
    });
    let entry = (owner + 1) % 3;
    let refuse = |deployment: &Deployment, index: usize| {
        condition::wait_for("the content is refused", || {
            let answer = deployment.caller(index).chat("draft", CRASH_TEXT, TOKENS)?;
            let refusal = answer.refusal().expect("no endpoint survives this request");
            (refusal.code == Reason::ContentRefused).then_some(())
        });
    };
    refuse(&deployment, entry);
    for innocent in innocents {
        assert!(innocent.join().is_ok(), "an innocent request failed");
    }
    for index in 0..3 {
        refuse(&deployment, index);
    }
    assert_eq!(count_lost(&mut deployment), 2);
    condition::wait_until("the other VMs know the evidence", || {
        deployment.daemons[entry]
            .status()
            .is_some_and(|status| status["refused_contents"] == 1)
    });
    deployment.daemons[owner].process().kill();
    condition::wait_until("the owner is gone", || {
        deployment.daemons[entry].members().len() == 2
    });
    refuse(&deployment, entry);
    assert_eq!(
        count_lost(&mut deployment),
        2,
        "the new owner lost engines again"
    );
}
