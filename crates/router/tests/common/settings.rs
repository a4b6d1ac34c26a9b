//! Daemon processes and signed changes for the tests of settings.

#![allow(dead_code, reason = "each test program uses a part of it")]

#[path = "../../../core/tests/common/settings.rs"]
pub(crate) mod change;

use std::io::BufRead;
use std::io::BufReader;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use attohttpc::ProxySettings;
use attohttpc::Session;
use serde::de::DeserializeOwned;
use waxwing_core::state::settings::change::Change;
use waxwing_wire::settings_api::PublishAnswer;
use waxwing_wire::settings_api::PublishRejection;
use waxwing_wire::settings_record::SettingsChange;

/// Maximum wait for a condition; a change is active within milliseconds on an idle machine.
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

/// Returns a command for a program of this workspace, which is in the parent of the directory of the test programs.
fn program_command(name: &str) -> Command {
    let test = std::env::current_exe().expect("a path");
    let folder = test.parent().and_then(Path::parent).expect("a folder");
    let program = folder.join(name);
    let hint = "run `cargo build --workspace` first";
    assert!(program.exists(), "{} is missing; {hint}", program.display());
    Command::new(program)
}

pub(crate) fn start_log() -> (Process, String) {
    let mut child = program_command("standin")
        .args(["log", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the stand-in starts");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("piped");
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("an address");
    let started: serde_json::Value = serde_json::from_str(&line).expect("a line of JSON");
    let address = started["address"].as_str().expect("an address");
    (Process(child), address.to_owned())
}

pub(crate) fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound").to_string()
}

/// Returns the text of a VM's settings file with free addresses.
pub(crate) fn vm_file_text(name: &str, operator_address: &str, log_address: &str) -> String {
    format!(
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
        free_address(),
        free_address(),
        change::encode_public_key(&change::root_key()),
    )
}

pub(crate) fn start_vm(name: &str, log_address: &str) -> Vm {
    let operator_address = free_address();
    let text = vm_file_text(name, &operator_address, log_address);
    let file = format!(
        "{}/{name}-{}.toml",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    std::fs::write(&file, text).expect("a writable folder");
    let child = program_command("waxwingrouter")
        .args(["run", &file])
        .spawn()
        .expect("the daemon starts");
    let vm = Vm {
        _process: Process(child),
        operator_address,
    };
    wait_until("the daemon answers", || {
        vm.get::<serde_json::Value>("/status").is_some()
    });
    vm
}

pub(crate) fn wait_until(what: &str, is_met: impl Fn() -> bool) {
    let until = Instant::now() + DEADLINE;
    while !is_met() {
        assert!(Instant::now() < until, "{what}: not within {DEADLINE:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

pub(crate) fn new_session() -> Session {
    let mut session = Session::new();
    session.proxy_settings(ProxySettings::builder().build());
    session.timeout(DEADLINE);
    session
}

impl Vm {
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        let url = format!("http://{}{path}", self.operator_address);
        serde_json::from_slice(&new_session().get(url).send().ok()?.bytes().ok()?).ok()
    }

    pub(crate) fn publish(&self, change: &Change) -> (u16, PublishAnswer) {
        let body = serde_json::to_vec(&SettingsChange::from(change)).expect("JSON");
        let url = format!("http://{}/settings", self.operator_address);
        let response = new_session()
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

    pub(crate) fn subtree_version(&self, subtree: &str) -> u64 {
        let status: Option<serde_json::Value> = self.get("/status");
        status
            .and_then(|status| status["settings"][subtree].as_u64())
            .unwrap_or(0)
    }
}

pub(crate) fn expect_rejection(answer: PublishAnswer) -> PublishRejection {
    match answer {
        PublishAnswer::Rejected(rejection) => rejection,
        other => panic!("a rejection was expected, not {other:?}"),
    }
}
