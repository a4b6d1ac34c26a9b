//! Cases of the second review, each against router processes on loopback addresses.
//!
//! Usage: `sim CASE RECORD`, in the repository. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
//! With `TROUBLE=0` in the environment the case runs without its disruption.

use std::process::ExitCode;

mod deployment;
mod engine;
mod failing;
mod http;
mod memory;
mod record;
mod store;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: sim CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = record::Record::create(path).and_then(|record| match case.as_str() {
        "failing" => failing::run(&record, has_trouble),
        "memory" => memory::run(&record, has_trouble),
        _ => Err(format!("unknown case {case}")),
    });
    match outcome {
        Ok(true) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("{case}: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("{case}: could not run: {error}");
            ExitCode::from(2)
        }
    }
}
