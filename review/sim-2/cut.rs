//! An engine that is draining crashes between two events of streams that have no length.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::deployment::request_head;
use crate::deployment::Deployment;
use crate::engine::Engine;
use crate::engine::Work;
use crate::http::Caller;
use crate::http::Message;
use crate::record::Record;

/// Streams that are asked for.
const STREAMS: usize = 24;

/// Events of a stream, as on the sheet for `chime-tag`.
const EVENTS: usize = 57;

/// Pause before each event; a stream takes 3.4 s.
const PAUSE: Duration = Duration::from_millis(60);

/// Time limit of a stream, in milliseconds.
const LIMIT_MS: u64 = 15_000;

/// Time from the report that it is draining to the engine's crash; less than `drain_ms`.
const CRASH_AFTER: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let deployment = Deployment::new(2, record)?;
    let mut engines = Vec::new();
    for index in 0..9 {
        let plan = Arc::new(|_: &Message| Work::Unframed(EVENTS, PAUSE));
        let name = format!("lm{index}");
        engines.push(Engine::start(
            &deployment.ip,
            &name,
            "lm-pool",
            &deployment.store,
            record,
            plan,
        )?);
    }
    deployment.start()?;
    thread::sleep(Duration::from_secs(4));
    let mut answers = Vec::new();
    thread::scope(|scope| {
        let mut callers = Vec::new();
        for number in 0..STREAMS {
            let front = deployment.vms[number % deployment.vms.len()].front;
            callers.push(scope.spawn(move || call(front, number, record)));
        }
        thread::sleep(Duration::from_millis(500));
        for engine in engines.iter().take(2) {
            engine.drain();
        }
        thread::sleep(CRASH_AFTER);
        if has_trouble {
            for engine in engines.iter().take(2) {
                engine.end("crash");
            }
        }
        for caller in callers {
            answers.extend(caller.join());
        }
    });
    let early = answers
        .iter()
        .filter(|(is_complete, events)| *is_complete && *events < EVENTS)
        .count();
    let whole = answers
        .iter()
        .filter(|(is_complete, events)| *is_complete && *events == EVENTS)
        .count();
    let text = format!("{early} of {STREAMS} streams ended as complete before their last piece; {whole} were whole");
    record.write(&text);
    println!("{text}");
    Ok(early == 0)
}

/// Asks for a stream; returns whether it ended as complete, and its events.
fn call(front: SocketAddr, number: usize, record: &Record) -> (bool, usize) {
    let id = format!("{:016x}", 0xc470_0000 + number);
    let head = request_head("POST", "/tag/chime", &id, LIMIT_MS);
    record.write(&format!("caller asks for stream {id}"));
    let limit = Duration::from_millis(LIMIT_MS + 500);
    match Caller::new(front).call(&head, b"tag", limit) {
        Ok(answer) => {
            let text = String::from_utf8_lossy(&answer.body);
            let events = text.matches("data: piece ").count();
            let end = if answer.is_whole {
                "complete"
            } else {
                "broken off"
            };
            record.write(&format!(
                "caller gets {} for {id}: {events} pieces of {EVENTS}, {end}",
                answer.status()
            ));
            (answer.status() == 200 && answer.is_whole, events)
        }
        Err(error) => {
            record.write(&format!("caller gets nothing for {id}: {error}"));
            (false, 0)
        }
    }
}
