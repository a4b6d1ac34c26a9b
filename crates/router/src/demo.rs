//! A daemon, a stand-in platform and a stand-in engine in one process on loopback.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::SigningKey;
use waxwing_core::Name;
use waxwing_core::state::settings::change::Change;
use waxwing_core::state::settings::change::Subtree;
use waxwing_standin::engine;
use waxwing_standin::log as log_service;
use waxwing_wire::platform::Append;
use waxwing_wire::settings_record::STREAM;
use waxwing_wire::settings_record::SettingsRecord;

use crate::config::Config;
use crate::daemon;
use crate::transport::log_client::LogClient;

const CALLER_ADDRESS: &str = "127.0.0.1:8080";

/// API key of the demo's organisation.
const API_KEY: &str = "demo-key";

/// Subtree of the demo's team.
const TEAM: &str = r#"
[classes.draft]
pool = "chat"
tier = 1
target_ms = 1000
deadline_ms = 30000
"#;

/// Runs the demo until a planned stop.
///
/// # Errors
///
/// Fails if an address cannot be bound or a thread cannot be started.
pub fn run() -> daemon::Result<()> {
    let log_address = log_service::start("127.0.0.1:0", log_service::Config::default())?;
    let engine_address = engine::start("127.0.0.1:0", engine::Config::default())?;
    let root = SigningKey::from_bytes(&rand::random());
    let operator = SigningKey::from_bytes(&rand::random());
    publish(
        &log_address.to_string(),
        &engine_address.to_string(),
        &root,
        &operator,
    )?;
    let root_key = STANDARD.encode(root.verifying_key().as_bytes());
    let config = format!(
        r#"
[vm]
name = "demo"
data_centre = "local"
caller_address = "{CALLER_ADDRESS}"
peer_address = "127.0.0.1:8081"
operator_address = "127.0.0.1:8082"
[platform]
log_address = "{log_address}"
[operators]
root_public_keys = ["{root_key}"]
[limits]
entries_lifetime_s = 1
"#
    );
    let config = Config::parse("demo", &config).map_err(std::io::Error::other)?;
    println!("listening on {CALLER_ADDRESS}, API key {API_KEY}, class draft");
    daemon::run(config)
}

/// Appends the signed settings of the demo to the stream.
fn publish(
    log_address: &str,
    engine_address: &str,
    root: &SigningKey,
    operator: &SigningKey,
) -> std::io::Result<()> {
    let deployment = format!(
        r#"
[pools.chat]
kind = "model"
[[pools.chat.endpoints]]
name = "engine-1"
address = "{engine_address}"
data_centre = "local"
[organisations.demo]
team = "demo"
key_hashes = ["{}"]
[operators.demo]
public_key = "{}"
teams = ["demo"]
"#,
        blake3::hash(API_KEY.as_bytes()).to_hex(),
        STANDARD.encode(operator.verifying_key().as_bytes()),
    );
    let team = Subtree::Team(Name::from("demo"));
    let changes = [
        Change::sign(Subtree::Deployment, 0, deployment, Name::from("root"), root),
        Change::sign(team, 0, TEAM.to_owned(), Name::from("demo"), operator),
    ];
    let mut append = Append::default();
    for change in &changes {
        let record = SettingsRecord::Change(change.into());
        let data = record.encode().map_err(std::io::Error::other)?;
        append.records.push(data);
    }
    LogClient::new(log_address)
        .append(STREAM, &append)
        .map_err(std::io::Error::other)
}
