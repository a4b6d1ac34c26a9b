//! The VM list and the weight store behave as the platform's, and processes can be frozen and woken.

use std::thread;

use waxwing_harness::Run;
use waxwing_harness::Standin;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::raw::RawConnection;
use waxwing_standin::engine;
use waxwing_standin::fault::CommonFaults;
use waxwing_standin::vm_list;
use waxwing_wire::platform::Vm;
use waxwing_wire::platform::VmList;
use waxwing_wire::platform::VmRole;
use waxwing_wire::platform::VmState;

fn vm_list(state: VmState) -> VmList {
    let vm = Vm {
        name: "vm-1".to_owned(),
        role: VmRole::Entry,
        address: "127.0.0.1:1".to_owned(),
        peer_address: "127.0.0.1:2".to_owned(),
        data_centre: "dc-1".to_owned(),
        state,
    };
    VmList { vms: vec![vm] }
}

/// Guards against a VM list that never lags or never catches up.
#[test]
fn vm_list_lags() {
    let run = Run::new();
    let list = Standin::start(&run, "vm-list", "vm-list", &[]);
    let client = Caller::new(&list.address(), "");
    let is_leaving = || {
        let vms = client.get("/vms").and_then(|answer| answer.to_json());
        vms.is_some_and(|vms| vms["vms"][0]["state"] == "leaving")
    };
    list.set_vms(&vm_list(VmState::Live));
    list.set_faults(&vm_list::Faults {
        lag_ms: 3_600_000,
        ..vm_list::Faults::default()
    });
    list.set_vms(&vm_list(VmState::Leaving));
    assert!(!is_leaving());
    list.set_faults(&vm_list::Faults {
        lag_ms: 100,
        ..vm_list::Faults::default()
    });
    condition::wait_until("the list catches up", is_leaving);
}

/// Guards against a weight store without a limit, or one that never serves again.
#[test]
fn weight_store_limits_its_rate() {
    let run = Run::new();
    let options = ["--reads-max", "1", "--window-ms", "500"];
    let store = Standin::start(&run, "weights", "weight-store", &options);
    let client = Caller::new(&store.address(), "");
    let read = || client.get("/weights/large/7").expect("the store answers");
    assert_eq!(read().status, 200);
    let refused = read();
    assert_eq!(refused.status, 429);
    assert_eq!(refused.retry_after.as_deref(), Some("1"));
    condition::wait_until("the store serves again", || read().status == 200);
}

/// Guards against a frozen process that answers, or one that does not go on when it wakes.
#[test]
fn frozen_process_goes_on() {
    let run = Run::new();
    let mut engine = Standin::start(&run, "engine", "engine", &[]);
    let client = Caller::new(&engine.address(), "");
    engine.process().suspend();
    let waiting = thread::spawn(move || client.get("/healthz").map(|answer| answer.status));
    // Another process answers meanwhile, so the frozen one would have had the time.
    let other = Standin::start(&run, "other", "engine", &[]);
    let other = Caller::new(&other.address(), "").get("/healthz");
    assert_eq!(other.map(|answer| answer.status), Some(200));
    assert!(!waiting.is_finished());
    engine.process().resume();
    assert_eq!(waiting.join().expect("the caller ends"), Some(200));
}

/// Guards against a silent stand-in that answers, or one that stays silent when the fault has ended.
#[test]
fn silent_standin_closes_its_calls_at_the_end() {
    let run = Run::new();
    let engine = Standin::start(&run, "engine", "engine", &[]);
    let client = Caller::new(&engine.address(), "");
    engine.set_faults(&engine::Faults {
        common: CommonFaults {
            silent: true,
            ..CommonFaults::default()
        },
        ..engine::Faults::default()
    });
    let mut silenced = RawConnection::connect(&engine.address());
    assert!(silenced.send(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"));
    let waiting = thread::spawn(move || silenced.read_to_end());
    let other = Standin::start(&run, "other", "engine", &[]);
    let other = Caller::new(&other.address(), "").get("/healthz");
    assert_eq!(other.map(|answer| answer.status), Some(200));
    assert!(!waiting.is_finished());
    engine.set_faults(&engine::Faults::default());
    assert_eq!(waiting.join().expect("the caller ends"), "");
    let answer = client.get("/healthz");
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}
