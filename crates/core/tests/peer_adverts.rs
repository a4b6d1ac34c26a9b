//! Membership of VMs: which ones take callers, are dead, or share the repeat budget.

use waxwing_core::Name;
use waxwing_core::fleet::Summary;
use waxwing_core::fleet::summary::Summaries;
use waxwing_core::fleet::summary::VmState;
use waxwing_core::forwarding::peers::Advert;
use waxwing_core::forwarding::peers::Change;
use waxwing_core::forwarding::peers::Peers;
use waxwing_core::forwarding::peers::PeersConfig;

fn advert(vm: &str, incarnation: u64, sequence: u64, port: u16) -> Advert {
    Advert {
        vm: Name::from(vm),
        incarnation,
        sequence,
        front: format!("127.0.0.1:{port}").parse().unwrap(),
        peer: format!("127.0.0.1:{}", port + 1).parse().unwrap(),
        data_centre: Name::from(if port < 2_000 { "a" } else { "b" }),
        is_ready: true,
        configuration_version: 1,
        demands: Vec::new(),
        service_demands: Vec::new(),
        findings: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
    }
}

/// Guards against an old state that returns with an advert that arrives out of order.
#[test]
fn late_advert() {
    let mut peers = start(LOCAL_VM);
    peers.apply_advert(&advert("v", 1, 5, 1_000), 100);
    let mut stopping = advert("v", 1, 6, 1_000);
    stopping.is_ready = false;
    peers.apply_advert(&stopping, 200);
    assert_eq!(
        peers.apply_advert(&advert("v", 1, 4, 1_000), 300),
        (false, None)
    );
    assert!(peers.front_addresses(&Name::from("a"), 300).is_empty());
    assert!(
        peers.apply_advert(&advert("v", 2, 1, 1_000), 400).0,
        "the sequence restarts with a new incarnation"
    );
    assert_eq!(peers.front_addresses(&Name::from("a"), 400).len(), 1);
}

/// Guards against a dead VM that is listed for callers while others are alive.
#[test]
fn silent_vm() {
    let mut peers = start(LOCAL_VM);
    peers.apply_advert(&advert("v", 1, 1, 1_000), 0);
    peers.apply_advert(&advert("w", 1, 1, 2_000), 0);
    peers.apply_advert(&advert("w", 1, 2, 2_000), 1_500);
    assert_eq!(
        peers.lost_since(1_200, 1_500),
        vec![Change::Lost(Name::from("v"))]
    );
    let fronts = peers.front_addresses(&Name::from("a"), 1_500);
    assert_eq!(fronts, vec!["127.0.0.1:2000".parse().unwrap()]);
    assert_eq!(peers.alive_count(1_500), 1);
    assert_eq!(peers.budget_vm_count(1_500), None, "others may be unknown");
    peers.mark_complete();
    assert_eq!(
        peers.budget_vm_count(1_500),
        Some(3),
        "a silent VM may still use its share of the budget"
    );
}

/// Guards against a partitioned VM that lists no addresses for callers; dead VMs stay listed for a grace period then.
#[test]
fn isolated_vm() {
    let mut peers = start(LOCAL_VM);
    peers.apply_advert(&advert("v", 1, 1, 1_000), 0);
    assert_eq!(peers.front_addresses(&Name::from("a"), 2_000).len(), 1);
    assert!(peers.front_addresses(&Name::from("a"), 4_000).is_empty());
}

/// Guards against callers that connect to a remote data centre: they use the first suitable address.
#[test]
fn nearest_first() {
    let mut peers = start(LOCAL_VM);
    peers.apply_advert(&advert("far", 1, 1, 2_000), 0);
    peers.apply_advert(&advert("near", 1, 1, 1_000), 0);
    let fronts = peers.front_addresses(&Name::from("a"), 0);
    assert_eq!(fronts[0], "127.0.0.1:1000".parse().unwrap());
}

/// Guards against callers that are sent to a VM that was discovered in the log service but has sent no advert.
#[test]
fn found_vm() {
    let mut peers = start(LOCAL_VM);
    peers.add(Name::from("v"), "127.0.0.1:1001".parse().unwrap(), 0);
    assert_eq!(peers.advert_recipients(5, 0).len(), 1);
    assert!(peers.front_addresses(&Name::from("a"), 0).is_empty());
    peers.mark_complete();
    assert_eq!(
        peers.budget_vm_count(0),
        Some(2),
        "it may be alive and not heard"
    );
    assert_eq!(
        peers.budget_vm_count(3_600_000),
        Some(1),
        "its address is out of date"
    );
}

const LOCAL_VM: &str = "own";

/// Returns the registry of a VM of data centre `a`; with more than two VMs the data centres exchange summaries.
fn start(vm: &str) -> Peers {
    Peers::new(PeersConfig {
        vm: Name::from(vm),
        data_centre: Name::from("a"),
        direct_vms_max: 2,
    })
}

/// Returns a summary of data centre `b` with VMs and the ages of their adverts.
fn summary(vms: &[(&str, u64)], sequence: u64) -> Summary {
    let mut states = Vec::new();
    for (index, (vm, age_ms)) in vms.iter().enumerate() {
        let heard = advert(vm, 1, sequence, 2_000 + 2 * index as u16);
        states.push(VmState {
            vm: heard.vm,
            incarnation: 1,
            sequence,
            front: heard.front,
            peer: heard.peer,
            is_ready: true,
            age_ms: *age_ms,
        });
    }
    Summary {
        data_centre: Name::from("b"),
        vm: Name::from(vms[0].0),
        incarnation: 1,
        sequence,
        part: 0,
        parts: 1,
        is_remote: true,
        vms: states,
        demands: Vec::new(),
        service_demands: Vec::new(),
        findings: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
    }
}

