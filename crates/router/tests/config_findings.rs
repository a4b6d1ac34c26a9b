//! Checks of the settings file of a VM: all findings are reported together, and settings without which the VM can
//! never serve are rejected.

use waxwingrouter::config::Config;

const FAULTS: &str = r#"
[vm]
name = "vm 1"
data_centre = "almaty-1"
caller_address = "vm-1:8080"
peer_address = "127.0.0.1:8081"
operator_address = "127.0.0.1:8081"
[platform]
log_adress = "127.0.0.1:7000"
[operators]
root_public_keys = ["c2hvcnQ="]
[limits]
requests_max = 0
head_timeout_ms = "10 s"
entries_lifetime_s = -1
"#;

#[test]
fn all_faults_are_reported_together() {
    let findings = Config::parse("vm.toml", FAULTS).expect_err("findings");
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn a_vm_without_root_keys_is_rejected() {
    let text = r#"
[vm]
name = "vm-1"
data_centre = "almaty-1"
caller_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:8081"
operator_address = "127.0.0.1:8082"
[platform]
log_address = "127.0.0.1:7000"
"#;
    let findings = Config::parse("vm.toml", text).expect_err("a finding");
    assert_eq!(findings.as_slice().len(), 1, "{findings}");
    assert!(findings.to_string().contains("operators is missing"));
    let empty = format!("{text}[operators]\nroot_public_keys = []\n");
    let findings = Config::parse("vm.toml", &empty).expect_err("a finding");
    assert_eq!(findings.as_slice().len(), 1, "{findings}");
}

#[test]
fn an_unreadable_file_is_a_finding() {
    let findings = Config::read("missing/vm.toml").expect_err("a finding");
    assert!(
        findings
            .to_string()
            .starts_with("missing/vm.toml:1:1: the file cannot be read")
    );
}
