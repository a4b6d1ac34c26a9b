//! `drain`: begins the planned stop of a VM.

use super::Command;
use crate::arguments::Arguments;
use crate::arguments::VM;
use crate::client::Client;
use crate::error::Result;
use crate::exit::Exit;
use crate::output;

pub(super) const COMMAND: Command = Command {
    name: "drain",
    positionals: "",
    summary: "take a VM out of service: it finishes the requests in progress and exits",
    options: &[VM],
    run,
};

fn run(arguments: &Arguments) -> Result<Exit> {
    let [] = arguments.positionals([])?;
    let status = Client::new(arguments.require("vm")?).drain()?;
    let (vm, in_progress) = (status.vm, status.in_progress);
    output::print_text(&format!(
        "{vm}: draining, {in_progress} requests in progress\n"
    ))?;
    Ok(Exit::Success)
}
