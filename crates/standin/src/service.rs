//! Stand-in for a plain service with non-idempotent calls, which keeps a ledger of the calls that ran.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hyper::Method;
use serde::Deserialize;
use serde::Serialize;
use waxwing_wire::caller::FENCE_HEADER;
use waxwing_wire::caller::IDEMPOTENCY_KEY_HEADER;
use waxwing_wire::caller::RANGE_HEADER;
use waxwing_wire::platform::Health;
use waxwing_wire::platform::LoadReport;
use waxwing_wire::platform::Order;
use waxwing_wire::platform::STALE_FENCE_STATUS;

use crate::fault::CommonFaults;
use crate::fault::FaultCell;
use crate::fence::FencingTokens;
use crate::fence::OrderAnswer;
use crate::http;
use crate::http::Call;
use crate::http::ListenAddresses;
use crate::load::Slots;

/// Configuration of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Time that a call takes, in milliseconds.
    pub service_ms: u64,
    /// Maximum number of running calls; further calls queue.
    pub running_max: u32,
    /// Maximum staleness of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether calls and orders with a stale fencing token are rejected.
    pub checks_fencing: bool,
    /// File that ledger entries are appended to as JSON lines, so that they survive when the process is killed.
    pub ledger_file: Option<PathBuf>,
    /// Identifier of the process, which health and load reports include.
    pub started_id: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            service_ms: 20,
            running_max: 8,
            report_lag_ms: 500,
            checks_fencing: true,
            ledger_file: None,
            started_id: rand::random(),
        }
    }
}

/// Faults of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults that all HTTP stand-ins support.
    pub common: CommonFaults,
    /// Whether the connection of a call breaks after the call took effect.
    pub lose_acknowledgements: bool,
    /// Factor by which calls are slower; 0 and 1 have no effect.
    pub slow_down: f64,
}

impl AsRef<CommonFaults> for Faults {
    fn as_ref(&self) -> &CommonFaults {
        &self.common
    }
}

/// A call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Path of the call.
    pub path: String,
    /// Idempotency key, as sent.
    pub key: Option<String>,
    /// Key range, as sent.
    pub range: Option<String>,
    /// Fencing token.
    pub fence: Option<u64>,
    /// Start time, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// BLAKE3 hash of the body, in hexadecimal.
    pub body_hash: String,
}

/// Ledger of the calls that ran, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Calls that ran.
    pub entries: Vec<LedgerEntry>,
}

struct State {
    fences: FencingTokens,
    ledger: Ledger,
    file: Option<File>,
}

struct Service {
    config: Config,
    faults: Arc<FaultCell<Faults>>,
    slots: Slots,
    state: Mutex<State>,
}

/// Starts a plain service on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound or the ledger file cannot be opened.
pub fn start(address: &str, config: Config) -> std::io::Result<ListenAddresses> {
    let faults = Arc::new(FaultCell::new());
    let file = match &config.ledger_file {
        Some(path) => Some(OpenOptions::new().create(true).append(true).open(path)?),
        None => None,
    };
    let service = Service {
        slots: Slots::new(config.running_max, config.report_lag_ms),
        state: Mutex::new(State {
            fences: FencingTokens::new(config.checks_fencing),
            ledger: Ledger::default(),
            file,
        }),
        faults: Arc::clone(&faults),
        config,
    };
    http::serve(address, faults, move |call| service.handle(call))
}

impl Service {
    fn handle(&self, call: Call) {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/orders") => match call.decode_body::<Order>() {
                Ok(order) => self.handle_order(call, &order),
                Err(error) => call.answer(400, &error),
            },
            (&Method::POST, _) => self.run(call),
            (&Method::GET, "/healthz") => {
                let started_id = self.config.started_id;
                call.answer(200, &Health { started_id });
            }
            (&Method::GET, "/load") => call.answer(200, &self.load_report()),
            (&Method::GET, "/ledger") => {
                let ledger = self.lock().ledger.clone();
                call.answer(200, &ledger);
            }
            _ => call.answer(404, &"unknown path"),
        }
    }

    fn load_report(&self) -> LoadReport {
        let (load, age) = self.slots.reported_load();
        LoadReport {
            running: load.running,
            waiting: load.waiting,
            started_id: self.config.started_id,
            report_age_ms: age.as_millis() as u64,
            fence: self.lock().fences.highest(),
        }
    }

    fn handle_order(&self, call: Call, order: &Order) {
        let raised = self.lock().fences.raise(&order.scope, order.fence);
        match raised {
            Ok(fence) => call.answer(200, &OrderAnswer { fence }),
            Err(fence) => call.answer(STALE_FENCE_STATUS, &OrderAnswer { fence }),
        }
    }

    fn run(&self, call: Call) {
        // A call that has left the queue runs to completion even if its client disconnects.
        let Some(_slot) = self.slots.acquire(0, || call.is_client_gone()) else {
            return;
        };
        let entry = ledger_entry(&call);
        if let Err(fence) = self.record(entry.clone()) {
            return call.answer(STALE_FENCE_STATUS, &OrderAnswer { fence });
        }
        let faults = self.faults.get();
        let ms = self.config.service_ms as f64 * faults.slow_down.max(1.0);
        thread::sleep(Duration::from_millis(ms as u64));
        // Dropping the call breaks the connection without an answer.
        if !self.faults.get().lose_acknowledgements {
            call.answer(200, &entry);
        }
    }

    /// Checks the fencing token and adds the call to the ledger, atomically.
    fn record(&self, entry: LedgerEntry) -> Result<(), u64> {
        let mut state = self.lock();
        if let (Some(range), Some(fence)) = (&entry.range, entry.fence) {
            state.fences.raise(&fence_scope(range), fence)?;
        }
        if let Some(file) = &mut state.file {
            let line = serde_json::to_string(&entry).unwrap_or_default();
            if let Err(error) = writeln!(file, "{line}") {
                eprintln!("the ledger file cannot be written: {error}");
            }
        }
        state.ledger.entries.push(entry);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let guard = self.state.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Returns the scope of the fencing token of a key range, for example `claims-3`.
fn fence_scope(range: &str) -> String {
    if range.starts_with("claims-") {
        range.to_owned()
    } else {
        format!("claims-{range}")
    }
}

fn ledger_entry(call: &Call) -> LedgerEntry {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    LedgerEntry {
        path: call.path.clone(),
        key: call.header(IDEMPOTENCY_KEY_HEADER),
        range: call.header(RANGE_HEADER),
        fence: call
            .header(FENCE_HEADER)
            .and_then(|fence| fence.parse().ok()),
        time_ms: since.map_or(0, |since| since.as_millis() as u64),
        body_hash: blake3::hash(&call.body).to_hex().to_string(),
    }
}
