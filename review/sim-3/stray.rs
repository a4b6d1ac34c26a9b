//! Another writer's entry, with a field missing, stands under the id of an engine of another service until the engine
//! reports again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::engine::Action;
use crate::engine::Engine;
use crate::engine::SERVERS;
use crate::http;
use crate::stage::Stage;

const CALLERS: usize = 12;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-change","host":"fleet.example","path_prefix":"/change/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":1,"service":"bell-app","attempts":1,"public":true},{"name":"r-tag","host":"fleet.example","path_prefix":"/tag/","kind":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":1,"service":"lm-pool","attempts":2,"public":true}],"services":[{"name":"bell-app","health_path":"/health","max_conns":110,"protocol":"h1","tls":false},{"name":"lm-pool","health_path":"/health","max_conns":370,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

pub fn play(record: &str, has_trouble: bool) -> Result<bool, String> {
    let machines = [
        ("lub-a", 165),
        ("lub-a", 165),
        ("lub-b", 330),
        ("lub-c", 220),
    ];
    let mut stage = Stage::new(record, CONFIG, &machines);
    let log = Arc::clone(&stage.log);
    // Times and attempts of requests that a service ran although no configuration lets them go there.
    let strays: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
    let behaviour: Arc<dyn Fn(&Engine, &http::Head) -> Action + Send + Sync> = {
        let (log, strays) = (Arc::clone(&log), Arc::clone(&strays));
        Arc::new(move |engine, head| {
            let (_, path) = head.target();
            let service = if path.starts_with("/change/") {
                "bell-app"
            } else {
                "lm-pool"
            };
            if engine.service != service {
                let attempt = head
                    .get("x-waxwingrouter-attempt-id")
                    .unwrap_or("")
                    .to_owned();
                let expected = head.get("x-waxwingrouter-expect-instance");
                log.write(&format!(
                    "stray attempt={attempt} service={} expected={expected:?}",
                    engine.service
                ));
                strays.lock().unwrap().push((log.now_ms(), attempt));
            }
            Action::Answer {
                after_ms: 60,
                bytes: 800,
            }
        })
    };
    let mut engines = Vec::new();
    for (index, service) in ["bell-app", "bell-app", "bell-app", "lm-pool", "lm-pool"]
        .into_iter()
        .enumerate()
    {
        let address: SocketAddr = format!("{}.{}:0", stage.net, 100 + index)
            .parse()
            .expect("an address");
        engines.push(Engine::start(
            &format!("i-{index}"),
            service,
            address,
            &stage.store,
            &log,
            &behaviour,
        ));
    }
    stage.start()?;
    let fronts: Vec<SocketAddr> = stage.routers.iter().map(|router| router.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let served: Arc<Mutex<Vec<String>>> = Arc::default();
    let failed = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for index in 0..CALLERS {
        let (log, is_over, front) = (
            Arc::clone(&log),
            Arc::clone(&is_over),
            fronts[index % fronts.len()],
        );
        let (served, failed) = (Arc::clone(&served), Arc::clone(&failed));
        threads.push(std::thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::SeqCst) {
                count += 1;
                let attempt = format!("c{index:03}-{count}");
                let target = if count % 2 == 0 { "POST /change/" } else { "GET /tag/" };
                let bytes = format!(
                    "{target}{index} HTTP/1.1\r\nHost: fleet.example\r\nX-Waxwingrouter-Attempt-Id: {attempt}\r\n\
                     X-Waxwingrouter-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                );
                let reply = http::call(front, bytes.as_bytes(), Duration::from_secs(4));
                let status = reply.map_or(0, |reply| reply.head.status());
                log.write(&format!("caller attempt={attempt} answer={status}"));
                match status {
                    200 => served.lock().unwrap().push(attempt),
                    _ => drop(failed.fetch_add(1, Ordering::SeqCst)),
                }
                std::thread::sleep(Duration::from_millis(40));
            }
        }));
    }
    // All machines are in touch.
    std::thread::sleep(Duration::from_millis(5_000));
    if has_trouble {
        // Of the fields of an entry, `born` is missing.
        let engine = &engines[3];
        let entry = format!(
            "{{\"service\":\"bell-app\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold_ms\":0,\"sequence\":100000}}",
            engine.address
        );
        stage
            .store
            .append(SERVERS, &engine.id, Some(entry.as_bytes()));
        log.write(&format!("another writer's entry id={} {entry}", engine.id));
    }
    // The engine reports at least twice.
    std::thread::sleep(Duration::from_millis(3_000));
    let renewed_ms = log.now_ms();
    log.write("the newest entry is the engine's own again");
    std::thread::sleep(Duration::from_millis(15_000));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for engine in &engines {
        engine.end();
    }
    let (strays, served) = (strays.lock().unwrap(), served.lock().unwrap());
    let late: Vec<_> = strays
        .iter()
        .filter(|(at_ms, _)| *at_ms > renewed_ms)
        .collect();
    let wrong = late
        .iter()
        .filter(|(_, attempt)| served.contains(attempt))
        .count();
    let line = format!(
        "requests run by a service to which no configuration lets them go: {} in all, {} after the engine's own entry was the \
         newest again, of which {wrong} were answered as served; other answers: {} served, {} failed",
        strays.len(),
        late.len(),
        served.len(),
        failed.load(Ordering::SeqCst)
    );
    log.write(&line);
    println!("{line}");
    Ok(!late.is_empty())
}
