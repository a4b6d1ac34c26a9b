//! Stand-in for the platform's append-only log service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tiny_http::Method;
use tiny_http::Request;
use waxwing_wire::platform::Append;
use waxwing_wire::platform::Appended;
use waxwing_wire::platform::Page;
use waxwing_wire::platform::Record;

use crate::http;

/// Time for which records are kept, in milliseconds.
const RETENTION_MS: u64 = 24 * 3_600 * 1_000;

/// Most records of one page.
const PAGE_RECORDS_MAX: usize = 1_000;

#[derive(Default)]
struct Streams {
    records: Mutex<BTreeMap<String, Vec<Record>>>,
    grown: Condvar,
}

/// Starts the log service on `address` and returns the address that it listens on.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(address: &str) -> std::io::Result<SocketAddr> {
    let streams = Arc::new(Streams::default());
    http::serve(address, move |request| streams.handle(request))
}

impl Streams {
    fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        let (path, query) = http::to_path(&url);
        let Some(stream) = path
            .strip_prefix("/streams/")
            .and_then(|rest| rest.strip_suffix("/records"))
        else {
            return http::answer(request, 404, &"unknown path");
        };
        match request.method() {
            Method::Post => match http::to_body::<Append>(&mut request) {
                Some(append) => http::answer(request, 200, &self.append(stream, append)),
                None => http::answer(request, 400, &"malformed append"),
            },
            Method::Get => {
                let to_number = |name: &str| {
                    query
                        .iter()
                        .find(|pair| pair.0 == name)
                        .and_then(|pair| pair.1.parse().ok())
                };
                let from = to_number("from").unwrap_or(0);
                let wait_ms = to_number("wait_ms").unwrap_or(0);
                http::answer(request, 200, &self.read(stream, from, wait_ms));
            }
            _ => http::answer(request, 405, &"unknown method"),
        }
    }

    fn append(&self, stream: &str, append: Append) -> Appended {
        let mut all = self
            .records
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let records = all.entry(stream.to_owned()).or_default();
        let first_offset = records.len() as u64;
        for data in append.records {
            records.push(Record {
                offset: records.len() as u64,
                time_ms: to_now_ms(),
                data,
            });
        }
        self.grown.notify_all();
        Appended { first_offset }
    }

    fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Page {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut all = self
            .records
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        loop {
            let records = all.get(stream).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() as u64 > from || left.is_zero() {
                let new = records.iter().skip(from as usize).take(PAGE_RECORDS_MAX);
                return Page {
                    records: new.cloned().collect(),
                    first_offset: 0,
                    next_offset: records.len() as u64,
                    retention_ms: RETENTION_MS,
                };
            }
            all = match self.grown.wait_timeout(all, left) {
                Ok((guard, _)) => guard,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}

fn to_now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
