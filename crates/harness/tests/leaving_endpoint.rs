//! A leaving endpoint gets no new work from any VM.

use waxwing_harness::Standin;
use waxwing_harness::caller;
use waxwing_harness::condition;
use waxwing_harness::daemon::Daemon;
use waxwing_harness::daemon::Options;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_standin::engine;
use waxwing_standin::fault::CommonFaults;
use waxwing_standin::fault::Outage;
use waxwing_wire::platform::VmState;

const TOKENS: u64 = 5;

/// Guards against VMs that keep sending work to an endpoint of which only another VM knows that it leaves.
#[test]
fn one_vm_tells_the_others() {
    let mut deployment = Deployment::start(&Plan {
        daemons: 2,
        engines: 2,
        ..Plan::default()
    });
    let second = Standin::start(&deployment.run, "vm-list-2", "vm-list", &[]);
    let options = Options {
        log_address: deployment.log.address(),
        vm_list_address: second.address(),
        ..Options::default()
    };
    let third = Daemon::start(&deployment.run, "vm-3", &options);
    deployment.daemons.push(third);
    let mut list = deployment.vm_list();
    deployment.vm_list.set_vms(&list);
    second.set_vms(&list);
    deployment.daemons[2].wait_for_settings();
    deployment.wait_for_members();
    let engine = list.vms.iter_mut().find(|vm| vm.name == "engine-1");
    engine.expect("the list names the engine").state = VmState::Leaving;
    second.set_vms(&list);
    for daemon in &deployment.daemons {
        condition::wait_until("the VM knows that engine-1 leaves", || {
            daemon.leaving_endpoints() == ["engine-1"]
        });
    }
    deployment.engines[0].set_faults(&engine::Faults {
        common: CommonFaults {
            outage: Some(Outage::Unavailable),
            ..CommonFaults::default()
        },
        ..engine::Faults::default()
    });
    for number in 0..12 {
        let prompt = format!("letter {number}");
        let caller = deployment.caller(number % 3);
        let answer = caller.chat("draft", &prompt, TOKENS).expect("an answer");
        let expected = caller::expected_answer(&prompt, TOKENS);
        assert_eq!(answer.text(), Some(expected), "{answer:?}");
    }
}
