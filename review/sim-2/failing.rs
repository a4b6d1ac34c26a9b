//! An engine that fails part of the requests that it has run, with a status that promises that they have not.

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
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

/// Bell changes that are sent.
const CHANGES: usize = 100;

/// When an engine begins to fail 45 of 100 requests, in milliseconds from the start.
const FROM_MS: u128 = 5_000;

/// How long it does so, in milliseconds.
const FOR_MS: u128 = 6_500;

/// Time limit of a bell change, in milliseconds.
const LIMIT_MS: u64 = 3_000;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let deployment = Deployment::new(2, record)?;
    let mut engines = Vec::new();
    for index in 0..3 {
        let is_grey = has_trouble && index == 0;
        let count = AtomicU64::new(0);
        let clock = record.clone();
        let plan = Arc::new(move |_: &Message| {
            let is_in = (FROM_MS..FROM_MS + FOR_MS).contains(&clock.now_ms());
            let is_failure = is_grey && is_in && count.fetch_add(1, Ordering::SeqCst) % 20 < 9;
            let status = if is_failure { 503 } else { 200 };
            Work::Answer(Duration::from_millis(60), status, "bell change".to_owned())
        });
        let name = format!("bell{index}");
        engines.push(Engine::start(
            &deployment.ip,
            &name,
            "bell-app",
            &deployment.store,
            record,
            plan,
        )?);
    }
    deployment.start()?;
    thread::sleep(Duration::from_secs(4));
    let mut callers: Vec<Caller> = deployment
        .vms
        .iter()
        .map(|vm| Caller::new(vm.front))
        .collect();
    let mut promised = Vec::new();
    let mut again = HashMap::new();
    for number in 0..CHANGES {
        let first = send(&mut callers, number, 0, record);
        if first.1 == 503 || first.1 == 429 {
            promised.push(first.0.clone());
            // The promise lets the caller send the change again.
            let second = send(&mut callers, number, 1, record);
            again.insert(first.0, second.0);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let lines = record.lines();
    let has_run = |attempt: &str| {
        let mut lines = lines.iter();
        lines.any(|(_, line)| {
            line.starts_with("engine") && line.contains(&format!("runs {attempt} "))
        })
    };
    let false_promises = promised.iter().filter(|attempt| has_run(attempt)).count();
    let twice = again
        .iter()
        .filter(|(first, second)| has_run(first) && has_run(second))
        .count();
    let text = format!(
        "{false_promises} bell changes that had run were answered 503; {twice} of them were sent again and ran twice"
    );
    record.write(&text);
    println!("{text}");
    Ok(false_promises == 0)
}

/// Sends a bell change; returns the id of the attempt and the status of the answer.
fn send(callers: &mut [Caller], number: usize, attempt: usize, record: &Record) -> (String, u16) {
    let id = format!("{:016x}", 0x7a30_0000 + 16 * number + attempt);
    let head = request_head("POST", "/change/bell", &id, LIMIT_MS);
    record.write(&format!("caller sends bell change {number} as {id}"));
    let place = (number + attempt) % callers.len();
    let answer = callers[place].call(&head, b"bell 7:55", Duration::from_millis(LIMIT_MS + 500));
    let status = answer.as_ref().map_or(0, Message::status);
    let stamp = answer
        .as_ref()
        .map_or("", |answer| answer.header("x-waxwingrouter-response-stamp"));
    record.write(&format!("caller gets {status} for {id}, stamp `{stamp}`"));
    (id, status)
}
