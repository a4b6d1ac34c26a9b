//! A small deployment on loopback addresses: the store, engines and VMs of the router, each VM and engine a process.

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http;
use crate::http::Outcome;
use crate::now_ms;
use crate::store::Store;

/// Bounds of the site mzds-lublin.
pub const CONTACT_MS: u64 = 3_000;
pub const GRACE_MS: u64 = 8_000;

/// Key of the callers.
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// `memory_mb` and `max_fds` of the four machines of mzds-lublin.
const MACHINES: [(u64, u64); 4] = [(165, 6_150), (165, 6_150), (330, 12_300), (220, 8_200)];

/// A process that is killed when this is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub struct Vm {
    pub name: String,
    memory_mb: u64,
    pub front: String,
    ready: String,
    directory: String,
    settings: PathBuf,
    process: Mutex<Option<Process>>,
}

pub struct EngineProcess {
    pub id: Mutex<String>,
    options: HashMap<String, String>,
    process: Mutex<Option<Process>>,
    starts: Mutex<usize>,
    /// Whether it starts again when it has ended.
    pub is_kept: AtomicBool,
}

pub struct Deployment {
    pub store: Store,
    store_address: String,
    pub vms: Vec<Vm>,
    pub engines: Vec<EngineProcess>,
    folder: PathBuf,
    record: Mutex<File>,
    record_path: PathBuf,
    is_over: AtomicBool,
}

/// An engine to start.
pub struct EnginePlan {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u64,
    pub queue: u64,
    pub work_ms: u64,
    pub gap_ms: u64,
    pub unframed_each: u64,
}

/// Finds an octet whose addresses are free.
fn find_block() -> u8 {
    let start = (std::process::id() % 60) as u8;
    for step in 0..60 {
        let block = 64 + (start + step) % 60;
        let wanted = ["1.1:8227", "1.1:8220", "1.1:8224", "1.1:9464", "1.1:7340", "250.1:8223", "200.1:8100"];
        let is_free = |end: &&str| TcpListener::bind(format!("127.{block}.{end}")).is_ok();
        if wanted.iter().all(|end| is_free(&end)) {
            return block;
        }
    }
    panic!("no free loopback addresses");
}

impl Deployment {
    /// Starts everything and waits until all VMs are ready and know their share of the budget, if `settles`.
    pub fn start(zones: &[&str], plans: &[EnginePlan], configuration: &str, folder: PathBuf) -> Arc<Self> {
        let block = find_block();
        let store_address = format!("127.{block}.250.1:8223");
        let record_path = PathBuf::from(std::env::var("RECORD").expect("RECORD names the record"));
        let record = OpenOptions::new().append(true).create(true).open(&record_path).unwrap();
        let mut deployment = Self {
            store: Store::start(&store_address),
            store_address,
            vms: Vec::new(),
            engines: Vec::new(),
            folder,
            record: Mutex::new(record),
            record_path,
            is_over: AtomicBool::new(false),
        };
        deployment.store.put("keyed.op", "config", configuration.as_bytes());
        for (index, plan) in plans.iter().enumerate() {
            let mut options = HashMap::new();
            let mut set = |name: &str, value: String| options.insert(name.to_owned(), value);
            set("service", plan.service.to_owned());
            set("zone", plan.zone.to_owned());
            set("address", format!("127.{block}.{}.1:8100", 200 + index));
            set("store", deployment.store_address.clone());
            set("slots", plan.slots.to_string());
            set("queue", plan.queue.to_string());
            set("work_ms", plan.work_ms.to_string());
            set("gap_ms", plan.gap_ms.to_string());
            set("unframed_each", plan.unframed_each.to_string());
            deployment.engines.push(EngineProcess {
                id: Mutex::default(),
                options,
                process: Mutex::default(),
                starts: Mutex::default(),
                is_kept: AtomicBool::new(true),
            });
        }
        for (index, zone) in zones.iter().enumerate() {
            deployment.add_vm(block, index + 1, zone);
        }
        let deployment = Arc::new(deployment);
        for index in 0..deployment.engines.len() {
            deployment.start_engine(index);
        }
        for vm in &deployment.vms {
            deployment.start_vm(vm);
        }
        deployment.await_ready();
        let shared = Arc::clone(&deployment);
        thread::spawn(move || shared.check_readiness());
        deployment
    }

