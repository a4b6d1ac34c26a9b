//! Exit codes, which are the same for all commands.

/// Outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Everything that was asked for was done.
    Success,
    /// A VM does not answer, or a file cannot be read or written.
    Failure,
    /// The command line is wrong.
    Usage,
    /// The settings have findings.
    Findings,
    /// Another change of the subtree came first.
    LostRace,
    /// The VM refused the change for another reason.
    Refused,
    /// It is not known whether the change is in force; the same command may be repeated.
    Unknown,
    /// What was compared differs.
    Differs,
}

/// Text about the exit codes in the help of each command.
pub const HELP: &str = "\
Exit codes: 0 success, 1 failure (VM or file), 2 wrong command line, 3 settings with findings,
            4 lost race (base version not current), 5 change refused, 6 outcome unknown, 7 difference found.
";

impl Exit {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Findings => 3,
            Self::LostRace => 4,
            Self::Refused => 5,
            Self::Unknown => 6,
            Self::Differs => 7,
        }
    }
}
