//! Measures the cost of heartbeats between VMs, and the latency of remote and local enqueues.
//!
//! `cargo build --release --workspace && cargo run --release -p waxwing-harness --example peer_cost`

use std::fs;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use waxwing_core::Name;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::SlotRequest;
use waxwing_harness::condition;
use waxwing_harness::daemon::Daemon;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_wire::platform::Vm;
use waxwing_wire::platform::VmRole;
use waxwing_wire::platform::VmState;
use waxwingrouter::config::Config;
use waxwingrouter::daemon;
use waxwingrouter::scheduling::SlotCommand;
use waxwingrouter::shared::Shared;

/// Time for idle daemons to settle before a measurement, in seconds.
const SETTLE_S: u64 = 3;

/// Duration of a measurement of idle daemons, in seconds.
const IDLE_S: u64 = 20;

/// Clock ticks per second of `/proc/PID/stat`; fixed on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Enqueues before the measured ones.
const WARM_UP: usize = 200;

/// Enqueues that are measured.
const ENQUEUES: usize = 5_000;

fn main() {
    println!("daemons  bytes/s sent per peer  bytes/s sent per daemon  CPU % per daemon");
    for daemons in [1, 2, 5, 9] {
        measure_idle(daemons);
    }
    measure_enqueue();
}

fn measure_idle(daemons: usize) {
    let mut deployment = Deployment::start(&Plan {
        daemons,
        ..Plan::default()
    });
    deployment.wait_for_members();
    thread::sleep(Duration::from_secs(SETTLE_S));
    let bytes = sent_bytes(&deployment.daemons);
    let ticks = cpu_ticks(&mut deployment.daemons);
    let started = Instant::now();
    thread::sleep(Duration::from_secs(IDLE_S));
    let elapsed_s = started.elapsed().as_secs_f64();
    let bytes = sent_bytes(&deployment.daemons) - bytes;
    let ticks = cpu_ticks(&mut deployment.daemons) - ticks;
    let per_daemon = bytes / elapsed_s / daemons as f64;
    let per_peer = match daemons {
        1 => 0.0,
        _ => per_daemon / (daemons - 1) as f64,
    };
    let cpu = ticks / TICKS_PER_S / elapsed_s / daemons as f64 * 100.0;
    println!("{daemons:7}  {per_peer:21.0}  {per_daemon:23.0}  {cpu:16.3}");
}

fn sent_bytes(daemons: &[Daemon]) -> f64 {
    let series = "waxwing_peer_bytes_total{direction=\"sent\"}";
    daemons
        .iter()
        .map(|daemon| daemon.counter_value(series))
        .sum()
}

/// Returns the processor time of all daemons, in ticks.
fn cpu_ticks(daemons: &mut [Daemon]) -> f64 {
    let mut total = 0.0;
    for daemon in daemons {
        let path = format!("/proc/{}/stat", daemon.process().id());
        let text = fs::read_to_string(path).expect("the daemon runs");
        let (_, after_name) = text.rsplit_once(')').expect("the name is in parentheses");
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        // User and system time are the 14th and 15th field; the first two precede the split.
        for field in &fields[11..13] {
            total += field.parse::<f64>().expect("a number of ticks");
        }
    }
    total
}

/// Measures enqueues from a daemon in this process, at its local scheduler and at that of another process.
fn measure_enqueue() {
    let deployment = Deployment::start(&Plan {
        daemons: 1,
        ..Plan::default()
    });
    for is_remote in [false, true] {
        let shared = start_member(&deployment, is_remote);
        let mut times_us = Vec::new();
        for number in 0..WARM_UP + ENQUEUES {
            let took_us = enqueue(&shared);
            if number >= WARM_UP {
                times_us.push(took_us);
            }
        }
        times_us.sort_by(f64::total_cmp);
        let at = |share: f64| times_us[(times_us.len() as f64 * share) as usize];
        let place = if is_remote { "remote" } else { "local" };
        println!(
            "{place} enqueue to grant, sequential: median {:.0} us, 95th percentile {:.0} us, {} times",
            at(0.5),
            at(0.95),
            times_us.len()
        );
    }
}

/// Starts a daemon in this process under a name for which it schedules `chat` itself or, if `is_remote`, `vm-1` does.
fn start_member(deployment: &Deployment, is_remote: bool) -> std::sync::Arc<Shared> {
    for number in 0..100 {
        let name = format!("member-{is_remote}-{number}");
        let names = [Name::from(name.as_str()), Name::from("vm-1")];
        let order = waxwing_core::coordination::rendezvous::rank_candidates("chat/", &names);
        if (order[0].as_str() == "vm-1") == is_remote {
            return start_daemon(deployment, &name);
        }
    }
    unreachable!("one of 100 names ranks as required")
}

fn start_daemon(deployment: &Deployment, name: &str) -> std::sync::Arc<Shared> {
    let addresses = [(); 3].map(|()| deployment.run.reserve_address());
    let text = format!(
        r#"
[vm]
name = "{name}"
data_centre = "dc-1"
caller_address = "{}"
peer_address = "{}"
operator_address = "{}"
[platform]
log_address = "{}"
vm_list_address = "{}"
"#,
        addresses[0],
        addresses[1],
        addresses[2],
        deployment.log.address(),
        deployment.vm_list.address()
    );
    let config = Config::parse("example", &text).expect("the settings are valid");
    let shared = daemon::start(config).expect("the daemon starts");
    let mut list = deployment.vm_list();
    list.vms.push(Vm {
        name: name.to_owned(),
        role: VmRole::Entry,
        address: addresses[0].clone(),
        peer_address: addresses[1].clone(),
        data_centre: "dc-1".to_owned(),
        state: VmState::Live,
    });
    deployment.vm_list.set_vms(&list);
    condition::wait_until("both VMs are members with settings", || {
        let view = shared.view();
        let is_known = |name: &str| {
            let mut members = view.members.iter();
            members.any(|member| member.name.as_str() == name && member.settings_version > 0)
        };
        is_known("vm-1") && is_known(name)
    });
    shared
}

fn enqueue(shared: &Shared) -> f64 {
    let pool = Name::from("chat");
    let ticket = shared.new_ticket();
    let slot_request = SlotRequest {
        ticket,
        class: "desk/draft".into(),
        organisation: "harness".into(),
        weight: 1,
        tier: 1,
        deadline_at_ms: shared.now_ms() + 30_000,
        target_ms: 1_000,
        ageing_ms: 30_000,
        idempotent: true,
        preemptible: false,
        expected_tokens: 100,
        generated_tokens: 0,
        class_in_flight_max: 1_000,
        organisation_in_flight_max: 1_000,
        prefix_hash: 0,
        content_hash: [0; 32],
        data_centre: "dc-1".into(),
        excluded: Vec::new(),
    };
    let started = Instant::now();
    let orders = shared.scheduling.enqueue(&pool, slot_request);
    let order = orders.recv().expect("the scheduler answers");
    let took_us = started.elapsed().as_secs_f64() * 1e6;
    assert!(matches!(order, SlotCommand::Grant { .. }), "{order:?}");
    let finish = Input::Finish {
        ticket,
        end: AttemptEnd::Done,
        tokens: 1,
    };
    shared.scheduling.input(&pool, finish);
    shared.scheduling.leave(&pool, ticket);
    took_us
}
