//! `settings apply`: signs and publishes a subtree.

use waxwing_core::finding::Finding;
use waxwing_core::state::settings::change::Change;
use waxwing_wire::settings_api::PublishAnswer;
use waxwing_wire::settings_api::PublishRejection;
use waxwing_wire::settings_record::SettingsChange;

use super::Command;
use crate::arguments::Arguments;
use crate::arguments::DEPLOYMENT;
use crate::arguments::JSON;
use crate::arguments::OptionSpec;
use crate::arguments::TEAM;
use crate::arguments::VM;
use crate::client::Client;
use crate::error::Error;
use crate::error::Result;
use crate::exit::Exit;
use crate::key_file;
use crate::key_file::KeyFile;
use crate::output;
use crate::subtree;

pub(super) const COMMAND: Command = Command {
    name: "settings apply",
    positionals: "FILE",
    summary: "sign a subtree, publish it and wait until it is in force on the VM",
    options: &[
        TEAM,
        DEPLOYMENT,
        OptionSpec {
            name: "base",
            value: "VERSION",
            help: "version of the subtree that the file was made from; 0 if it did not exist",
        },
        OptionSpec {
            name: "key",
            value: "KEYFILE",
            help: "key file that `waxwingctl key new` wrote",
        },
        VM,
        JSON,
    ],
    run,
};

fn run(arguments: &Arguments) -> Result<Exit> {
    let [file] = arguments.positionals(["FILE"])?;
    let subtree = subtree::require_subtree(arguments)?;
    let base = arguments.require("base")?;
    let base_version = base
        .parse()
        .map_err(|_| Error::Usage(format!("--base {base} is not a version")))?;
    let client = Client::new(arguments.require("vm")?);
    let key_file = KeyFile::read(arguments.require("key")?)?;
    let text = key_file::read_text(file)?;
    let change = Change::sign(
        subtree.clone(),
        base_version,
        text,
        key_file.operator.clone(),
        &key_file.key,
    );
    let answer = client.publish(&SettingsChange::from(&change))?;
    if arguments.has("json") {
        output::print_json(&answer)?;
    }
    match answer {
        PublishAnswer::Accepted { version } => {
            if !arguments.has("json") {
                output::print_text(&format!("{subtree}: version {version} is in force\n"))?;
            }
            Ok(Exit::Success)
        }
        PublishAnswer::Rejected(rejection) => Ok(report(file, &subtree.to_string(), rejection)),
        PublishAnswer::Unknown { message } => {
            eprintln!("{subtree}: the outcome is unknown: {message}");
            Ok(Exit::Unknown)
        }
    }
}

/// Prints why a change is rejected, on standard error.
fn report(file: &str, subtree: &str, rejection: PublishRejection) -> Exit {
    eprintln!(
        "{subtree}: rejected ({}): {}",
        rejection.reason, rejection.message
    );
    for finding in rejection.findings {
        let mut finding = Finding::from(finding);
        // Findings of the published text are shown with the name of the operator's file.
        if finding.file == subtree {
            file.clone_into(&mut finding.file);
        }
        eprintln!("{finding}");
    }
    if let Some(in_force) = rejection.in_force {
        let time = output::format_time(in_force.time_ms);
        let (version, author) = (in_force.version, in_force.author);
        eprintln!("in force: version {version} by {author}, {time}");
    }
    eprint!("{}", rejection.difference);
    match rejection.reason.as_str() {
        "stale_base" | "unknown_base" => Exit::LostRace,
        "invalid" => Exit::Findings,
        _ => Exit::Refused,
    }
}
