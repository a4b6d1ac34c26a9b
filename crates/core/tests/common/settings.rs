//! Keys and texts shared by the settings tests.

#![allow(dead_code, reason = "each test program uses a part of it")]

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::SigningKey;
use waxwing_core::Name;
use waxwing_core::state::settings::change::Change;
use waxwing_core::state::settings::change::Subtree;
use waxwing_core::state::settings::replay::Event;
use waxwing_core::state::settings::replay::Record;
use waxwing_core::state::settings::replay::Rejection;
use waxwing_core::state::settings::replay::SettingsState;

/// Key of the root operator.
pub(crate) fn root_key() -> SigningKey {
    SigningKey::from_bytes(&[1; 32])
}

/// Key of `ops`, who may change the teams `dispatch` and `night`.
pub(crate) fn ops_key() -> SigningKey {
    SigningKey::from_bytes(&[2; 32])
}

/// Key of `lab`, who may change the team `lab` only.
pub(crate) fn lab_key() -> SigningKey {
    SigningKey::from_bytes(&[3; 32])
}

/// Encodes the public key in base64, as in the settings.
pub(crate) fn encode_public_key(key: &SigningKey) -> String {
    STANDARD.encode(key.verifying_key().as_bytes())
}

/// Returns a deployment with the pool `chat` and optionally the pool `spare`.
pub(crate) fn deployment_text(reserved_slots: u32, has_spare: bool) -> String {
    let spare = if has_spare {
        "[pools.spare]\nkind = \"model\"\n"
    } else {
        ""
    };
    format!(
        r#"
[pools.chat]
kind = "model"
reserved_slots = {reserved_slots}
[[pools.chat.endpoints]]
name = "engine-1"
address = "127.0.0.1:9001"
data_centre = "almaty-1"
slots_max = 100
{spare}
[operators.ops]
public_key = "{}"
teams = ["dispatch", "night"]
[operators.lab]
public_key = "{}"
teams = ["lab"]
"#,
        encode_public_key(&ops_key()),
        encode_public_key(&lab_key()),
    )
}

/// Returns a team subtree with one class.
pub(crate) fn team_text(pool: &str, target_ms: u64) -> String {
    format!(
        "[classes.booking]\npool = \"{pool}\"\ntier = 0\ntarget_ms = {target_ms}\ndeadline_ms = 5000\n"
    )
}

/// Returns a change of the deployment subtree signed with the root key.
pub(crate) fn change_deployment(base_version: u64, text: String) -> Change {
    let author = Name::from("root");
    Change::sign(Subtree::Deployment, base_version, text, author, &root_key())
}

/// Returns a change of a team's subtree by `ops`.
pub(crate) fn change_team(team: &str, base_version: u64, text: String) -> Change {
    let subtree = Subtree::Team(Name::from(team));
    Change::sign(subtree, base_version, text, Name::from("ops"), &ops_key())
}

/// Returns the state before the first record.
pub(crate) fn initial_state() -> SettingsState {
    SettingsState::new(vec![root_key().verifying_key()])
}

/// Applies a change as the next record and returns its rejection, if any.
pub(crate) fn apply(state: &mut SettingsState, change: Change) -> Option<Rejection> {
    let offset = state.read_offset();
    let events = state.apply(offset, offset * 1_000, Record::Change(change));
    match events.as_slice() {
        [Event::Decided(entry)] => entry.rejection.clone(),
        other => panic!("one decision was expected, not {other:?}"),
    }
}
