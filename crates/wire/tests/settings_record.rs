//! Guards against settings records that are changed by encoding and decoding, and against errors without the offset of
//! the malformed record.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::SigningKey;
use waxwing_core::Name;
use waxwing_core::error::Code;
use waxwing_core::error::Location;
use waxwing_core::state::settings::change::Change;
use waxwing_core::state::settings::change::Subtree;
use waxwing_core::state::settings::replay::Record as CoreRecord;
use waxwing_core::state::settings::replay::SettingsState;
use waxwing_wire::platform::Record;
use waxwing_wire::settings_record;
use waxwing_wire::settings_record::SettingsRecord;

fn log_record(data: String) -> Record {
    Record {
        offset: 7,
        time_ms: 1,
        data,
    }
}

fn decode(record: &SettingsRecord) -> CoreRecord {
    let data = record.encode().expect("JSON");
    settings_record::decode(&log_record(data)).expect("a record")
}

#[test]
fn records_survive_the_way_through_the_log() {
    let key = SigningKey::from_bytes(&[1; 32]);
    let text = "[pools.chat]\nkind = \"model\" # \u{017C}\n".to_owned();
    let root = Name::from("root");
    let change = Change::sign(Subtree::Deployment, 0, text, root, &key);
    let wire = SettingsRecord::Change((&change).into());
    assert_eq!(decode(&wire), CoreRecord::Change(change.clone()));
    let mut state = SettingsState::new(vec![key.verifying_key()]);
    state.apply(0, 5, CoreRecord::Change(change));
    let snapshot = state.export().expect("a state");
    let wire = SettingsRecord::Snapshot((&snapshot).into());
    assert_eq!(decode(&wire), CoreRecord::Snapshot(snapshot));
}

#[test]
fn malformed_records_are_reported_with_their_offset() {
    let key = "\"kind\":\"change\",\"base_version\":0,\"text\":\"\",\"author\":\"a\"";
    let signature = STANDARD.encode([0; 64]);
    let bodies = [
        "no JSON".to_owned(),
        "{\"kind\":\"order\"}".to_owned(),
        format!("{{{key}}}"),
        format!("{{{key},\"signature\":\"AAAA\"}}"),
        format!("{{{key},\"signature\":\"{signature}\",\"team\":\"a b\"}}"),
    ];
    let encode = |body: &String| STANDARD.encode(body);
    let data = bodies.iter().map(encode).chain(["%".to_owned()]);
    for data in data {
        let error = settings_record::decode(&log_record(data)).expect_err("malformed");
        assert_eq!(error.code(), Code::Undecodable);
        let location = Location::Record {
            stream: "settings".to_owned(),
            offset: 7,
        };
        assert_eq!(*error.location(), location);
    }
}
