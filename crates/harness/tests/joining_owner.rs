//! A VM that joins becomes the owner of a shard while requests wait and run.

use std::thread;

use waxwing_core::Name;
use waxwing_core::coordination::rendezvous;
use waxwing_harness::Standin;
use waxwing_harness::caller;
use waxwing_harness::condition;
use waxwing_harness::daemon::Daemon;
use waxwing_harness::daemon::Options;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_standin::proxy;
use waxwing_wire::platform::Vm;
use waxwing_wire::platform::VmRole;
use waxwing_wire::platform::VmState;

const TOKENS: u64 = 100;
const SLOTS_MAX: u64 = 8;
const REQUESTS: usize = 24;
const MOVED: &str = "waxwing_moved_requests_total";

/// Returns a name that comes before `vm-1` and `vm-2` in the order of the shard.
fn first_ranked_name() -> String {
    for number in 3.. {
        let name = format!("vm-{number}");
        let names = [
            Name::from("vm-1"),
            Name::from("vm-2"),
            Name::from(name.as_str()),
        ];
        if rendezvous::rank_candidates("chat/", &names)[0].as_str() == name {
            return name;
        }
    }
    unreachable!("a third of the names come first")
}

fn reported_owner(daemon: &Daemon) -> String {
    let status = daemon.status().unwrap_or_default();
    status["owners"]["chat"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// Guards against an owner without settings, which loses adoptions, and against slots that are granted twice when the
/// requests of the old owner move.
#[test]
fn joining_owner_counts_what_runs() {
    let deployment = Deployment::start(&Plan {
        daemons: 2,
        engine_options: vec!["--report-lag-ms", "0", "--gap-ms", "20", "--knee", "1000"],
        ..Plan::default()
    });
    deployment.wait_for_members();
    let log = Standin::start_proxy(&deployment.run, "log-proxy", &deployment.log.address());
    log.set_faults(&proxy::Faults {
        refuse: true,
        ..proxy::Faults::default()
    });
    let name = first_ranked_name();
    let options = Options {
        log_address: log.address(),
        vm_list_address: deployment.vm_list.address(),
        ..Options::default()
    };
    let joining = Daemon::start(&deployment.run, &name, &options);
    let mut list = deployment.vm_list();
    list.vms.push(Vm {
        name: name.clone(),
        role: VmRole::Entry,
        address: joining.caller_address().to_owned(),
        peer_address: joining.peer_address().to_owned(),
        data_centre: "dc-1".to_owned(),
        state: VmState::Live,
    });
    let owner = deployment.owner_index("chat");
    let mut threads = Vec::new();
    for number in 0..REQUESTS {
        let caller = deployment.caller(owner);
        threads.push(thread::spawn(move || {
            let prompt = format!("letter {number}");
            let answer = caller.chat("draft", &prompt, TOKENS).expect("an answer");
            let expected = caller::expected_answer(&prompt, TOKENS);
            assert_eq!(answer.text(), Some(expected), "{answer:?}");
        }));
    }
    condition::wait_until("the engine is full", || {
        deployment.engines[0].running() == SLOTS_MAX
    });
    // The joining VM is cut off from the log, so that it has no settings until it takes those of a peer.
    let status = joining.status().expect("the joining VM answers");
    assert_eq!(
        status["settings_version"], 0,
        "it has settings before it joins"
    );
    deployment.vm_list.set_vms(&list);
    let mut peak = 0;
    condition::wait_until("all requests are answered", || {
        peak = peak.max(deployment.engines[0].running());
        threads.iter().all(|thread| thread.is_finished())
    });
    for thread in threads {
        assert!(thread.join().is_ok(), "a caller failed");
    }
    assert!(peak <= SLOTS_MAX, "{peak} ran at once");
    for daemon in &deployment.daemons {
        assert_eq!(reported_owner(daemon), name);
    }
    let status = joining.status().expect("the joining VM answers");
    assert_ne!(status["settings_version"], 0, "an owner has settings");
    let moved = deployment.daemons[owner].counter_value(MOVED);
    assert!(moved >= SLOTS_MAX as f64, "{moved} requests moved");
}
