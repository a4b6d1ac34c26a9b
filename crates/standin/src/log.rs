//! Stand-in for the platform's append-only log service.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hyper::Method;
use serde::Deserialize;
use serde::Serialize;
use waxwing_wire::platform::Append;
use waxwing_wire::platform::Appended;
use waxwing_wire::platform::Page;
use waxwing_wire::platform::Record;

use crate::fault::CommonFaults;
use crate::fault::FaultCell;
use crate::http;
use crate::http::Call;
use crate::http::ListenAddresses;

/// Maximum number of records in a page.
const PAGE_RECORDS_MAX: u64 = 1_000;

/// Interval at which a long poll checks for faults and a disconnected client, in milliseconds.
const POLL_MS: u64 = 100;

/// Configuration of the log service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Maximum number of appends within any second.
    pub appends_per_s: usize,
    /// Time for which records are kept, in milliseconds.
    pub retention_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            appends_per_s: 500,
            retention_ms: 24 * 3_600 * 1_000,
        }
    }
}

/// Faults of the log service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults that all HTTP stand-ins support.
    pub common: CommonFaults,
    /// Whether the connection of an append breaks after the append took effect.
    pub lose_acknowledgements: bool,
    /// Whether all appends are refused as if the rate were exceeded.
    pub refuse_appends: bool,
    /// Whether the connections of reads break.
    pub drop_reads: bool,
}

impl AsRef<CommonFaults> for Faults {
    fn as_ref(&self) -> &CommonFaults {
        &self.common
    }
}

/// Counters of the log service since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Appends that took effect.
    pub appends: u64,
    /// Records added by these appends.
    pub records: u64,
    /// Appends refused because of the rate or the fault.
    pub refused: u64,
}

#[derive(Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    recent_appends: VecDeque<Instant>,
    counts: Counts,
}

#[derive(Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<Record>,
}

struct Log {
    config: Config,
    faults: Arc<FaultCell<Faults>>,
    state: Mutex<State>,
    records_added: Condvar,
}

/// Starts the log service on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(address: &str, config: Config) -> std::io::Result<ListenAddresses> {
    let faults = Arc::new(FaultCell::new());
    let log = Log {
        config,
        faults: Arc::clone(&faults),
        state: Mutex::default(),
        records_added: Condvar::new(),
    };
    http::serve(address, faults, move |call| log.handle(call))
}

impl Log {
    fn handle(&self, call: Call) {
        let path = call.path.clone();
        if path == "/counts" {
            let counts = self.lock().counts;
            return call.answer(200, &counts);
        }
        let Some(stream) = path
            .strip_prefix("/streams/")
            .and_then(|rest| rest.strip_suffix("/records"))
        else {
            return call.answer(404, &"unknown path");
        };
        match call.method {
            Method::POST => self.handle_append(call, stream),
            Method::GET => self.handle_read(call, stream),
            _ => call.answer(405, &"unknown method"),
        }
    }

    fn handle_append(&self, call: Call, stream: &str) {
        let append = match call.decode_body::<Append>() {
            Ok(append) => append,
            Err(error) => return call.answer(400, &error),
        };
        let Some(appended) = self.append(stream, append) else {
            return call.answer_with_retry_after(429, 1, &"append rate exceeded");
        };
        // Dropping the call breaks the connection without an answer.
        if !self.faults.get().lose_acknowledgements {
            call.answer(200, &appended);
        }
    }

    fn append(&self, stream: &str, append: Append) -> Option<Appended> {
        let mut state = self.lock();
        let now = Instant::now();
        while let Some(oldest) = state.recent_appends.front()
            && now.duration_since(*oldest) >= Duration::from_secs(1)
        {
            state.recent_appends.pop_front();
        }
        let is_full = state.recent_appends.len() >= self.config.appends_per_s;
        if is_full || self.faults.get().refuse_appends {
            state.counts.refused += 1;
            return None;
        }
        state.recent_appends.push_back(now);
        state.counts.appends += 1;
        state.counts.records += append.records.len() as u64;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let first_offset = stream.next_offset();
        for data in append.records {
            stream.records.push_back(Record {
                offset: stream.next_offset(),
                time_ms: unix_now_ms(),
                data,
            });
        }
        self.records_added.notify_all();
        Some(Appended { first_offset })
    }

    fn handle_read(&self, call: Call, stream: &str) {
        let from = call.query_number("from").unwrap_or(0);
        let max = call.query_number("max").unwrap_or(PAGE_RECORDS_MAX);
        let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let faults = self.faults.get();
            if faults.drop_reads || call.is_client_gone() {
                return;
            }
            let stream = state.streams.entry(stream.to_owned()).or_default();
            stream.drop_expired(self.config.retention_ms);
            let left = until.saturating_duration_since(Instant::now());
            if from < stream.first_offset || from < stream.next_offset() || left.is_zero() {
                let page = stream.read_page(from, max, self.config.retention_ms);
                drop(state);
                let status = if from < page.first_offset { 410 } else { 200 };
                return call.answer(status, &page);
            }
            let wait = left.min(Duration::from_millis(POLL_MS));
            state = match self.records_added.wait_timeout(state, wait) {
                Ok((guard, _)) => guard,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let guard = self.state.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn drop_expired(&mut self, retention_ms: u64) {
        let kept_from_ms = unix_now_ms().saturating_sub(retention_ms);
        while let Some(oldest) = self.records.front()
            && oldest.time_ms < kept_from_ms
        {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }

    /// Returns the records from offset `from` on, or none if `from` is past retention.
    fn read_page(&self, from: u64, max: u64, retention_ms: u64) -> Page {
        let mut records = Vec::new();
        if let Some(skipped) = from.checked_sub(self.first_offset) {
            let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
            let max = max.min(PAGE_RECORDS_MAX) as usize;
            records.extend(self.records.iter().skip(skipped).take(max).cloned());
        }
        Page {
            records,
            first_offset: self.first_offset,
            next_offset: self.next_offset(),
            retention_ms,
        }
    }
}

fn unix_now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
