//! Guards against a VM that starts during a log outage and gets no settings, or replaces its settings by older ones.

#[path = "common/settings.rs"]
mod common;

use waxwing_core::state::settings::change::Change;
use waxwing_core::state::settings::replay::Record;
use waxwing_core::state::settings::replay::SettingsState;
use waxwing_core::state::settings::replay::Snapshot;
use waxwingrouter::config::Config;
use waxwingrouter::daemon;

use common::change::change_deployment;
use common::change::change_team;
use common::change::deployment_text;
use common::change::root_key;
use common::change::team_text;
use common::free_address;
use common::vm_file_text;

/// Returns the state of a peer that has read these changes.
fn peer_snapshot(changes: &[Change]) -> Snapshot {
    let mut state = SettingsState::new(vec![root_key().verifying_key()]);
    for (offset, change) in (0..).zip(changes) {
        state.apply(offset, 1, Record::Change(change.clone()));
    }
    state.export().expect("a state")
}

#[test]
fn a_vm_takes_the_newest_state_of_its_peers() {
    let text = vm_file_text("vm-i1", &free_address(), &free_address());
    let config = Config::parse("vm", &text).expect("valid");
    let shared = daemon::start(config).expect("the daemon starts");
    let handle = &shared.settings_sync;
    assert_eq!(handle.export().expect("an answer"), None);
    assert_eq!(shared.view().settings_version, 0);

    let changes = [
        change_deployment(0, deployment_text(1, false)),
        change_team("dispatch", 0, team_text("chat", 800)),
        change_team("dispatch", 2, team_text("chat", 900)),
    ];
    let (older, newer) = (peer_snapshot(&changes[..2]), peer_snapshot(&changes));
    assert!(handle.import(newer.clone()).expect("valid"));
    assert!(!handle.import(older).expect("valid"));
    let view = shared.view();
    assert_eq!(
        (
            view.settings_version,
            view.subtree_versions["teams.dispatch"]
        ),
        (3, 3)
    );
    assert_eq!(
        view.settings.teams["dispatch"].classes["booking"].target_ms,
        900
    );

    let mut forged = newer.clone();
    forged.next_offset = 9;
    let subtrees = forged.subtrees.values_mut();
    subtrees.for_each(|subtree| subtree.change.text.push('\n'));
    assert!(handle.import(forged).is_err());
    assert_eq!(handle.export().expect("an answer"), Some(newer));
}
