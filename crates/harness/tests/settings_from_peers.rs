//! A VM takes the settings from its peers while the log is down.

use waxwing_harness::caller;
use waxwing_harness::condition;
use waxwing_harness::daemon::Daemon;
use waxwing_harness::daemon::Options;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_harness::publish;
use waxwing_standin::log::Faults;

/// Guards against a new VM that serves nothing during a log outage, or that goes back to older settings after it.
#[test]
fn new_vm_serves_while_the_log_is_down() {
    let mut deployment = Deployment::start(&Plan::default());
    let first = deployment.daemons[0].wait_for_settings();
    let settings = deployment.settings_text("");
    assert!(publish::publish_settings(
        &deployment.log.address(),
        &settings
    ));
    condition::wait_until("the second settings are in force", || {
        deployment.daemons[0].wait_for_settings() == first + 2
    });
    let newest = first + 2;
    deployment.log.set_faults(&Faults {
        drop_reads: true,
        refuse_appends: true,
        ..Faults::default()
    });
    let options = Options {
        log_address: deployment.log.address(),
        vm_list_address: deployment.vm_list.address(),
        ..Options::default()
    };
    let late = Daemon::start(&deployment.run, "vm-2", &options);
    deployment.daemons.push(late);
    deployment.vm_list.set_vms(&deployment.vm_list());
    assert_eq!(deployment.daemons[1].wait_for_settings(), newest);
    let text = condition::wait_for("the new VM serves", || {
        deployment.caller(1).chat("draft", "a letter", 5)?.text()
    });
    assert_eq!(text, caller::expected_answer("a letter", 5));
    deployment.log.set_faults(&Faults::default());
    assert!(publish::publish_settings(
        &deployment.log.address(),
        &settings
    ));
    condition::wait_until("the settings after the outage are in force", || {
        let version = deployment.daemons[1].wait_for_settings();
        assert!(version >= newest, "went back from {newest} to {version}");
        version == newest + 2
    });
}
