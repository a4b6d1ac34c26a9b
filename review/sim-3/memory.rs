//! Callers read long answers slowly; the platform kills a process that exceeds its memory, and restarts it.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Action;
use crate::engine::Engine;
use crate::http;
use crate::record::Log;
use crate::stage::Stage;

const ANSWER_BYTES: usize = 10_000_000;
const TIMEOUT_MS: u64 = 12_000;
/// Callers at a time, over all machines.
const CALLERS: usize = 128;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-audio","host":"fleet.example","path_prefix":"/audio/","kind":"idempotent","timeout_ms":12000,"slo_ms":2500,"priority":1,"service":"lm-pool","attempts":2,"public":true}],"services":[{"name":"lm-pool","health_path":"/health","max_conns":370,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

fn ask(log: &Log, front: SocketAddr, attempt: &str, bytes_per_s: usize) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        log.write(&format!("caller attempt={attempt} no connection"));
        std::thread::sleep(Duration::from_millis(300));
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS)));
    let request = format!(
        "GET /audio/notice HTTP/1.1\r\nHost: fleet.example\r\nX-Waxwingrouter-Attempt-Id: {attempt}\r\n\
         X-Waxwingrouter-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut reader = BufReader::with_capacity(65_536, stream);
    let Some(head) = http::read_head(&mut reader) else {
        log.write(&format!(
            "caller attempt={attempt} closed without an answer"
        ));
        return false;
    };
    let limit = Duration::from_millis(TIMEOUT_MS);
    let (got, _) = http::read_slowly(&mut reader, ANSWER_BYTES, bytes_per_s, limit);
    log.write(&format!(
        "caller attempt={attempt} status={} bytes={got}",
        head.status()
    ));
    head.status() == 200 && got >= ANSWER_BYTES
}

/// On a tenth of the machines, two at least, processes end three times.
fn is_broken(ends: &[u32]) -> bool {
    ends.iter().filter(|ends| **ends >= 3).count() >= 2
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
    let behaviour: Arc<dyn Fn(&Engine, &http::Head) -> Action + Send + Sync> =
        Arc::new(|_, _| Action::Answer {
            after_ms: 20,
            bytes: ANSWER_BYTES,
        });
    let mut engines = Vec::new();
    for index in 0..9 {
        let address = format!("{}.{}:0", stage.net, 100 + index)
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
    // Slow callers read such an answer in most of the time that they have; the others as fast as it comes.
    let bytes_per_s = if has_trouble { 1_000_000 } else { 100_000_000 };
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let (log, is_over, served) = (Arc::clone(&log), Arc::clone(&is_over), Arc::clone(&served));
        let front = fronts[index % fronts.len()];
        callers.push(std::thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::SeqCst) {
                count += 1;
                if ask(&log, front, &format!("a{index:03}-{count}"), bytes_per_s) {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                std::thread::sleep(Duration::from_millis(2_000));
            }
        }));
    }
    let mut ends = vec![0_u32; stage.routers.len()];
    let mut peaks = vec![0; stage.routers.len()];
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(60) && !is_broken(&ends) {
        std::thread::sleep(Duration::from_millis(10));
        for (index, router) in stage.routers.iter_mut().enumerate() {
            let limit_bytes = router.machine.memory_mb * 1_000_000;
            let resident = router.resident_bytes();
            peaks[index] = resident.max(peaks[index]);
            let has_ended = router.has_ended();
            if resident > limit_bytes || has_ended {
                log.write(&format!(
                    "end machine={} resident_bytes={resident} exceeds={limit_bytes}",
                    router.machine.name
                ));
                router.kill();
                ends[index] += 1;
                std::thread::sleep(Duration::from_millis(500));
                router.start();
                router.wait_ready(Duration::from_secs(5));
            }
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for router in &mut stage.routers {
        router.kill();
    }
    for caller in callers {
        let _ = caller.join();
    }
    let served = served.load(Ordering::SeqCst);
    log.write(&format!(
        "ends={ends:?} peak_bytes={peaks:?} served={served}"
    ));
    println!(
        "processes ended for memory: {ends:?}; peak memory in bytes: {peaks:?}; answers served whole: {served}"
    );
    Ok(is_broken(&ends))
}
