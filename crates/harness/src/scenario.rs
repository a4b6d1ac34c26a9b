//! Scenario files: a deployment with its settings, its load and its faults.

use std::fmt::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use waxwing_standin::engine;
use waxwing_standin::service;
use waxwing_wire::platform::Vm;
use waxwing_wire::platform::VmList;
use waxwing_wire::platform::VmRole;
use waxwing_wire::platform::VmState;
use waxwingctl::load;

use crate::condition;
use crate::daemon::Daemon;
use crate::daemon::Options;
use crate::publish;
use crate::run::Run;
use crate::standin::Standin;

/// A deployment with its settings, its load and its faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name.
    pub name: String,
    /// Data centre of each entry VM.
    pub vms: Vec<String>,
    /// Pools of endpoints.
    pub pools: Vec<Pool>,
    /// Settings besides the pools, in TOML.
    pub settings: String,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Load.
    pub load: load::Plan,
}

/// A pool of identical endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Kind of the stand-in.
    pub kind: Kind,
    /// Data centre of each endpoint.
    pub data_centres: Vec<String>,
    /// Options of the stand-ins.
    #[serde(default)]
    pub options: Vec<String>,
    /// Maximum number of concurrent requests for an endpoint.
    pub slots_max: u32,
    /// Slots that only tier 0 may use.
    #[serde(default)]
    pub reserved_slots: u32,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A fault during the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in seconds from the start of the load.
    pub at_s: f64,
    /// Kind of the fault, with its target.
    pub fault: FaultKind,
}

/// Kind of a fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// An endpoint is slower by a factor from now on; 1 ends it.
    SlowEndpoint {
        /// Pool.
        pool: String,
        /// Index in the pool.
        index: usize,
        /// Factor.
        factor: f64,
    },
    /// An endpoint is killed.
    KillEndpoint {
        /// Pool.
        pool: String,
        /// Index in the pool.
        index: usize,
    },
    /// An entry VM is killed.
    KillVm {
        /// Index of the VM.
        index: usize,
    },
}

/// Result of a scenario run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Report of the load generator.
    pub report: load::Report,
    /// Generated tokens that were discarded.
    pub wasted_tokens: f64,
    /// Number of preemptions.
    pub preemptions: f64,
    /// Calls of plain services that repeated the idempotency key of another call.
    pub duplicate_calls: usize,
}

struct RunningScenario {
    daemons: Vec<Daemon>,
    pools: Vec<Vec<Standin>>,
    log: Standin,
    vm_list: Standin,
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the file cannot be read or is not a scenario.
    pub fn read(file: &str) -> Result<Self, String> {
        let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
        toml::from_str(&text).map_err(|error| format!("{file}: {error}"))
    }

    /// Runs the scenario with real processes under a policy, `tiers` or `baseline`.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start.
    pub fn run(&self, policy: &str, seed: u64) -> Outcome {
        let run = Run::new();
        let mut running = self.start(&run, policy);
        let mut plan = self.load.clone();
        plan.seed = seed;
        let addresses: Vec<String> = running
            .daemons
            .iter()
            .map(|daemon| daemon.caller_address().to_owned())
            .collect();
        let sender = thread::spawn(move || load::run(&plan, &addresses));
        self.inject(&mut running);
        let report = sender
            .join()
            .expect("the load thread ends")
            .expect("an entry answers");
        let mut outcome = Outcome {
            report,
            wasted_tokens: 0.0,
            preemptions: 0.0,
            duplicate_calls: 0,
        };
        for daemon in &running.daemons {
            outcome.wasted_tokens += daemon.counter_sum("waxwing_wasted_tokens_total");
            outcome.preemptions += daemon.counter_sum("waxwing_preemptions_total");
        }
        outcome.duplicate_calls = running.count_duplicate_calls(&self.pools);
        outcome
    }

    fn start(&self, run: &Run, policy: &str) -> RunningScenario {
        let log = Standin::start(run, "log", "log", &[]);
        let vm_list = Standin::start(run, "vm-list", "vm-list", &[]);
        let mut pools = Vec::new();
        for pool in &self.pools {
            let mut endpoints = Vec::new();
            let options: Vec<&str> = pool.options.iter().map(String::as_str).collect();
            for index in 0..pool.data_centres.len() {
                let name = format!("{}-{index}", pool.name);
                endpoints.push(Standin::start(
                    run,
                    &name,
                    pool.kind.standin_kind(),
                    &options,
                ));
            }
            pools.push(endpoints);
        }
        let settings = self.settings_text(&pools, policy);
        assert!(
            publish::publish_settings(&log.address(), &settings),
            "the settings are published"
        );
        let mut daemons = Vec::new();
        for (index, data_centre) in self.vms.iter().enumerate() {
            let options = Options {
                data_centre: data_centre.clone(),
                log_address: log.address(),
                vm_list_address: vm_list.address(),
                extra: "[limits]\nentries_lifetime_s = 2\n".to_owned(),
                ..Options::default()
            };
            daemons.push(Daemon::start(run, &format!("vm-{index}"), &options));
        }
        let running = RunningScenario {
            daemons,
            pools,
            log,
            vm_list,
        };
        running.vm_list.set_vms(&self.vm_list(&running.daemons));
        for daemon in &running.daemons {
            daemon.wait_for_settings();
            condition::wait_until("all VMs are members", || {
                daemon.members().len() == self.vms.len()
            });
        }
        running
    }

