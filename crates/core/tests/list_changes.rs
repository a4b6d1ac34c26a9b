//! What a VM tells others of its list of endpoints.

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
        sequence,
    }
}

/// Applies what changed in one list since a revision to another list, as a VM that asked does.
fn copy(from: &Endpoints, to: &mut Endpoints, since: Option<u64>) -> u64 {
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
    let known = endpoints.of_service(&service);
    let mut ids: Vec<(String, bool)> = known
        .map(|(_, known)| (known.entry.id.as_str().to_owned(), known.entry.is_draining))
        .collect();
    ids.sort();
    ids
}

/// Endpoints write all the time; only what others must know may be told.
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

/// Another list that follows the changes must come to hold the same, whatever happened in between.
#[test]
fn followed_changes() {
    let mut reader = Endpoints::new();
    let mut follower = Endpoints::new();
    follower.update(new_entry("left-before", 1));
    reader.update(new_entry("e1", 1));
    reader.update(new_entry("e2", 1));
    let mut known = copy(&reader, &mut follower, None);
    assert_eq!(endpoint_ids(&follower), endpoint_ids(&reader));
    let steps: [fn(&mut Endpoints); 6] = [
        |list| {
            list.remove(&Name::from("e1"), 0);
        },
        |list| {
            list.update(new_entry("e3", 1));
        },
        |list| {
            list.disable(&Name::from("e2"));
        },
        // Gone and back between two answers, under the same id.
        |list| {
            list.remove(&Name::from("e3"), 0);
            list.update(new_entry("e3", 2));
        },
        |list| {
            list.update(new_entry("e2", 2));
        },
        |list| {
            list.update(new_entry("e4", 1));
            list.remove(&Name::from("e4"), 0);
        },
    ];
    for (index, step) in steps.iter().enumerate() {
        step(&mut reader);
        known = copy(&reader, &mut follower, Some(known));
        assert_eq!(
            endpoint_ids(&follower),
            endpoint_ids(&reader),
            "step {index}"
        );
    }
}

/// Removals beyond what is remembered must lead to a whole list, not to endpoints that stay for ever.
#[test]
fn forgotten_removals() {
    let mut revisions = Revisions::default();
    revisions.note_change(&Name::from("kept"));
    let known = revisions.newest();
    for index in 0..2_000 {
        revisions.note_removal(&Name::from(format!("e{index}")));
    }
    let delta = revisions.delta_since(Some(known));
    assert!(delta.is_full);
    assert_eq!(delta.changed.len(), 1);
    let recent = revisions.delta_since(Some(revisions.newest() - 10));
    assert!(!recent.is_full);
    assert_eq!(recent.removed.len(), 10);
    // A revision of another incarnation says nothing here.
    assert!(revisions.delta_since(Some(revisions.newest() + 1)).is_full);
}