    fn add_vm(&mut self, block: u8, number: usize, zone: &str) {
        let ip = format!("127.{block}.{number}.1");
        let name = format!("front-{zone}-{number}");
        let (memory_mb, max_fds) = MACHINES[number - 1];
        let values = [
            ("node_name", name.clone()),
            ("zone", zone.to_owned()),
            ("bind.front", format!("{ip}:8227")),
            ("bind.ready", format!("{ip}:8220")),
            ("bind.directory", format!("{ip}:8224")),
            ("ip", ip.clone()),
            ("port_range.0", "7340".to_owned()),
            ("limits.memory_mb", memory_mb.to_string()),
            ("limits.max_fds", max_fds.to_string()),
            ("bounds.budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "56".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("platform.address", self.store_address.clone()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.config_ms", "2000".to_owned()),
        ];
        let mut text = fs::read_to_string("deploy/settings.toml").expect("deploy/settings.toml can be read");
        for (placeholder, value) in values {
            text = text.replace(&format!("{{{{{placeholder}}}}}"), &value);
        }
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap();
        self.vms.push(Vm {
            name,
            memory_mb,
            front: format!("{ip}:8227"),
            ready: format!("{ip}:8220"),
            directory: format!("{ip}:8224"),
            settings,
            process: Mutex::default(),
        });
    }

    pub fn note(&self, text: &str) {
        let _ = writeln!(self.record.lock().unwrap(), "{} {text}", now_ms());
    }

    fn append_record(&self) -> Stdio {
        Stdio::from(OpenOptions::new().append(true).open(&self.record_path).unwrap())
    }

