//! `status`: shows the state of several VMs.

use super::Command;
use crate::arguments::Arguments;
use crate::arguments::JSON;
use crate::arguments::VMS;
use crate::client::Client;
use crate::client::VmStatus;
use crate::error::Result;
use crate::exit::Exit;
use crate::output;

pub(super) const COMMAND: Command = Command {
    name: "status",
    positionals: "",
    summary: "print the state of several VMs",
    options: &[VMS, JSON],
    run,
};

fn run(arguments: &Arguments) -> Result<Exit> {
    let [] = arguments.positionals([])?;
    let mut exit = Exit::Success;
    let mut found: Vec<(&str, VmStatus)> = Vec::new();
    for address in arguments.vms()? {
        match Client::new(address).status() {
            Ok(status) => found.push((address, status)),
            Err(error) => {
                eprintln!("{error}");
                exit = Exit::Failure;
            }
        }
    }
    if arguments.has("json") {
        let found: Vec<&VmStatus> = found.iter().map(|(_, status)| status).collect();
        output::print_json(&found)?;
        return Ok(exit);
    }
    let heading = [
        "ADDRESS",
        "VM",
        "DATA CENTRE",
        "STATE",
        "SETTINGS",
        "IN PROGRESS",
        "MEMBERS",
    ];
    let mut rows = vec![output::table_row(heading)];
    for (address, status) in &found {
        rows.push(status_row(address, status));
    }
    output::print_table(&rows)?;
    Ok(exit)
}

fn status_row(address: &str, status: &VmStatus) -> Vec<String> {
    let state = if status.is_draining {
        "draining"
    } else {
        "serving"
    };
    vec![
        address.to_owned(),
        status.vm.clone(),
        status.data_centre.clone(),
        state.to_owned(),
        status.settings_version.to_string(),
        status.in_progress.to_string(),
        status.members.join(","),
    ]
}
