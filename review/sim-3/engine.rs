//! A stand-in for an engine: registers itself, answers, crashes and comes back.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::record::Log;
use crate::store::Store;

/// Interval of an engine's reports, in milliseconds.
pub const REPORT_MS: u64 = 1_200;

/// Topic of the engines' entries.
pub const SERVERS: &str = "keyed.servers";

/// What an engine does with a request that it begins to run.
pub enum Action {
    /// Answers with 200 and this many bytes after this many milliseconds.
    Answer { after_ms: u64, bytes: usize },
    /// Answers with its own failure.
    Fail { after_ms: u64 },
    /// Streams events with this gap, and pauses once after some of them, as when the request is preempted.
    Stream {
        from: u64,
        events: u64,
        gap_ms: u64,
        pause: Option<(u64, u64)>,
    },
    /// Runs the request, and its answer is lost.
    Lose { work_ms: u64 },
    /// Ends, with all connections.
    Crash { after_ms: u64 },
}

type Behaviour = dyn Fn(&Engine, &http::Head) -> Action + Send + Sync;

/// One boot of an engine.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: String,
    born_ms: u64,
    sequence: AtomicU64,
    is_over: AtomicBool,
    is_silent: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicU64,
    store: Arc<Store>,
    log: Arc<Log>,
    behaviour: Arc<Behaviour>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl Engine {
    /// Starts an engine at an address; port 0 takes a free one.
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        store: &Arc<Store>,
        log: &Arc<Log>,
        behaviour: &Arc<Behaviour>,
    ) -> Arc<Self> {
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        };
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            zone: "zone-a".to_owned(),
            born_ms: unix_ms(),
            sequence: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            connections: Mutex::default(),
            running: AtomicU64::new(0),
            store: Arc::clone(store),
            log: Arc::clone(log),
            behaviour: Arc::clone(behaviour),
        });
        engine.report();
        let shared = Arc::clone(&engine);
        std::thread::spawn(move || shared.accept(listener));
        let shared = Arc::clone(&engine);
        std::thread::spawn(move || shared.keep_reporting());
        engine
    }

    /// Writes the entry, as the store acknowledges it.
    pub fn report(&self) {
        let entry = self.lose_report();
        self.store.append(SERVERS, &self.id, Some(entry.as_bytes()));
    }

    /// Stops to write the entry; the engine serves on.
    pub fn stop_reporting(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    /// Returns the next entry, which does not reach the store.
    pub fn lose_report(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
             \"cold_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born_ms
        )
    }

    fn keep_reporting(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(REPORT_MS));
            if self.is_over() || self.is_silent.load(Ordering::SeqCst) {
                return;
            }
            self.report();
        }
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that it works on.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::SeqCst)
    }

    /// Ends the engine: its listener and its connections close.
    pub fn end(&self) {
        if self.is_over.swap(true, Ordering::SeqCst) {
            return;
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        listener
            .set_nonblocking(true)
            .expect("a listener can be polled");
        while !self.is_over() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.connections.lock().unwrap().push(copy);
                    }
                    let shared = Arc::clone(&self);
                    std::thread::spawn(move || shared.serve(stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &head).is_none() || self.is_over() {
                break;
            }
            let attempt = head
                .get("x-waxwingrouter-attempt-id")
                .unwrap_or("")
                .to_owned();
            let expected = head.get("x-waxwingrouter-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                self.log
                    .write(&format!("misdirected engine={} attempt={attempt}", self.id));
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Waxwingrouter-Attempt-Id: {attempt}\r\n\
                     X-Waxwingrouter-Instance-Id: {}\r\nX-Waxwingrouter-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    break;
                }
                continue;
            }
            let (_, target) = head.target();
            self.running.fetch_add(1, Ordering::SeqCst);
            self.log.write(&format!(
                "run engine={} attempt={attempt} path={target}",
                self.id
            ));
            let is_written = self.act(&head, &attempt, &mut writer);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !is_written {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    /// Works for a time, or until the caller closes the connection; returns which of the two.
    fn work(&self, connection: &TcpStream, work_ms: u64) -> &'static str {
        let until = std::time::Instant::now() + Duration::from_millis(work_ms);
        let _ = connection.set_read_timeout(Some(Duration::from_millis(5)));
        let mut end = "done";
        while std::time::Instant::now() < until {
            match connection.peek(&mut [0]) {
                Ok(0) => {
                    end = "closed";
                    break;
                }
                Ok(_) => std::thread::sleep(Duration::from_millis(5)),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => {
                    end = "closed";
                    break;
                }
            }
        }
        let _ = connection.set_read_timeout(None);
        end
    }

    /// Works on a request; returns whether the connection goes on.
    fn act(&self, head: &http::Head, attempt: &str, writer: &mut TcpStream) -> bool {
        let wait = |ms| std::thread::sleep(Duration::from_millis(ms));
        let load = format!("{},0,64", self.running());
        let answer = |status: &str, bytes: usize| {
            format!(
                "HTTP/1.1 {status}\r\nX-Waxwingrouter-Attempt-Id: {attempt}\r\nX-Waxwingrouter-Response-Stamp: s.{attempt}.{bytes}\r\n\
                 X-Waxwingrouter-Server-Load: {load}\r\nContent-Length: {bytes}\r\n\r\n"
            )
        };
        match (self.behaviour)(self, head) {
            Action::Answer { after_ms, bytes } => {
                wait(after_ms);
                if self.is_over()
                    || writer
                        .write_all(answer("200 OK", bytes).as_bytes())
                        .is_err()
                {
                    return false;
                }
                let block = vec![b'x'; bytes.min(65_536)];
                let mut left = bytes;
                while left > 0 {
                    let part = left.min(block.len());
                    if writer.write_all(&block[..part]).is_err() {
                        return false;
                    }
                    left -= part;
                }
                true
            }
            Action::Fail { after_ms } => {
                wait(after_ms);
                writer
                    .write_all(answer("500 Internal Server Error", 0).as_bytes())
                    .is_ok()
            }
            Action::Lose { work_ms } => {
                self.log
                    .write(&format!("begin engine={} attempt={attempt}", self.id));
                let end = self.work(writer, work_ms);
                self.log
                    .write(&format!("{end} engine={} attempt={attempt}", self.id));
                wait(10_000);
                false
            }
            Action::Stream {
                from,
                events,
                gap_ms,
                pause,
            } => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Waxwingrouter-Attempt-Id: {attempt}\r\nX-Waxwingrouter-Response-Stamp: s.{attempt}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                self.log
                    .write(&format!("begin engine={} attempt={attempt}", self.id));
                let mut end = "done";
                let mut is_sent = writer.write_all(head.as_bytes()).is_ok();
                for id in from + 1..=events {
                    let paused_ms = pause
                        .filter(|(after, _)| *after == id)
                        .map_or(0, |(_, ms)| ms);
                    end = self.work(writer, gap_ms + paused_ms);
                    let event = format!("id: {id}\ndata: token-{id}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    is_sent &= writer.write_all(chunk.as_bytes()).is_ok();
                    if end != "done" || !is_sent {
                        end = "closed";
                        break;
                    }
                }
                self.log
                    .write(&format!("{end} engine={} attempt={attempt}", self.id));
                is_sent && end == "done" && writer.write_all(b"0\r\n\r\n").is_ok()
            }
            Action::Crash { after_ms } => {
                wait(after_ms);
                self.log.write(&format!(
                    "crash engine={} attempt={attempt} running={}",
                    self.id,
                    self.running()
                ));
                self.end();
                false
            }
        }
    }
}
