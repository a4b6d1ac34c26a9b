//! Starts the program under test as the platform does: with the command and the template of the deploy file.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Figures of one machine; the rest is as on the small deployments.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: String,
    pub memory_mb: u64,
}

/// A process of the program under test.
pub struct Router {
    pub machine: Machine,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub starts: u32,
}

/// Returns a port that is free on an address, for TCP and UDP.
fn free_port(ip: &str) -> u16 {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("loopback has free ports");
        let port = listener.local_addr().expect("it is bound").port();
        if UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

impl Router {
    /// Writes the settings of a machine, and does not start it yet.
    pub fn new(machine: Machine, store: SocketAddr, folder: &std::path::Path) -> Self {
        let ip = &machine.ip;
        let [front, ready, directory, peers] = [0; 4].map(|_| free_port(ip));
        let mut text =
            std::fs::read_to_string("deploy/settings.toml").expect("run in the repository root");
        let values = [
            ("node_name", machine.name.clone()),
            ("zone", machine.zone.clone()),
            ("bind.front", format!("{ip}:{front}")),
            ("bind.ready", format!("{ip}:{ready}")),
            ("bind.directory", format!("{ip}:{directory}")),
            ("ip", ip.clone()),
            ("port_range.0", peers.to_string()),
            ("limits.memory_mb", machine.memory_mb.to_string()),
            ("limits.max_fds", "4100".to_owned()),
            ("bounds.budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "54".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("platform.address", store.to_string()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.config_ms", "2000".to_owned()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        text = text
            .replace("{{#heartbeat_ms}}", "")
            .replace("{{/heartbeat_ms}}", "")
            .replace("{{.}}", "1200");
        assert!(
            !text.contains("{{"),
            "the template has a placeholder that this stand-in does not know"
        );
        let settings = folder.join(format!("{}.toml", machine.name));
        std::fs::write(&settings, text).expect("the temporary folder takes files");
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Self {
            front: address(front),
            ready: address(ready),
            log: folder.join(format!("{}.log", machine.name)),
            settings,
            machine,
            child: None,
            starts: 0,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let deploy =
            std::fs::read_to_string("deploy/system.toml").expect("run in the repository root");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .expect("the deploy file has a command");
        let mut words = run.trim().trim_matches('"').split(' ');
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log can be written");
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("WAXWINGROUTER_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file"))
            .stderr(log)
            .spawn()
            .expect("target/release/waxwingrouter is built");
        self.child = Some(child);
        self.starts += 1;
    }

    /// Waits until the machine says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while began.elapsed() < limit {
            let reply = http::call(self.ready, request, Duration::from_millis(500));
            if reply.is_ok_and(|reply| reply.head.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the memory of the process that is resident, in bytes; 0 if it does not run.
    pub fn resident_bytes(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes =
            line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Returns whether the process reads the store for others, as its log says.
    pub fn reads(&self) -> bool {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let last = log.lines().rfind(|line| line.contains("fleet_role"));
        last.is_some_and(|line| line.contains("\"reads\":\"true\""))
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
