//! Log lines in JSON.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fern::Dispatch;
use log::LevelFilter;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;

use crate::clock::unix_now_ms;
use crate::metric;

/// Lines written in one second at most; bounds the volume when many requests fail at once.
const LINES_PER_SECOND_MAX: u64 = 400;

/// Target of the lines about a planned stop, which do not count against the bound: a process writes at most one for each
/// request in progress, once.
pub(crate) const STOP_TARGET: &str = "waxwing_gateway::stop";

/// Where log lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output, with a bound on the lines per second.
    Stdout,
    /// Standard error, unbounded.
    Stderr,
}

/// Installs the logger: one JSON object a line.
///
/// Does nothing if a logger is installed already, as in a process that runs several daemons.
pub fn install(vm: &str, level: LevelFilter, output: Output) {
    let vm = vm.to_owned();
    let dispatch = Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("waxwingrouter", level)
        .level_for("waxwing_gateway", level)
        .level_for("waxwing_platform", level)
        .format(move |out, _, record| out.finish(format_args!("{}", format_record(&vm, record))));
    let dispatch = match output {
        Output::Stdout => dispatch
            .filter(|metadata| metadata.target() == STOP_TARGET || is_within_budget())
            .chain(std::io::stdout()),
        Output::Stderr => dispatch.chain(std::io::stderr()),
    };
    // Fails only if a logger is installed already; that one then receives the lines of this daemon too.
    let _ = dispatch.apply();
}

static WINDOW_S: AtomicU64 = AtomicU64::new(0);
static LINES: AtomicU64 = AtomicU64::new(0);

fn is_within_budget() -> bool {
    let now_s = unix_now_ms() / 1_000;
    if WINDOW_S.swap(now_s, Ordering::Relaxed) != now_s {
        LINES.store(0, Ordering::Relaxed);
    }
    let is_within = LINES.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND_MAX;
    if !is_within {
        metrics::counter!(metric::LINES_DROPPED).increment(1);
    }
    is_within
}

fn format_record(vm: &str, record: &Record<'_>) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    let own = &mut fields.0;
    own.insert("time_ms".to_owned(), unix_now_ms().into());
    own.insert("level".to_owned(), record.level().as_str().into());
    own.insert("vm".to_owned(), vm.into());
    own.insert("message".to_owned(), record.args().to_string().into());
    // The visitor cannot fail, and a line without its fields is still worth writing.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0)
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
