//! `settings get`: shows what is in force.

use waxwing_wire::settings_api::SubtreeText;

use super::Command;
use crate::arguments::Arguments;
use crate::arguments::DEPLOYMENT;
use crate::arguments::JSON;
use crate::arguments::TEAM;
use crate::arguments::VM;
use crate::client::Client;
use crate::error::Result;
use crate::exit::Exit;
use crate::output;
use crate::subtree;

pub(super) const COMMAND: Command = Command {
    name: "settings get",
    positionals: "",
    summary: "print the text of a subtree in force, or the versions of all subtrees",
    options: &[VM, TEAM, DEPLOYMENT, JSON],
    run,
};

fn run(arguments: &Arguments) -> Result<Exit> {
    let [] = arguments.positionals([])?;
    let tree = Client::new(arguments.require("vm")?).tree()?;
    if let Some(subtree) = subtree::parse_subtree(arguments)? {
        let Some(found) = tree.subtrees.get(&subtree.to_string()) else {
            eprintln!("{subtree} does not exist; its base version is 0");
            return Ok(Exit::Failure);
        };
        print_subtree(found, arguments.has("json"))?;
        return Ok(Exit::Success);
    }
    if arguments.has("json") {
        output::print_json(&tree)?;
        return Ok(Exit::Success);
    }
    let mut rows = vec![output::table_row(["SUBTREE", "VERSION", "AUTHOR", "TIME"])];
    for (name, found) in &tree.subtrees {
        let version = found.origin.version.to_string();
        let time = output::format_time(found.origin.time_ms);
        rows.push(output::table_row([
            name,
            &version,
            &found.origin.author,
            &time,
        ]));
    }
    output::print_table(&rows)?;
    Ok(Exit::Success)
}

fn print_subtree(found: &SubtreeText, is_json: bool) -> Result<()> {
    if is_json {
        return output::print_json(found);
    }
    // The version goes to standard error, so that standard output is the exact text.
    eprintln!("version {}", found.origin.version);
    output::print_text(&found.text)
}
