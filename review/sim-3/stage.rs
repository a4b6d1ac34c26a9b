//! Sets a small deployment up: the store, machines with the program, and what cases have in common.

use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Log;
use crate::router::Machine;
use crate::router::Router;
use crate::store::Store;
use crate::store::address_of;

pub struct Stage {
    pub log: Arc<Log>,
    pub store: Arc<Store>,
    pub routers: Vec<Router>,
    /// First three bytes of the addresses in use.
    pub net: String,
    folder: PathBuf,
}

impl Stage {
    /// Starts the store, writes the configuration, and prepares the machines; `config` is the operator's document.
    pub fn new(record: &str, config: &str, machines: &[(&str, u64)]) -> Self {
        let log = Arc::new(Log::create(record));
        let process = std::process::id();
        let net = format!("127.{}.{}", 64 + process % 128, process / 128 % 250 + 1);
        let folder = std::env::temp_dir().join(format!("review-3-{process}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let listener =
            TcpListener::bind((format!("{net}.200"), 0)).expect("loopback has free ports");
        let store_address = address_of(&listener);
        let store = Store::start(listener);
        store.append("keyed.op", "config", Some(config.as_bytes()));
        let mut routers = Vec::new();
        for (index, (zone, memory_mb)) in machines.iter().enumerate() {
            let machine = Machine {
                name: format!("front-{zone}-{}", index + 1),
                zone: (*zone).to_owned(),
                ip: format!("{net}.{}", index + 1),
                memory_mb: *memory_mb,
            };
            routers.push(Router::new(machine, store_address, &folder));
        }
        Self {
            log,
            store,
            routers,
            net,
            folder,
        }
    }

    /// Starts all machines and waits until they are ready.
    pub fn start(&mut self) -> Result<(), String> {
        for router in &mut self.routers {
            router.start();
        }
        for router in &self.routers {
            if !router.wait_ready(Duration::from_secs(15)) {
                return Err(format!("{} is not ready", router.machine.name));
            }
        }
        self.log.write("all machines are ready");
        Ok(())
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        for router in &mut self.routers {
            router.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
