//! Selection of readers, and the order in which followers use them.

use std::collections::HashSet;

use waxwing_core::Name;
use waxwing_core::fleet::Member;
use waxwing_core::fleet::readers;

/// Returns `count` VMs in `data_centres` data centres.
fn new_members(count: usize, data_centres: usize) -> Vec<Member> {
    let mut members = Vec::new();
    for index in 0..count {
        members.push(Member {
            vm: Name::from(format!("vm-{index}")),
            data_centre: Name::from(format!("dc-{}", index % data_centres)),
            address: "127.0.0.1:1".parse().unwrap(),
        });
    }
    members
}

fn reader_names(members: &[Member]) -> Vec<Name> {
    let readers = readers::choose(members).into_iter();
    readers.map(|member| member.vm.clone()).collect()
}

/// The number of readers must grow far slower than the number of VMs, and every fleet must have one.
#[test]
fn reader_counts() {
    let counts = [1, 2, 5, 34, 118, 412].map(readers::reader_count);
    assert_eq!(counts, [1, 2, 2, 3, 5, 14]);
    assert_eq!(readers::reader_count(0), 0);
}

/// The loss of one data centre must leave readers in others.
#[test]
fn spread_readers() {
    let members = new_members(118, 6);
    let readers = readers::choose(&members);
    let data_centres: HashSet<&Name> = readers.iter().map(|reader| &reader.data_centre).collect();
    assert_eq!(data_centres.len(), readers.len());
}

/// The choice must not depend on the order of the members.
#[test]
fn same_choice() {
    let mut members = new_members(34, 4);
    let before = reader_names(&members);
    members.reverse();
    assert_eq!(reader_names(&members), before);
}

/// The loss of a reader must replace only that reader, so that the others keep their state.
#[test]
fn lost_reader() {
    let members = new_members(34, 4);
    let before = reader_names(&members);
    for lost in &before {
        let left: Vec<Member> = members.iter().filter(|m| m.vm != *lost).cloned().collect();
        let after = reader_names(&left);
        let kept = before.iter().filter(|vm| after.contains(vm)).count();
        assert_eq!(kept, before.len() - 1, "without {}", lost.as_str());
    }
}

/// A VM must prefer a reader in its data centre, and never choose itself.
#[test]
fn nearest_first() {
    let members = new_members(118, 6);
    let mut preferred = HashSet::new();
    for member in &members {
        let readers = readers::choose(&members);
        let ordered = readers::order_for(readers, &member.vm, &member.data_centre);
        assert!(ordered.iter().all(|reader| reader.vm != member.vm));
        let has_near = ordered.iter().any(|r| r.data_centre == member.data_centre);
        assert!(!has_near || ordered[0].data_centre == member.data_centre);
        preferred.insert(ordered[0].vm.clone());
    }
    assert_eq!(
        preferred.len(),
        readers::reader_count(members.len()),
        "idle readers"
    );
}
