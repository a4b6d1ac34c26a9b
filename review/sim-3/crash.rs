//! A request crashes each engine that begins to run it, and comes again at any machine. Meanwhile engines fail a part of
//! their requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Action;
use crate::engine::Engine;
use crate::engine::REPORT_MS;
use crate::engine::SERVERS;
use crate::http;
use crate::stage::Stage;

const CONTACT_MS: u64 = 3_000;
/// Time after which an engine that crashed is back.
const BACK_MS: u64 = 3_000;
const ENGINES: u64 = 9;
/// Callers of other requests.
const CALLERS: usize = 8;
/// How often the request comes in each spell of failing engines, and after them.
const TIMES: usize = 6;
/// Spells in which all engines fail 0.45 of their requests, their length, and the pause between two of them.
const SPELLS: usize = 2;
const SPELL_MS: u64 = 4_000;
const PAUSE_MS: u64 = 4_000;
/// Time between two times that the request comes in such a spell.
const SPELL_GAP_MS: u64 = 550;
/// Time between two times that the request comes.
const GAP_MS: u64 = 2_000;
/// Retries of the crashing request that may reach engines later than `contact_ms` after its third crash.
const RETRIES_MAX: usize = 3;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-read","host":"fleet.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":1,"service":"bell-app","attempts":2,"public":true},{"name":"r-change","host":"fleet.example","path_prefix":"/change/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":1,"service":"bell-app","attempts":1,"public":true}],"services":[{"name":"bell-app","health_path":"/health","max_conns":370,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

