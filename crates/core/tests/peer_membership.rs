//! Guards against members that are declared gone while alive, kept while dead, or revived by a stale message.

use std::collections::BTreeSet;

use waxwing_core::Name;
use waxwing_core::coordination::membership::Effect;
use waxwing_core::coordination::membership::FULL_MESH_MAX;
use waxwing_core::coordination::membership::GONE_AFTER_MS;
use waxwing_core::coordination::membership::Input;
use waxwing_core::coordination::membership::ListedVm;
use waxwing_core::coordination::membership::Membership;
use waxwing_core::coordination::membership::PARTIAL_MESH_PEERS;
use waxwing_core::coordination::membership::PeerState;
use waxwing_core::coordination::membership::SUSPECT_AFTER_MS;
use waxwing_core::coordination::membership::UNLISTED_GRACE_MS;

fn listed_vm(name: &str) -> ListedVm {
    ListedVm {
        name: name.into(),
        data_centre: "almaty-1".into(),
        caller_address: "127.0.0.1:1".to_owned(),
        peer_address: "127.0.0.1:2".to_owned(),
        is_leaving: false,
    }
}

fn list_input(names: &[&str]) -> Input {
    Input::List(names.iter().map(|name| listed_vm(name)).collect())
}

fn answered(name: &str, incarnation: u64) -> Input {
    Input::Answered {
        name: name.into(),
        incarnation,
    }
}

fn failed(name: &str) -> Input {
    Input::ConnectFailed { name: name.into() }
}

fn gone(name: &str, incarnation: u64) -> Effect {
    Effect::Gone {
        name: name.into(),
        incarnation,
    }
}

fn member_names(membership: &Membership) -> Vec<String> {
    let members = membership.members();
    members
        .iter()
        .map(|member| member.vm.name.to_string())
        .collect()
}

/// Returns a membership in which `b` answered at 0 as incarnation 1.
fn membership_with_live_peer() -> Membership {
    let mut membership = Membership::new("a".into());
    assert!(membership.step(0, list_input(&["a", "b"])).is_empty());
    membership.choose_heartbeat_targets(&BTreeSet::new());
    assert!(
        member_names(&membership).is_empty(),
        "b has not answered yet"
    );
    assert!(membership.step(0, answered("b", 1)).is_empty());
    assert_eq!(member_names(&membership), ["b"]);
    membership
}

#[test]
fn silent_peer_with_failed_connections_is_suspect_then_gone() {
    let mut membership = membership_with_live_peer();
    membership.step(100, failed("b"));
    assert!(!membership.members()[0].is_reachable);
    assert!(membership.step(SUSPECT_AFTER_MS, Input::Tick).is_empty());
    assert_eq!(
        member_names(&membership),
        ["b"],
        "a suspect is still a member"
    );
    assert!(membership.step(GONE_AFTER_MS - 1, Input::Tick).is_empty());
    let effects = membership.step(GONE_AFTER_MS, Input::Tick);
    assert_eq!(effects, [gone("b", 1)]);
    assert!(member_names(&membership).is_empty());
    assert!(membership.step(GONE_AFTER_MS + 1, Input::Tick).is_empty());
    membership.step(GONE_AFTER_MS + 2, answered("b", 1));
    assert_eq!(
        member_names(&membership),
        ["b"],
        "a peer that answers is back"
    );
}

#[test]
fn silence_without_failed_connection_is_no_evidence() {
    let mut membership = membership_with_live_peer();
    assert!(membership.step(GONE_AFTER_MS * 10, Input::Tick).is_empty());
    assert_eq!(member_names(&membership), ["b"]);
    membership.step(GONE_AFTER_MS * 10, failed("b"));
    membership.step(GONE_AFTER_MS * 10, answered("b", 1));
    assert!(membership.members()[0].is_reachable);
}

#[test]
fn new_incarnation_ends_the_old_one_for_good() {
    let mut membership = membership_with_live_peer();
    assert_eq!(membership.step(10, answered("b", 2)), [gone("b", 1)]);
    assert!(membership.step(20, answered("b", 1)).is_empty());
    assert_eq!(membership.members()[0].incarnation, 2);
    membership.step(30, list_input(&["a", "b"]));
    assert_eq!(membership.members()[0].incarnation, 2);
    let state = PeerState {
        is_draining: true,
        ..PeerState::default()
    };
    let late = Input::State {
        name: "b".into(),
        incarnation: 1,
        state,
    };
    membership.step(40, late);
    assert!(
        !membership.members()[0].state.is_draining,
        "a late state of the replaced process is ignored"
    );
}

