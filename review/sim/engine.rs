//! Stand-in of an engine: one process, which registers itself in the store and runs requests in slots, with a queue.
//!
//! Commands on its standard input: `drain` reports `draining`; a line on its standard output tells each event.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::now_ms;

/// Interval of the engine's entries, `heartbeat_ms` of the small deployments, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

struct Work {
    running: usize,
    waiting: VecDeque<u64>,
    next: u64,
    streams: usize,
}

struct Engine {
    id: String,
    service: String,
    address: String,
    store: String,
    zone: String,
    slots: usize,
    queue: usize,
    /// Time of a plain request, and pause before each event of a stream, in milliseconds.
    work_ms: u64,
    gap_ms: u64,
    /// Each such stream has neither a length nor chunks; 0 for none.
    unframed_each: usize,
    work: Mutex<Work>,
    freed: Condvar,
    is_draining: Mutex<bool>,
    sequence: Mutex<u64>,
    born_ms: u64,
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {text}", now_ms());
    let _ = out.flush();
}

/// Runs an engine until its process is killed; `options` are pairs of a name and a value.
pub fn run(options: &HashMap<String, String>) {
    let text = |name: &str| options.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
    let engine = Arc::new(Engine {
        id: text("id"),
        service: text("service"),
        address: text("address"),
        store: text("store"),
        zone: text("zone"),
        slots: number("slots") as usize,
        queue: number("queue") as usize,
        work_ms: number("work_ms"),
        gap_ms: number("gap_ms"),
        unframed_each: number("unframed_each") as usize,
        work: Mutex::new(Work {
            running: 0,
            waiting: VecDeque::new(),
            next: 0,
            streams: 0,
        }),
        freed: Condvar::new(),
        is_draining: Mutex::new(false),
        sequence: Mutex::new(0),
        born_ms: now_ms(),
    });
    let listener = TcpListener::bind(&engine.address).expect("the engine's address is free");
    engine.register();
    say(&format!("engine {} starts at {}", engine.id, engine.address));
    let shared = Arc::clone(&engine);
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            shared.register();
        }
    });
    let shared = Arc::clone(&engine);
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if line == "drain" {
                *shared.is_draining.lock().unwrap() = true;
                shared.register();
                say(&format!("engine {} has reported draining", shared.id));
            }
        }
        // Its caller has ended.
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let shared = Arc::clone(&engine);
        thread::spawn(move || shared.serve(stream));
    }
}