fn request(method: &str, path: &str, attempt: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: fleet.example\r\nX-Waxwingrouter-Attempt-Id: {attempt}\r\n\
         X-Waxwingrouter-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub fn play(record: &str, has_trouble: bool) -> Result<bool, String> {
    let machines = [
        ("lub-a", 165),
        ("lub-a", 165),
        ("lub-b", 330),
        ("lub-c", 220),
    ];
    let mut stage = Stage::new(record, CONFIG, &machines);
    let log = Arc::clone(&stage.log);
    // Times at which the request crashed engines, and at which its retries reached them.
    let crashes: Arc<Mutex<Vec<u64>>> = Arc::default();
    let arrivals: Arc<Mutex<Vec<u64>>> = Arc::default();
    let is_failing = Arc::new(AtomicBool::new(false));
    let behaviour: Arc<dyn Fn(&Engine, &http::Head) -> Action + Send + Sync> = {
        let (log, crashes, arrivals) = (
            Arc::clone(&log),
            Arc::clone(&crashes),
            Arc::clone(&arrivals),
        );
        let (is_failing, others) = (Arc::clone(&is_failing), AtomicU64::new(0));
        Arc::new(move |_, head| {
            let fails = is_failing.load(Ordering::SeqCst);
            if head.target().1 != "/change/ill" {
                // Nine of twenty.
                let turn = others.fetch_add(1, Ordering::SeqCst) * 9 % 20;
                return match fails && turn < 9 {
                    true => Action::Fail { after_ms: 5 },
                    false => Action::Answer {
                        after_ms: 60,
                        bytes: 800,
                    },
                };
            }
            let turn = {
                let mut arrivals = arrivals.lock().unwrap();
                arrivals.push(log.now_ms());
                arrivals.len()
            };
            if !has_trouble {
                return Action::Answer {
                    after_ms: 60,
                    bytes: 800,
                };
            }
            // One of three.
            if fails && turn % 3 == 0 {
                return Action::Fail { after_ms: 5 };
            }
            crashes.lock().unwrap().push(log.now_ms());
            Action::Crash { after_ms: 20 }
        })
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let mut keepers = Vec::new();
    for index in 0..ENGINES {
        let address: SocketAddr = format!("{}.{}:0", stage.net, 100 + index)
            .parse()
            .expect("an address");
        let mut engine = Engine::start(
            &format!("i-{index}-0"),
            "bell-app",
            address,
            &stage.store,
            &log,
            &behaviour,
        );
        let (store, log, behaviour) = (
            Arc::clone(&stage.store),
            Arc::clone(&log),
            Arc::clone(&behaviour),
        );
        let is_over = Arc::clone(&is_over);
        keepers.push(std::thread::spawn(move || {
            let mut boot = 0;
            while !is_over.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(10));
                if !engine.is_over() {
                    continue;
                }
                std::thread::sleep(Duration::from_millis(BACK_MS));
                boot += 1;
                let (old, address) = (engine.id.clone(), engine.address);
                engine = Engine::start(
                    &format!("i-{index}-{boot}"),
                    "bell-app",
                    address,
                    &store,
                    &log,
                    &behaviour,
                );
                // The entry of the boot before goes after three reports that did not come.
                std::thread::sleep(Duration::from_millis(
                    (3 * REPORT_MS).saturating_sub(BACK_MS),
                ));
                store.append(SERVERS, &old, None);
            }
            engine.end();
        }));
    }
    stage.start()?;
    let fronts: Vec<SocketAddr> = stage.routers.iter().map(|router| router.front).collect();
    let served = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for index in 0..CALLERS {
        let (is_over, served, front) = (
            Arc::clone(&is_over),
            Arc::clone(&served),
            fronts[index % fronts.len()],
        );
        threads.push(std::thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::SeqCst) {
                count += 1;
                let bytes = request(
                    "GET",
                    &format!("/read/{index}-{count}"),
                    &format!("b{index:03}-{count}"),
                    "",
                );
                if http::call(front, &bytes, Duration::from_secs(4))
                    .is_ok_and(|reply| reply.head.status() == 200)
                {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                std::thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    let late = || {
        let third_ms = crashes.lock().unwrap().get(2).copied();
        let arrivals = arrivals.lock().unwrap();
        third_ms.map_or(0, |third_ms| {
            arrivals
                .iter()
                .filter(|at_ms| **at_ms > third_ms + CONTACT_MS)
                .count()
        })
    };
    let mut count = 0;
    let mut come = |gap_ms: u64| {
        let front = fronts[count % fronts.len()];
        count += 1;
        let attempt = format!("ill-{count}");
        log.write(&format!("caller attempt={attempt} at={front}"));
        let began = Instant::now();
        let reply = http::call(
            front,
            &request("POST", "/change/ill", &attempt, "the same body"),
            Duration::from_secs(4),
        );
        let status = reply.map_or_else(str::to_owned, |reply| reply.head.status().to_string());
        log.write(&format!("caller attempt={attempt} answer={status}"));
        std::thread::sleep(Duration::from_millis(gap_ms).saturating_sub(began.elapsed()));
    };
    // The machines are in touch.
    std::thread::sleep(Duration::from_millis(CONTACT_MS + 2_000));
    for _ in 0..SPELLS {
        is_failing.store(has_trouble, Ordering::SeqCst);
        log.write("engines begin to fail a part of their requests");
        (0..TIMES).for_each(|_| come(SPELL_GAP_MS));
        std::thread::sleep(Duration::from_millis(
            SPELL_MS - TIMES as u64 * SPELL_GAP_MS,
        ));
        is_failing.store(false, Ordering::SeqCst);
        log.write("engines are sound again");
        std::thread::sleep(Duration::from_millis(PAUSE_MS));
    }
    (0..TIMES).for_each(|_| come(GAP_MS));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads.into_iter().chain(keepers) {
        let _ = thread.join();
    }
    let (late, crashed) = (late(), crashes.lock().unwrap().len());
    let line = format!(
        "the request came {count} times, reached engines {} times and crashed {crashed}; retries that reached engines over \
         {CONTACT_MS} ms after the third crash: {late} (at most {RETRIES_MAX}); other requests served: {}",
        arrivals.lock().unwrap().len(),
        served.load(Ordering::SeqCst)
    );
    log.write(&line);
    println!("{line}");
    Ok(late > RETRIES_MAX)
}
