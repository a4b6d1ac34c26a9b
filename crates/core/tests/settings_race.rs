//! Guards against accepting both of two concurrent changes, and against applying a repeated append twice.

#[path = "common/settings.rs"]
mod common;

use waxwing_core::state::settings::change::Subtree;
use waxwing_core::state::settings::replay::Rejection;

use common::apply;
use common::change_deployment;
use common::change_team;
use common::deployment_text;
use common::initial_state;
use common::team_text;

#[test]
fn the_first_of_two_concurrent_changes_wins() {
    let mut state = initial_state();
    assert_eq!(
        apply(&mut state, change_deployment(0, deployment_text(1, false))),
        None
    );
    let first = change_team("dispatch", 0, team_text("chat", 700));
    let second = change_team("dispatch", 0, team_text("chat", 900));
    assert_eq!(apply(&mut state, first), None);
    assert_eq!(
        apply(&mut state, second),
        Some(Rejection::StaleBase { in_force: 2 })
    );
    let class = &state.settings().teams["dispatch"].classes["booking"];
    assert_eq!(class.target_ms, 700);
}

#[test]
fn changes_of_different_teams_do_not_compete() {
    let mut state = initial_state();
    assert_eq!(
        apply(&mut state, change_deployment(0, deployment_text(1, false))),
        None
    );
    assert_eq!(
        apply(
            &mut state,
            change_team("dispatch", 0, team_text("chat", 700))
        ),
        None
    );
    assert_eq!(
        apply(&mut state, change_team("night", 0, team_text("chat", 900))),
        None
    );
    assert_eq!(state.settings().teams.len(), 2);
}

#[test]
fn a_repeated_append_is_settled_as_accepted_once() {
    let mut state = initial_state();
    let deployment = change_deployment(0, deployment_text(1, false));
    assert_eq!(apply(&mut state, deployment.clone()), None);
    let repeated = apply(&mut state, deployment.clone());
    assert_eq!(repeated, Some(Rejection::StaleBase { in_force: 1 }));
    assert_eq!(state.find_accepted(&deployment.digest()), Some(1));
    assert_eq!(state.subtree_version(&Subtree::Deployment), 1);
}

#[test]
fn a_base_from_the_future_is_rejected() {
    let mut state = initial_state();
    let change = change_deployment(7, deployment_text(1, false));
    assert_eq!(
        apply(&mut state, change),
        Some(Rejection::UnknownBase { in_force: 0 })
    );
}