#[test]
fn stale_list_does_not_kill_a_peer_that_answers() {
    let mut membership = membership_with_live_peer();
    membership.step(1_000, list_input(&["a"]));
    for now_ms in (1_000..UNLISTED_GRACE_MS).step_by(1_000) {
        assert!(membership.step(now_ms, answered("b", 1)).is_empty());
        assert_eq!(member_names(&membership), ["b"]);
    }
    let effects = membership.step(1_000 + UNLISTED_GRACE_MS, Input::Tick);
    assert_eq!(effects, [gone("b", 1)]);
    membership.step(2_000 + UNLISTED_GRACE_MS, answered("b", 1));
    assert!(member_names(&membership).is_empty(), "b is not listed");
}

#[test]
fn peer_that_left_the_list_and_is_silent_is_gone_at_once() {
    let mut membership = membership_with_live_peer();
    membership.step(0, failed("b"));
    membership.step(SUSPECT_AFTER_MS, Input::Tick);
    let effects = membership.step(SUSPECT_AFTER_MS + 1, list_input(&["a"]));
    assert_eq!(effects, [gone("b", 1)]);
}

#[test]
fn peer_that_is_listed_again_in_time_stays() {
    let mut membership = membership_with_live_peer();
    membership.step(1_000, list_input(&["a"]));
    membership.step(2_000, list_input(&["a", "b"]));
    let effects = membership.step(2_000 + UNLISTED_GRACE_MS, Input::Tick);
    assert!(effects.is_empty());
    assert_eq!(member_names(&membership), ["b"]);
}

#[test]
fn leaving_peer_counts_as_draining() {
    let mut membership = membership_with_live_peer();
    let mut leaving = listed_vm("b");
    leaving.is_leaving = true;
    membership.step(10, Input::List(vec![leaving]));
    assert!(membership.members()[0].state.is_draining);
}

#[test]
fn large_deployment_has_few_targets_and_keeps_owners() {
    let mut membership = Membership::new("own".into());
    let names: Vec<String> = (0..50).map(|index| format!("vm-{index}")).collect();
    let mut refs: Vec<&str> = names.iter().map(String::as_str).collect();
    membership.step(0, list_input(&refs));
    let targets = membership.choose_heartbeat_targets(&BTreeSet::new());
    assert_eq!(targets.len(), PARTIAL_MESH_PEERS);
    let untargeted = names
        .iter()
        .find(|name| targets.iter().all(|target| target.name.as_str() != *name));
    let owner = Name::from(
        untargeted
            .expect("42 peers are not heartbeat targets")
            .as_str(),
    );
    let in_use = BTreeSet::from([owner.clone()]);
    let targets = membership.choose_heartbeat_targets(&in_use);
    assert_eq!(targets.len(), PARTIAL_MESH_PEERS + 1);
    assert!(targets.iter().any(|target| target.name == owner));
    assert_eq!(
        membership.members().len(),
        50 - PARTIAL_MESH_PEERS - 1,
        "listed peers without heartbeats are members"
    );
    refs.truncate(FULL_MESH_MAX);
    membership.step(1, list_input(&refs));
    assert_eq!(
        membership.choose_heartbeat_targets(&BTreeSet::new()).len(),
        FULL_MESH_MAX
    );
}

/// A peer that sends heartbeats to the local VM but receives none is live while it sends and gone after it stops.
#[test]
fn heartbeats_of_untargeted_peer_keep_it_live() {
    let mut membership = Membership::new("own".into());
    let names: Vec<String> = (0..20).map(|index| format!("vm-{index}")).collect();
    let refs: Vec<&str> = names.iter().map(String::as_str).collect();
    membership.step(0, list_input(&refs));
    let targets = membership.choose_heartbeat_targets(&BTreeSet::new());
    let untargeted = names
        .iter()
        .find(|name| targets.iter().all(|target| target.name.as_str() != *name));
    let name = Name::from(
        untargeted
            .expect("12 peers are not heartbeat targets")
            .as_str(),
    );
    let heartbeat = Input::State {
        name: name.clone(),
        incarnation: 5,
        state: PeerState::default(),
    };
    assert!(membership.step(100, heartbeat).is_empty());
    let effects = membership.step(100 + GONE_AFTER_MS, Input::Tick);
    assert_eq!(effects, [gone(name.as_str(), 5)]);
}
