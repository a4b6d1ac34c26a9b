//! `key hash`: hashes the API key of an organisation.

use std::io::BufRead;

use super::Command;
use crate::arguments::Arguments;
use crate::error::Error;
use crate::error::Result;
use crate::exit::Exit;
use crate::output;

pub(super) const COMMAND: Command = Command {
    name: "key hash",
    positionals: "",
    summary: "read an API key from standard input and print its hash for `key_hashes`",
    options: &[],
    run,
};

fn run(arguments: &Arguments) -> Result<Exit> {
    // The key is no argument, since other users of the machine can see the arguments of a process.
    let [] = arguments.positionals([])?;
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line)?;
    let key = line.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(Error::Usage("standard input holds no API key".to_owned()));
    }
    output::print_text(&format!("{}\n", blake3::hash(key.as_bytes()).to_hex()))?;
    Ok(Exit::Success)
}