impl Engine {
    /// Writes the entry of this engine.
    fn register(&self) {
        let mut sequence = self.sequence.lock().unwrap();
        *sequence += 1;
        let state = if *self.is_draining.lock().unwrap() { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1\",\"slots\":{},\"state\":\"{state}\",\
             \"cold_ms\":0,\"sequence\":{},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, *sequence, self.born_ms
        );
        let request = format!(
            "POST /sim/put?topic=keyed.servers&key={} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{entry}",
            self.id,
            entry.len()
        );
        http::call(&self.store, request.as_bytes(), 1_000);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            if !self.handle(&mut writer, &request) {
                return;
            }
        }
    }

    /// Handles a request; returns whether the connection is kept.
    fn handle(&self, stream: &mut TcpStream, request: &http::Message) -> bool {
        let received = Instant::now();
        let id = request.header("x-waxwingrouter-attempt-id").unwrap_or("").to_owned();
        let draining = *self.is_draining.lock().unwrap();
        if request.target() == "/health" {
            let status = if draining { 503 } else { 200 };
            let head = format!("X-Waxwingrouter-Instance-Id: {}\r\n", self.id);
            return http::answer(stream, status, &head, b"").is_ok();
        }
        let mut head = format!("X-Waxwingrouter-Attempt-Id: {id}\r\n");
        if request.header("x-waxwingrouter-expect-instance").is_some_and(|expected| expected != self.id) {
            head.push_str(&format!("X-Waxwingrouter-Instance-Id: {}\r\n", self.id));
            return http::answer(stream, 421, &head, b"").is_ok();
        }
        let not_run = format!("{head}X-Waxwingrouter-Not-Executed: 1\r\n");
        if id.is_empty() {
            return http::answer(stream, 400, &not_run, b"").is_ok();
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let label = format!("request {id} \"{}\" at {}", body.split_whitespace().next().unwrap_or(""), self.id);
        let limit_ms = request.header("x-waxwingrouter-deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(60_000);
        say(&format!("arrives: {label}"));
        let until = received + Duration::from_millis(limit_ms);
        match self.await_slot(stream, until) {
            Turn::Run => {}
            Turn::Full => {
                say(&format!("not run, full: {label}"));
                return http::answer(stream, 503, &not_run, b"").is_ok();
            }
            Turn::Expired => {
                say(&format!("not run, too late: {label}"));
                return http::answer(stream, 503, &not_run, b"").is_ok();
            }
            Turn::Left => {
                say(&format!("not run, the caller has left the queue: {label}"));
                return false;
            }
        }
        say(&format!("runs: {label}"));
        if body.contains("crashes-engines") {
            // The engine begins to run the request and crashes.
            thread::sleep(Duration::from_millis(30));
            say(&format!("engine {} crashes: {label}", self.id));
            std::process::exit(9);
        }
        head.push_str(&format!("X-Waxwingrouter-Response-Stamp: stamp.{id}.{}\r\n", self.id));
        let is_stream = body.contains("events=");
        let is_sent = match is_stream {
            true => self.stream(stream, request, &body, &head, until),
            false => {
                thread::sleep(Duration::from_millis(self.work_ms));
                http::answer(stream, 200, &head, format!("answer to {id}").as_bytes()).is_ok()
            }
        };
        say(&format!("{}: {label}", if is_sent { "ends" } else { "is broken off" }));
        let mut work = self.work.lock().unwrap();
        work.running -= 1;
        self.freed.notify_all();
        is_sent && !draining
    }

    /// Waits in the queue for a slot.
    fn await_slot(&self, stream: &TcpStream, until: Instant) -> Turn {
        let mut work = self.work.lock().unwrap();
        if work.running < self.slots && work.waiting.is_empty() {
            work.running += 1;
            return Turn::Run;
        }
        if work.waiting.len() >= self.queue {
            return Turn::Full;
        }
        let ticket = work.next;
        work.next += 1;
        work.waiting.push_back(ticket);
        loop {
            if work.waiting.front() == Some(&ticket) && work.running < self.slots {
                work.waiting.pop_front();
                work.running += 1;
                self.freed.notify_all();
                return Turn::Run;
            }
            let is_late = Instant::now() >= until;
            if is_late || has_left(stream) {
                work.waiting.retain(|other| *other != ticket);
                self.freed.notify_all();
                return if is_late { Turn::Expired } else { Turn::Left };
            }
            work = self.freed.wait_timeout(work, Duration::from_millis(20)).unwrap().0;
        }
    }

    /// Sends the events of a stream; returns whether all were sent.
    fn stream(&self, stream: &mut TcpStream, request: &http::Message, body: &str, head: &str, until: Instant) -> bool {
        let events: u64 = body
            .split_whitespace()
            .find_map(|word| word.strip_prefix("events=")?.parse().ok())
            .unwrap_or(1);
        let last: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let is_unframed = {
            let mut work = self.work.lock().unwrap();
            work.streams += 1;
            self.unframed_each > 0 && work.streams.is_multiple_of(self.unframed_each)
        };
        let framing = match is_unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        if is_unframed {
            let id = request.header("x-waxwingrouter-attempt-id").unwrap_or("");
            say(&format!("answers without a length: {id} at {}", self.id));
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{head}{framing}\r\n");
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in last + 1..=events {
            thread::sleep(Duration::from_millis(self.gap_ms));
            let event = format!("id: {number}\ndata: event {number} of {events}\n\n");
            let bytes = match is_unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            if Instant::now() >= until || has_left(stream) || stream.write_all(bytes.as_bytes()).is_err() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return false;
            }
        }
        match is_unframed {
            true => stream.shutdown(std::net::Shutdown::Write).is_ok(),
            false => stream.write_all(b"0\r\n\r\n").is_ok(),
        }
    }
}

enum Turn {
    Run,
    Full,
    Expired,
    Left,
}

/// Returns whether the peer has closed the connection.
fn has_left(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
