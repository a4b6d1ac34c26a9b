//! `settings history`: shows the latest decisions.

use waxwing_wire::settings_api::HistoryEntry;
use waxwing_wire::settings_api::SettingsHistory;

use super::Command;
use crate::arguments::Arguments;
use crate::arguments::JSON;
use crate::arguments::VM;
use crate::client::Client;
use crate::error::Result;
use crate::exit::Exit;
use crate::output;

pub(super) const COMMAND: Command = Command {
    name: "settings history",
    positionals: "",
    summary: "print the latest accepted and rejected changes that a VM has read, oldest first",
    options: &[VM, JSON],
    run,
};

fn run(arguments: &Arguments) -> Result<Exit> {
    let [] = arguments.positionals([])?;
    let client = Client::new(arguments.require("vm")?);
    let history: SettingsHistory = client.get("/settings/history")?;
    if arguments.has("json") {
        output::print_json(&history)?;
        return Ok(Exit::Success);
    }
    let heading = ["VERSION", "TIME", "SUBTREE", "AUTHOR", "BASE", "RESULT"];
    let mut rows = vec![output::table_row(heading)];
    for entry in &history.entries {
        rows.push(history_row(entry));
    }
    output::print_table(&rows)?;
    Ok(Exit::Success)
}

fn history_row(entry: &HistoryEntry) -> Vec<String> {
    let rejection = entry.rejection.as_ref();
    let result = rejection.map_or_else(
        || "accepted".to_owned(),
        |rejection| format!("rejected ({}): {}", rejection.reason, rejection.message),
    );
    vec![
        entry.origin.version.to_string(),
        output::format_time(entry.origin.time_ms),
        entry.subtree.clone(),
        entry.origin.author.clone(),
        entry.base_version.to_string(),
        result,
    ]
}
