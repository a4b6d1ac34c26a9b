//! The cases.

use std::collections::HashMap;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::deployment;
use crate::deployment::CONTACT_MS;
use crate::deployment::Deployment;
use crate::deployment::EnginePlan;
use crate::deployment::GRACE_MS;
use crate::http::Outcome;
use crate::now_ms;

/// Time after which a case is given up, in milliseconds.
const CASE_MAX_MS: u64 = 115_000;

const ZONES: [&str; 4] = ["lub-a", "lub-a", "lub-b", "lub-c"];

/// Runs a case and exits with its code.
pub fn run(name: &str) {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let folder = std::env::var("FOLDER").map(PathBuf::from).expect("FOLDER names a temporary folder");
    let case: fn(PathBuf, bool) -> (Arc<Deployment>, Result<(), String>) = match name {
        "unframed" => unframed,
        "stop" => stop,
        "herd" => herd,
        "uploads" => uploads,
        "entry" => entry,
        _ => {
            eprintln!("no case {name}");
            std::process::exit(2);
        }
    };
    let (deployment, result) = case(folder, has_trouble);
    let code = match &result {
        Ok(()) => {
            deployment.note("the rule held");
            0
        }
        Err(message) => {
            deployment.note(&format!("the rule was broken: {message}"));
            println!("the rule was broken: {message}");
            1
        }
    };
    deployment.end();
    std::process::exit(code);
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A request of a caller, sent by a thread of its own.
struct Sent {
    id: String,
    vm: usize,
    events: usize,
    sent_ms: u64,
    outcome: Outcome,
}

#[derive(Clone, Default)]
struct Callers {
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Callers {
    /// Sends a request from a thread of its own. A stream of `events` events has a prompt with a part of its own.
    fn send(&self, deployment: &Arc<Deployment>, vm: usize, path: &str, id: &str, body: &str, events: usize, limit_ms: u64) {
        let (deployment, all) = (Arc::clone(deployment), Arc::clone(&self.sent));
        let (path, id, body) = (path.to_owned(), id.to_owned(), body.to_owned());
        let handle = thread::spawn(move || {
            let sent_ms = now_ms();
            let prompt = (events > 0).then(|| format!("5c1e07a2:350,{id}:1110"));
            let outcome = deployment.send(&deployment.vms[vm], &path, &id, &body, limit_ms, prompt.as_deref());
            all.lock().unwrap().push(Sent {
                id,
                vm,
                events,
                sent_ms,
                outcome,
            });
        });
        self.threads.lock().unwrap().push(handle);
    }

    fn await_all(&self) -> Vec<Sent> {
        loop {
            let handle = self.threads.lock().unwrap().pop();
            match handle {
                Some(handle) => drop(handle.join()),
                None => break,
            }
        }
        std::mem::take(&mut *self.sent.lock().unwrap())
    }
}

fn watch_clock() {
    thread::spawn(|| {
        sleep_ms(CASE_MAX_MS);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// Lines of the record with a text, and their times.
fn find_lines(text: &str) -> Vec<(u64, String)> {
    let record = fs::read_to_string(std::env::var("RECORD").unwrap()).unwrap_or_default();
    let lines = record.lines().filter(|line| line.contains(text));
    lines
        .filter_map(|line| {
            let (at, rest) = line.split_once(' ')?;
            Some((at.parse().ok()?, rest.to_owned()))
        })
        .collect()
}

fn new_id(number: usize) -> String {
    format!("{:016x}", (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// An engine that drains crashes while some of its answers have no length.
fn unframed(folder: PathBuf, has_trouble: bool) -> (Arc<Deployment>, Result<(), String>) {
    watch_clock();
    let mut plans = Vec::new();
    for index in 0..4 {
        plans.push(EnginePlan {
            service: "lm-pool",
            zone: ZONES[index],
            slots: 64,
            queue: 192,
            work_ms: 60,
            gap_ms: 100,
            // One answer in 20, at half of the engines.
            unframed_each: if index < 2 { 20 } else { 0 },
        });
    }
    let deployment = Deployment::start(&ZONES, &plans, &deployment::configuration(7), folder);
    sleep_ms(1_000);
    let callers = Callers::default();
    let began_ms = now_ms();
    let mut number = 0;
    let mut has_drained = false;
    let mut has_crashed = false;
    while now_ms() < began_ms + 10_500 {
        let at_ms = now_ms() - began_ms;
        if at_ms >= 7_000 && !has_drained {
            deployment.drain_engine(0);
            has_drained = true;
        }
        if at_ms >= 8_500 && !has_crashed && has_trouble {
            deployment.kill_engine(0);
            has_crashed = true;
        }
        let (path, events, limit_ms) = match number % 2 {
            0 => ("/chime/2f", 100, 15_000),
            _ => ("/notice/2f", 55, 8_000),
        };
        let body = format!("prompt-{number} events={events}");
        callers.send(&deployment, number % 4, path, &new_id(number), &body, events, limit_ms);
        number += 1;
        sleep_ms(35);
    }
    let mut broken = Vec::new();
    for sent in callers.await_all() {
        if sent.outcome.status != 200 || !sent.outcome.is_whole {
            continue;
        }
        let text = sent.outcome.text();
        let ids: Vec<usize> = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
        let is_ordered = ids.iter().enumerate().all(|(index, id)| *id == index + 1);
        if ids.len() != sent.events || !is_ordered {
            broken.push(format!("request {} came as complete with {} of {} events", sent.id, ids.len(), sent.events));
        }
    }
    deployment.note(&format!("{number} streams, {} of them wrong", broken.len()));
    let result = if broken.is_empty() { Ok(()) } else { Err(broken.join("; ")) };
    (deployment, result)
}

/// Time at which an engine leaves as planned, and at which the VM is stopped, in milliseconds.
const LEAVES_MS: u64 = 8_000;
const STOPS_MS: u64 = 46_000;

/// A VM is stopped as planned while requests that it passed on wait in the queues of engines, of which one has left as
/// planned before. The traffic is the same all the while.
fn stop(folder: PathBuf, has_trouble: bool) -> (Arc<Deployment>, Result<(), String>) {
    watch_clock();
    let mut plans = Vec::new();
    for index in 0..4 {
        plans.push(EnginePlan {
            service: "lm-pool",
            zone: ZONES[index],
            slots: 64,
            queue: 192,
            work_ms: 60,
            gap_ms: 100,
            unframed_each: 0,
        });
    }
    let deployment = Deployment::start(&ZONES, &plans, &deployment::configuration(7), folder);
    sleep_ms(3_500);
    let callers = Callers::default();
    let began_ms = now_ms();
    let mut number = 0;
    let mut has_left = false;
    let mut stopped_ms = None;
    while now_ms() < began_ms + STOPS_MS + 4_000 {
        let at_ms = now_ms() - began_ms;
        if at_ms >= LEAVES_MS && !has_left {
            deployment.drain_engine(3);
            has_left = true;
        }
        if at_ms >= STOPS_MS && stopped_ms.is_none() {
            let vm = &deployment.vms[0];
            deployment.note(&format!("the directory of {} answers {}", vm.name, deployment.resolve(vm)));
            stopped_ms = Some(now_ms());
            if has_trouble {
                deployment.stop_vm(vm);
                let shared = Arc::clone(&deployment);
                // As the platform does: SIGKILL after grace_s, and a new start.
                thread::spawn(move || {
                    let vm = &shared.vms[0];
                    if !shared.await_end(vm, GRACE_MS) {
                        shared.kill_vm(vm);
                    }
                    sleep_ms(500);
                    shared.start_vm(vm);
                });
            }
        }
        // Callers use the address for `ttl_s` after the directory gave it.
        let is_listed = stopped_ms.is_none_or(|at_ms| !has_trouble || now_ms() < at_ms + 2_000);
        let vm = if is_listed { number % 4 } else { 1 + number % 3 };
        let body = format!("chime-{number} events=57");
        callers.send(&deployment, vm, "/chime/2f", &new_id(number), &body, 57, 15_000);
        number += 1;
        sleep_ms((began_ms + 25 * number as u64).saturating_sub(now_ms()));
    }
    let stopped_ms = stopped_ms.unwrap_or(0);
    let mut lost = Vec::new();
    let mut waited = 0;
    for sent in callers.await_all() {
        if sent.vm != 0 {
            continue;
        }
        let arrived = find_lines(&format!("arrives: request {} ", sent.id)).len();
        let ran = find_lines(&format!("runs: request {} ", sent.id)).len();
        if arrived > 0 && ran == 0 {
            waited += 1;
        }
        let is_cut = sent.outcome.is_sent && !sent.outcome.is_whole && !sent.outcome.is_expired;
        let is_early = sent.sent_ms <= stopped_ms + 3_000;
        if arrived > 0 && ran == 0 && is_cut && is_early {
            lost.push(format!("{} after {} ms", sent.id, sent.outcome.took_ms));
        }
    }
    deployment.note(&format!("{number} requests; of those at the first VM {waited} never ran, {} of them ended without an answer", lost.len()));
    let result = match lost.is_empty() {
        true => Ok(()),
        false => Err(format!("{} requests were read whole, passed on and ended without an answer: {}", lost.len(), lost.join(", "))),
    };
    (deployment, result)
}

/// All VMs are killed at the same moment, and a request that crashes engines comes again.
fn herd(folder: PathBuf, has_trouble: bool) -> (Arc<Deployment>, Result<(), String>) {
    watch_clock();
    let mut plans = Vec::new();
    for index in 0..6 {
        plans.push(EnginePlan {
            service: "bell-app",
            zone: ZONES[index % 4],
            slots: 6,
            queue: 24,
            work_ms: 60,
            gap_ms: 0,
            unframed_each: 0,
        });
    }
    let deployment = Deployment::start(&ZONES, &plans, &deployment::configuration(7), folder);
    deployment.keep_engines(2_000);
    sleep_ms(4_000);
    let callers = Callers::default();
    let is_over = Arc::new(Mutex::new(false));
    let (shared, others, over) = (Arc::clone(&deployment), callers.clone(), Arc::clone(&is_over));
    let others_thread = thread::spawn(move || {
        let mut number = 10_000;
        while !*over.lock().unwrap() {
            let path = if number % 2 == 0 { "/plan/2f" } else { "/change/2f" };
            others.send(&shared, number % 4, path, &new_id(number), &format!("usual-{number}"), 0, 3_000);
            number += 1;
            sleep_ms(90);
        }
    });
    let poison = "crashes-engines plan of school 7";
    let ask = |number: usize, vm: usize| callers.send(&deployment, vm, "/plan/2f", &new_id(number), poison, 0, 3_000);
    ask(0, 0);
    sleep_ms(1_500);
    ask(1, 1);
    sleep_ms(1_500);
    ask(2, 2);
    sleep_ms(5_000);
    ask(3, 3);
    sleep_ms(1_000);
    let crashes = find_lines(" crashes: request");
    let third_ms = crashes.get(2).map(|(at_ms, _)| *at_ms);
    if has_trouble {
        for vm in &deployment.vms {
            deployment.kill_vm(vm);
        }
        sleep_ms(1_000);
        for vm in &deployment.vms {
            deployment.start_vm(vm);
        }
        deployment.await_ready();
    }
    sleep_ms(CONTACT_MS + 1_000);
    for number in 10..18 {
        ask(number, number % 4);
        sleep_ms(60);
    }
    for number in 20..24 {
        sleep_ms(1_000);
        ask(number, number % 4);
    }
    sleep_ms(1_000);
    *is_over.lock().unwrap() = true;
    let _ = others_thread.join();
    let all = callers.await_all();
    let Some(third_ms) = third_ms else {
        eprintln!("there were fewer than three crashes at first");
        deployment.end();
        std::process::exit(2);
    };
    let mut late: HashMap<String, usize> = HashMap::new();
    for sent in &all {
        if sent.sent_ms <= third_ms + CONTACT_MS {
            continue;
        }
        let ran = find_lines(&format!("runs: request {} \"crashes-engines\"", sent.id)).len();
        if ran > 0 {
            late.insert(sent.id.clone(), ran);
        }
    }
    let runs: usize = late.values().sum();
    deployment.note(&format!("the request crashed the third engine at {third_ms}; later than contact_ms after that it reached engines in {} retries, {runs} runs", late.len()));
    let lost: usize = all
        .iter()
        .filter(|sent| sent.sent_ms > third_ms + CONTACT_MS && sent.outcome.status == 502)
        .count();
    deployment.note(&format!("502 after that: {lost} requests"));
    let result = match late.len() > 3 {
        true => Err(format!("{} retries reached engines later than contact_ms after the third crash, in {runs} runs", late.len())),
        false => Ok(()),
    };
    (deployment, result)
}

/// Many callers upload long bodies, within the limits of the configuration, within 3 s each.
fn uploads(folder: PathBuf, has_trouble: bool) -> (Arc<Deployment>, Result<(), String>) {
    watch_clock();
    let mut plans = Vec::new();
    for index in 0..6 {
        plans.push(EnginePlan {
            service: if index < 3 { "lm-pool" } else { "bell-app" },
            zone: ZONES[index % 4],
            slots: if index < 3 { 64 } else { 6 },
            queue: 192,
            work_ms: 300,
            gap_ms: 50,
            unframed_each: 0,
        });
    }
    let deployment = Deployment::start(&ZONES, &plans, &deployment::configuration(7), folder);
    sleep_ms(4_000);
    let is_over = Arc::new(Mutex::new(false));
    let killer = deployment.enforce_memory(&is_over);
    // Callers with kept connections, which send one request after the other.
    let mut kept = Vec::new();
    for number in 0..24 {
        let (shared, over) = (Arc::clone(&deployment), Arc::clone(&is_over));
        kept.push(thread::spawn(move || shared.send_in_turn(&shared.vms[number % 4], number, &over)));
    }
    sleep_ms(2_000);
    let callers = Callers::default();
    // 32.7 requests a second are usual; the burst has 2.4 times as many.
    let pause_us = if has_trouble { 12_750 } else { 30_600 };
    let began_ms = now_ms();
    let mut number = 0;
    while now_ms() < began_ms + 9_000 {
        let (shared, all) = (Arc::clone(&deployment), Arc::clone(&callers.sent));
        let handle = thread::spawn(move || {
            let sent_ms = now_ms();
            let id = new_id(100_000 + number);
            let vm = number % 4;
            let outcome = shared.upload(&shared.vms[vm], &id, 4_000_000, 1_450_000, 12_000);
            all.lock().unwrap().push(Sent { id, vm, events: 2, sent_ms, outcome });
        });
        callers.threads.lock().unwrap().push(handle);
        number += 1;
        thread::sleep(Duration::from_micros(pause_us));
    }
    let all = callers.await_all();
    sleep_ms(500);
    *is_over.lock().unwrap() = true;
    let mut cut_by_vm = [0; ZONES.len()];
    for (number, handle) in kept.into_iter().enumerate() {
        cut_by_vm[number % 4] += handle.join().unwrap_or(0);
    }
    let cut = cut_by_vm.iter().copied().max().unwrap_or(0);
    let ends = killer.join().unwrap_or(0);
    let whole = all.iter().filter(|sent| sent.outcome.is_whole && sent.outcome.status == 200).count();
    let refused = all.iter().filter(|sent| sent.outcome.status == 503).count();
    let unsent = all.iter().filter(|sent| !sent.outcome.is_whole).count();
    deployment.note(&format!(
        "{} uploads, {whole} served, {refused} refused, {unsent} without an answer; {ends} processes exceeded their memory; requests of kept connections that were passed on and got no answer, by VM: {cut_by_vm:?}",
        all.len()
    ));
    let result = match cut > 3 {
        true => Err(format!("{ends} times a process exceeded memory_mb and ended; by VM, {cut_by_vm:?} requests of kept connections were passed on to sound engines and got no answer")),
        false => Ok(()),
    };
    (deployment, result)
}

/// The list of engines has an entry of another writer that lacks fields, at whose address a server listens that is no engine.
fn entry(folder: PathBuf, has_trouble: bool) -> (Arc<Deployment>, Result<(), String>) {
    watch_clock();
    let mut plans = Vec::new();
    for index in 0..3 {
        plans.push(EnginePlan {
            service: "bell-app",
            zone: ZONES[index + 1],
            slots: 6,
            queue: 24,
            work_ms: 60,
            gap_ms: 0,
            unframed_each: 0,
        });
    }
    let deployment = Deployment::start(&ZONES, &plans, &deployment::configuration(7), folder);
    sleep_ms(4_000);
    let address = deployment.start_web_server();
    let callers = Callers::default();
    let began_ms = now_ms();
    let mut number = 0;
    let mut is_written = false;
    while now_ms() < began_ms + 20_000 {
        if has_trouble && !is_written && now_ms() >= began_ms + 5_000 {
            let entry = format!("{{\"service\":\"bell-app\",\"address\":\"{address}\",\"state\":\"ready\"}}");
            deployment.note(&format!("another writer writes keyed.servers web-1: {entry}"));
            deployment.store.put("keyed.servers", "web-1", entry.as_bytes());
            is_written = true;
        }
        let path = if number % 2 == 0 { "/plan/2f" } else { "/change/2f" };
        callers.send(&deployment, number % 4, path, &new_id(number), &format!("usual-{number}"), 0, 3_000);
        number += 1;
        sleep_ms(90);
    }
    let all = callers.await_all();
    let denied = all.iter().filter(|sent| {
        let is_stamped = sent.outcome.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("x-waxwingrouter-response-stamp"));
        (300..500).contains(&sent.outcome.status) && ![408, 421, 429].contains(&sent.outcome.status) && !is_stamped
    });
    let denied = denied.count();
    let foreign = find_lines("the web server gets").len();
    let allowed = 5 + all.len() / 500;
    deployment.note(&format!("{} requests, {denied} ended with a 4xx without an engine's stamp ({allowed} are allowed); the web server got {foreign}", all.len()));
    let result = match denied > allowed {
        true => Err(format!("{denied} of {} proper requests ended with a 4xx that no engine gave; {foreign} requests went to a server that is no engine", all.len())),
        false => Ok(()),
    };
    (deployment, result)
}
