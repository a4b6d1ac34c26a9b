//! Entry addresses carry weights that follow the load of the VMs.

use std::thread;

use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_wire::caller::Entries;

/// Guards against callers that keep going to a VM that is more loaded than the others.
#[test]
fn loaded_vm_has_a_lower_weight() {
    let deployment = Deployment::start(&Plan {
        daemons: 2,
        ..Plan::default()
    });
    deployment.wait_for_members();
    let mut threads = Vec::new();
    for _ in 0..32 {
        let caller = deployment.caller(0);
        threads.push(thread::spawn(move || caller.chat("draft", "a letter", 300)));
    }
    let loaded = deployment.daemons[0].caller_address();
    for index in 0..2 {
        condition::wait_until("the loaded VM has a lower weight", || {
            let Some(answer) = deployment.caller(index).get("/v1/entries") else {
                return false;
            };
            let entries: Entries = serde_json::from_slice(&answer.body).expect("entries");
            assert_eq!(entries.entries.len(), 2);
            let weight = |is_loaded: bool| {
                let mut entries = entries.entries.iter();
                let entry = entries.find(|entry| (entry.address == loaded) == is_loaded);
                entry.map_or(0, |entry| entry.weight)
            };
            weight(true) * 2 < weight(false)
        });
    }
    for thread in threads {
        assert!(thread.join().is_ok(), "a caller failed");
    }
}
