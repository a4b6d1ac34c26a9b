//! Guards against readers that reach different trees or revert to an older version after they missed records.

#[path = "common/settings.rs"]
mod common;

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::*;
use waxwing_core::Name;
use waxwing_core::state::settings::change::Subtree;
use waxwing_core::state::settings::replay::Event;
use waxwing_core::state::settings::replay::Record;
use waxwing_core::state::settings::replay::SettingsState;
use waxwing_core::state::settings::replay::Snapshot;
use waxwing_core::state::settings::replay::SnapshotError;
use waxwing_core::state::settings::replay::is_snapshot_due;

use common::apply;
use common::change_deployment;
use common::change_team;
use common::deployment_text;
use common::initial_state;
use common::team_text;

/// An append to the stream by an operator or a VM.
#[derive(Clone, Debug)]
enum Write {
    /// Number of versions by which the base is stale, reserved slots, and whether the pool `spare` exists.
    Deployment(u64, u32, bool),
    /// Team, number of versions by which the base is stale, pool and target.
    Team(&'static str, u64, &'static str, u64),
    /// A repeated append of an earlier record, counted back from the last.
    Repeat(usize),
    Undecodable,
    /// A stale snapshot, taken the given number of records ago, as from a VM that was paused before its append.
    Snapshot(usize),
}

/// A fault of a reader between two records.
#[derive(Clone, Debug)]
enum Fault {
    None,
    /// The reader skips a turn and falls behind.
    Pause,
    /// The reader restarts; the log retains the given number of records.
    Restart(usize),
    /// The log drops the given number of records before the reader reads them.
    Miss(usize),
    Import,
}

fn any_write() -> impl Strategy<Value = Write> {
    let pool = prop_oneof![Just("chat"), Just("spare"), Just("vans")];
    let team = prop_oneof![Just("dispatch"), Just("night"), Just("lab")];
    prop_oneof![
        2 => (0..2u64, 0..3u32, any::<bool>())
            .prop_map(|(lag, reserved, has_spare)| Write::Deployment(lag, reserved, has_spare)),
        4 => (team, 0..2u64, pool, 1..4u64)
            .prop_map(|(team, lag, pool, target_ms)| Write::Team(team, lag, pool, target_ms)),
        1 => (0..4usize).prop_map(Write::Repeat),
        1 => Just(Write::Undecodable),
        2 => (0..4usize).prop_map(Write::Snapshot),
    ]
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        2 => Just(Fault::Pause),
        1 => (0..8usize).prop_map(Fault::Restart),
        1 => (1..4usize).prop_map(Fault::Miss),
        1 => Just(Fault::Import),
    ]
}

/// Returns the stream, and the state of a reader without faults before the first and after each record.
fn record_stream(writes: &[Write]) -> (Vec<Record>, Vec<SettingsState>) {
    let mut records: Vec<Record> = Vec::new();
    let mut states = vec![initial_state()];
    let last = [Write::Snapshot(0)];
    for write in writes.iter().chain(&last) {
        let state = states.last().expect("not empty").clone();
        let record = next_record(write, &records, &states);
        let Some(record) = record else {
            continue;
        };
        let mut next = state;
        next.apply(records.len() as u64, 1, record.clone());
        records.push(record);
        states.push(next);
    }
    (records, states)
}

fn next_record(write: &Write, records: &[Record], states: &[SettingsState]) -> Option<Record> {
    let state = states.last()?;
    match write {
        Write::Deployment(lag, reserved, has_spare) => {
            let base_version = state
                .subtree_version(&Subtree::Deployment)
                .saturating_sub(*lag);
            let text = deployment_text(*reserved, *has_spare);
            Some(Record::Change(change_deployment(base_version, text)))
        }
        Write::Team(team, lag, pool, target_ms) => {
            let subtree = Subtree::Team((*team).into());
            let base_version = state.subtree_version(&subtree).saturating_sub(*lag);
            let text = team_text(pool, *target_ms);
            Some(Record::Change(change_team(team, base_version, text)))
        }
        Write::Repeat(back) => records.iter().rev().nth(*back).cloned(),
        Write::Undecodable => Some(Record::Undecodable),
        Write::Snapshot(lag) => {
            let then = states.len().saturating_sub(1 + lag);
            states[then].export().map(Record::Snapshot)
        }
    }
}

