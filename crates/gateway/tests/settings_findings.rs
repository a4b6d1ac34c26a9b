//! Checks of the gateway's settings: a valid file is accepted, and all findings are reported together.

use waxwing_gateway::Settings;

const GOOD: &str = r#"
[vm]
name = "vm-1"
data_centre = "a"
[listen]
front = "127.0.0.1:8000"
readiness = "127.0.0.1:8001"
directory = "127.0.0.1:8001"
peers = "127.0.0.1:8002"
metrics = "127.0.0.1:8003"
[limits]
memory_mb = 165
descriptors = 6150
[repeats]
ratio = 0.2
slack = 56.0
window_s = 10
[stop]
grace_s = 8
[directory]
ttl_max_s = 5
[log_service]
address = "127.0.0.1:8004"
drain_max_ms = 2000
change_max_ms = 2000
"#;

/// Sections with defaults may be left out.
#[test]
fn good_settings() {
    let settings = Settings::parse("file", GOOD).unwrap();
    assert_eq!(settings.log.level, "info");
}

/// All findings must be reported at once, not only the first.
#[test]
fn all_findings() {
    let text = GOOD
        .replace("memory_mb = 165", "memory_mb = 1")
        .replace("window_s = 10", "window_s = 0")
        .replace("drain_max_ms = 2000", "drain_max_ms = 1");
    let text = format!("{text}[log]\nlevel = \"loud\"\n[placement]\nreread_factor = 0.0\n");
    let error = Settings::parse("file", &text).unwrap_err().to_string();
    let parts = [
        "file",
        "limits.memory_mb",
        "repeats.window_s",
        "drain_max_ms",
        "loud",
        "reread_factor",
    ];
    for part in parts {
        assert!(error.contains(part), "{part} is not in: {error}");
    }
}

/// The error for a value of the wrong type must name the key and its line.
#[test]
fn wrong_type() {
    let text = GOOD.replace("grace_s = 8", "grace_s = \"long\"");
    let error = Settings::parse("file", &text).unwrap_err().to_string();
    let line = text
        .lines()
        .position(|line| line.starts_with("grace_s"))
        .unwrap()
        + 1;
    assert!(error.contains(&format!("line {line},")), "{error}");
    assert!(error.contains("grace_s"), "{error}");
}

/// The error for a missing field must name it.
#[test]
fn missing_field() {
    let text = GOOD.replace("ratio = 0.2\n", "");
    let error = Settings::parse("file", &text).unwrap_err().to_string();
    assert!(error.contains("ratio"), "{error}");
}
