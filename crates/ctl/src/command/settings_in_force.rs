//! `settings in-force`: compares the versions in force on several VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;

use super::Command;
use crate::arguments::Arguments;
use crate::arguments::JSON;
use crate::arguments::VMS;
use crate::client::Client;
use crate::error::Result;
use crate::exit::Exit;
use crate::output;

pub(super) const COMMAND: Command = Command {
    name: "settings in-force",
    positionals: "",
    summary: "print which VM has which version in force; exit code 7 if they differ",
    options: &[VMS, JSON],
    run,
};

/// Versions on one VM.
#[derive(Debug, Serialize)]
struct Row {
    address: String,
    vm: String,
    versions: BTreeMap<String, u64>,
    /// Why the VM gave no answer.
    error: Option<String>,
}

fn run(arguments: &Arguments) -> Result<Exit> {
    let [] = arguments.positionals([])?;
    let rows: Vec<Row> = arguments.vms()?.into_iter().map(read).collect();
    match arguments.has("json") {
        true => output::print_json(&rows)?,
        false => print(&rows)?,
    }
    if rows.iter().any(|row| row.error.is_some()) {
        return Ok(Exit::Failure);
    }
    let is_same = rows
        .windows(2)
        .all(|pair| pair[0].versions == pair[1].versions);
    Ok(match is_same {
        true => Exit::Success,
        false => Exit::Differs,
    })
}

fn read(address: &str) -> Row {
    let status = Client::new(address).status();
    let error = status.as_ref().err().map(ToString::to_string);
    let status = status.unwrap_or_default();
    Row {
        address: address.to_owned(),
        vm: status.vm,
        versions: status.settings,
        error,
    }
}

fn print(rows: &[Row]) -> Result<()> {
    let subtrees: BTreeSet<&str> = rows
        .iter()
        .flat_map(|row| row.versions.keys().map(String::as_str))
        .collect();
    let mut heading = output::table_row(["ADDRESS", "VM"]);
    heading.extend(subtrees.iter().map(|subtree| (*subtree).to_owned()));
    let mut table = vec![heading];
    for row in rows {
        let mut cells = output::table_row([&row.address, &row.vm]);
        if let Some(error) = &row.error {
            eprintln!("{error}");
            cells[1] = "no answer".to_owned();
        }
        for subtree in &subtrees {
            let version = row.versions.get(*subtree);
            cells.push(version.map_or_else(|| "-".to_owned(), u64::to_string));
        }
        table.push(cells);
    }
    output::print_table(&table)
}
