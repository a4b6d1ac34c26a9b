//! Daemon processes and signed changes that the tests of settings share.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::io::BufRead;
use std::io::BufReader;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use attohttpc::ProxySettings;
use attohttpc::Session;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::SigningKey;
use serde::de::DeserializeOwned;
use waxwing_core::Name;
use waxwing_core::state::settings::change::Change;
use waxwing_core::state::settings::change::Subtree;
use waxwing_wire::settings_api::PublishAnswer;
use waxwing_wire::settings_api::PublishRejection;
use waxwing_wire::settings_record::SettingsChange;

/// Longest wait for a condition; a change is in force within milliseconds on an idle machine.
const DEADLINE: Duration = Duration::from_secs(60);

pub(crate) struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub(crate) struct Vm {
    _process: Process,
    pub(crate) operator_address: String,
}

pub(crate) fn root_key() -> SigningKey {
    SigningKey::from_bytes(&[1; 32])
}

pub(crate) fn ops_key() -> SigningKey {
    SigningKey::from_bytes(&[2; 32])
}

pub(crate) fn start_log() -> (Process, String) {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_waxwingrouter"));
    let standin = daemon.with_file_name("standin");
    let mut child = Command::new(&standin)
        .args(["log", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap_or_else(|error| {
            panic!(
                "{}: {error}; run `cargo build --workspace` first",
                standin.display()
            )
        });
    let mut line = String::new();
    let stdout = child.stdout.take().expect("piped");
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("an address");
    let started: serde_json::Value = serde_json::from_str(&line).expect("a line of JSON");
    let address = started["address"].as_str().expect("an address");
    (Process(child), address.to_owned())
}

pub(crate) fn to_free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound").to_string()
}

pub(crate) fn start_vm(name: &str, log_address: &str) -> Vm {
    let operator_address = to_free_address();
    let text = format!(
        r#"
[vm]
name = "{name}"
data_centre = "local"
caller_address = "{}"
peer_address = "{}"
operator_address = "{operator_address}"
[platform]
log_address = "{log_address}"
[operators]
root_public_keys = ["{}"]
"#,
        to_free_address(),
        to_free_address(),
        STANDARD.encode(root_key().verifying_key().as_bytes()),
    );
    let file = format!(
        "{}/{name}-{}.toml",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    std::fs::write(&file, text).expect("a writable folder");
    let child = Command::new(env!("CARGO_BIN_EXE_waxwingrouter"))
        .args(["run", &file])
        .spawn()
        .expect("the daemon starts");
    let vm = Vm {
        _process: Process(child),
        operator_address,
    };
    await_that("the daemon answers", || {
        vm.get::<serde_json::Value>("/status").is_some()
    });
    vm
}

pub(crate) fn await_that(what: &str, is_met: impl Fn() -> bool) {
    let until = Instant::now() + DEADLINE;
    while !is_met() {
        assert!(Instant::now() < until, "{what}: not within {DEADLINE:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

pub(crate) fn to_session() -> Session {
    let mut session = Session::new();
    session.proxy_settings(ProxySettings::builder().build());
    session.timeout(DEADLINE);
    session
}

impl Vm {
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        let url = format!("http://{}{path}", self.operator_address);
        serde_json::from_slice(&to_session().get(url).send().ok()?.bytes().ok()?).ok()
    }

    pub(crate) fn publish(&self, change: &Change) -> (u16, PublishAnswer) {
        let body = serde_json::to_vec(&SettingsChange::from(change)).expect("JSON");
        let url = format!("http://{}/settings", self.operator_address);
        let response = to_session()
            .post(url)
            .bytes(body)
            .send()
            .expect("an answer");
        let status = response.status().as_u16();
        (
            status,
            serde_json::from_slice(&response.bytes().expect("a body")).expect("JSON"),
        )
    }

    pub(crate) fn to_version(&self, subtree: &str) -> u64 {
        let status: Option<serde_json::Value> = self.get("/status");
        status
            .and_then(|status| status["settings"][subtree].as_u64())
            .unwrap_or(0)
    }
}

pub(crate) fn change_deployment(base_version: u64) -> Change {
    let text = format!(
        "[pools.chat]\nkind = \"model\"\n[operators.ops]\npublic_key = \"{}\"\nteams = [\"dispatch\"]\n",
        STANDARD.encode(ops_key().verifying_key().as_bytes())
    );
    Change::sign(
        Subtree::Deployment,
        base_version,
        text,
        Name::from("root"),
        &root_key(),
    )
}

pub(crate) fn change_team(base_version: u64, target_ms: u64) -> Change {
    let text = format!(
        "[classes.booking]\npool = \"chat\"\ntier = 0\ntarget_ms = {target_ms}\ndeadline_ms = 5000\n"
    );
    let subtree = Subtree::Team(Name::from("dispatch"));
    Change::sign(subtree, base_version, text, Name::from("ops"), &ops_key())
}

pub(crate) fn to_rejection(answer: PublishAnswer) -> PublishRejection {
    match answer {
        PublishAnswer::Rejected(rejection) => rejection,
        other => panic!("a rejection was expected, not {other:?}"),
    }
}
