//! The registry of endpoints: removals around an outage of its source, late entries, restarts and health.

use waxwing_core::Name;
use waxwing_core::forwarding::Endpoints;
use waxwing_core::forwarding::endpoints::Change;
use waxwing_core::forwarding::endpoints::EXPIRY_GRACE_MS;
use waxwing_core::forwarding::endpoints::EndpointHealth;
use waxwing_core::forwarding::endpoints::Entry;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::run::RunOutcome;

fn entry(id: &str, born_ms: u64, sequence: u64) -> Entry {
    Entry {
        id: Name::from(id),
        service: Name::from("pool"),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: Name::from("a"),
        slots: 4,
        is_draining: false,
        cold_ms: 0,
        born_ms: Some(born_ms),
        version: Name::from("v1"),
        sequence,
    }
}

fn list(ids: &[&str]) -> Endpoints {
    let mut endpoints = Endpoints::new();
    for id in ids {
        endpoints.update(entry(id, 1, 1));
    }
    endpoints
}

/// Guards against the removal of a living endpoint whose entry expired while the source was unavailable.
#[test]
fn lapse_waits() {
    let mut endpoints = list(&["e"]);
    endpoints.mark_source_lost();
    endpoints.mark_source_recovered(1, 1_000);
    assert_eq!(endpoints.remove(&Name::from("e"), 1_000), None);
    assert!(endpoints.remove_due(1_000 + EXPIRY_GRACE_MS - 1).is_empty());
    endpoints.update(entry("e", 1, 2));
    assert!(endpoints.remove_due(1_000 + EXPIRY_GRACE_MS).is_empty());
    assert_eq!(endpoints.len(), 1);
}

/// Guards against a dead endpoint that stays in the registry because its removal was deferred.
#[test]
fn lapse_ends() {
    let mut endpoints = list(&["e"]);
    endpoints.mark_source_lost();
    endpoints.mark_source_recovered(1, 1_000);
    endpoints.remove(&Name::from("e"), 1_000);
    endpoints.finish_backlog();
    let changes = endpoints.remove_due(1_000 + EXPIRY_GRACE_MS);
    assert!(matches!(changes[..], [(_, Change::Removed(_))]));
    assert_eq!(changes[0].0, Name::from("e"));
    assert!(endpoints.is_empty());
}

/// Guards against requests to an endpoint whose removal was recorded after the backlog, and therefore is current.
#[test]
fn removal_after_return() {
    let mut endpoints = list(&["e"]);
    endpoints.mark_source_lost();
    endpoints.mark_source_recovered(1, 1_000);
    endpoints.finish_backlog();
    let change = endpoints.remove(&Name::from("e"), 1_100);
    assert!(matches!(change, Some(Change::Removed(_))));
}

/// Guards against a deferred removal if only this VM was cut off: several records of one endpoint in the backlog show
/// that the source was available.
#[test]
fn removal_while_cut_off() {
    let mut endpoints = list(&["e"]);
    endpoints.mark_source_lost();
    endpoints.mark_source_recovered(3, 1_000);
    let change = endpoints.remove(&Name::from("e"), 1_000);
    assert!(matches!(change, Some(Change::Removed(_))));
}

/// Guards against an old state that returns with a record that arrives after a newer one or after the removal.
#[test]
fn late_entry() {
    let mut endpoints = list(&["e"]);
    let mut draining = entry("e", 1, 5);
    draining.is_draining = true;
    endpoints.update(draining);
    assert_eq!(endpoints.update(entry("e", 1, 4)), None);
    let key = endpoints.find(&Name::from("e")).unwrap();
    assert!(!endpoints.get(key).unwrap().is_usable());
    endpoints.remove(&Name::from("e"), 0);
    assert_eq!(endpoints.update(entry("e", 1, 5)), None);
    assert!(endpoints.is_empty());
}

/// Guards against a restarted endpoint that inherits state, or is ignored because its sequence numbers start again.
#[test]
fn restarted_endpoint() {
    let mut endpoints = list(&["e"]);
    endpoints.update(entry("e", 1, 50));
    let old = endpoints.find(&Name::from("e")).unwrap();
    let change = endpoints.update(entry("e", 2, 1));
    let new = endpoints.find(&Name::from("e")).unwrap();
    assert_eq!(change, Some(Change::Restarted { old, new }));
    assert!(endpoints.get(old).is_none());
}

/// Guards against the use of an endpoint whose newest entry cannot be decoded; a valid entry enables it again.
#[test]
fn disabled_entry() {
    let mut endpoints = list(&["e"]);
    let key = endpoints.find(&Name::from("e")).unwrap();
    assert_eq!(
        endpoints.disable(&Name::from("e")),
        Some(Change::Draining(key))
    );
    assert!(!endpoints.get(key).unwrap().is_usable());
    endpoints.update(entry("e", 1, 2));
    assert!(endpoints.get(key).unwrap().is_usable());
}

