//! `settings check`: checks a file before it is published.

use serde::Serialize;
use waxwing_core::finding::Findings;
use waxwing_core::state::settings::change::Subtree;
use waxwing_core::state::settings::check;
use waxwing_wire::settings_api::SettingsFinding;
use waxwing_wire::settings_api::SettingsTree;

use super::Command;
use crate::arguments::Arguments;
use crate::arguments::DEPLOYMENT;
use crate::arguments::JSON;
use crate::arguments::OptionSpec;
use crate::arguments::TEAM;
use crate::client::Client;
use crate::error::Result;
use crate::exit::Exit;
use crate::key_file;
use crate::output;
use crate::subtree;

pub(super) const COMMAND: Command = Command {
    name: "settings check",
    positionals: "FILE",
    summary: "check a file: a whole tree, or the subtree of --team or --deployment",
    options: &[
        TEAM,
        DEPLOYMENT,
        OptionSpec {
            name: "vm",
            value: "ADDRESS",
            help: "also check references between the subtree and what is in force on this VM",
        },
        JSON,
    ],
    run,
};

#[derive(Debug, Serialize)]
struct Report {
    findings: Vec<SettingsFinding>,
}

fn run(arguments: &Arguments) -> Result<Exit> {
    let [file] = arguments.positionals(["FILE"])?;
    let text = key_file::read_text(file)?;
    let subtree = subtree::parse_subtree(arguments)?;
    let tree = match arguments.get("vm") {
        Some(address) => Some(Client::new(address).tree()?),
        None => None,
    };
    if tree.is_none() && matches!(subtree, Some(Subtree::Team(_))) {
        eprintln!("{file}: references to pools are not checked without --vm");
    }
    let checked = check_subtree(file, &text, subtree.as_ref(), tree.as_ref());
    let findings = checked.err().map_or_else(Vec::new, Findings::into_vec);
    for finding in &findings {
        eprintln!("{finding}");
    }
    if arguments.has("json") {
        let findings = findings.iter().map(Into::into).collect();
        output::print_json(&Report { findings })?;
    } else if findings.is_empty() {
        output::print_text(&format!("{file}: no findings\n"))?;
    }
    Ok(match findings.is_empty() {
        true => Exit::Success,
        false => Exit::Findings,
    })
}

fn check_subtree(
    file: &str,
    text: &str,
    subtree: Option<&Subtree>,
    tree: Option<&SettingsTree>,
) -> std::result::Result<(), Findings> {
    match (subtree, tree) {
        (None, _) => check::check_tree(file, text).map(|_| ()),
        (Some(Subtree::Deployment), None) => check::check_deployment(file, text).map(|_| ()),
        (Some(Subtree::Deployment), Some(tree)) => check_deployment(file, text, tree),
        (Some(Subtree::Team(_)), None) => check::check_team_alone(file, text).map(|_| ()),
        (Some(Subtree::Team(_)), Some(tree)) => {
            let deployment = tree.subtrees.get("deployment");
            let deployment = deployment.map_or("", |deployment| deployment.text.as_str());
            let deployment = check::check_deployment("deployment", deployment)?;
            check::check_team(file, text, &deployment).map(|_| ())
        }
    }
}

/// Checks a deployment subtree and the teams in force against it.
fn check_deployment(
    file: &str,
    text: &str,
    tree: &SettingsTree,
) -> std::result::Result<(), Findings> {
    let deployment = check::check_deployment(file, text)?;
    let mut findings = Vec::new();
    for (name, team) in &tree.subtrees {
        if !name.starts_with("teams.") {
            continue;
        }
        if let Err(found) = check::check_team(name, &team.text, &deployment) {
            findings.extend(found.into_vec());
        }
    }
    match findings.is_empty() {
        true => Ok(()),
        false => Err(Findings::new(findings)),
    }
}
