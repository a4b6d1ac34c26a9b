//! Guards against a check that stops at the first error, misses one, or reports it without location and remedy.

use proptest::prelude::*;
use waxwing_core::finding::Findings;
use waxwing_core::state::settings::Settings;
use waxwing_core::state::settings::check;

const TEN_FAULTS: &str = r#"
[pools.chat]
kind = "model"
reserved_slot = 1
[[pools.chat.endpoints]]
name = "engine-1"
address = "engine-1.internal:9001"
data_centre = "almaty-1"
slots_max = "eight"
[[pools.chat.endpoints]]
name = "engine-1"
address = "127.0.0.1:9002"
data_centre = "almaty-1"
[organisations.qaghaz]
team = "dispatch"
key_hashes = ["D41D8CD9"]
[operators.ops]
public_key = "c2hvcnQ="
[claims]
group_commit_ms =
[teams.dispatch.classes.booking]
pool = "vans"
tier = 9
target_ms = 800
deadline_ms = 5000
idempotent = false
delivery = "job"
"#;

const DEPLOYMENT: &str = r#"
[pools.chat]
kind = "model"
[[pools.chat.endpoints]]
name = "engine-1"
address = "127.0.0.1:9001"
data_centre = "almaty-1"
"#;

const CLASS: &str = r#"
[classes.booking]
pool = "chat"
tier = 0
target_ms = 800
deadline_ms = 5000
"#;

fn finding_messages(findings: &Findings) -> Vec<&str> {
    let found = findings.as_slice().iter();
    found.map(|finding| finding.message.as_str()).collect()
}

fn class_findings(lines: &str) -> Findings {
    let deployment = check::check_deployment("deployment", DEPLOYMENT).expect("valid");
    let text = format!("{CLASS}{lines}");
    check::check_team("teams.dispatch", &text, &deployment).expect_err("a finding")
}

#[test]
fn ten_faults_give_ten_findings() {
    let findings = check::check_tree("tree.toml", TEN_FAULTS).expect_err("findings");
    assert_eq!(findings.as_slice().len(), 10, "{findings}");
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn repeating_settings_need_an_idempotent_class() {
    for line in ["delivery = \"job\"", "preemptible = true", "hedge = true"] {
        let findings = class_findings(&format!("idempotent = false\n{line}\n"));
        let messages = finding_messages(&findings);
        assert_eq!(messages.len(), 1, "{findings}");
        assert!(
            messages[0].contains("may run a request twice"),
            "{findings}"
        );
    }
}

#[test]
fn memory_grants_need_fencing_endpoints() {
    let findings = class_findings("on_log_outage = \"from_memory\"\n");
    assert_eq!(findings.as_slice().len(), 1, "{findings}");
    assert!(finding_messages(&findings)[0].contains("does not check fencing tokens"));
    let fenced = format!("{DEPLOYMENT}checks_fencing = true\n");
    let deployment = check::check_deployment("deployment", &fenced).expect("valid");
    let text = format!("{CLASS}on_log_outage = \"from_memory\"\n");
    check::check_team("teams.dispatch", &text, &deployment).expect("valid");
}

#[test]
fn reserve_leaves_slots_for_other_tiers() {
    let text = DEPLOYMENT.replace("kind", "reserved_slots = 8\nkind");
    let findings = check::check_deployment("deployment", &text).expect_err("a finding");
    assert!(finding_messages(&findings)[0].contains("leaves none of the 8 slots"));
}

#[test]
fn each_syntax_error_is_reported_once() {
    let text = "[pools.chat]\nkind =\n[pools.dispatch]\nkind = service\n";
    let findings = check::check_deployment("deployment", text).expect_err("findings");
    let lines: Vec<usize> = findings.as_slice().iter().map(|found| found.line).collect();
    assert_eq!(lines, [2, 4], "{findings}");
}

#[test]
fn check_and_serde_agree_on_defaults() {
    let text = format!(
        "{DEPLOYMENT}{}",
        CLASS.replace("[classes", "[teams.dispatch.classes")
    );
    let checked = check::check_tree("tree.toml", &text).expect("valid");
    let parsed: Settings = toml::from_str(&text).expect("valid");
    assert_eq!(checked, parsed);
}

#[test]
fn empty_values_are_findings() {
    let text = "[pools.P]\nkind = \"\"\n[operators.ops]\npublic_key = \"\"\n[organisations.O]\nteam = \"\"\n";
    let findings = check::check_deployment("deployment", text).expect_err("findings");
    let lines: Vec<usize> = findings.as_slice().iter().map(|found| found.line).collect();
    assert_eq!(lines, [2, 4, 6], "{findings}");
}

#[test]
fn deep_nesting_is_a_finding() {
    let depth = 100_000;
    for text in [
        format!("a = {}", "[".repeat(depth)),
        format!("a = {}", "{a=".repeat(depth)),
        format!("{}a = 1", "a.".repeat(depth)),
        format!("[{}a]", "a.".repeat(depth)),
    ] {
        let findings = check::check_tree("tree", &text).expect_err("a finding");
        assert!(!findings.as_slice().is_empty());
    }
}

proptest! {
    /// Damaged texts must give findings with a location inside the text and never a panic.
    #[test]
    fn damaged_texts_do_not_panic(
        at in 0..TEN_FAULTS.len(),
        removed in 0..20usize,
        inserted in "[\\[\\]{}=\"\n.a0\u{17C}-]{0,8}",
    ) {
        let end = (at + removed).min(TEN_FAULTS.len());
        let text = format!("{}{inserted}{}", &TEN_FAULTS[..at], &TEN_FAULTS[end..]);
        let findings = check::check_tree("tree", &text).expect_err("findings");
        let lines = text.matches('\n').count() + 1;
        for finding in findings.as_slice() {
            prop_assert!((1..=lines).contains(&finding.line) && finding.column >= 1);
        }
    }
}
