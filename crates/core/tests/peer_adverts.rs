//! What VMs know of each other: who takes callers, who is silent, who shares budgets.

use waxwing_core::Name;
use waxwing_core::forwarding::peers::Advert;
use waxwing_core::forwarding::peers::Change;
use waxwing_core::forwarding::peers::Peers;

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
        asked: Vec::new(),
        findings: Vec::new(),
    }
}

/// Adverts overtake each other; an older one must not bring an old state back.
#[test]
fn late_advert() {
    let mut peers = Peers::new();
    peers.hear(&advert("v", 1, 5, 1_000), 100);
    let mut stopping = advert("v", 1, 6, 1_000);
    stopping.is_ready = false;
    peers.hear(&stopping, 200);
    assert_eq!(peers.hear(&advert("v", 1, 4, 1_000), 300), (false, None));
    assert!(peers.to_fronts(&Name::from("a"), 300).is_empty());
    assert!(
        peers.hear(&advert("v", 2, 1, 1_000), 400).0,
        "a new incarnation counts anew"
    );
    assert_eq!(peers.to_fronts(&Name::from("a"), 400).len(), 1);
}

/// A VM that fell silent must not be named to callers while others are heard.
#[test]
fn silent_vm() {
    let mut peers = Peers::new();
    peers.hear(&advert("v", 1, 1, 1_000), 0);
    peers.hear(&advert("w", 1, 1, 2_000), 0);
    peers.hear(&advert("w", 1, 2, 2_000), 1_500);
    assert_eq!(
        peers.to_lost(1_200, 1_500),
        vec![Change::Lost(Name::from("v"))]
    );
    let fronts = peers.to_fronts(&Name::from("a"), 1_500);
    assert_eq!(fronts, vec!["127.0.0.1:2000".parse().unwrap()]);
    assert_eq!(peers.to_alive_count(1_500), 1);
    assert_eq!(
        peers.to_vm_count(1_500),
        3,
        "a silent VM may still spend its share of a budget"
    );
}

/// A VM that hears nobody is more likely cut off than alone, for a while.
#[test]
fn isolated_vm() {
    let mut peers = Peers::new();
    peers.hear(&advert("v", 1, 1, 1_000), 0);
    assert_eq!(peers.to_fronts(&Name::from("a"), 2_000).len(), 1);
    assert!(peers.to_fronts(&Name::from("a"), 4_000).is_empty());
}

/// Callers connect to the first address that suits them, so those of their own data centre come first.
#[test]
fn nearest_first() {
    let mut peers = Peers::new();
    peers.hear(&advert("far", 1, 1, 2_000), 0);
    peers.hear(&advert("near", 1, 1, 1_000), 0);
    let fronts = peers.to_fronts(&Name::from("a"), 0);
    assert_eq!(fronts[0], "127.0.0.1:1000".parse().unwrap());
}

/// VMs that were only found in the log service get adverts, but callers are not sent there.
#[test]
fn found_vm() {
    let mut peers = Peers::new();
    peers.add(Name::from("v"), "127.0.0.1:1001".parse().unwrap());
    assert_eq!(peers.to_recipients(5, 0).len(), 1);
    assert!(peers.to_fronts(&Name::from("a"), 0).is_empty());
}
