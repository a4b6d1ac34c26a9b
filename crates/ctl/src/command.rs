//! The table of commands.

use std::ffi::OsString;

use crate::arguments::Arguments;
use crate::arguments::OptionSpec;
use crate::error::Error;
use crate::error::Result;
use crate::exit;
use crate::exit::Exit;
use crate::output;

mod drain;
mod explain;
mod key_hash;
mod key_new;
mod load;
mod outcomes;
mod settings_apply;
mod settings_check;
mod settings_diff;
mod settings_get;
mod settings_history;
mod settings_in_force;
mod status;

/// Description of a command.
#[derive(Clone, Copy, Debug)]
pub struct Command {
    /// One or two words that select it.
    pub name: &'static str,
    /// Names of its arguments that are no options, as in the usage line.
    pub positionals: &'static str,
    /// One line about what it does.
    pub summary: &'static str,
    /// Its options, apart from `--help`.
    pub options: &'static [OptionSpec],
    /// Carries it out.
    pub run: fn(&Arguments) -> Result<Exit>,
}

/// All commands, in the order of the help.
pub const COMMANDS: &[Command] = &[
    settings_check::COMMAND,
    settings_get::COMMAND,
    settings_diff::COMMAND,
    settings_apply::COMMAND,
    settings_history::COMMAND,
    settings_in_force::COMMAND,
    key_new::COMMAND,
    key_hash::COMMAND,
    status::COMMAND,
    drain::COMMAND,
    explain::COMMAND,
    outcomes::COMMAND,
    load::COMMAND,
];

/// Runs the command that the words of a command line select.
///
/// # Errors
///
/// Fails if the command line is wrong or the command cannot be carried out.
pub fn run(words: &[OsString]) -> Result<Exit> {
    let is_help = |word: &OsString| word == "--help" || word == "-h" || word == "help";
    if words.first().is_some_and(is_help) {
        output::print_text(&help_overview())?;
        return Ok(Exit::Success);
    }
    let (command, rest) = find(words)?;
    let arguments = Arguments::parse(rest, command.options)?;
    if arguments.wants_help {
        output::print_text(&command.help())?;
        return Ok(Exit::Success);
    }
    (command.run)(&arguments)
}

fn find(words: &[OsString]) -> Result<(&'static Command, &[OsString])> {
    for command in COMMANDS {
        let name: Vec<&str> = command.name.split(' ').collect();
        let is_same = |(given, word): (&OsString, &&str)| given == *word;
        if words.len() >= name.len() && words.iter().zip(&name).all(is_same) {
            return Ok((command, &words[name.len()..]));
        }
    }
    if words.is_empty() {
        return Err(Error::Usage("a command is missing".to_owned()));
    }
    let given: Vec<_> = words
        .iter()
        .take(2)
        .map(|word| word.to_string_lossy())
        .collect();
    Err(Error::Usage(format!(
        "unknown command `{}`",
        given.join(" ")
    )))
}

fn help_overview() -> String {
    let mut help = "Operators' command line for waxwingrouter.\n\nCommands:\n".to_owned();
    for command in COMMANDS {
        help.push_str(&format!("  {:<20} {}\n", command.name, command.summary));
    }
    help.push_str("\n`waxwingctl COMMAND --help` prints the options of a command.\n");
    help.push_str(exit::HELP);
    help
}

impl Command {
    fn help(self) -> String {
        let mut usage = format!("waxwingctl {}", self.name);
        if !self.positionals.is_empty() {
            usage = format!("{usage} {}", self.positionals);
        }
        let mut help = format!("{}\n\nUsage: {usage} [OPTIONS]\n\nOptions:\n", self.summary);
        for option in self.options {
            let name = format!("--{} {}", option.name, option.value);
            help.push_str(&format!("  {name:<20} {}\n", option.help));
        }
        help.push_str(&format!("  {:<20} print this help\n\n", "--help"));
        help.push_str(exit::HELP);
        help
    }
}
