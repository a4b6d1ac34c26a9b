//! Guards against commands that report success for a rejected change or hide the reason from the operator.

#[path = "../../router/tests/common/settings.rs"]
mod common;

use std::io::Write;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

use common::change::root_key;
use common::change::team_text;
use common::free_address;
use common::start_log;
use common::start_vm;

/// Exit code and output of a command.
#[derive(Debug)]
struct Ran {
    code: Option<i32>,
    out: String,
    err: String,
}

/// Runs a command line in a folder.
fn ctl(folder: &Path, line: &str) -> Ran {
    ctl_with(folder, line, "")
}

fn ctl_with(folder: &Path, line: &str, input: &str) -> Ran {
    let mut child = Command::new(env!("CARGO_BIN_EXE_waxwingctl"))
        .args(line.split_whitespace())
        .current_dir(folder)
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

/// Returns a new folder with these files.
fn create_folder(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let name = format!("{name}-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a writable folder");
    for (name, text) in files {
        write(&folder, name, text);
    }
    folder
}

/// Writes a file that only its owner may read.
fn write(folder: &Path, name: &str, text: &str) {
    std::fs::write(folder.join(name), text).expect("a writable folder");
    set_mode(folder, name, 0o600);
}

fn set_mode(folder: &Path, name: &str, mode: u32) {
    let permissions = std::fs::Permissions::from_mode(mode);
    std::fs::set_permissions(folder.join(name), permissions).expect("the owner may");
}

#[test]
fn every_command_has_help_and_a_wrong_one_is_told() {
    let folder = create_folder("help", &[]);
    let help = ctl(&folder, "--help");
    assert_eq!(help.code, Some(0));
    for command in waxwingctl::command::COMMANDS {
        let name = command.name;
        assert!(help.out.contains(name), "{help:?}");
        let ran = ctl(&folder, &format!("{name} --help"));
        assert_eq!(ran.code, Some(0), "{ran:?}");
        for part in [&format!("Usage: waxwingctl {name}"), "Exit codes:"] {
            assert!(ran.out.contains(part), "{ran:?}");
        }
    }
    for line in [
        "settings aply",
        "",
        "status --vm a",
        "drain --vm",
        "key new ops",
    ] {
        assert_eq!(ctl(&folder, line).code, Some(2), "{line}");
    }
}

#[test]
fn check_reports_all_findings() {
    let valid = team_text("chat", 800);
    let faults = valid
        .replace("tier = 0", "tier = 4")
        .replace("800", "\"800\"");
    let folder = create_folder("check", &[("valid.toml", &valid), ("faults.toml", &faults)]);
    let ran = ctl(&folder, "settings check faults.toml --team dispatch --json");
    assert_eq!(ran.code, Some(3), "{ran:?}");
    for place in ["faults.toml:3:8: ", "faults.toml:4:13: "] {
        assert!(ran.err.contains(place), "{ran:?}");
    }
    let json: serde_json::Value = serde_json::from_str(&ran.out).expect("JSON");
    assert_eq!(json["findings"].as_array().map(Vec::len), Some(2));
    let ran = ctl(&folder, "settings check valid.toml --team dispatch");
    assert_eq!(ran.code, Some(0), "{ran:?}");
    assert_eq!(ctl(&folder, "settings check missing.toml").code, Some(1));
}

#[test]
fn keys_are_private_and_never_overwritten() {
    let folder = create_folder("keys", &[("team.toml", "")]);
    let created = ctl(&folder, "key new ops ops.key");
    assert_eq!(
        (created.code, created.out.trim().len()),
        (Some(0), 44),
        "{created:?}"
    );
    let metadata = std::fs::metadata(folder.join("ops.key")).expect("a file");
    assert_eq!(metadata.permissions().mode() & 0o777, 0o600);
    assert_eq!(ctl(&folder, "key new ops ops.key").code, Some(1));
    set_mode(&folder, "ops.key", 0o644);
    let apply = "settings apply team.toml --team t --base 0 --vm 127.0.0.1:1 --key ops.key";
    let ran = ctl(&folder, apply);
    assert!(
        ran.code == Some(1) && ran.err.contains("chmod 600"),
        "{ran:?}"
    );
    let hash = ctl_with(&folder, "key hash", "demo-key\n");
    assert_eq!(hash.out.trim(), blake3::hash(b"demo-key").to_hex().as_str());
}

#[test]
fn a_subtree_goes_from_file_to_force() {
    let private_key = STANDARD.encode(root_key().to_bytes());
    let root = format!("operator = \"root\"\nprivate_key = \"{private_key}\"\n");
    let team = team_text("chat", 800);
    let folder = create_folder(
        "apply",
        &[
            ("root.key", &root),
            ("team.toml", &team),
            ("other.toml", &team_text("chat", 900)),
            ("wrong.toml", &team_text("vans", 800)),
        ],
    );
    let ops_key = ctl(&folder, "key new ops ops.key").out;
    let deployment = format!(
        "[pools.chat]\nkind = \"model\"\n[operators.ops]\npublic_key = \"{}\"\nteams = [\"dispatch\"]\n",
        ops_key.trim()
    );
    write(&folder, "deployment.toml", &deployment);
    let (_log, log_address) = start_log();
    let daemon = start_vm("vm-c1", &log_address);
    let vm = &daemon.operator_address;
    let run = |line: &str| ctl(&folder, &format!("settings {line} --vm {vm}"));
    let ran = run("apply deployment.toml --deployment --base 0 --key ops.key");
    assert!(
        ran.code == Some(5) && ran.err.contains("bad_signature"),
        "{ran:?}"
    );
    let ran = run("apply deployment.toml --deployment --base 0 --key root.key");
    assert!(
        ran.code == Some(0) && ran.out.contains("version 1"),
        "{ran:?}"
    );

    let run_team = |line: &str| run(&format!("{line} --team dispatch"));
    let ran = run_team("apply team.toml --base 0 --key ops.key");
    assert_eq!(ran.code, Some(0), "{ran:?}");
    let lost = run_team("apply other.toml --base 0 --key ops.key");
    assert_eq!(lost.code, Some(4), "{lost:?}");
    for part in [
        "-target_ms = 800\n+target_ms = 900\n",
        "in force: version 2 by ops",
    ] {
        assert!(lost.err.contains(part), "{lost:?}");
    }
    let ran = run_team("apply wrong.toml --base 2 --key ops.key");
    assert!(
        ran.code == Some(3) && ran.err.contains("wrong.toml:2:8: "),
        "{ran:?}"
    );
    let ran = run_team("check wrong.toml");
    assert!(
        ran.code == Some(3) && ran.err.contains("use one of: chat"),
        "{ran:?}"
    );

    assert_eq!(run_team("get").out, team);
    assert_eq!(run_team("diff team.toml").code, Some(0));
    assert_eq!(run_team("diff other.toml").code, Some(7));
    let history = run("history").out;
    assert!(
        history.lines().count() == 3 && history.contains("accepted"),
        "{history}"
    );
    let in_force = ctl(&folder, &format!("settings in-force --vms {vm} --json"));
    let json: serde_json::Value = serde_json::from_str(&in_force.out).expect("JSON");
    assert_eq!(json[0]["versions"]["teams.dispatch"], 2);
    let absent = free_address();
    let ran = ctl(&folder, &format!("settings in-force --vms {vm},{absent}"));
    assert!(ran.code == Some(1) && ran.err.contains(&absent), "{ran:?}");
    assert_eq!(ctl(&folder, &format!("drain --vm {vm}")).code, Some(0));
    let status = ctl(&folder, &format!("status --vms {vm}"));
    assert!(status.out.contains("draining"), "{status:?}");
}
