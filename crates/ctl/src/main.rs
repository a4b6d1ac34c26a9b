//! Command line of waxwingctl.

use std::ffi::OsString;
use std::process::ExitCode;

use waxwingctl::command;
use waxwingctl::exit::Exit;

fn main() -> ExitCode {
    let words: Vec<OsString> = std::env::args_os().skip(1).collect();
    let exit = command::run(&words).unwrap_or_else(|error| {
        eprintln!("waxwingctl: {error}");
        if error.exit() == Exit::Usage {
            eprintln!("see waxwingctl --help");
        }
        error.exit()
    });
    ExitCode::from(exit.code())
}
