//! Guards against a published change that does not become active on every VM, and against a concurrent change that is
//! overwritten without a rejection.
//!
//! The real daemon and the stand-in log run as separate processes.

#[path = "common/settings.rs"]
mod common;

use std::thread;

use waxwing_wire::platform::Append;
use waxwing_wire::settings_api::PublishAnswer;
use waxwing_wire::settings_api::SettingsHistory;
use waxwing_wire::settings_api::SettingsTree;

use common::change::change_deployment;
use common::change::change_team;
use common::change::deployment_text;
use common::change::team_text;
use common::expect_rejection;
use common::new_session;
use common::start_log;
use common::start_vm;
use common::wait_until;

#[test]
fn a_change_is_in_force_everywhere_and_a_lost_race_is_reported() {
    let (_log, log_address) = start_log();
    let first = start_vm("vm-1", &log_address);
    let second = start_vm("vm-2", &log_address);
    let deployment = change_deployment(0, deployment_text(1, false));
    assert_eq!(
        first.publish(&deployment),
        (200, PublishAnswer::Accepted { version: 1 })
    );
    wait_until("in force on the other VM", || {
        second.subtree_version("deployment") == 1
    });
    // The same change sent again, as after a lost acknowledgement, is settled as accepted.
    assert_eq!(
        second.publish(&deployment),
        (200, PublishAnswer::Accepted { version: 1 })
    );
    assert_eq!(
        second
            .publish(&change_team("dispatch", 0, team_text("chat", 800)))
            .0,
        200
    );
    wait_until("in force on the other VM", || {
        first.subtree_version("teams.dispatch") == 2
    });

    let (left, right) = thread::scope(|scope| {
        let left =
            scope.spawn(|| first.publish(&change_team("dispatch", 2, team_text("chat", 700))));
        let right =
            scope.spawn(|| second.publish(&change_team("dispatch", 2, team_text("chat", 900))));
        (
            left.join().expect("an answer"),
            right.join().expect("an answer"),
        )
    });
    let (won_ms, lost_ms, lost) = match (left.0, right.0) {
        (200, 409) => (700, 900, right.1),
        (409, 200) => (900, 700, left.1),
        other => panic!("one change must win and one must lose, not {other:?}"),
    };
    let lost = expect_rejection(lost);
    assert_eq!(lost.reason, "stale_base");
    assert!(
        lost.difference.contains(&format!("-target_ms = {won_ms}")),
        "{lost:?}"
    );
    assert!(
        lost.difference.contains(&format!("+target_ms = {lost_ms}")),
        "{lost:?}"
    );

    let tree: SettingsTree = second.get("/settings").expect("a tree");
    let version = tree.subtrees["teams.dispatch"].origin.version;
    assert!(version > 2);
    assert!(
        tree.subtrees["teams.dispatch"]
            .text
            .contains(&format!("target_ms = {won_ms}"))
    );
    let restarted = start_vm("vm-3", &log_address);
    wait_until("the tree is replayed", || {
        restarted.subtree_version("teams.dispatch") == version
    });
}

#[test]
fn a_rejected_change_and_an_undecodable_record_change_nothing() {
    let (_log, log_address) = start_log();
    let vm = start_vm("vm-4", &log_address);
    let append = Append {
        records: vec!["bm90IGEgcmVjb3Jk".to_owned()],
    };
    let url = format!("http://{log_address}/streams/settings/records");
    let body = serde_json::to_vec(&append).expect("JSON");
    let response = new_session()
        .post(url)
        .bytes(body)
        .send()
        .expect("an answer");
    assert!(response.is_success());
    assert_eq!(
        vm.publish(&change_deployment(0, deployment_text(1, false))),
        (200, PublishAnswer::Accepted { version: 2 })
    );

    let mut forged = change_team("dispatch", 0, team_text("chat", 800));
    forged.text.push('\n');
    let (status, answer) = vm.publish(&forged);
    assert_eq!(
        (status, expect_rejection(answer).reason.as_str()),
        (403, "bad_signature")
    );
    let (status, answer) = vm.publish(&change_team("dispatch", 0, team_text("chat", 9_000)));
    let rejection = expect_rejection(answer);
    assert_eq!(
        (status, rejection.findings.len()),
        (422, 1),
        "{rejection:?}"
    );

    let tree: SettingsTree = vm.get("/settings").expect("a tree");
    assert_eq!(
        (tree.version, tree.undecodable, tree.is_complete),
        (2, 1, true)
    );
    let history: SettingsHistory = vm.get("/settings/history").expect("a history");
    assert_eq!(history.entries.len(), 1, "{history:?}");
}