fn subtree_versions(state: &SettingsState) -> BTreeMap<Subtree, u64> {
    let subtrees = state.subtrees().iter();
    subtrees
        .map(|(subtree, in_force)| (subtree.clone(), in_force.version))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn every_reader_reaches_the_same_tree(
        writes in vec(any_write(), 1..30),
        faults in vec(any_fault(), 31),
    ) {
        let (records, states) = record_stream(&writes);
        let mut reader = initial_state();
        let mut versions = BTreeMap::new();
        for (offset, fault) in (0..records.len()).zip(&faults) {
            match fault {
                Fault::None => (),
                Fault::Pause if offset + 1 < records.len() => continue,
                Fault::Pause => (),
                Fault::Restart(kept) => {
                    reader = initial_state();
                    versions = BTreeMap::new();
                    reader.skip_to(offset.saturating_sub(*kept) as u64);
                }
                Fault::Miss(count) => {
                    let first = reader.read_offset() + *count as u64;
                    reader.skip_to(first.min(offset as u64));
                }
                Fault::Import => {
                    if let Some(snapshot) = states[offset].export() {
                        prop_assert!(reader.import(snapshot).is_ok());
                    }
                }
            }
            // Reads all outstanding records, and the last record before them once more.
            let from = reader.read_offset().saturating_sub(1) as usize;
            for (again, record) in records.iter().enumerate().take(offset + 1).skip(from) {
                reader.apply(again as u64, 1, record.clone());
                let now = subtree_versions(&reader);
                for (subtree, version) in &versions {
                    prop_assert!(now.get(subtree) >= Some(version), "{subtree} reverted to an older version");
                }
                versions = now;
            }
            if reader.is_complete() {
                let expected = &states[reader.position() as usize];
                prop_assert_eq!(reader.subtrees(), expected.subtrees());
                prop_assert_eq!(reader.settings(), expected.settings());
            }
        }
        // The stream ends with a fresh snapshot, which closes every gap.
        let last = states.last().expect("not empty");
        prop_assert_eq!(reader.read_offset(), records.len() as u64);
        if last.version() > 0 {
            prop_assert!(reader.is_complete());
            prop_assert_eq!(reader.subtrees(), last.subtrees());
        }
    }
}

/// Returns a state after a deployment change and `changes` team changes, and its records.
fn build_history(changes: u64) -> (SettingsState, Vec<Record>) {
    let mut state = initial_state();
    let mut records = vec![Record::Change(change_deployment(
        0,
        deployment_text(1, false),
    ))];
    for number in 0..changes {
        let base_version = if number == 0 { 0 } else { number + 1 };
        let text = team_text("chat", 100 + number);
        records.push(Record::Change(change_team("dispatch", base_version, text)));
    }
    for (offset, record) in records.iter().enumerate() {
        state.apply(offset as u64, 1, record.clone());
    }
    (state, records)
}

#[test]
fn a_snapshot_with_missed_records_behind_it_is_not_used() {
    let (state, _) = build_history(2);
    let old = state.export().expect("a state");
    let mut reader = initial_state();
    // The log no longer retains offsets 3 and 4, which the snapshot does not reflect.
    reader.skip_to(5);
    assert!(reader.apply(5, 1, Record::Snapshot(old)).is_empty());
    assert_eq!((reader.version(), reader.is_complete()), (0, false));
    let fresh = Snapshot {
        next_offset: 5,
        ..state.export().expect("a state")
    };
    assert_eq!(
        reader.apply(6, 1, Record::Snapshot(fresh)),
        [Event::Installed { offset: 6 }]
    );
    assert_eq!(
        (reader.version(), reader.is_complete()),
        (state.version(), true)
    );
}

#[test]
fn an_older_or_forged_state_is_not_imported() {
    let (old, _) = build_history(1);
    let (mut new, _) = build_history(3);
    let old = old.export().expect("a state");
    assert_eq!(new.import(old.clone()), Ok(false));
    let later = Snapshot {
        next_offset: 9,
        ..old.clone()
    };
    assert!(matches!(
        new.import(later),
        Err(SnapshotError::Older { .. })
    ));
    assert_eq!(new.version(), 4);
    let mut forged = old;
    let deployment = forged
        .subtrees
        .get_mut(&Subtree::Deployment)
        .expect("present");
    deployment.change.text = deployment_text(2, false);
    assert_eq!(
        initial_state().import(forged),
        Err(SnapshotError::BadSignature)
    );
}

#[test]
fn a_differing_snapshot_is_reported_and_changes_nothing() {
    let (mut state, _) = build_history(2);
    let before = state.subtrees().clone();
    let mut snapshot = state.export().expect("a state");
    snapshot.subtrees.remove(&Subtree::Team("dispatch".into()));
    let events = state.apply(3, 1, Record::Snapshot(snapshot));
    assert!(
        matches!(
            events.as_slice(),
            [Event::SnapshotRejected { offset: 3, .. }]
        ),
        "{events:?}"
    );
    assert_eq!(*state.subtrees(), before);
}

#[test]
fn rejections_keep_their_reason_within_a_bounded_history() {
    let (mut state, _) = build_history(1);
    for _ in 0..300 {
        let rejection = apply(&mut state, change_team("dispatch", 0, team_text("chat", 1)));
        assert!(rejection.is_some());
    }
    let entries: Vec<_> = state.history().collect();
    assert_eq!(entries.len(), 200);
    let reason = entries[199]
        .rejection
        .as_ref()
        .map(|rejection| rejection.as_str());
    assert_eq!(reason, Some("stale_base"));
}

#[test]
fn one_vm_replaces_a_snapshot_older_than_a_quarter_of_the_retention() {
    let members = ["vm-1", "vm-2", "vm-3", "vm-4"].map(Name::from);
    let due = |members: &[Name], age_ms, retention_ms| -> Vec<Name> {
        let is_due = |vm: &&Name| is_snapshot_due(vm, members, age_ms, retention_ms);
        members.iter().filter(is_due).cloned().collect()
    };
    let first = due(&members, 251, 1_000);
    assert_eq!(first.len(), 1, "{first:?}");
    assert!(due(&members, 250, 1_000).is_empty());
    assert!(due(&members, 251, 0).is_empty());
    let left: Vec<Name> = members.into_iter().filter(|vm| *vm != first[0]).collect();
    assert_eq!(due(&left, 251, 1_000).len(), 1);
}
