//! `explain`: shows what happened to a request.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use super::Command;
use crate::arguments::Arguments;
use crate::arguments::JSON;
use crate::arguments::VMS;
use crate::client::Client;
use crate::error::Error;
use crate::error::Result;
use crate::exit::Exit;
use crate::output;

/// HTTP status of a VM that does not know the request.
const UNKNOWN_STATUS: u16 = 404;

/// What a VM knows of a request.
#[derive(Debug, Serialize, Deserialize)]
struct Trace {
    request_id: String,
    vm: String,
    organisation: String,
    class: String,
    received_ms: u64,
    steps: Vec<Step>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Step {
    at_ms: u64,
    step: String,
    #[serde(flatten)]
    details: Map<String, Value>,
}

pub(super) const COMMAND: Command = Command {
    name: "explain",
    positionals: "REQUEST_ID",
    summary: "print the queue waits, attempts, endpoints and refusals of one request",
    options: &[VMS, JSON],
    run,
};

fn run(arguments: &Arguments) -> Result<Exit> {
    let [id] = arguments.positionals(["REQUEST_ID"])?;
    let mut traces: Vec<Trace> = Vec::new();
    for address in arguments.vms()? {
        match Client::new(address).get::<Trace>(&format!("/explain/{id}")) {
            Ok(trace) => traces.push(trace),
            Err(Error::Status { status, .. }) if status == UNKNOWN_STATUS => {}
            Err(error) => eprintln!("{error}"),
        }
    }
    if traces.is_empty() {
        eprintln!("no VM that answered knows the request {id}");
        return Ok(Exit::Failure);
    }
    if arguments.has("json") {
        output::print_json(&traces)?;
        return Ok(Exit::Success);
    }
    for trace in &traces {
        print(trace)?;
    }
    Ok(Exit::Success)
}

fn print(trace: &Trace) -> Result<()> {
    output::print_text(&format!(
        "request {} of {} in class {}, received by {} at {}\n",
        trace.request_id,
        trace.organisation,
        trace.class,
        trace.vm,
        output::format_time(trace.received_ms)
    ))?;
    let mut rows = vec![output::table_row(["AT MS", "STEP", "DETAILS"])];
    for step in &trace.steps {
        let details = step
            .details
            .iter()
            .map(|(key, value)| format!("{key}={value}"));
        let details: Vec<String> = details.collect();
        rows.push(vec![
            step.at_ms.to_string(),
            step.step.clone(),
            details.join(" "),
        ]);
    }
    output::print_table(&rows)
}
