//! Publishes settings on the log service.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::SigningKey;
use toml::Table;
use waxwing_core::Name;
use waxwing_core::state::settings::change::Change;
use waxwing_core::state::settings::change::Subtree;
use waxwing_core::state::settings::replay::SettingsState;
use waxwing_wire::platform::Append;
use waxwing_wire::platform::Page;
use waxwing_wire::settings_record;
use waxwing_wire::settings_record::STREAM;
use waxwing_wire::settings_record::SettingsRecord;

use crate::control;

/// Seed of the key that signs all settings in tests.
const KEY_SEED: [u8; 32] = [7; 32];

/// Operator that publishes the settings.
const OPERATOR: &str = "harness";

/// Returns the public key that daemons of a test accept for the deployment subtree, in base64.
pub fn root_public_key() -> String {
    STANDARD.encode(signing_key().verifying_key().as_bytes())
}

/// Publishes the text of a settings tree on the log service and returns whether the log accepted it.
///
/// The parts below `teams` are published as one change for each team.
///
/// # Panics
///
/// Panics if the text is not TOML or the log service does not answer a read.
pub fn publish_settings(log_address: &str, text: &str) -> bool {
    let mut deployment: Table = toml::from_str(text).expect("the settings are TOML");
    let teams = match deployment.remove("teams") {
        Some(toml::Value::Table(teams)) => teams,
        _ => Table::new(),
    };
    let operator = toml::toml! {
        public_key = (root_public_key())
        teams = (teams.keys().cloned().collect::<Vec<_>>())
    };
    let operators = deployment
        .entry("operators")
        .or_insert_with(|| Table::new().into());
    let operators = operators.as_table_mut().expect("operators are a table");
    operators.insert(OPERATOR.to_owned(), operator.into());
    let state = read_state(log_address);
    let mut append = Append::default();
    append
        .records
        .push(change_record(&state, Subtree::Deployment, &deployment));
    for (team, content) in teams {
        let content = content.as_table().expect("a team is a table");
        let subtree = Subtree::Team(Name::from(team));
        append.records.push(change_record(&state, subtree, content));
    }
    send(log_address, STREAM, &append)
}

/// Appends one record with arbitrary content, for example one that does not decode.
pub fn append(log_address: &str, stream: &str, content: &[u8]) -> bool {
    let append = Append {
        records: vec![STANDARD.encode(content)],
    };
    send(log_address, stream, &append)
}

fn send(log_address: &str, stream: &str, append: &Append) -> bool {
    let url = format!("http://{log_address}/streams/{stream}/records");
    let body = serde_json::to_vec(append).unwrap_or_default();
    let sent = control::new_session().post(url).bytes(body).send();
    sent.is_ok_and(|response| response.is_success())
}

fn signing_key() -> SigningKey {
    SigningKey::from_bytes(&KEY_SEED)
}

fn change_record(state: &SettingsState, subtree: Subtree, content: &Table) -> String {
    let text = toml::to_string(content).expect("a table is written as TOML");
    let base_version = state.subtree_version(&subtree);
    let change = Change::sign(
        subtree,
        base_version,
        text,
        Name::from(OPERATOR),
        &signing_key(),
    );
    let record = SettingsRecord::Change((&change).into());
    record.encode().expect("a record is written as JSON")
}

/// Replays the stream to find the subtree versions that new changes are based on.
fn read_state(log_address: &str) -> SettingsState {
    let url = format!("http://{log_address}/streams/{STREAM}/records?from=0&max=1000&wait_ms=0");
    let page: Page = control::get(&url).expect("the log service answers");
    let mut state = SettingsState::new(vec![signing_key().verifying_key()]);
    for record in &page.records {
        if let Ok(decoded) = settings_record::decode(record) {
            state.apply(record.offset, record.time_ms, decoded);
        }
    }
    state
}
