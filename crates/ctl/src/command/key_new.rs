//! `key new`: creates the key of an operator.

use waxwing_core::Name;

use super::Command;
use crate::arguments::Arguments;
use crate::error::Result;
use crate::exit::Exit;
use crate::key_file::KeyFile;
use crate::output;

pub(super) const COMMAND: Command = Command {
    name: "key new",
    positionals: "OPERATOR KEYFILE",
    summary: "create a signing key for an operator, write it to a new file and print the public key",
    options: &[],
    run,
};

fn run(arguments: &Arguments) -> Result<Exit> {
    let [operator, path] = arguments.positionals(["OPERATOR", "KEYFILE"])?;
    let key_file = KeyFile::generate(Name::from(operator));
    key_file.write(path)?;
    output::print_text(&format!("{}\n", key_file.public_key()))?;
    Ok(Exit::Success)
}
