//! A stream pauses at its engine and goes on at another one, whose answer is lost; the engine before works on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::engine::Action;
use crate::engine::Engine;
use crate::http;
use crate::stage::Stage;

/// Time after which the engine before must have stopped.
const STOP_MS: u64 = 400;
const TIMEOUT_MS: u64 = 12_000;
const STREAMS: usize = 90;
/// Time between two streams.
const STREAM_GAP_MS: u64 = 55;
/// Engines that lose answers, of nine, their share of the requests in tenths, and for how long.
const LOSING_ENGINES: u64 = 5;
const LOST_TENTHS: u64 = 3;
const LOSING_MS: u64 = 6_000;
const CALLERS: usize = 12;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-tag","host":"fleet.example","path_prefix":"/tag/","kind":"stream","timeout_ms":12000,"slo_ms":1500,"priority":0,"service":"lm-pool","attempts":2,"public":true,"stream_resume":true,"gap_target_ms":200},{"name":"r-read","host":"fleet.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":1,"service":"lm-pool","attempts":2,"public":true}],"services":[{"name":"lm-pool","health_path":"/health","max_conns":370,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

/// When an engine began to work on a request, and when it stopped.
#[derive(Clone, Copy)]
struct Work {
    began_ms: u64,
    ended_ms: Option<u64>,
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
    let is_losing = Arc::new(AtomicBool::new(false));
    let behaviour: Arc<dyn Fn(&Engine, &http::Head) -> Action + Send + Sync> = {
        let (is_losing, count) = (Arc::clone(&is_losing), AtomicU64::new(0));
        Arc::new(move |engine, head| {
            let number: u64 = engine.id[2..].parse().unwrap_or(0);
            let loses = is_losing.load(Ordering::SeqCst)
                && number < LOSING_ENGINES
                && count.fetch_add(1, Ordering::SeqCst) * 3 % 10 < LOST_TENTHS;
            let is_stream = head.target().1.starts_with("/tag/");
            let from = head
                .get("last-event-id")
                .and_then(|text| text.parse::<u64>().ok());
            match (is_stream, from) {
                _ if loses => Action::Lose { work_ms: 1_000 },
                (false, _) => Action::Answer {
                    after_ms: 30,
                    bytes: 800,
                },
                // The request is preempted for a while, and then goes on.
                (true, None) => Action::Stream {
                    from: 0,
                    events: 57,
                    gap_ms: 20,
                    pause: Some((10, 2_500)),
                },
                (true, Some(from)) => Action::Stream {
                    from,
                    events: 57,
                    gap_ms: 20,
                    pause: None,
                },
            }
        })
    };
    let mut engines = Vec::new();
    for index in 0..9 {
        let address: SocketAddr = format!("{}.{}:0", stage.net, 100 + index)
            .parse()
            .expect("an address");
        engines.push(Engine::start(
            &format!("i-{index}"),
            "lm-pool",
            address,
            &stage.store,
            &log,
            &behaviour,
        ));
    }
    stage.start()?;
    let fronts: Vec<SocketAddr> = stage.routers.iter().map(|router| router.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
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
                let bytes = format!(
                    "GET /read/{index} HTTP/1.1\r\nHost: fleet.example\r\nX-Waxwingrouter-Attempt-Id: b{index:03}-{count}\r\n\
                     X-Waxwingrouter-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n"
                );
                let reply = http::call(front, bytes.as_bytes(), Duration::from_secs(4));
                if reply.is_ok_and(|reply| reply.head.status() == 200) {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                std::thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    // All machines are in touch.
    std::thread::sleep(Duration::from_millis(12_000));
    let losing = {
        let (log, is_losing) = (Arc::clone(&log), Arc::clone(&is_losing));
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(1_000));
            is_losing.store(has_trouble, Ordering::SeqCst);
            log.write("engines begin to lose answers");
            std::thread::sleep(Duration::from_millis(LOSING_MS));
            is_losing.store(false, Ordering::SeqCst);
            log.write("engines lose no more answers");
        })
    };
    let streams: Vec<_> = (0..STREAMS)
        .map(|index| {
            let (log, front) = (Arc::clone(&log), fronts[index % fronts.len()]);
            std::thread::sleep(Duration::from_millis(STREAM_GAP_MS));
            std::thread::spawn(move || {
                let attempt = format!("s{index:03}");
                let bytes = format!(
                    "POST /tag/{index} HTTP/1.1\r\nHost: fleet.example\r\nX-Waxwingrouter-Attempt-Id: {attempt}\r\n\
                     X-Waxwingrouter-Deadline-Ms: {TIMEOUT_MS}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                );
                let reply = http::call(front, bytes.as_bytes(), Duration::from_millis(TIMEOUT_MS));
                let answer = reply.map_or_else(str::to_owned, |reply| {
                    format!("{} {}", reply.head.status(), if reply.body.is_some() { "whole" } else { "cut" })
                });
                log.write(&format!("caller attempt={attempt} answer={answer}"));
            })
        })
        .collect();
    for stream in streams {
        let _ = stream.join();
    }
    let _ = losing.join();
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for engine in &engines {
        engine.end();
    }
    let text = std::fs::read_to_string(record).map_err(|error| error.to_string())?;
    let twice = count_overlaps(&text);
    let line = format!(
        "streams that went on at another engine while the one before still worked on them {STOP_MS} ms later: {twice} of {STREAMS}; \
         other answers served: {}",
        served.load(Ordering::SeqCst)
    );
    log.write(&line);
    println!("{line}");
    Ok(twice > 0)
}

/// Counts the streams on which two engines worked for longer than allowed.
fn count_overlaps(text: &str) -> usize {
    let mut works: HashMap<&str, Vec<(&str, Work)>> = HashMap::new();
    for line in text.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let [at, what, engine, attempt, ..] = words[..] else {
            continue;
        };
        let Ok(at_ms) = at.parse::<u64>() else {
            continue;
        };
        let works = works.entry(attempt).or_default();
        match what {
            "begin" => works.push((
                engine,
                Work {
                    began_ms: at_ms,
                    ended_ms: None,
                },
            )),
            "done" | "closed" => {
                for (_, work) in works.iter_mut().filter(|(known, _)| *known == engine) {
                    work.ended_ms.get_or_insert(at_ms);
                }
            }
            _ => {}
        }
    }
    let overlaps = works.values().filter(|works| match works[..] {
        [(_, first), (_, second), ..] => first
            .ended_ms
            .is_none_or(|ended_ms| ended_ms > second.began_ms + STOP_MS),
        _ => false,
    });
    overlaps.count()
}
