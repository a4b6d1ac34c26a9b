//! Runs one stand-in as a separate process.

use std::process::ExitCode;
use std::thread;

use lexopt::Arg;
use lexopt::ValueExt;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;
use waxwing_standin::ListenAddresses;
use waxwing_standin::engine;
use waxwing_standin::log;
use waxwing_standin::proxy;
use waxwing_standin::service;
use waxwing_standin::vm_list;
use waxwing_standin::weight_store;

const HELP: &str = "\
Runs one stand-in and prints its addresses as a JSON line; PUT /faults to the control address sets its faults.

Usage:
  standin log [ADDRESS] [OPTIONS]            append-only log service
  standin vm-list [ADDRESS]                  list of VMs
  standin weight-store [ADDRESS] [OPTIONS]   rate-limited weight store
  standin engine [ADDRESS] [OPTIONS]         model engine
  standin service [ADDRESS] [OPTIONS]        plain service
  standin proxy LISTEN TARGET                TCP proxy that injects faults
  standin --help                             print this help

ADDRESS defaults to a free port of 127.0.0.1. An option sets the field of that name in the configuration of the kind,
for example `standin engine --gap-ms 10 --checks-fencing false`:
  log           --appends-per-s --retention-ms
  weight-store  --reads-max --window-ms
  engine        --first-token-ms --prefill-us-per-token --gap-ms --knee --running-max --answer-tokens
                --stragglers-per-mille --straggler-factor --cache-tokens --report-lag-ms --checks-fencing --load-ms
                --started-id
  service       --service-ms --running-max --report-lag-ms --checks-fencing --ledger-file --started-id
";

/// Address to listen on if none is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:0";

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

struct Command {
    positionals: Vec<String>,
    options: Map<String, Value>,
}

fn main() -> ExitCode {
    let started = match parse_command() {
        Ok(Some(command)) => start(command),
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => Err(error),
    };
    match started {
        Ok(started) => println!("{}", serde_json::to_string(&started).unwrap_or_default()),
        Err(error) => {
            eprintln!("standin: {error}; see standin --help");
            return ExitCode::from(2);
        }
    }
    loop {
        thread::park();
    }
}

/// Returns the command, or `None` if help is requested.
fn parse_command() -> Result<Option<Command>> {
    let mut parser = lexopt::Parser::from_env();
    let mut positionals = Vec::new();
    let mut options = Map::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long(name) => {
                let field = name.replace('-', "_");
                let text = parser.value()?.string()?;
                // Numbers and booleans are JSON; any other text is a string.
                let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
                options.insert(field, value);
            }
            Arg::Value(value) => positionals.push(value.string()?),
            Arg::Short(_) => return Err(arg.unexpected().into()),
        }
    }
    Ok(Some(Command {
        positionals,
        options,
    }))
}

fn start(command: Command) -> Result<ListenAddresses> {
    let positionals: Vec<&str> = command.positionals.iter().map(String::as_str).collect();
    let options = command.options;
    let started = match positionals.as_slice() {
        ["proxy", listen, target] => proxy::start(listen, target)?,
        ["vm-list"] => vm_list::start(DEFAULT_ADDRESS)?,
        ["vm-list", address] => vm_list::start(address)?,
        ["log"] => log::start(DEFAULT_ADDRESS, parse_config(options)?)?,
        ["log", address] => log::start(address, parse_config(options)?)?,
        ["weight-store"] => weight_store::start(DEFAULT_ADDRESS, parse_config(options)?)?,
        ["weight-store", address] => weight_store::start(address, parse_config(options)?)?,
        ["engine"] => engine::start(DEFAULT_ADDRESS, parse_config(options)?)?,
        ["engine", address] => engine::start(address, parse_config(options)?)?,
        ["service"] => service::start(DEFAULT_ADDRESS, parse_config(options)?)?,
        ["service", address] => service::start(address, parse_config(options)?)?,
        _ => return Err(format!("unknown command `{}`", positionals.join(" ")).into()),
    };
    Ok(started)
}

fn parse_config<T: DeserializeOwned>(options: Map<String, Value>) -> Result<T> {
    Ok(serde_json::from_value(Value::Object(options))?)
}