    /// Starts a VM with the command of the deploy file.
    pub fn start_vm(&self, vm: &Vm) {
        let log = OpenOptions::new().append(true).create(true).open(self.folder.join(format!("{}.log", vm.name))).unwrap();
        let child = Command::new("target/release/waxwingrouter")
            .arg("platform")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("WAXWINGROUTER_SETTINGS", &vm.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("target/release/waxwingrouter starts");
        let mut pids = OpenOptions::new().append(true).create(true).open(self.folder.join("pids")).unwrap();
        let _ = writeln!(pids, "{}", child.id());
        self.note(&format!("vm {} starts", vm.name));
        *vm.process.lock().unwrap() = Some(Process(child));
    }

    /// Sends SIGKILL to a VM.
    pub fn kill_vm(&self, vm: &Vm) {
        self.note(&format!("vm {} gets SIGKILL", vm.name));
        drop(vm.process.lock().unwrap().take());
    }

    /// Sends SIGTERM to a VM.
    pub fn stop_vm(&self, vm: &Vm) {
        let pid = vm.process.lock().unwrap().as_ref().map(|process| process.0.id());
        if let Some(pid) = pid {
            self.note(&format!("vm {} gets SIGTERM", vm.name));
            let _ = Command::new("kill").arg("-TERM").arg(pid.to_string()).status();
        }
    }

    /// Waits until a VM has ended, for at most `limit_ms`; returns whether it has.
    pub fn await_end(&self, vm: &Vm, limit_ms: u64) -> bool {
        let until = now_ms() + limit_ms;
        while now_ms() < until {
            let ended = match vm.process.lock().unwrap().as_mut() {
                Some(process) => process.0.try_wait().is_ok_and(|status| status.is_some()),
                None => true,
            };
            if ended {
                self.note(&format!("vm {} has ended", vm.name));
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Starts an engine; each start is a new boot with a new id.
    pub fn start_engine(&self, index: usize) {
        let engine = &self.engines[index];
        let mut starts = engine.starts.lock().unwrap();
        *starts += 1;
        let id = format!("i-{index}{:07x}", *starts * 0x9e3779 % 0xfffffff);
        let mut command = Command::new("target/review/sim");
        command.arg("engine").arg("id").arg(&id);
        for (name, value) in &engine.options {
            command.arg(name).arg(value);
        }
        let child = command
            .stdin(Stdio::piped())
            .stdout(self.append_record())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("target/review/sim starts");
        *engine.id.lock().unwrap() = id;
        *engine.process.lock().unwrap() = Some(Process(child));
    }

    pub fn drain_engine(&self, index: usize) {
        if let Some(process) = self.engines[index].process.lock().unwrap().as_mut() {
            if let Some(input) = process.0.stdin.as_mut() {
                let _ = input.write_all(b"drain\n");
            }
        }
    }

    /// Sends SIGKILL to an engine.
    pub fn kill_engine(&self, index: usize) {
        let engine = &self.engines[index];
        engine.is_kept.store(false, Ordering::SeqCst);
        self.note(&format!("engine {} gets SIGKILL", engine.id.lock().unwrap()));
        drop(engine.process.lock().unwrap().take());
    }

    /// Starts engines that have crashed again after `down_ms`, and drops their entries after three intervals of silence.
    pub fn keep_engines(self: &Arc<Self>, down_ms: u64) {
        let shared = Arc::clone(self);
        thread::spawn(move || {
            while !shared.is_over.load(Ordering::SeqCst) {
                for index in 0..shared.engines.len() {
                    let engine = &shared.engines[index];
                    let has_ended = match engine.process.lock().unwrap().as_mut() {
                        Some(process) => process.0.try_wait().is_ok_and(|status| status.is_some()),
                        None => false,
                    };
                    if !has_ended || !engine.is_kept.load(Ordering::SeqCst) {
                        continue;
                    }
                    let id = engine.id.lock().unwrap().clone();
                    drop(engine.process.lock().unwrap().take());
                    let later = Arc::clone(&shared);
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(down_ms));
                        later.start_engine(index);
                    });
                    let later = Arc::clone(&shared);
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(3_600));
                        later.store.put("keyed.servers", &id, b"");
                    });
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
    }

    pub fn is_ready(&self, vm: &Vm) -> bool {
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::call(&vm.ready, request, 1_000).status == 200
    }

    pub fn await_ready(&self) {
        for vm in &self.vms {
            let until = now_ms() + 20_000;
            while !self.is_ready(vm) {
                if now_ms() > until {
                    eprintln!("{} is not ready after 20 s", vm.name);
                    std::process::exit(2);
                }
                thread::sleep(Duration::from_millis(50));
            }
            self.note(&format!("vm {} is ready", vm.name));
        }
    }

    /// Asks each VM once a second whether it is ready, as the platform does.
    fn check_readiness(&self) {
        while !self.is_over.load(Ordering::SeqCst) {
            for vm in &self.vms {
                self.is_ready(vm);
            }
            thread::sleep(Duration::from_millis(1_000));
        }
    }

    /// Returns the addresses that the directory of a VM gives.
    pub fn resolve(&self, vm: &Vm) -> String {
        let request = b"GET /api/resolve?name=ficu95.example&region=r&zone=z HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::call(&vm.directory, request, 1_000).text()
    }

    /// Sends a request of a caller and notes it with its outcome; `prompt` is its tokens and parts.
    pub fn send(&self, vm: &Vm, path: &str, id: &str, body: &str, limit_ms: u64, prompt: Option<&str>) -> Outcome {
        let prompt = match prompt {
            Some(parts) => format!(
                "X-Waxwingrouter-Model: m\r\nX-Waxwingrouter-Token-Counts: 1460,300\r\nX-Waxwingrouter-Prompt-Prefix: {parts}\r\n"
            ),
            None => String::new(),
        };
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Waxwingrouter-Attempt-Id: {id}\r\n\
             X-Waxwingrouter-Deadline-Ms: {limit_ms}\r\n{prompt}Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.note(&format!("sent: request {id} {path} to {}", vm.name));
        let outcome = http::call(&vm.front, request.as_bytes(), limit_ms);
        let end = match (outcome.status, outcome.is_whole, outcome.is_expired) {
            (0, _, true) => "no answer within its time limit".to_owned(),
            (0, _, _) if !outcome.is_sent => "no connection".to_owned(),
            (0, _, _) => "the connection ended without an answer".to_owned(),
            (status, true, _) => format!("{status}, complete, {} bytes", outcome.body.len()),
            (status, false, true) => format!("{status}, time limit in the answer"),
            (status, false, false) => format!("{status}, the connection ended in the answer"),
        };
        self.note(&format!("answered: request {id} from {}: {end}, after {} ms", vm.name, outcome.took_ms));
        outcome
    }

    /// Kills each VM whose process exceeds its `memory_mb`, as the platform does, and starts it again after a second;
    /// returns how many were killed.
    pub fn enforce_memory(self: &Arc<Self>, is_over: &Arc<Mutex<bool>>) -> JoinHandle<usize> {
        let (shared, is_over) = (Arc::clone(self), Arc::clone(is_over));
        thread::spawn(move || {
            let mut ends = 0;
            let mut most = vec![0; shared.vms.len()];
            while !*is_over.lock().unwrap() {
                for (index, vm) in shared.vms.iter().enumerate() {
                    let pid = vm.process.lock().unwrap().as_ref().map(|process| process.0.id());
                    let Some(pid) = pid else {
                        continue;
                    };
                    let used_mb = resident_bytes(pid) / 1_000_000;
                    most[index] = used_mb.max(most[index]);
                    if used_mb <= vm.memory_mb {
                        continue;
                    }
                    ends += 1;
                    shared.note(&format!("vm {} has {used_mb} MB of {} MB", vm.name, vm.memory_mb));
                    shared.kill_vm(vm);
                    let later = Arc::clone(&shared);
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(1_000));
                        later.start_vm(&later.vms[index]);
                    });
                }
                thread::sleep(Duration::from_millis(20));
            }
            shared.note(&format!("most memory of each VM, in MB: {most:?}"));
            ends
        })
    }

    /// Sends requests one after the other on kept connections until the end; returns how many were passed on to an engine
    /// and ended with their connection, without an answer.
    pub fn send_in_turn(&self, vm: &Vm, caller: usize, is_over: &Mutex<bool>) -> usize {
        let mut cut = 0;
        let mut number = 0;
        while !*is_over.lock().unwrap() {
            let Ok(stream) = TcpStream::connect(&vm.front) else {
                thread::sleep(Duration::from_millis(200));
                continue;
            };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
            let Ok(mut writer) = stream.try_clone() else {
                continue;
            };
            let mut reader = BufReader::new(stream);
            let mut served = 0;
            while !*is_over.lock().unwrap() {
                number += 1;
                let id = format!("c{caller:03}{number:012x}");
                let request = format!(
                    "GET /plan/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Waxwingrouter-Attempt-Id: {id}\r\n\
                     X-Waxwingrouter-Deadline-Ms: 3000\r\nAuthorization: Bearer {KEY}\r\n\r\n"
                );
                if writer.write_all(request.as_bytes()).is_err() {
                    break;
                }
                self.note(&format!("sent: request {id} /plan/2f to {} on a connection with {served} answers", vm.name));
                match http::read_answer(&mut reader) {
                    Some(answer) => {
                        self.note(&format!("answered: request {id} from {}: {}", vm.name, answer.status()));
                        served += 1;
                        thread::sleep(Duration::from_millis(50));
                        if answer.header("connection").is_some() {
                            break;
                        }
                    }
                    None => {
                        self.note(&format!("answered: request {id} from {}: the connection ended without an answer", vm.name));
                        thread::sleep(Duration::from_millis(100));
                        if served > 0 && self.has_arrived(&id) {
                            cut += 1;
                        }
                        break;
                    }
                }
            }
        }
        cut
    }

    fn has_arrived(&self, id: &str) -> bool {
        let record = fs::read_to_string(&self.record_path).unwrap_or_default();
        record.contains(&format!("arrives: request {id} "))
    }

    /// Sends a stream request with a long body, over a link of `bytes_per_s`.
    pub fn upload(&self, vm: &Vm, id: &str, bytes: usize, bytes_per_s: usize, limit_ms: u64) -> Outcome {
        let mut body = b"document events=2 ".to_vec();
        body.resize(bytes, b'x');
        let head = format!(
            "POST /digest/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Waxwingrouter-Attempt-Id: {id}\r\n\
             X-Waxwingrouter-Deadline-Ms: {limit_ms}\r\nX-Waxwingrouter-Model: m\r\nX-Waxwingrouter-Token-Counts: 300,300\r\n\
             X-Waxwingrouter-Prompt-Prefix: 5c1e07a2:210,{id}:90\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {bytes}\r\n\r\n"
        );
        self.note(&format!("sent: request {id} /digest/2f to {}, {bytes} bytes", vm.name));
        let outcome = http::upload(&vm.front, head.as_bytes(), &body, bytes_per_s, limit_ms);
        self.note(&format!(
            "answered: request {id} from {}: {}, {}, after {} ms",
            vm.name,
            outcome.status,
            if outcome.is_whole { "complete" } else { "not complete" },
            outcome.took_ms
        ));
        outcome
    }

    /// Starts a web server that is no engine and knows none of the paths; returns its address.
    pub fn start_web_server(self: &Arc<Self>) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the server has an address").to_string();
        let shared = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || {
                    let Ok(mut writer) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = http::read_request(&mut reader) {
                        let id = request.header("x-waxwingrouter-attempt-id").unwrap_or("").to_owned();
                        shared.note(&format!("the web server gets request {id} \"{}\"", String::from_utf8_lossy(&request.body)));
                        if http::answer(&mut writer, 404, "Content-Type: text/plain\r\n", b"not found").is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }

    /// Ends all processes.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        for engine in &self.engines {
            engine.is_kept.store(false, Ordering::SeqCst);
            drop(engine.process.lock().unwrap().take());
        }
        for vm in &self.vms {
            drop(vm.process.lock().unwrap().take());
        }
    }
}

