//! A request that crashes each engine that runs it comes again after all routers were killed.

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

/// Time limit of the request, in milliseconds.
const LIMIT_MS: u64 = 3_000;

/// `contact_ms` of the sheet.
const CONTACT_MS: u128 = 3_000;

/// Engines of `van-dispatch` on the sheet of qaghaz-fleet.
const ENGINES: usize = 4;

/// Time after which the caller sends the request again: at once, as far as a caller can.
const PAUSE: Duration = Duration::from_millis(50);

/// Retries that may reach engines.
const RETRIES_MAX: usize = 3;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let deployment = Deployment::new(4, record)?;
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let plan = Arc::new(|request: &Message| match request.path() {
            "/change/poison" => Work::Crash,
            _ => Work::Answer(Duration::from_millis(60), 200, "done".to_owned()),
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
    record.write("the request comes");
    let mut number = 0;
    send_for(&deployment, record, &mut number, 10_000);
    if has_trouble {
        record.write("all routers are killed");
        for vm in &deployment.vms {
            vm.kill("herd_kill");
        }
        thread::sleep(Duration::from_secs(2));
        deployment.start()?;
    }
    // The machines are in touch again.
    thread::sleep(Duration::from_millis(CONTACT_MS as u64 + 1_000));
    record.write("the request comes again");
    send_for(&deployment, record, &mut number, 10_000);
    let lines = record.lines();
    let mut runs = Vec::new();
    for (at_ms, line) in &lines {
        if line.starts_with("engine") && line.ends_with("/change/poison") {
            runs.push(*at_ms);
        }
    }
    let third = runs.get(2).copied().unwrap_or(u128::MAX);
    let late = runs
        .iter()
        .filter(|at_ms| **at_ms > third.saturating_add(CONTACT_MS))
        .count();
    let text = format!(
        "the request crashed {} engines; {late} times it reached one later than {CONTACT_MS} ms after it had crashed the third",
        runs.len()
    );
    record.write(&text);
    println!("{text}");
    Ok(late <= RETRIES_MAX)
}

/// Sends the request again and again, at any router in turn.
fn send_for(deployment: &Deployment, record: &Record, number: &mut usize, for_ms: u128) {
    let until_ms = record.now_ms() + for_ms;
    while record.now_ms() < until_ms {
        let vm = &deployment.vms[*number % deployment.vms.len()];
        let id = format!("{:016x}", 0x90e5_0000 + *number);
        *number += 1;
        let head = request_head("POST", "/change/poison", &id, LIMIT_MS);
        let answer =
            Caller::new(vm.front).call(&head, b"bell 0:00", Duration::from_millis(LIMIT_MS + 500));
        let status = answer.as_ref().map_or(0, Message::status);
        record.write(&format!("caller gets {status} for {id} from {}", vm.name));
        thread::sleep(PAUSE);
    }
}
