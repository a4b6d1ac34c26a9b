//! `settings diff`: compares a file with what is in force.

use similar::TextDiff;

use super::Command;
use crate::arguments::Arguments;
use crate::arguments::DEPLOYMENT;
use crate::arguments::TEAM;
use crate::arguments::VM;
use crate::client::Client;
use crate::error::Result;
use crate::exit::Exit;
use crate::key_file;
use crate::output;
use crate::subtree;

pub(super) const COMMAND: Command = Command {
    name: "settings diff",
    positionals: "FILE",
    summary: "print the difference from the subtree in force to a file; exit code 7 if there is one",
    options: &[VM, TEAM, DEPLOYMENT],
    run,
};

fn run(arguments: &Arguments) -> Result<Exit> {
    let [file] = arguments.positionals(["FILE"])?;
    let subtree = subtree::require_subtree(arguments)?;
    let new = key_file::read_text(file)?;
    let tree = Client::new(arguments.require("vm")?).tree()?;
    let found = tree.subtrees.get(&subtree.to_string());
    let (old, version) = found.map_or(("", 0), |found| (&*found.text, found.origin.version));
    if old == new {
        return Ok(Exit::Success);
    }
    let header = format!("{subtree}, version {version}");
    let difference = TextDiff::from_lines(old, &new)
        .unified_diff()
        .header(&header, file)
        .to_string();
    output::print_text(&difference)?;
    Ok(Exit::Differs)
}
