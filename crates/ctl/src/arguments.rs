//! Arguments of a command, read by its description.

use std::collections::BTreeMap;
use std::ffi::OsString;

use lexopt::Arg;
use lexopt::ValueExt;

use crate::error::Error;
use crate::error::Result;

/// An option of a command.
#[derive(Clone, Copy, Debug)]
pub struct OptionSpec {
    /// Long name without dashes.
    pub name: &'static str,
    /// Word for its value in the help; empty for a flag.
    pub value: &'static str,
    /// One line of help.
    pub help: &'static str,
}

/// Option `--json`.
pub const JSON: OptionSpec = OptionSpec {
    name: "json",
    value: "",
    help: "print JSON instead of a table",
};

/// Option `--vm`.
pub const VM: OptionSpec = OptionSpec {
    name: "vm",
    value: "ADDRESS",
    help: "operator address of a VM, for example 127.0.0.1:8082",
};

/// Option `--vms`.
pub const VMS: OptionSpec = OptionSpec {
    name: "vms",
    value: "A,B,C",
    help: "operator addresses of several VMs",
};

/// Option `--team`.
pub const TEAM: OptionSpec = OptionSpec {
    name: "team",
    value: "T",
    help: "the subtree of this team",
};

/// Option `--deployment`.
pub const DEPLOYMENT: OptionSpec = OptionSpec {
    name: "deployment",
    value: "",
    help: "the deployment subtree",
};

/// Arguments as given.
#[derive(Debug, Default)]
pub struct Arguments {
    positionals: Vec<String>,
    options: BTreeMap<&'static str, String>,
    /// Whether `--help` was given.
    pub wants_help: bool,
}

impl Arguments {
    /// Reads the words after the name of a command.
    ///
    /// # Errors
    ///
    /// Fails if an option is unknown, lacks its value or is repeated.
    pub fn parse(words: &[OsString], specs: &[OptionSpec]) -> Result<Self> {
        let mut parser = lexopt::Parser::from_args(words);
        let mut arguments = Self::default();
        while let Some(arg) = parser.next()? {
            let name = match arg {
                Arg::Short('h') | Arg::Long("help") => {
                    arguments.wants_help = true;
                    continue;
                }
                Arg::Value(value) => {
                    arguments.positionals.push(value.string()?);
                    continue;
                }
                Arg::Long(name) => name,
                Arg::Short(_) => return Err(arg.unexpected().into()),
            };
            let Some(spec) = specs.iter().find(|spec| spec.name == name) else {
                return Err(arg.unexpected().into());
            };
            let value = match spec.value {
                "" => String::new(),
                _ => parser.value()?.string()?,
            };
            if arguments.options.insert(spec.name, value).is_some() {
                return Err(Error::Usage(format!("--{} is given twice", spec.name)));
            }
        }
        Ok(arguments)
    }

    /// Returns the values that are no options, one for each name.
    ///
    /// # Errors
    ///
    /// Fails if there are more or fewer.
    pub fn positionals<const N: usize>(&self, names: [&str; N]) -> Result<[&str; N]> {
        if let Some(extra) = self.positionals.get(N) {
            return Err(Error::Usage(format!("unexpected argument `{extra}`")));
        }
        let given: Vec<&str> = self.positionals.iter().map(String::as_str).collect();
        let found = given.len();
        given
            .try_into()
            .map_err(|_| Error::Usage(format!("{} is missing", names[found])))
    }

    /// Returns whether a flag or option was given.
    pub fn has(&self, name: &str) -> bool {
        self.options.contains_key(name)
    }

    /// Returns the value of an option.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.options.get(name).map(String::as_str)
    }

    /// Returns the value of a required option.
    ///
    /// # Errors
    ///
    /// Fails if it was not given.
    pub fn require(&self, name: &str) -> Result<&str> {
        self.get(name)
            .ok_or_else(|| Error::Usage(format!("--{name} is missing")))
    }

    /// Returns the addresses of `--vms`.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn vms(&self) -> Result<Vec<&str>> {
        let parts = self.require("vms")?.split(',').map(str::trim);
        let addresses: Vec<&str> = parts.filter(|part| !part.is_empty()).collect();
        if addresses.is_empty() {
            return Err(Error::Usage("--vms names no address".to_owned()));
        }
        Ok(addresses)
    }
}