    fn settings_text(&self, pools: &[Vec<Standin>], policy: &str) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        for (pool, endpoints) in self.pools.iter().zip(pools) {
            let name = &pool.name;
            let kind = pool.kind.settings_kind();
            let reserved_slots = pool.reserved_slots;
            let _ = writeln!(
                text,
                "[pools.{name}]\nkind = \"{kind}\"\npolicy = \"{policy}\"\nreserved_slots = {reserved_slots}"
            );
            for (index, endpoint) in endpoints.iter().enumerate() {
                let _ = writeln!(
                    text,
                    "[[pools.{name}.endpoints]]\nname = \"{name}-{index}\"\naddress = \"{}\"\ndata_centre = \"{}\"\n\
                     slots_max = {}\nchecks_fencing = true",
                    endpoint.address(),
                    pool.data_centres[index],
                    pool.slots_max
                );
            }
        }
        text + &hash_keys(&self.settings)
    }

    fn vm_list(&self, daemons: &[Daemon]) -> VmList {
        let mut vms = Vec::new();
        for (index, daemon) in daemons.iter().enumerate() {
            vms.push(Vm {
                name: format!("vm-{index}"),
                role: VmRole::Entry,
                address: daemon.caller_address().to_owned(),
                peer_address: daemon.peer_address().to_owned(),
                data_centre: self.vms[index].clone(),
                state: VmState::Live,
            });
        }
        VmList { vms }
    }

    fn inject(&self, running: &mut RunningScenario) {
        let started = Instant::now();
        let mut faults = self.faults.clone();
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        for fault in &faults {
            let due = started + Duration::from_secs_f64(fault.at_s);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            self.apply(running, &fault.fault);
        }
    }

    fn apply(&self, running: &mut RunningScenario, fault: &FaultKind) {
        match fault {
            FaultKind::SlowEndpoint {
                pool,
                index,
                factor,
            } => {
                let (kind, endpoint) = self.find_endpoint(running, pool, *index);
                match kind {
                    Kind::Engine => endpoint.set_faults(&engine::Faults {
                        slow_down: *factor,
                        ..engine::Faults::default()
                    }),
                    Kind::Service => endpoint.set_faults(&service::Faults {
                        slow_down: *factor,
                        ..service::Faults::default()
                    }),
                }
            }
            FaultKind::KillEndpoint { pool, index } => {
                self.find_endpoint(running, pool, *index).1.process().kill()
            }
            FaultKind::KillVm { index } => running.daemons[*index].process().kill(),
        }
    }

    fn find_endpoint<'a>(
        &self,
        running: &'a mut RunningScenario,
        pool: &str,
        index: usize,
    ) -> (Kind, &'a mut Standin) {
        let number = self.pools.iter().position(|known| known.name == pool);
        let number = number.expect("the pool of a fault exists");
        (self.pools[number].kind, &mut running.pools[number][index])
    }
}

impl RunningScenario {
    /// Counts the ledger entries beyond the first for each idempotency key, over all services that still run.
    fn count_duplicate_calls(&mut self, pools: &[Pool]) -> usize {
        let mut keys = Vec::new();
        for (pool, endpoints) in pools.iter().zip(&mut self.pools) {
            if pool.kind != Kind::Service {
                continue;
            }
            for endpoint in endpoints {
                if endpoint.process().exit_status().is_some() {
                    continue;
                }
                let entries = endpoint.ledger().entries;
                keys.extend(entries.into_iter().filter_map(|entry| entry.key));
            }
        }
        let all = keys.len();
        keys.sort_unstable();
        keys.dedup();
        // The log service is held only so that it outlives the daemons.
        let _ = &self.log;
        all - keys.len()
    }
}

/// Replaces `KEY:name` by the hash of the API key `name`, so that scenario files can contain API keys in clear text.
fn hash_keys(settings: &str) -> String {
    let mut text = String::new();
    for (index, part) in settings.split("KEY:").enumerate() {
        if index == 0 {
            text.push_str(part);
            continue;
        }
        let end = part.find('"').unwrap_or(part.len());
        text.push_str(blake3::hash(&part.as_bytes()[..end]).to_hex().as_str());
        text.push_str(&part[end..]);
    }
    text
}

impl Kind {
    fn standin_kind(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::Service => "service",
        }
    }

    fn settings_kind(self) -> &'static str {
        match self {
            Self::Engine => "model",
            Self::Service => "service",
        }
    }
}
