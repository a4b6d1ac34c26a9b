//! Another writer's entry, with fields missing, names the engine of another service, or a server that is none of the
//! engines.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::engine::{Action, Engine, SERVERS};
use crate::http;
use crate::stage::Stage;

const CALLERS: usize = 12;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-change","host":"fleet.example","path_prefix":"/change/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":1,"service":"bell-app","attempts":1,"public":true},{"name":"r-tag","host":"fleet.example","path_prefix":"/tag/","kind":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":1,"service":"lm-pool","attempts":2,"public":true}],"services":[{"name":"bell-app","health_path":"/health","max_conns":110,"protocol":"h1","tls":false},{"name":"lm-pool","health_path":"/health","max_conns":370,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

/// What the entry names.
#[derive(Clone, Copy, PartialEq)]
enum Names {
    OtherService,
    WebServer,
}

/// Plays the case in which the entry stands under the id of an engine of another service.
pub fn play_service(record: &str, has_trouble: bool) -> Result<bool, String> {
    play(record, has_trouble, Names::OtherService)
}

/// Plays the case in which the entry names a web server that knows none of the paths.
pub fn play_server(record: &str, has_trouble: bool) -> Result<bool, String> {
    play(record, has_trouble, Names::WebServer)
}

/// Answers each request as a web server that does not know its path.
fn serve_web(stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut reader) {
        let body = http::read_body(&mut reader, &head);
        let answer = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
        if body.is_none() || writer.write_all(answer).is_err() {
            return;
        }
    }
}

fn play(record: &str, has_trouble: bool, names: Names) -> Result<bool, String> {
    let machines = [("lub-a", 165), ("lub-a", 165), ("lub-b", 330), ("lub-c", 220)];
    let mut stage = Stage::new(record, CONFIG, &machines);
    let log = Arc::clone(&stage.log);
    // Requests that a service ran although no configuration lets them go there.
    let strays: Arc<Mutex<Vec<String>>> = Arc::default();
    let behaviour: Arc<dyn Fn(&Engine, &http::Head) -> Action + Send + Sync> = {
        let (log, strays) = (Arc::clone(&log), Arc::clone(&strays));
        Arc::new(move |engine, head| {
            let (_, path) = head.target();
            let service = if path.starts_with("/change/") { "bell-app" } else { "lm-pool" };
            if engine.service != service {
                let attempt = head.get("x-waxwingrouter-attempt-id").unwrap_or("").to_owned();
                let expected = head.get("x-waxwingrouter-expect-instance");
                log.write(&format!("stray attempt={attempt} service={} expected={expected:?}", engine.service));
                strays.lock().unwrap().push(attempt);
            }
            Action::Answer { after_ms: 60, bytes: 800 }
        })
    };
    let mut engines = Vec::new();
    for (index, service) in ["bell-app", "bell-app", "bell-app", "lm-pool", "lm-pool"].into_iter().enumerate() {
        let address: SocketAddr = format!("{}.{}:0", stage.net, 100 + index).parse().expect("an address");
        engines.push(Engine::start(&format!("i-{index}"), service, address, &stage.store, &log, &behaviour));
    }
    stage.start()?;
    let fronts: Vec<SocketAddr> = stage.routers.iter().map(|router| router.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let served: Arc<Mutex<Vec<String>>> = Arc::default();
    let (failed, denied) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    for index in 0..CALLERS {
        let (log, is_over, front) = (Arc::clone(&log), Arc::clone(&is_over), fronts[index % fronts.len()]);
        let (served, failed, denied) = (Arc::clone(&served), Arc::clone(&failed), Arc::clone(&denied));
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
                // Without an engine's stamp, a refusal is the system's own.
                let (status, stamp) = match &reply {
                    Ok(reply) => (reply.head.status(), reply.head.get("x-waxwingrouter-response-stamp")),
                    Err(_) => (0, None),
                };
                log.write(&format!("caller attempt={attempt} answer={status}"));
                match status {
                    200 => served.lock().unwrap().push(attempt),
                    300..=499 if stamp.is_none() && ![408, 421, 429].contains(&status) => {
                        denied.fetch_add(1, Ordering::SeqCst);
                    }
                    _ => drop(failed.fetch_add(1, Ordering::SeqCst)),
                }
                std::thread::sleep(Duration::from_millis(40));
            }
        }));
    }
    // All machines are in touch.
    std::thread::sleep(Duration::from_millis(5_000));
    let web = TcpListener::bind((format!("{}.150", stage.net), 0)).expect("loopback has free ports");
    let web_address = web.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        for stream in web.incoming().flatten() {
            std::thread::spawn(move || serve_web(stream));
        }
    });
    if has_trouble {
        // Of the fields of an entry, `zone`, `version`, `slots`, `cold_ms` and `born` are missing.
        let (id, address) = match names {
            Names::OtherService => (engines[3].id.as_str(), engines[3].address),
            Names::WebServer => ("bell-backup", web_address),
        };
        let entry = format!("{{\"service\":\"bell-app\",\"address\":\"{address}\",\"state\":\"ready\",\"sequence\":100000}}");
        stage.store.append(SERVERS, id, Some(entry.as_bytes()));
        log.write(&format!("another writer's entry id={id} {entry}"));
    }
    std::thread::sleep(Duration::from_millis(15_000));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for engine in &engines {
        engine.end();
    }
    let (strays, served) = (strays.lock().unwrap(), served.lock().unwrap());
    let wrong = strays.iter().filter(|attempt| served.contains(attempt)).count();
    let denied = denied.load(Ordering::SeqCst);
    let failed = failed.load(Ordering::SeqCst);
    let all = served.len() as u64 + denied + failed;
    let line = format!(
        "requests run by a service to which no configuration lets them go: {}, of which {wrong} were answered as served; \
         requests ended with a 3xx or 4xx that no engine gave: {denied}, of {all} (at most {}); other answers: {} served, \
         {failed} failed",
        strays.len(),
        5 + all / 500,
        served.len()
    );
    log.write(&line);
    println!("{line}");
    Ok(match names {
        Names::OtherService => !strays.is_empty(),
        Names::WebServer => denied > 5 + all / 500,
    })
}