/// Guards against adverts between data centres if there are many VMs: their number would grow quadratically.
#[test]
fn adverts_within() {
    let a = Name::from("a");
    let mut peers = start(LOCAL_VM);
    peers.apply_advert(&advert("near", 1, 1, 1_000), 0);
    assert!(!peers.uses_summaries());
    peers.apply_summary(&summary(&[("far-1", 0), ("far-2", 0)], 1), 0);
    assert!(peers.uses_summaries());
    let near = vec!["127.0.0.1:1001".parse().unwrap()];
    assert_eq!(peers.advert_recipients(5, 100), near);
    assert_eq!(peers.front_addresses(&a, 100).len(), 3);
    peers.mark_complete();
    assert_eq!(peers.budget_vm_count(100), Some(4));
    assert_eq!(peers.members(100).len(), 3);
    // The representative of the other data centre, and its successor.
    assert_eq!(peers.summary_recipients(100).len(), 2);
}

/// Guards against a dead VM of another data centre that still counts as alive here because summaries keep arriving.
#[test]
fn silent_far_vm() {
    let a = Name::from("a");
    let mut peers = start(LOCAL_VM);
    let mut age_ms = 0;
    for (sequence, now_ms) in (1..).zip((0..6_000).step_by(300)) {
        let mut heard = summary(&[("far-1", 0), ("far-2", age_ms)], sequence);
        // The second VM sends no more adverts.
        heard.vms[1].sequence = 1;
        peers.apply_summary(&heard, now_ms);
        age_ms += 300;
    }
    let fronts = peers.front_addresses(&a, 6_000);
    assert_eq!(fronts, vec!["127.0.0.1:2000".parse().unwrap()]);
    // It may be partitioned from its own data centre only, so adverts are sent to it again.
    assert_eq!(peers.advert_recipients(5, 6_000).len(), 1);
}

/// Guards against a data centre with no representative, or with two, after one dies, and against VMs that are
/// declared dead elsewhere meanwhile.
#[test]
fn next_representative() {
    let vms = ["v1", "v2", "v3", "v4"].map(Name::from);
    let a = Name::from("a");
    let mut views: Vec<Peers> = Vec::new();
    for vm in &vms {
        let mut peers = start(vm.as_str());
        for other in vms.iter().filter(|other| *other != vm) {
            peers.apply_advert(&advert(other.as_str(), 1, 1, 1_000), 0);
        }
        views.push(peers);
    }
    let representatives = |views: &[Peers], now_ms| -> Vec<usize> {
        let all = 0..vms.len();
        all.filter(|i| views[*i].is_representative(now_ms))
            .collect()
    };
    let first = representatives(&views, 100);
    assert_eq!(first.len(), 1);
    for (index, peers) in views.iter_mut().enumerate() {
        for (other, vm) in vms.iter().enumerate() {
            if other != index && other != first[0] {
                peers.apply_advert(&advert(vm.as_str(), 1, 2, 1_000), 1_400);
            }
        }
    }
    let mut next = representatives(&views, 1_400);
    next.retain(|index| *index != first[0]);
    assert_eq!(next.len(), 1);
    // Other data centres got no summary meanwhile and must still list all VMs.
    let mut far = start(LOCAL_VM);
    far.apply_summary(&summary(&[("far-1", 0), ("far-2", 299)], 1), 0);
    assert_eq!(far.front_addresses(&a, 1_400 + 600).len(), 2);
}

/// Guards against VMs that count as dead when adverts are replaced by summaries, before the first summary arrives.
#[test]
fn heard_before_summaries() {
    let a = Name::from("a");
    let mut peers = start(LOCAL_VM);
    peers.apply_advert(&advert("far-1", 1, 1, 2_000), 0);
    peers.apply_advert(&advert("far-2", 1, 1, 2_002), 0);
    assert!(peers.uses_summaries());
    assert_eq!(peers.front_addresses(&a, 2_500).len(), 2);
    assert!(peers.lost_since(0, 2_500).is_empty());
    assert_eq!(peers.lost_since(2_500, 2_700).len(), 2);
}

/// Guards against summaries that do not reach the successor of a dead representative, or that also reach a third VM.
#[test]
fn next_recipient() {
    let mut peers = start(LOCAL_VM);
    for (index, vm) in ["far-1", "far-2", "far-3"].into_iter().enumerate() {
        peers.apply_advert(&advert(vm, 1, 1, 2_000 + 2 * index as u16), 0);
    }
    let before = peers.summary_recipients(100);
    assert_eq!(before.len(), 2);
    // The first VM is missing from the summary.
    let mut heard = summary(&[("far-1", 0), ("far-2", 0), ("far-3", 0)], 2);
    heard.vms.retain(|state| state.peer != before[0]);
    peers.apply_summary(&heard, 2_800);
    let after = peers.summary_recipients(2_800);
    assert_eq!(after.len(), 2);
    assert_eq!(after[0], before[1], "the successor takes over");
}

/// Guards against an older summary that replaces a newer one of the same VM, and against load that counts after its
/// summaries stopped.
#[test]
fn late_summary() {
    let mut summaries = Summaries::default();
    let b = Name::from("b");
    assert!(summaries.insert(&summary(&[("far-1", 0)], 2), 0));
    assert!(!summaries.insert(&summary(&[("far-1", 0)], 1), 100));
    assert!(summaries.insert(&summary(&[("far-2", 0)], 1), 200));
    assert!(summaries.has_fresh(&b, 1_000));
    assert!(summaries.expire(1_000).is_empty());
    let source = summary(&[("far-1", 0)], 1).source();
    assert_eq!(summaries.expire(1_600), vec![source]);
    assert!(!summaries.has_fresh(&b, 1_600));
}