/// Returns the resident memory of a process; 0 if it has ended.
fn resident_bytes(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Returns the configuration of the deployment.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"service\":\"{service}\",{rest}}}"
        )
    };
    let stream = "\"session_affinity\":true,";
    let routes = [
        // The figures are those of the kinds of request of mzds-lublin.
        route("chime", "stream", "lm-pool", &format!("{stream}\"timeout_ms\":15000,\"slo_ms\":1500,\"priority\":0,\"attempts\":2,\"stream_resume\":true,\"gap_target_ms\":200")),
        route("digest", "stream", "lm-pool", &format!("{stream}\"timeout_ms\":12000,\"slo_ms\":2500,\"priority\":2,\"attempts\":2,\"stream_resume\":true,\"gap_target_ms\":800")),
        route("notice", "stream", "lm-pool", &format!("{stream}\"timeout_ms\":8000,\"slo_ms\":1500,\"priority\":1,\"attempts\":1,\"stream_resume\":false,\"gap_target_ms\":300")),
        route("change", "non_idempotent", "bell-app", "\"timeout_ms\":1500,\"slo_ms\":300,\"priority\":2,\"attempts\":1"),
        route("plan", "idempotent", "bell-app", "\"timeout_ms\":1500,\"slo_ms\":300,\"priority\":2,\"attempts\":2"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"lm-pool\",\"health_path\":\"/health\",\"max_conns\":370,\
         \"engine\":{{\"kv_capacity\":417273,\"kv_bytes\":35136,\"link_mbps\":370000}}}},{{\"name\":\"bell-app\",\"health_path\":\"/health\",\
         \"max_conns\":110}}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}",
        routes.join(",")
    )
}
