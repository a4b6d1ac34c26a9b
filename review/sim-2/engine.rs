//! Stand-in of an engine that registers itself in the store.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// Interval of the engine's entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Silence after which the platform removes an entry: three intervals.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// What an engine does with a request that it runs.
pub enum Work {
    /// Works for so long, and answers with a status and a body.
    Answer(Duration, u16, String),
}

/// Decides what an engine does with a request.
pub type Plan = Arc<dyn Fn(&Message) -> Work + Send + Sync>;

struct Boot {
    id: String,
    born_ms: u128,
    is_up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

struct State {
    name: String,
    service: String,
    address: SocketAddr,
    store: Store,
    record: Record,
    plan: Plan,
    boots: AtomicU64,
    boot: Mutex<Option<Arc<Boot>>>,
}

/// An engine; it keeps its address when it starts again.
#[derive(Clone)]
pub struct Engine(Arc<State>);

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

impl Engine {
    pub fn start(
        ip: &str,
        name: &str,
        service: &str,
        store: &Store,
        record: &Record,
        plan: Plan,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind(format!("{ip}:0")).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let engine = Self(Arc::new(State {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            store: store.clone(),
            record: record.clone(),
            plan,
            boots: AtomicU64::new(0),
            boot: Mutex::new(None),
        }));
        engine.boot(listener);
        Ok(engine)
    }

    fn boot(&self, listener: TcpListener) {
        let state = &self.0;
        let number = state.boots.fetch_add(1, Ordering::SeqCst);
        let boot = Arc::new(Boot {
            id: format!("i-{}-{number}", state.name),
            born_ms: unix_ms(),
            is_up: AtomicBool::new(true),
            connections: Mutex::default(),
        });
        *state.boot.lock().unwrap() = Some(Arc::clone(&boot));
        state
            .record
            .write(&format!("engine {} starts at {}", boot.id, state.address));
        let engine = self.clone();
        let beating = Arc::clone(&boot);
        thread::spawn(move || engine.beat(&beating));
        let engine = self.clone();
        thread::spawn(move || engine.accept(&boot, &listener));
    }

    /// Writes the engine's entry at each heartbeat, and lets it expire after the engine's end.
    fn beat(&self, boot: &Boot) {
        let mut sequence = 0;
        while boot.is_up.load(Ordering::SeqCst) {
            sequence += 1;
            self.write_entry(boot, sequence);
            thread::sleep(HEARTBEAT);
        }
        thread::sleep(EXPIRY.saturating_sub(HEARTBEAT));
        self.0.store.put("keyed.servers", &boot.id, "");
    }

    fn write_entry(&self, boot: &Boot, sequence: u64) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"lub-a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.0.service, self.0.address, boot.born_ms
        );
        self.0.store.put("keyed.servers", &boot.id, &entry);
    }

    fn accept(&self, boot: &Arc<Boot>, listener: &TcpListener) {
        let _ = listener.set_nonblocking(true);
        while boot.is_up.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                boot.connections.lock().unwrap().push(copy);
            }
            let engine = self.clone();
            let boot = Arc::clone(boot);
            thread::spawn(move || engine.serve(&boot, stream));
        }
    }

    fn serve(&self, boot: &Boot, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            http::read_body(&mut reader, &mut request, false);
            let is_up = boot.is_up.load(Ordering::SeqCst);
            if !request.is_whole || !is_up || !self.answer(boot, &request, reader.get_mut()) {
                break;
            }
        }
        let _ = reader.get_ref().shutdown(Shutdown::Both);
    }

    /// Answers a request; returns whether the connection is kept.
    fn answer(&self, boot: &Boot, request: &Message, stream: &mut TcpStream) -> bool {
        let state = &self.0;
        let attempt = request.header("x-waxwingrouter-attempt-id");
        let expected = request.header("x-waxwingrouter-expect-instance");
        if !expected.is_empty() && expected != boot.id {
            let head = format!(
                "HTTP/1.1 421 -\r\nX-Waxwingrouter-Attempt-Id: {attempt}\r\nX-Waxwingrouter-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return stream.write_all(head.as_bytes()).is_ok();
        }
        state.record.write(&format!(
            "engine {} runs {attempt} {}",
            boot.id,
            request.path()
        ));
        let common = format!(
            "X-Waxwingrouter-Attempt-Id: {attempt}\r\nX-Waxwingrouter-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             X-Waxwingrouter-Server-Load: 1,0,6\r\n"
        );
        match (state.plan)(request) {
            Work::Answer(work, status, body) => {
                thread::sleep(work);
                let head = format!(
                    "HTTP/1.1 {status} -\r\n{common}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if !boot.is_up.load(Ordering::SeqCst) {
                    return false;
                }
                state.record.write(&format!(
                    "engine {} answers {attempt} with {status}",
                    boot.id
                ));
                stream.write_all(head.as_bytes()).is_ok()
            }
        }
    }
}
