//! Runs stand-ins and fault proxies as processes.

use serde::Serialize;
use waxwing_standin::ListenAddresses;
use waxwing_standin::service::Ledger;
use waxwing_wire::platform::VmList;

use crate::condition;
use crate::control;
use crate::process::Process;
use crate::run::Run;

/// Maximum number of attempts to start a stand-in.
///
/// A start fails if a child of another test thread, between its fork and its exec, holds the port that was free before.
const STARTS_MAX: u32 = 5;

/// A stand-in or fault proxy that runs as a process.
#[derive(Debug)]
pub struct Standin {
    process: Process,
    kind: &'static str,
    options: Vec<String>,
    started: ListenAddresses,
}

impl Standin {
    /// Starts a stand-in on a free port with options such as `["--gap-ms", "10"]`.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn start(run: &Run, name: &str, kind: &'static str, options: &[&str]) -> Self {
        let options = options.iter().map(|&option| option.to_owned()).collect();
        Self::start_kind(run, name, kind, options)
    }

    /// Starts a fault proxy in front of `target`.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn start_proxy(run: &Run, name: &str, target: &str) -> Self {
        let options = vec![target.to_owned()];
        Self::start_kind(run, name, "proxy", options)
    }

    fn start_kind(run: &Run, name: &str, kind: &'static str, options: Vec<String>) -> Self {
        for _ in 0..STARTS_MAX {
            let arguments = build_arguments(kind, run.reserve_address(), &options);
            let mut process = Process::start(run, name, "standin", arguments);
            if let Some(started) = wait_for_start(&mut process, 0) {
                return Self {
                    process,
                    kind,
                    options,
                    started,
                };
            }
            println!("{}", process.output());
        }
        panic!("{name} did not start {STARTS_MAX} times");
    }

    /// Returns the address as `IP:PORT`.
    pub fn address(&self) -> String {
        self.started.address.to_string()
    }

    /// Returns the process.
    pub fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Restarts the stand-in on the same address; its state is lost and its `started_id` may change.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn restart(&mut self) {
        let address = self.started.address.to_string();
        let arguments = build_arguments(self.kind, address, &self.options);
        self.process.set_arguments(arguments);
        for _ in 0..STARTS_MAX {
            let seen = self.process.output().len();
            self.process.restart();
            if let Some(started) = wait_for_start(&mut self.process, seen) {
                self.started = started;
                return;
            }
        }
        panic!("{} did not restart {STARTS_MAX} times", self.process.name());
    }

    /// Sets the faults.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not accept them.
    pub fn set_faults<F: Serialize>(&self, faults: &F) {
        let url = format!("http://{}/faults", self.started.control);
        assert!(
            control::put(&url, faults),
            "{} did not accept its faults",
            self.process.name()
        );
    }

    /// Returns the ledger of a plain service.
    ///
    /// # Panics
    ///
    /// Panics if the service does not answer.
    pub fn ledger(&self) -> Ledger {
        let url = format!("http://{}/ledger", self.started.address);
        control::get(&url).expect("the service answers with its ledger")
    }

    /// Returns the counters of a log service.
    ///
    /// # Panics
    ///
    /// Panics if the log service does not answer.
    pub fn log_counts(&self) -> waxwing_standin::log::Counts {
        let url = format!("http://{}/counts", self.started.address);
        control::get(&url).expect("the log service answers with its counts")
    }

    /// Sets the VMs that the VM list stand-in reports.
    ///
    /// # Panics
    ///
    /// Panics if the VM list does not accept it.
    pub fn set_vms(&self, list: &VmList) {
        let url = format!("http://{}/vms", self.started.address);
        assert!(control::put(&url, list), "the VM list is set");
    }
}

fn build_arguments(kind: &str, address: String, options: &[String]) -> Vec<String> {
    let mut arguments = vec![kind.to_owned(), address];
    arguments.extend(options.iter().cloned());
    arguments
}

/// Waits for the line with the addresses after the first `seen` bytes of output; `None` if the process exits first.
fn wait_for_start(process: &mut Process, seen: usize) -> Option<ListenAddresses> {
    let what = format!("{} starts", process.name());
    condition::wait_for(&what, || {
        if process.exit_status().is_some() {
            return Some(None);
        }
        let output = process.output();
        let new = output.get(seen..)?;
        let started = new.lines().find_map(|line| serde_json::from_str(line).ok());
        started.map(Some)
    })
}
