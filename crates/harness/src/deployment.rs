//! A deployment of a log service, a VM list, endpoints and daemons.

use std::fmt::Write;
use std::fs;

use waxwing_standin::service::LedgerEntry;
use waxwing_wire::platform::Vm;
use waxwing_wire::platform::VmList;
use waxwing_wire::platform::VmRole;
use waxwing_wire::platform::VmState;

use crate::caller::Caller;
use crate::daemon::Daemon;
use crate::daemon::Options;
use crate::publish;
use crate::run::Run;
use crate::standin::Standin;

/// API key of the organisation of a plan.
pub const API_KEY: &str = "harness-key";

/// Classes of [`Deployment::settings_text`]; tests add their own in [`Plan::extra_settings`].
const CLASSES: &str = r#"
[teams.desk.classes.draft]
pool = "chat"
tier = 1
target_ms = 1000
deadline_ms = 30000
[teams.desk.classes.digest]
pool = "chat"
tier = 2
target_ms = 10000
deadline_ms = 30000
delivery = "job"
"#;

/// Classes of the service pool, if there is one.
const SERVICE_CLASSES: &str = r#"
[teams.desk.classes.lookup]
pool = "dispatch"
tier = 0
target_ms = 800
deadline_ms = 10000
[teams.desk.classes.booking]
pool = "dispatch"
tier = 0
target_ms = 800
deadline_ms = 10000
idempotent = false
"#;

/// Composition of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of engines, in the pool `chat`.
    pub engines: usize,
    /// Options of each engine.
    pub engine_options: Vec<&'static str>,
    /// Whether the settings name a fault proxy in front of each engine.
    pub proxies_engines: bool,
    /// Number of plain services, in the pool `dispatch`.
    pub services: usize,
    /// Options of each plain service.
    pub service_options: Vec<&'static str>,
    /// Number of daemons.
    pub daemons: usize,
    /// Options of the log service.
    pub log_options: Vec<&'static str>,
    /// Additional TOML text for the settings file of each VM.
    pub vm_extra: String,
    /// Additional TOML text for the settings tree.
    pub extra_settings: String,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            engines: 1,
            engine_options: Vec::new(),
            proxies_engines: false,
            services: 0,
            service_options: Vec::new(),
            daemons: 1,
            log_options: Vec::new(),
            vm_extra: String::new(),
            extra_settings: String::new(),
        }
    }
}

/// A running deployment; dropping it ends all its processes.
#[derive(Debug)]
pub struct Deployment {
    /// Seed and temporary folder of the processes.
    pub run: Run,
    /// Daemons `vm-1` and up.
    pub daemons: Vec<Daemon>,
    /// Engines `engine-1` and up.
    pub engines: Vec<Standin>,
    /// Fault proxies in front of the engines, if the plan has them.
    pub engine_proxies: Vec<Standin>,
    /// Plain services `service-1` and up.
    pub services: Vec<Standin>,
    /// VM list.
    pub vm_list: Standin,
    /// Log service.
    pub log: Standin,
}

impl Deployment {
    /// Starts all processes of a plan, publishes its settings and waits until each daemon has them.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start.
    pub fn start(plan: &Plan) -> Self {
        let run = Run::new();
        let log = Standin::start(&run, "log", "log", &plan.log_options);
        let vm_list = Standin::start(&run, "vm-list", "vm-list", &[]);
        let start_endpoints = |count, kind, options: &[&str]| {
            let mut endpoints = Vec::new();
            for number in 1..=count {
                let name = format!("{kind}-{number}");
                let file = ledger_file(&run, number);
                let mut options = options.to_vec();
                if kind == "service" {
                    options.extend(["--ledger-file", &file]);
                }
                endpoints.push(Standin::start(&run, &name, kind, &options));
            }
            endpoints
        };
        let engines = start_endpoints(plan.engines, "engine", &plan.engine_options);
        let services = start_endpoints(plan.services, "service", &plan.service_options);
        let mut engine_proxies = Vec::new();
        for (index, engine) in engines.iter().enumerate() {
            if plan.proxies_engines {
                let name = format!("engine-proxy-{}", index + 1);
                let proxy = Standin::start_proxy(&run, &name, &engine.address());
                engine_proxies.push(proxy);
            }
        }
        let mut deployment = Self {
            daemons: Vec::new(),
            engines,
            engine_proxies,
            services,
            vm_list,
            log,
            run,
        };
        let settings = deployment.settings_text(&plan.extra_settings);
        assert!(
            publish::publish_settings(&deployment.log.address(), &settings),
            "the settings are published"
        );
        let options = Options {
            log_address: deployment.log.address(),
            vm_list_address: deployment.vm_list.address(),
            extra: plan.vm_extra.clone(),
            ..Options::default()
        };
        for number in 1..=plan.daemons {
            let name = format!("vm-{number}");
            let daemon = Daemon::start(&deployment.run, &name, &options);
            deployment.daemons.push(daemon);
        }
        deployment.vm_list.set_vms(&deployment.vm_list());
        for daemon in &deployment.daemons {
            daemon.wait_for_settings();
        }
        deployment
    }

