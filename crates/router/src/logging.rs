//! Log lines in JSON.

use fern::Dispatch;
use log::LevelFilter;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;

use crate::shared::wall_clock_ms;

/// Installs the logger: one JSON object a line on standard error.
///
/// Does nothing if a logger is installed already, as in a process that runs several daemons.
pub fn install(vm: &str, level: LevelFilter) {
    let vm = vm.to_owned();
    let dispatch = Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("waxwingrouter", level)
        .format(move |out, _, record| out.finish(format_args!("{}", to_line(&vm, record))))
        .chain(std::io::stderr());
    let _ = dispatch.apply();
}

fn to_line(vm: &str, record: &Record<'_>) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    fields
        .0
        .insert("time_ms".to_owned(), wall_clock_ms().into());
    fields
        .0
        .insert("level".to_owned(), record.level().as_str().into());
    fields.0.insert("vm".to_owned(), vm.into());
    fields
        .0
        .insert("message".to_owned(), record.args().to_string().into());
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
