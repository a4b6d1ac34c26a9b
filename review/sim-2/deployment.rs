//! A small deployment: a store, and router processes started with the command and the settings of the deploy file.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Caller;
use crate::record::Record;
use crate::store::Store;

/// Port of the metrics in the template.
const METRICS_PORT: u16 = 9464;

/// Memory of the smallest machine on the sheet of crsg-sortdesk, in megabytes.
pub const MEMORY_MB: u64 = 110;

/// Bytes of a request body that the operator allows.
const BODY_BYTES: usize = 4_194_304;

/// Longest time until a router is ready.
const READY: Duration = Duration::from_secs(15);

/// A router process on a loopback address of its own.
pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
    started: Mutex<Instant>,
    record: Record,
}

impl Vm {
    fn new(
        name: &str,
        ip: IpAddr,
        folder: &PathBuf,
        store: &Store,
        record: &Record,
    ) -> Result<Self, String> {
        let mut ports = Vec::new();
        let mut held = Vec::new();
        while ports.len() < 4 {
            let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
            let port = listener
                .local_addr()
                .map_err(|error| error.to_string())?
                .port();
            if UdpSocket::bind((ip, port)).is_ok() && port != METRICS_PORT {
                ports.push(port);
            }
            held.push(listener);
        }
        TcpListener::bind((ip, METRICS_PORT))
            .map_err(|error| format!("{ip}:{METRICS_PORT}: {error}"))?;
        let template =
            fs::read_to_string("deploy/settings.toml").map_err(|error| error.to_string())?;
        let values = [
            ("node_name", name.to_owned()),
            ("zone", "lub-a".to_owned()),
            ("ip", ip.to_string()),
            ("port_range.0", ports[3].to_string()),
            ("bind.front", format!("{ip}:{}", ports[0])),
            ("bind.ready", format!("{ip}:{}", ports[1])),
            ("bind.directory", format!("{ip}:{}", ports[2])),
            ("limits.memory_mb", MEMORY_MB.to_string()),
            ("limits.max_fds", "4100".to_owned()),
            ("bounds.budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "56".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.config_ms", "2000".to_owned()),
            ("platform.address", store.address.to_string()),
        ];
        let mut text = template;
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err("the template of the settings has an unknown placeholder".to_owned());
        }
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        Ok(Self {
            name: name.to_owned(),
            front: SocketAddr::new(ip, ports[0]),
            ready: SocketAddr::new(ip, ports[1]),
            settings,
            child: Mutex::new(None),
            started: Mutex::new(Instant::now()),
            record: record.clone(),
        })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) -> Result<(), String> {
        let words = deploy_command()?;
        let log = self.settings.with_extension("log");
        let log = fs::File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env_clear()
            .env("WAXWINGROUTER_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn();
        let child = child.map_err(|error| format!("{}: {error}", words[0]))?;
        self.record.write(&format!(
            "router {} starts as process {}",
            self.name,
            child.id()
        ));
        *self.child.lock().unwrap() = Some(child);
        *self.started.lock().unwrap() = Instant::now();
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /api/readiness HTTP/1.1\r\nHost: x\r\n";
        let answer = Caller::new(self.ready).call(head, b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + READY;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.write(&format!("router {} is ready", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("router {} is not ready", self.name))
    }

    /// Kills the process, as the platform does at a loss of power or a breach of the memory limit.
    pub fn kill(&self, cause: &str) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .write(&format!("router {} is killed: {cause}", self.name));
        }
    }

    /// Returns the resident memory of the process in bytes; 0 if it does not run.
    pub fn memory_bytes(&self) -> u64 {
        let id = self.child.lock().unwrap().as_ref().map_or(0, Child::id);
        let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill("end of the test");
    }
}

/// Returns the words of `run` in the deploy file.
fn deploy_command() -> Result<Vec<String>, String> {
    let text = fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let line = line.ok_or("the deploy file has no command")?;
    Ok(line
        .trim_matches('"')
        .split(' ')
        .map(str::to_owned)
        .collect())
}

pub struct Deployment {
    pub store: Store,
    pub vms: Vec<Vm>,
    /// Address of the stand-ins.
    pub ip: String,
    folder: PathBuf,
}

impl Deployment {
    /// Prepares a store with a configuration, and `vms` routers that are not started yet.
    pub fn new(vms: usize, record: &Record) -> Result<Self, String> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("waxwing-review-2-{id}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (second, third) = (1 + id / 250 % 250, 1 + id % 250);
        let ip = format!("127.{second}.{third}.1");
        let store = Store::start(&ip)?;
        store.put("keyed.op", "config", &configuration());
        let mut started = Vec::new();
        for index in 0..vms {
            let address = format!("127.{second}.{third}.{}", 10 + index);
            let address: IpAddr = address.parse().map_err(|_| "no address")?;
            let name = format!("front-lub-a-{}", index + 1);
            started.push(Vm::new(&name, address, &folder, &store, record)?);
        }
        Ok(Self {
            store,
            vms: started,
            ip,
            folder,
        })
    }

    pub fn start(&self) -> Result<(), String> {
        for vm in &self.vms {
            vm.start()?;
        }
        for vm in &self.vms {
            vm.wait_until_ready()?;
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.vms.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a configuration with routes like those on the sheet of mzds-lublin.
fn configuration() -> String {
    let routes = [
        r#"{"name":"bell-change","host":"lub.example","path_prefix":"/change/","kind":"non_idempotent","timeout_ms":3000,
           "slo_ms":300,"priority":2,"service":"bell-app","attempts":1}"#,
        r#"{"name":"plan-read","host":"lub.example","path_prefix":"/plan/","kind":"idempotent","timeout_ms":3000,
           "slo_ms":300,"priority":2,"service":"bell-app","attempts":2}"#,
        r#"{"name":"term-digest","host":"lub.example","path_prefix":"/digest/","kind":"stream","timeout_ms":12000,
           "slo_ms":2500,"priority":2,"service":"lm-pool","attempts":2,"stream_resume":true,"gap_target_ms":800}"#,
        r#"{"name":"chime-tag","host":"lub.example","path_prefix":"/tag/","kind":"stream","timeout_ms":15000,
           "slo_ms":1500,"priority":0,"service":"lm-pool","attempts":2,"stream_resume":true,"gap_target_ms":200}"#,
        r#"{"name":"notice-draft","host":"lub.example","path_prefix":"/notice/","kind":"stream","timeout_ms":8000,
           "slo_ms":1500,"priority":1,"service":"lm-pool","attempts":1,"gap_target_ms":300}"#,
    ];
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{{"name":"bell-app","health_path":"/health","max_conns":110}},
           {{"name":"lm-pool","health_path":"/health","max_conns":370}}],
           "limits":{{"header_bytes":16384,"body_bytes":{BODY_BYTES},"header_ms":3000,"idle_ms":15000}},
           "tenants":[{{"name":"school-1","api_keys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// API key of the callers.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Returns the head of a request without its last line.
pub fn request_head(method: &str, path: &str, attempt: &str, limit_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: lub.example\r\nX-Waxwingrouter-Attempt-Id: {attempt}\r\n\
         X-Waxwingrouter-Deadline-Ms: {limit_ms}\r\nAuthorization: Bearer {KEY}\r\n"
    )
}