    /// Returns the settings tree with `extra` at its end.
    pub fn settings_text(&self, extra: &str) -> String {
        let hash = blake3::hash(API_KEY.as_bytes()).to_hex();
        let engines = match self.engine_proxies.as_slice() {
            [] => &self.engines,
            _ => &self.engine_proxies,
        };
        let mut text = pool_text("chat", "model", engines);
        if !self.services.is_empty() {
            text += &pool_text("dispatch", "service", &self.services);
            text += SERVICE_CLASSES;
        }
        text += CLASSES;
        text += &format!("[organisations.harness]\nteam = \"desk\"\nkey_hashes = [\"{hash}\"]\n");
        text + extra
    }

    /// Returns a list of all VMs, each with the state `live`.
    pub fn vm_list(&self) -> VmList {
        let mut vms = Vec::new();
        for (index, daemon) in self.daemons.iter().enumerate() {
            vms.push(Vm {
                name: format!("vm-{}", index + 1),
                role: VmRole::Entry,
                address: daemon.caller_address().to_owned(),
                peer_address: daemon.peer_address().to_owned(),
                data_centre: "dc-1".to_owned(),
                state: VmState::Live,
            });
        }
        for (kind, endpoints) in [("engine", &self.engines), ("service", &self.services)] {
            for (index, endpoint) in endpoints.iter().enumerate() {
                vms.push(Vm {
                    name: format!("{kind}-{}", index + 1),
                    role: VmRole::Endpoint,
                    address: endpoint.address(),
                    peer_address: String::new(),
                    data_centre: "dc-1".to_owned(),
                    state: VmState::Live,
                });
            }
        }
        VmList { vms }
    }

    /// Returns all calls that plain services ran, including those before a service was killed.
    ///
    /// # Panics
    ///
    /// Panics if a ledger file cannot be read.
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        let mut entries = Vec::new();
        for number in 1..=self.services.len() {
            let text = fs::read_to_string(ledger_file(&self.run, number));
            for line in text.expect("the ledger file can be read").lines() {
                entries.push(serde_json::from_str(line).expect("a line is a ledger entry"));
            }
        }
        entries
    }

    /// Returns a caller of the daemon at `index`.
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(self.daemons[index].caller_address(), API_KEY)
    }
}

fn ledger_file(run: &Run, number: usize) -> String {
    let file = run.folder().join(format!("service-{number}.ledger"));
    file.display().to_string()
}

fn pool_text(pool: &str, kind: &str, endpoints: &[Standin]) -> String {
    let mut text = format!("[pools.{pool}]\nkind = \"{kind}\"\n");
    let prefix = if kind == "model" { "engine" } else { kind };
    for (index, endpoint) in endpoints.iter().enumerate() {
        // Writing to a string does not fail.
        let _ = write!(
            text,
            r#"[[pools.{pool}.endpoints]]
name = "{prefix}-{}"
address = "{}"
data_centre = "dc-1"
checks_fencing = true
"#,
            index + 1,
            endpoint.address()
        );
    }
    text
}
