//! Incremental replication of the endpoint registry to other VMs.

use waxwing_core::Name;
use waxwing_core::fleet::revisions::Revisions;
use waxwing_core::forwarding::Endpoints;
use waxwing_core::forwarding::endpoints::Entry;

fn new_entry(id: &str, sequence: u64) -> Entry {
    Entry {
        id: Name::from(id),
        service: Name::from("pool"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: Name::from("a"),
        slots: 8,
        is_draining: false,
        cold_ms: 0,
        born_ms: Some(1),
        version: Name::from("v1"),
        sequence,
    }
}

/// Applies the changes of a registry since a revision to another one, as a following VM does.
fn replicate(from: &Endpoints, to: &mut Endpoints, since: Option<u64>) -> u64 {
    let delta = from.delta_since(since);
    for id in delta.removed {
        to.remove(id, 0);
    }
    let mut listed = Vec::new();
    for id in delta.changed {
        let key = from.find(id).unwrap();
        listed.push(id.clone());
        to.update(from.get(key).unwrap().entry.clone());
    }
    if delta.is_full {
        to.retain(&listed, 0);
    }
    delta.revision
}

fn endpoint_ids(endpoints: &Endpoints) -> Vec<(String, bool)> {
    let service = Name::from("pool");
    let listed = endpoints.of_service(&service);
    let mut ids: Vec<(String, bool)> = listed
        .map(|(_, endpoint)| {
            (
                endpoint.entry.id.as_str().to_owned(),
                endpoint.entry.is_draining,
            )
        })
        .collect();
    ids.sort();
    ids
}

/// Guards against a new revision for each periodic entry; only changes that matter to other VMs count.
#[test]
fn unchanged_entries() {
    let mut endpoints = Endpoints::new();
    endpoints.update(new_entry("e1", 1));
    let before = endpoints.revision();
    endpoints.update(Entry {
        cold_ms: 500,
        ..new_entry("e1", 2)
    });
    assert_eq!(endpoints.revision(), before);
    endpoints.update(Entry {
        is_draining: true,
        ..new_entry("e1", 3)
    });
    assert_eq!(endpoints.delta_since(Some(before)).changed.len(), 1);
}

/// Guards against a follower that differs from the registry after any kind of change.
#[test]
fn followed_changes() {
    let mut leader = Endpoints::new();
    let mut follower = Endpoints::new();
    follower.update(new_entry("left-before", 1));
    leader.update(new_entry("e1", 1));
    leader.update(new_entry("e2", 1));
    let mut revision = replicate(&leader, &mut follower, None);
    assert_eq!(endpoint_ids(&follower), endpoint_ids(&leader));
    let steps: [fn(&mut Endpoints); 6] = [
        |registry| {
            registry.remove(&Name::from("e1"), 0);
        },
        |registry| {
            registry.update(new_entry("e3", 1));
        },
        |registry| {
            registry.disable(&Name::from("e2"));
        },
        // Removed and added under the same id between two polls.
        |registry| {
            registry.remove(&Name::from("e3"), 0);
            registry.update(new_entry("e3", 2));
        },
        |registry| {
            registry.update(new_entry("e2", 2));
        },
        |registry| {
            registry.update(new_entry("e4", 1));
            registry.remove(&Name::from("e4"), 0);
        },
    ];
    for (index, step) in steps.iter().enumerate() {
        step(&mut leader);
        revision = replicate(&leader, &mut follower, Some(revision));
        assert_eq!(
            endpoint_ids(&follower),
            endpoint_ids(&leader),
            "step {index}"
        );
    }
}

/// Guards against removed endpoints that stay at a follower: beyond the capacity for removals it gets the whole list.
#[test]
fn forgotten_removals() {
    let mut revisions = Revisions::default();
    revisions.note_change(&Name::from("kept"));
    let revision = revisions.newest();
    for index in 0..2_000 {
        revisions.note_removal(&Name::from(format!("e{index}")));
    }
    let delta = revisions.delta_since(Some(revision));
    assert!(delta.is_full);
    assert_eq!(delta.changed.len(), 1);
    let recent = revisions.delta_since(Some(revisions.newest() - 10));
    assert!(!recent.is_full);
    assert_eq!(recent.removed.len(), 10);
    // A revision of another incarnation of the VM is not comparable.
    assert!(revisions.delta_since(Some(revisions.newest() + 1)).is_full);
}