/// Guards against requests to an unreachable endpoint: after a backoff a single one probes it, and a response makes it
/// healthy again.
#[test]
fn suspicion_and_trial() {
    let mut endpoints = list(&["e"]);
    let key = endpoints.find(&Name::from("e")).unwrap();
    let run = endpoints.begin_run(key, None, 0, None, UrgencyLevel::default(), 0);
    assert!(endpoints.end_run(run, RunOutcome::Unreachable, 0));
    assert_eq!(
        endpoints.get(key).unwrap().health(100),
        EndpointHealth::Suspect
    );
    assert_eq!(
        endpoints.get(key).unwrap().health(600),
        EndpointHealth::Probation
    );
    let run = endpoints.begin_run(key, None, 0, None, UrgencyLevel::default(), 600);
    assert_eq!(
        endpoints.get(key).unwrap().health(600),
        EndpointHealth::Suspect
    );
    endpoints.end_run(run, RunOutcome::Answered, 700);
    assert_eq!(
        endpoints.get(key).unwrap().health(700),
        EndpointHealth::Healthy
    );
}

/// Guards against the removal of living endpoints that a restored list lacks until they write again.
#[test]
fn restored_list() {
    let mut endpoints = list(&["kept", "late", "gone"]);
    endpoints.mark_source_restored(1_000);
    let listed = [Name::from("kept")];
    assert!(endpoints.retain(&listed, 1_000).is_empty());
    // Other VMs wait as well, so that they may be told.
    assert!(!endpoints.withholds_removals());
    endpoints.update(entry("late", 1, 2));
    let changes = endpoints.remove_due(1_000 + EXPIRY_GRACE_MS);
    assert!(matches!(changes[..], [(_, Change::Removed(_))]));
    assert_eq!(changes[0].0, Name::from("gone"));
    // A later list is complete.
    let changes = endpoints.retain(&listed, 1_000 + EXPIRY_GRACE_MS);
    assert_eq!(changes[0].0, Name::from("late"));
}

/// Applies the full view of one registry to another.
fn apply_view(to: &mut Endpoints, from: &Endpoints, now_ms: u64) {
    let mut listed = Vec::new();
    for id in from.delta_since(None).changed {
        let entry = from.find(id).and_then(|key| from.get(key)).unwrap();
        listed.push(id.clone());
        to.update(entry.entry.clone());
    }
    to.retain(&listed, now_ms);
}

/// Guards against VMs that keep each other from removing an endpoint that a restored list lacks.
#[test]
fn mutual_views() {
    let mut vms = [list(&["kept", "gone"]), list(&["kept", "gone"])];
    for vm in &mut vms {
        vm.mark_source_restored(1_000);
        vm.retain(&[Name::from("kept")], 1_000);
    }
    let [first, second] = &mut vms;
    for now_ms in [1_100, 1_200, 1_300] {
        apply_view(first, second, now_ms);
        apply_view(second, first, now_ms);
    }
    for vm in &mut vms {
        assert_eq!(vm.remove_due(1_000 + EXPIRY_GRACE_MS).len(), 1);
    }
}

/// Guards against an endpoint that is lost to a VM which knows of its restart already when a reader reports it.
#[test]
fn reported_restart() {
    let mut reader = list(&["e"]);
    let mut other = list(&["e"]);
    let before = reader.revision();
    for vm in [&mut reader, &mut other] {
        vm.update(entry("e", 2, 1));
    }
    let delta = reader.delta_since(Some(before));
    for id in delta.removed {
        other.remove(id, 1_000);
    }
    for id in delta.changed {
        let known = reader.find(id).and_then(|key| reader.get(key)).unwrap();
        other.update(known.entry.clone());
    }
    assert_eq!(other.len(), 1);
}

/// Guards against a VM that removes an endpoint which its reader knows to be renewed.
#[test]
fn renewal_in_view() {
    let mut reader = list(&["e"]);
    let mut follower = list(&["e"]);
    for vm in [&mut reader, &mut follower] {
        vm.mark_source_restored(1_000);
        vm.retain(&[], 1_000);
    }
    let before = reader.revision();
    reader.update(entry("e", 1, 2));
    let delta = reader.delta_since(Some(before));
    assert_eq!(delta.changed, [&Name::from("e")]);
    follower.update(entry("e", 1, 2));
    assert!(follower.remove_due(1_000 + EXPIRY_GRACE_MS).is_empty());
}

/// Guards against a recorded removal that is deferred although it is of the new timeline.
#[test]
fn removal_after_restoring() {
    let mut endpoints = list(&["e"]);
    endpoints.mark_source_restored(1_000);
    endpoints.retain(&[Name::from("e")], 1_000);
    let change = endpoints.remove(&Name::from("e"), 1_100);
    assert!(matches!(change, Some(Change::Removed(_))));
}

/// Guards against an endpoint that is in use again after it left, since a restored list has an entry of an earlier start.
#[test]
fn earlier_incarnation() {
    let mut endpoints = list(&["e"]);
    endpoints.update(entry("e", 2_000, 1));
    assert!(endpoints.remove(&Name::from("e"), 1_000).is_some());
    assert_eq!(endpoints.update(entry("e", 1, 9)), None);
    assert!(matches!(
        endpoints.update(entry("e", 3_000, 1)),
        Some(Change::Added(_))
    ));
}
