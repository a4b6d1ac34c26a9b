//! Command line of the waxwingrouter daemon.

use std::process::ExitCode;

use lexopt::Arg;
use lexopt::ValueExt;
use waxwingrouter::config::Config;
use waxwingrouter::daemon;
use waxwingrouter::demo;

const HELP: &str = "\
Routes language-model traffic with service levels and priorities.

Usage:
  waxwingrouter run FILE     run the daemon with the settings of this VM
  waxwingrouter check FILE   check the settings of this VM and exit
  waxwingrouter platform [FILE]
                             run as a router by route on the users' platform; without FILE, the settings
                             are those that the variable WAXWINGROUTER_SETTINGS names
  waxwingrouter platform check FILE
                             check the settings of a router by route and exit
  waxwingrouter demo         run a daemon, a stand-in platform and a stand-in engine on loopback
  waxwingrouter --help       print this help

Exit codes: 0 success, 1 failure while running, 2 wrong command line, 3 invalid settings.
";

enum Command {
    Run(String),
    Check(String),
    Platform(Option<String>),
    PlatformCheck(String),
    Demo,
    Help,
}

fn main() -> ExitCode {
    let command = match parse_command() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("waxwingrouter: {error}; see waxwingrouter --help");
            return ExitCode::from(2);
        }
    };
    match command {
        Command::Help => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Command::Check(file) => match read_config(&file) {
            Ok(_) => {
                println!("{file}: no findings");
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Command::Run(file) => match read_config(&file) {
            Ok(config) => exit_code(daemon::run(config)),
            Err(code) => code,
        },
        Command::Platform(file) => run_on_platform(file),
        Command::PlatformCheck(file) => match read_platform_settings(&file) {
            Ok(_) => {
                println!("{file}: no findings");
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Command::Demo => exit_code(demo::run()),
    }
}

fn parse_command() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut words: Vec<String> = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Value(value) => words.push(value.string()?),
            Arg::Short(_) | Arg::Long(_) => return Err(arg.unexpected()),
        }
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["run", file] => Ok(Command::Run((*file).to_owned())),
        ["check", file] => Ok(Command::Check((*file).to_owned())),
        ["platform"] => Ok(Command::Platform(None)),
        ["platform", "check", file] => Ok(Command::PlatformCheck((*file).to_owned())),
        ["platform", file] => Ok(Command::Platform(Some((*file).to_owned()))),
        ["demo"] => Ok(Command::Demo),
        [] => Err("a command is missing".into()),
        _ => Err(format!("unknown command `{}`", words.join(" ")).into()),
    }
}

fn read_config(file: &str) -> Result<Config, ExitCode> {
    Config::read(file).map_err(|error| {
        eprintln!("{error}");
        ExitCode::from(3)
    })
}

fn read_platform_settings(file: &str) -> Result<waxwing_gateway::Settings, ExitCode> {
    waxwing_gateway::Settings::read(file).map_err(|error| {
        eprintln!("waxwingrouter: {error}");
        ExitCode::from(3)
    })
}

fn run_on_platform(file: Option<String>) -> ExitCode {
    let variable = waxwing_platform::SETTINGS_VARIABLE;
    let Some(path) = file.or_else(|| std::env::var(variable).ok()) else {
        eprintln!("waxwingrouter: name a settings file, or set the variable {variable}");
        return ExitCode::from(2);
    };
    let settings = match read_platform_settings(&path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match waxwing_platform::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("waxwingrouter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn exit_code(result: Result<(), daemon::Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("waxwingrouter: {error}");
            ExitCode::FAILURE
        }
    }
}
