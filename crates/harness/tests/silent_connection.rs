//! Established connections between VMs stop carrying data, while new ones work.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use waxwing_harness::Standin;
use waxwing_harness::caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_standin::proxy;

const TOKENS: u64 = 100;
const SLOTS_MAX: u64 = 8;
const SILENT: &str = "waxwing_peer_silent_connections_total";

/// Time within which a request passes over the connection that replaced the silent one, in seconds.
///
/// A call times out after 1.5 s; a peer would be gone only after 6 s.
const REPLACED_WITHIN_S: u64 = 5;

/// Puts a proxy before the owner and waits until the connection of the other daemon runs through it.
fn start_proxy(deployment: &mut Deployment, owner: usize) -> Standin {
    let peer_address = deployment.daemons[owner].peer_address();
    let proxy = Standin::start_proxy(&deployment.run, "proxy", peer_address);
    let mut list = deployment.vm_list();
    list.vms[owner].peer_address = proxy.address();
    deployment.vm_list.set_vms(&list);
    let connected = format!("connected to vm-{} at {}", owner + 1, proxy.address());
    condition::wait_until("the connection runs through the proxy", || {
        let output = deployment.daemons[1 - owner].process().output();
        output.contains(&connected)
    });
    proxy
}

/// Guards against a live peer that is given up, and against requests that hang, because a connection went silent.
#[test]
fn silent_connection_is_replaced_and_the_peer_stays() {
    let mut deployment = Deployment::start(&Plan {
        daemons: 2,
        ..Plan::default()
    });
    deployment.wait_for_members();
    let owner = deployment.owner_index("chat");
    let entry = 1 - owner;
    let proxy = start_proxy(&mut deployment, owner);
    let expected = caller::expected_answer("a letter", TOKENS);
    let caller = deployment.caller(entry);
    let chat = || {
        let answer = caller.chat("draft", "a letter", TOKENS);
        answer.expect("the daemon answers").text()
    };
    assert_eq!(chat(), Some(expected.clone()));
    proxy.set_faults(&proxy::Faults {
        silence_existing: true,
        ..proxy::Faults::default()
    });
    // The proxy reacts within milliseconds, so that the first request may still pass the old connection.
    condition::wait_until("the silent connection is replaced", || {
        let started = Instant::now();
        assert_eq!(chat().as_ref(), Some(&expected));
        let took = started.elapsed();
        assert!(took < Duration::from_secs(REPLACED_WITHIN_S), "{took:?}");
        deployment.daemons[entry].counter_value(SILENT) >= 1.0
    });
    assert_eq!(chat(), Some(expected));
    let output = deployment.daemons[entry].process().output();
    assert!(!output.contains("is gone"), "the peer was given up");
}

/// Guards against slots that stay taken for good, because the ends of requests were sent into a silent connection.
#[test]
fn ends_of_requests_survive_a_silent_connection() {
    let mut deployment = Deployment::start(&Plan {
        daemons: 2,
        engine_options: vec!["--report-lag-ms", "0", "--gap-ms", "20", "--knee", "1000"],
        ..Plan::default()
    });
    deployment.wait_for_members();
    let owner = deployment.owner_index("chat");
    let entry = 1 - owner;
    let proxy = start_proxy(&mut deployment, owner);
    let start_all = || {
        let mut threads = Vec::new();
        for number in 0..SLOTS_MAX {
            let caller = deployment.caller(entry);
            threads.push(thread::spawn(move || {
                let prompt = format!("letter {number}");
                let answer = caller.chat("draft", &prompt, TOKENS).expect("an answer");
                let expected = caller::expected_answer(&prompt, TOKENS);
                assert_eq!(answer.text(), Some(expected), "{answer:?}");
            }));
        }
        threads
    };
    let is_full = || deployment.engines[0].running() == SLOTS_MAX;
    let first = start_all();
    // The ends are to be the first reports that meet the silent connection; later ones wait behind those in flight.
    condition::wait_until("all first tokens are reported", || {
        let series = "waxwing_first_token_seconds_count{class=\"desk/draft\"}";
        deployment.daemons[entry].counter_value(series) == SLOTS_MAX as f64 && is_full()
    });
    proxy.set_faults(&proxy::Faults {
        silence_existing: true,
        ..proxy::Faults::default()
    });
    for thread in first {
        assert!(thread.join().is_ok(), "a caller failed");
    }
    let second = start_all();
    condition::wait_until("all slots are used again", is_full);
    for thread in second {
        assert!(thread.join().is_ok(), "a caller failed");
    }
}

/// Guards against a peer that stays an owner although no connection to it can be made.
#[test]
fn unreachable_peer_is_given_up() {
    let mut deployment = Deployment::start(&Plan {
        daemons: 2,
        ..Plan::default()
    });
    deployment.wait_for_members();
    let owner = deployment.owner_index("chat");
    let entry = 1 - owner;
    deployment.daemons[owner].process().suspend();
    let answer = deployment.caller(entry).chat("draft", "a letter", TOKENS);
    let expected = caller::expected_answer("a letter", TOKENS);
    assert_eq!(answer.expect("the daemon answers").text(), Some(expected));
    condition::wait_until("the frozen VM is gone", || {
        deployment.daemons[entry].members().len() == 1
    });
    deployment.daemons[owner].process().resume();
    deployment.wait_for_members();
}
