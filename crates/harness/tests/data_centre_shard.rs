//! A pool that is scheduled per data centre has one owner in each.

use waxwing_harness::caller;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::daemon::Daemon;
use waxwing_harness::daemon::Options;
use waxwing_harness::deployment::API_KEY;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_harness::publish;
use waxwing_standin::engine;
use waxwing_standin::fault::CommonFaults;
use waxwing_standin::fault::Outage;

const TOKENS: u64 = 5;

fn settings_text(deployment: &Deployment) -> String {
    let mut text = r#"
[teams.desk.classes.near]
pool = "near"
tier = 1
target_ms = 1000
deadline_ms = 30000
[pools.near]
kind = "model"
scheduling = "data_centre"
"#
    .to_owned();
    for (index, engine) in deployment.engines.iter().enumerate() {
        let number = index + 1;
        text += &format!(
            "[[pools.near.endpoints]]\nname = \"near-{number}\"\naddress = \"{}\"\ndata_centre = \"dc-{number}\"\n",
            engine.address()
        );
    }
    deployment.settings_text(&text)
}

fn reported_owner(daemon: &Daemon) -> Option<String> {
    let status = daemon.status()?;
    status["owners"]["near"].as_str().map(str::to_owned)
}

/// Guards against work that crosses data centres while its own has an owner and an endpoint.
#[test]
fn each_data_centre_has_its_owner() {
    let mut deployment = Deployment::start(&Plan {
        daemons: 2,
        engines: 2,
        ..Plan::default()
    });
    let options = Options {
        data_centre: "dc-2".to_owned(),
        log_address: deployment.log.address(),
        vm_list_address: deployment.vm_list.address(),
        ..Options::default()
    };
    let third = Daemon::start(&deployment.run, "vm-3", &options);
    deployment.daemons.push(third);
    let mut list = deployment.vm_list();
    list.vms[2].data_centre = "dc-2".to_owned();
    deployment.vm_list.set_vms(&list);
    let settings = settings_text(&deployment);
    assert!(publish::publish_settings(
        &deployment.log.address(),
        &settings
    ));
    condition::wait_until("each data centre has its owner", || {
        let owners: Vec<_> = deployment.daemons.iter().map(reported_owner).collect();
        let is_first = |owner: &Option<String>| matches!(owner.as_deref(), Some("vm-1" | "vm-2"));
        let is_known = deployment.daemons.iter().all(|it| it.members().len() == 3);
        is_known
            && is_first(&owners[0])
            && owners[0] == owners[1]
            && owners[2].as_deref() == Some("vm-3")
    });
    deployment.engines[0].set_faults(&engine::Faults {
        common: CommonFaults {
            outage: Some(Outage::Unavailable),
            ..CommonFaults::default()
        },
        ..engine::Faults::default()
    });
    let third = Caller::new(deployment.daemons[2].caller_address(), API_KEY);
    let expected = caller::expected_answer("a letter", TOKENS);
    for _ in 0..4 {
        let answer = third.chat("near", "a letter", TOKENS);
        let answer = answer.expect("the daemon answers");
        assert_eq!(answer.text(), Some(expected.clone()), "{answer:?}");
    }
}
