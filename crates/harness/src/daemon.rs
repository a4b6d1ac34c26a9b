//! Runs the daemon as a process.

use std::fs;

use serde_json::Value;

use crate::condition;
use crate::control;
use crate::process::Process;
use crate::publish;
use crate::run::Run;

/// Maximum number of attempts to start a daemon.
///
/// A start fails if a child of another test thread, between its fork and its exec, holds the port that was free before.
const STARTS_MAX: u32 = 5;

/// Options of a daemon.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Data centre; `dc-1` if empty.
    pub data_centre: String,
    /// Address of the log service.
    pub log_address: String,
    /// Address of the VM list; empty if there is none.
    pub vm_list_address: String,
    /// Address of the weight store; empty if there is none.
    pub weight_store_address: String,
    /// Additional TOML text for the settings file of the VM, for example a `[limits]` table.
    pub extra: String,
}

/// A daemon that runs as a process.
#[derive(Debug)]
pub struct Daemon {
    process: Process,
    caller_address: String,
    peer_address: String,
    operator_address: String,
}

impl Daemon {
    /// Starts a daemon and waits until it accepts connections.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn start(run: &Run, name: &str, options: &Options) -> Self {
        for _ in 0..STARTS_MAX {
            let mut daemon = Self::spawn(run, name, options);
            if daemon.wait_until_up() {
                return daemon;
            }
            println!("{}", daemon.process.output());
        }
        panic!("{name} did not start {STARTS_MAX} times");
    }

    fn spawn(run: &Run, name: &str, options: &Options) -> Self {
        let caller_address = run.reserve_address();
        let peer_address = run.reserve_address();
        let operator_address = run.reserve_address();
        let data_centre = match options.data_centre.as_str() {
            "" => "dc-1",
            data_centre => data_centre,
        };
        let text = format!(
            r#"
[vm]
name = "{name}"
data_centre = "{data_centre}"
caller_address = "{caller_address}"
peer_address = "{peer_address}"
operator_address = "{operator_address}"
[platform]
log_address = "{}"
{}{}[operators]
root_public_keys = ["{}"]
{}
"#,
            options.log_address,
            setting_line("vm_list_address", &options.vm_list_address),
            setting_line("weight_store_address", &options.weight_store_address),
            publish::root_public_key(),
            options.extra
        );
        let file = run.folder().join(format!("{name}.toml"));
        fs::write(&file, text).expect("the settings file can be written");
        let arguments = vec!["run".to_owned(), file.display().to_string()];
        Self {
            process: Process::start(run, name, "waxwingrouter", arguments),
            caller_address,
            peer_address,
            operator_address,
        }
    }

    /// Waits until the daemon answers; returns false if the process exits first.
    fn wait_until_up(&mut self) -> bool {
        let what = format!("{} answers", self.process.name());
        condition::wait_for(&what, || {
            if self.process.exit_status().is_some() {
                return Some(false);
            }
            self.status().map(|_| true)
        })
    }

    /// Starts the daemon again with the same settings file and waits until it accepts connections.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn restart(&mut self) {
        for _ in 0..STARTS_MAX {
            self.process.restart();
            if self.wait_until_up() {
                return;
            }
        }
        panic!("{} did not restart {STARTS_MAX} times", self.process.name());
    }

    /// Waits until the daemon has settings, and returns their version.
    ///
    /// # Panics
    ///
    /// Panics if it receives none.
    pub fn wait_for_settings(&self) -> u64 {
        let what = format!("{} has settings", self.process.name());
        condition::wait_for(&what, || {
            let version = self.status()?.get("settings_version")?.as_u64()?;
            (version > 0).then_some(version)
        })
    }

    /// Returns the status page for operators, if the daemon answers.
    pub fn status(&self) -> Option<Value> {
        control::get(&format!("http://{}/status", self.operator_address))
    }

    /// Returns the metrics page, if the daemon answers.
    pub fn metrics(&self) -> Option<String> {
        let url = format!("http://{}/metrics", self.operator_address);
        control::new_session()
            .get(url)
            .send()
            .ok()?
            .text_utf8()
            .ok()
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> &str {
        &self.caller_address
    }

    /// Returns the address for the other VMs.
    pub fn peer_address(&self) -> &str {
        &self.peer_address
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> &str {
        &self.operator_address
    }

    /// Returns the process.
    pub fn process(&mut self) -> &mut Process {
        &mut self.process
    }
}

/// Returns the TOML line of a setting, or nothing if its value is empty.
fn setting_line(key: &str, value: &str) -> String {
    match value {
        "" => String::new(),
        value => format!("{key} = \"{value}\"\n"),
    }
}
