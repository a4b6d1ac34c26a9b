//! Guards against commands that report success for a rejected change or hide the reason from the operator.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Longest wait for a daemon to answer.
const DEADLINE: Duration = Duration::from_secs(60);

const TEAM: &str =
    "[classes.booking]\npool = \"chat\"\ntier = 0\ntarget_ms = 800\ndeadline_ms = 5000\n";

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Exit code and output of a command.
#[derive(Debug)]
struct Ran {
    code: Option<i32>,
    out: String,
    err: String,
}

fn ctl(words: &[&str]) -> Ran {
    ctl_with("", words)
}

fn ctl_with(input: &str, words: &[&str]) -> Ran {
    let mut child = Command::new(env!("CARGO_BIN_EXE_waxwingctl"))
        .args(words)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut stdin = child.stdin.take().expect("piped");
    // A command that reads no input may have closed it already.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let output = child.wait_with_output().expect("the command ends");
    Ran {
        code: output.status.code(),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Returns a new empty folder.
fn to_folder(name: &str) -> PathBuf {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a writable folder");
    folder
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a writable folder");
    path.to_str().expect("UTF-8").to_owned()
}

fn to_path(folder: &Path, name: &str) -> String {
    folder.join(name).to_str().expect("UTF-8").to_owned()
}

#[test]
fn every_command_has_help_and_a_wrong_one_is_told() {
    let help = ctl(&["--help"]);
    assert_eq!(help.code, Some(0));
    for command in waxwingctl::command::COMMANDS {
        assert!(help.out.contains(command.name), "{help:?}");
        let mut words: Vec<&str> = command.name.split(' ').collect();
        words.push("--help");
        let ran = ctl(&words);
        assert_eq!(ran.code, Some(0), "{ran:?}");
        assert!(
            ran.out
                .contains(&format!("Usage: waxwingctl {}", command.name)),
            "{ran:?}"
        );
        assert!(ran.out.contains("Exit codes:"), "{ran:?}");
    }
    for words in [
        &["settings", "aply"][..],
        &[],
        &["status", "--vm", "a"],
        &["drain", "--vm"],
    ] {
        assert_eq!(ctl(words).code, Some(2), "{words:?}");
    }
}

#[test]
fn check_reports_all_findings() {
    let folder = to_folder("check");
    let text = TEAM
        .replace("tier = 0", "tier = 4")
        .replace("800", "\"800\"");
    let file = write(&folder, "team.toml", &text);
    let ran = ctl(&["settings", "check", &file, "--team", "dispatch", "--json"]);
    assert_eq!(ran.code, Some(3), "{ran:?}");
    assert!(ran.err.contains(&format!("{file}:3:8: ")), "{ran:?}");
    assert!(ran.err.contains(&format!("{file}:4:13: ")), "{ran:?}");
    let json: serde_json::Value = serde_json::from_str(&ran.out).expect("JSON");
    assert_eq!(json["findings"].as_array().map(Vec::len), Some(2));
    let file = write(&folder, "valid.toml", TEAM);
    assert_eq!(
        ctl(&["settings", "check", &file, "--team", "dispatch"]).code,
        Some(0)
    );
    assert_eq!(ctl(&["settings", "check", "missing.toml"]).code, Some(1));
}

#[test]
fn keys_are_private_and_never_overwritten() {
    let folder = to_folder("keys");
    let path = to_path(&folder, "ops.key");
    let created = ctl(&["key", "new", "ops", &path]);
    assert_eq!(created.code, Some(0), "{created:?}");
    assert_eq!(created.out.trim().len(), 44, "{created:?}");
    let mode = std::fs::metadata(&path)
        .expect("a file")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(ctl(&["key", "new", "ops", &path]).code, Some(1));
    let open = std::fs::Permissions::from_mode(0o644);
    std::fs::set_permissions(&path, open).expect("the owner may");
    let file = write(&folder, "team.toml", TEAM);
    let apply = [
        "settings",
        "apply",
        &file,
        "--team",
        "t",
        "--base",
        "0",
        "--vm",
        "127.0.0.1:1",
    ];
    let ran = ctl(&[&apply[..], &["--key", &path]].concat());
    assert!(
        ran.code == Some(1) && ran.err.contains("chmod 600"),
        "{ran:?}"
    );
    let hash = ctl_with("demo-key\n", &["key", "hash"]);
    assert_eq!(hash.out.trim(), blake3::hash(b"demo-key").to_hex().as_str());
}

fn start_vm(folder: &Path, root_key: &str) -> (Process, Process, String) {
    let daemon = Path::new(env!("CARGO_BIN_EXE_waxwingctl")).with_file_name("waxwingrouter");
    let mut log = Command::new(daemon.with_file_name("standin"))
        .args(["log", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the stand-in is built by `cargo build --workspace`");
    let mut line = String::new();
    let stdout = log.stdout.take().expect("piped");
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("an address");
    let started: serde_json::Value = serde_json::from_str(&line).expect("a line of JSON");
    let log_address = started["address"].as_str().expect("an address");
    let addresses: Vec<String> = (0..3).map(|_| to_free_address()).collect();
    let text = format!(
        "[vm]\nname = \"vm-1\"\ndata_centre = \"local\"\ncaller_address = \"{}\"\npeer_address = \"{}\"\n\
         operator_address = \"{}\"\n[platform]\nlog_address = \"{}\"\n[operators]\nroot_public_keys = [\"{root_key}\"]\n",
        addresses[0], addresses[1], addresses[2], log_address
    );
    let file = write(folder, "vm.toml", &text);
    let child = Command::new(&daemon).args(["run", &file]).spawn();
    let child = child.expect("the daemon is built by `cargo build --workspace`");
    let until = Instant::now() + DEADLINE;
    while ctl(&["status", "--vms", &addresses[2]]).code != Some(0) {
        assert!(Instant::now() < until, "the daemon does not answer");
        thread::sleep(Duration::from_millis(20));
    }
    (Process(log), Process(child), addresses[2].clone())
}

fn to_free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound").to_string()
}

#[test]
fn a_subtree_goes_from_file_to_force() {
    let folder = to_folder("apply");
    let (root_file, ops_file) = (to_path(&folder, "root.key"), to_path(&folder, "ops.key"));
    let root_key = ctl(&["key", "new", "root", &root_file]).out;
    let ops_key = ctl(&["key", "new", "ops", &ops_file]).out;
    let (_log, _daemon, vm) = start_vm(&folder, root_key.trim());
    let deployment = format!(
        "[pools.chat]\nkind = \"model\"\n[operators.ops]\npublic_key = \"{}\"\nteams = [\"dispatch\"]\n",
        ops_key.trim()
    );
    let deployment = write(&folder, "deployment.toml", &deployment);
    let apply = [
        "settings",
        "apply",
        &deployment,
        "--deployment",
        "--base",
        "0",
        "--vm",
        &vm,
    ];
    let ran = ctl(&[&apply[..], &["--key", &ops_file]].concat());
    assert!(
        ran.code == Some(5) && ran.err.contains("bad_signature"),
        "{ran:?}"
    );
    let ran = ctl(&[&apply[..], &["--key", &root_file]].concat());
    assert!(
        ran.code == Some(0) && ran.out.contains("version 1"),
        "{ran:?}"
    );

    let team = write(&folder, "team.toml", TEAM);
    let about = ["--team", "dispatch", "--vm", &vm];
    let publish = |file: &str, base: &str| {
        let words = [
            "settings", "apply", file, "--base", base, "--key", &ops_file,
        ];
        ctl(&[&words[..], &about].concat())
    };
    assert_eq!(publish(&team, "0").code, Some(0));
    let other = write(&folder, "other.toml", &TEAM.replace("800", "900"));
    let lost = publish(&other, "0");
    assert_eq!(lost.code, Some(4), "{lost:?}");
    assert!(
        lost.err.contains("-target_ms = 800\n+target_ms = 900\n"),
        "{lost:?}"
    );
    assert!(lost.err.contains("in force: version 2 by ops"), "{lost:?}");
    let wrong = write(&folder, "wrong.toml", &TEAM.replace("chat", "vans"));
    let ran = publish(&wrong, "2");
    assert!(
        ran.code == Some(3) && ran.err.contains(&format!("{wrong}:2:8: ")),
        "{ran:?}"
    );
    let ran = ctl(&[&["settings", "check", &wrong][..], &about].concat());
    assert!(
        ran.code == Some(3) && ran.err.contains("use one of: chat"),
        "{ran:?}"
    );

    assert_eq!(ctl(&[&["settings", "get"][..], &about].concat()).out, TEAM);
    assert_eq!(
        ctl(&[&["settings", "diff", &team][..], &about].concat()).code,
        Some(0)
    );
    assert_eq!(
        ctl(&[&["settings", "diff", &other][..], &about].concat()).code,
        Some(7)
    );
    let history = ctl(&["settings", "history", "--vm", &vm]).out;
    assert!(
        history.lines().count() == 3 && history.contains("accepted"),
        "{history}"
    );
    let in_force = ctl(&["settings", "in-force", "--vms", &vm, "--json"]);
    let json: serde_json::Value = serde_json::from_str(&in_force.out).expect("JSON");
    assert_eq!(json[0]["versions"]["teams.dispatch"], 2);
    let absent = to_free_address();
    let ran = ctl(&["settings", "in-force", "--vms", &format!("{vm},{absent}")]);
    assert!(ran.code == Some(1) && ran.err.contains(&absent), "{ran:?}");
    assert_eq!(ctl(&["drain", "--vm", &vm]).code, Some(0));
    assert!(ctl(&["status", "--vms", &vm]).out.contains("draining"));
}
