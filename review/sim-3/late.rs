//! An engine leaves, and a report of its that the store had not answered is executed seconds later; meanwhile one machine
//! is down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::engine::Action;
use crate::engine::Engine;
use crate::engine::REPORT_MS;
use crate::engine::SERVERS;
use crate::http;
use crate::stage::Stage;

const DRAIN_MS: u64 = 2_000;
/// Time from the report that gets no answer until the store executes it.
const LATE_MS: u64 = 4_300;
/// Time for which the machine is down.
const DOWN_MS: u64 = 3_500;
const CALLERS: usize = 12;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-change","host":"fleet.example","path_prefix":"/change/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":1,"service":"bell-app","attempts":1,"public":true}],"services":[{"name":"bell-app","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

pub fn play(record: &str, has_trouble: bool) -> Result<bool, String> {
    let machines = [
        ("lub-a", 165),
        ("lub-a", 165),
        ("lub-b", 330),
        ("lub-c", 220),
    ];
    let mut stage = Stage::new(record, CONFIG, &machines);
    let log = Arc::clone(&stage.log);
    // Time, engine and attempt of each run.
    let runs: Arc<Mutex<Vec<(u64, String, String)>>> = Arc::default();
    let behaviour: Arc<dyn Fn(&Engine, &http::Head) -> Action + Send + Sync> = {
        let (log, runs) = (Arc::clone(&log), Arc::clone(&runs));
        Arc::new(move |engine, head| {
            let attempt = head
                .get("x-waxwingrouter-attempt-id")
                .unwrap_or("")
                .to_owned();
            runs.lock()
                .unwrap()
                .push((log.now_ms(), engine.id.clone(), attempt));
            Action::Answer {
                after_ms: 60,
                bytes: 800,
            }
        })
    };
    let mut engines = Vec::new();
    for index in 0..3 {
        let address: SocketAddr = format!("{}.{}:0", stage.net, 100 + index)
            .parse()
            .expect("an address");
        engines.push(Engine::start(
            &format!("i-{index}"),
            "bell-app",
            address,
            &stage.store,
            &log,
            &behaviour,
        ));
    }
    stage.start()?;
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    let fronts: Vec<SocketAddr> = stage.routers.iter().map(|router| router.front).collect();
    for index in 0..CALLERS {
        let (log, is_over, served) = (Arc::clone(&log), Arc::clone(&is_over), Arc::clone(&served));
        let front = fronts[index % fronts.len()];
        threads.push(std::thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::SeqCst) {
                count += 1;
                let attempt = format!("c{index:03}-{count}");
                let bytes = format!(
                    "POST /change/{index} HTTP/1.1\r\nHost: fleet.example\r\nX-Waxwingrouter-Attempt-Id: {attempt}\r\n\
                     X-Waxwingrouter-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                );
                let reply = http::call(front, bytes.as_bytes(), Duration::from_secs(4));
                let status = reply.map_or(0, |reply| reply.head.status());
                log.write(&format!("caller attempt={attempt} at={front} answer={status}"));
                if status == 200 {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                std::thread::sleep(Duration::from_millis(40));
            }
        }));
    }
    // All machines are in touch, and the engine has reported several times.
    std::thread::sleep(Duration::from_millis(8_000));
    let leaving = Arc::clone(&engines[1]);
    let lost = leaving.lose_report();
    let lost_ms = log.now_ms();
    log.write(&format!(
        "a report of engine={} gets no answer: {lost}",
        leaving.id
    ));
    std::thread::sleep(Duration::from_millis(REPORT_MS));
    // The next report is in the store; then the engine leaves, as some do, without reporting that it drains.
    leaving.report();
    leaving.stop_reporting();
    stage.store.append(SERVERS, &leaving.id, None);
    let gone_ms = log.now_ms();
    log.write(&format!("the entry of engine={} is removed", leaving.id));
    std::thread::sleep(Duration::from_millis(1_000));
    let down = stage
        .routers
        .iter()
        .position(|router| router.reads())
        .unwrap_or(0);
    if has_trouble {
        log.write(&format!(
            "kill machine={}",
            stage.routers[down].machine.name
        ));
        stage.routers[down].kill();
    }
    let down_ms = log.now_ms();
    std::thread::sleep(Duration::from_millis(
        (lost_ms + LATE_MS).saturating_sub(log.now_ms()),
    ));
    if has_trouble {
        stage
            .store
            .append(SERVERS, &leaving.id, Some(lost.as_bytes()));
        log.write(&format!(
            "the store executes the report of engine={}",
            leaving.id
        ));
    }
    if has_trouble {
        std::thread::sleep(Duration::from_millis(
            (down_ms + DOWN_MS).saturating_sub(log.now_ms()),
        ));
        stage.routers[down].start();
        log.write(&format!(
            "start machine={}",
            stage.routers[down].machine.name
        ));
    }
    std::thread::sleep(Duration::from_millis(3_000));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for engine in &engines {
        engine.end();
    }
    let runs = runs.lock().unwrap();
    // What the machine that was down sent does not count: it is not in touch until `contact_ms` after its start.
    let is_in_touch = |attempt: &str| {
        let caller: usize = attempt[1..4].parse().unwrap_or(0);
        caller % fronts.len() != down
    };
    let at_leaving: Vec<_> = runs.iter().filter(|(_, id, _)| *id == leaving.id).collect();
    let late = at_leaving
        .iter()
        .filter(|(at_ms, _, attempt)| *at_ms > gone_ms + DRAIN_MS && is_in_touch(attempt))
        .count();
    let line = format!(
        "requests that reached the engine: {} in all, {late} later than {DRAIN_MS} ms after the store had accepted that it is \
         gone, from machines in touch; answers served: {}",
        at_leaving.len(),
        served.load(Ordering::SeqCst)
    );
    log.write(&line);
    println!("{line}");
    Ok(late > 0)
}
