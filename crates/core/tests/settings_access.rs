//! Guards against accepting a change that its author is not allowed to make, or that makes the tree invalid.

#[path = "common/settings.rs"]
mod common;

use waxwing_core::Name;
use waxwing_core::state::settings::change::Change;
use waxwing_core::state::settings::change::Subtree;
use waxwing_core::state::settings::replay::Rejection;
use waxwing_core::state::settings::replay::SettingsState;

use common::apply;
use common::change_deployment;
use common::change_team;
use common::deployment_text;
use common::initial_state;
use common::lab_key;
use common::ops_key;
use common::team_text;

fn started_state() -> SettingsState {
    let mut state = initial_state();
    assert_eq!(
        apply(&mut state, change_deployment(0, deployment_text(1, true))),
        None
    );
    assert_eq!(
        apply(
            &mut state,
            change_team("dispatch", 0, team_text("spare", 800))
        ),
        None
    );
    state
}

fn sign_team(team: &str, author: &str, key: &ed25519_dalek::SigningKey) -> Change {
    let subtree = Subtree::Team(Name::from(team));
    let base_version = if team == "dispatch" { 2 } else { 0 };
    let text = team_text("chat", 900);
    Change::sign(subtree, base_version, text, Name::from(author), key)
}

#[test]
fn only_a_root_key_changes_the_deployment() {
    let mut state = started_state();
    let text = deployment_text(2, true);
    let change = Change::sign(Subtree::Deployment, 1, text, Name::from("ops"), &ops_key());
    assert_eq!(apply(&mut state, change), Some(Rejection::BadSignature));
    assert_eq!(state.version(), 2);
}

#[test]
fn only_operators_of_the_team_change_it() {
    let mut state = started_state();
    let other_team = sign_team("dispatch", "lab", &lab_key());
    assert_eq!(apply(&mut state, other_team), Some(Rejection::NotAllowed));
    let other_key = sign_team("dispatch", "ops", &lab_key());
    assert_eq!(apply(&mut state, other_key), Some(Rejection::BadSignature));
    let root = sign_team("dispatch", "root", &common::root_key());
    assert_eq!(apply(&mut state, root), Some(Rejection::UnknownOperator));
    assert_eq!(apply(&mut state, sign_team("lab", "lab", &lab_key())), None);
    assert_eq!(
        apply(&mut state, sign_team("dispatch", "ops", &ops_key())),
        None
    );
}

#[test]
fn a_signature_covers_every_field() {
    let signed = sign_team("dispatch", "ops", &ops_key());
    let mut altered = [signed.clone(), signed.clone(), signed.clone()];
    altered[0].subtree = Subtree::Team(Name::from("night"));
    altered[0].base_version = 0;
    altered[1].base_version = 3;
    altered[2].text = team_text("chat", 1);
    for change in altered {
        let mut state = started_state();
        assert_eq!(apply(&mut state, change), Some(Rejection::BadSignature));
    }
    let mut state = started_state();
    assert_eq!(apply(&mut state, signed), None);
}

#[test]
fn a_pool_in_use_cannot_be_removed() {
    let mut state = started_state();
    let rejection = apply(&mut state, change_deployment(1, deployment_text(1, false)));
    let Some(Rejection::Invalid(findings)) = rejection else {
        panic!("findings were expected, not {rejection:?}");
    };
    assert!(
        findings.to_string().starts_with("teams.dispatch:2:8:"),
        "{findings}"
    );
    assert!(state.settings().pools.contains_key("spare"));
    assert_eq!(
        apply(
            &mut state,
            change_team("dispatch", 2, team_text("chat", 800))
        ),
        None
    );
    assert_eq!(
        apply(&mut state, change_deployment(1, deployment_text(1, false))),
        None
    );
}

#[test]
fn an_invalid_text_changes_nothing() {
    let mut state = started_state();
    let before = state.settings().clone();
    let rejection = apply(
        &mut state,
        change_team("dispatch", 2, team_text("vans", 800)),
    );
    assert!(
        matches!(rejection, Some(Rejection::Invalid(_))),
        "{rejection:?}"
    );
    assert_eq!(*state.settings(), before);
}
