//! Stand-ins of callers, engines and the platform, and the cases of the review that need them.
//!
//! `sim case NAME` runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod deployment;
mod engine;
mod http;
mod store;

use std::collections::HashMap;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the time of day, in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("engine") => {
            let mut options = HashMap::new();
            for pair in arguments[1..].chunks_exact(2) {
                options.insert(pair[0].clone(), pair[1].clone());
            }
            engine::run(&options);
        }
        Some("case") if arguments.len() == 2 => cases::run(&arguments[1]),
        _ => {
            eprintln!("usage: sim case NAME");
            std::process::exit(2);
        }
    }
}
