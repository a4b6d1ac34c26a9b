//! Guards against a settings reference with invalid examples or missing settings.

use std::collections::BTreeMap;

use waxwing_core::state::settings::check;
use waxwingrouter::config::Config;

const REFERENCE: &str = include_str!("../../../docs/settings.md");

/// Returns the text of each example, keyed by the name in its `# file: NAME` line.
fn read_examples() -> BTreeMap<&'static str, &'static str> {
    let mut examples = BTreeMap::new();
    for block in REFERENCE.split("```toml\n# file: ").skip(1) {
        let (name, rest) = block.split_once('\n').expect("a name");
        let (text, _) = rest.split_once("```").expect("an end");
        examples.insert(name, text);
    }
    examples
}

#[test]
fn the_examples_have_no_findings() {
    let examples = read_examples();
    let config = Config::parse("vm", examples["vm"]);
    config.unwrap_or_else(|findings| panic!("{findings}"));
    let deployment = check::check_deployment("deployment", examples["deployment"]);
    let deployment = deployment.unwrap_or_else(|findings| panic!("{findings}"));
    let team = check::check_team("team", examples["team"], &deployment);
    team.unwrap_or_else(|findings| panic!("{findings}"));
}

#[test]
fn the_reference_names_every_known_key() {
    // The remedy for an unknown key lists the keys of its table.
    let class = "pool = \"p\"\ntier = 0\ntarget_ms = 1\ndeadline_ms = 1\n";
    let text = format!(
        "[pools.P]\nkind = \"model\"\nx = 1\n[[pools.P.endpoints]]\nname = \"e\"\naddress = \"127.0.0.1:1\"\n\
         data_centre = \"d\"\nx = 1\n[organisations.O]\nteam = \"t\"\nx = 1\n[operators.N]\npublic_key = \"\"\nx = 1\n\
         [claims]\nx = 1\n[teams.T.classes.C]\n{class}x = 1\n"
    );
    let findings = check::check_tree("tree", &text).expect_err("unknown keys");
    let tables = [
        "pools.P.",
        "pools.P.endpoints[].",
        "organisations.O.",
        "operators.N.",
        "claims.",
        "classes.C.",
    ];
    let mut found = Vec::new();
    for finding in findings.as_slice() {
        let Some((_, keys)) = finding.remedy.split_once("use one of: ") else {
            continue;
        };
        let Some(path) = finding.message.strip_prefix("unknown key ") else {
            continue;
        };
        let path = path
            .trim_end_matches('x')
            .replace("endpoints.", "endpoints[].");
        let table = tables
            .iter()
            .find(|table| path.trim_start_matches("teams.T.") == **table);
        let table = table.unwrap_or_else(|| panic!("unexpected table {path}"));
        for key in keys.split(", ").filter(|key| *key != "endpoints") {
            assert!(
                REFERENCE.contains(&format!("| `{table}{key}` |")),
                "{table}{key}"
            );
        }
        found.push(*table);
    }
    assert_eq!(found, tables, "every table is compared");
}

#[test]
fn the_reference_names_every_key_of_the_vm_file() {
    let text = "[vm]\nx = 1\n[platform]\nx = 1\n[operators]\nx = 1\n[limits]\nx = 1\n";
    let findings = Config::parse("vm", text).expect_err("unknown keys");
    let mut found = Vec::new();
    for finding in findings.as_slice() {
        let Some((_, keys)) = finding.remedy.split_once("use one of: ") else {
            continue;
        };
        let table = finding.message.trim_start_matches("unknown key ");
        let table = table.trim_end_matches('x');
        for key in keys.split(", ") {
            assert!(
                REFERENCE.contains(&format!("| `{table}{key}` |")),
                "{table}{key}"
            );
        }
        found.push(table);
    }
    assert_eq!(found, ["vm.", "platform.", "operators.", "limits."]);
}
