//! Non-idempotent calls through daemons, with a log that can be made unavailable and a service that counts its runs.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use attohttpc::Session;
use serde_json::Value;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;
use uuid::Uuid;
use waxwing_harness::publish;
use waxwingrouter::config::Config;
use waxwingrouter::daemon;
use waxwingrouter::shared::Shared;

const API_KEY: &str = "test-key";
/// Fencing tokens stay below this offset unless two owners keep taking a range from each other.
const FENCE_LIMIT: u64 = 50;
const TIMEOUT: Duration = Duration::from_secs(20);

/// A log service that can be made unavailable, and a service that answers each call with its run number.
struct Platform {
    log_address: String,
    is_log_down: Arc<AtomicBool>,
    service: Arc<Service>,
}

#[derive(Default)]
struct Service {
    runs: AtomicU64,
    /// Status of each answer to a call that has run; 201 while it is 0.
    status: AtomicU16,
    fence: AtomicU64,
    headers: Mutex<Vec<Value>>,
}

fn serve(handle: impl Fn(Request) + Send + Sync + 'static) -> String {
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_string();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(request));
        }
    });
    address
}

fn forward(mut request: Request, log: &str, is_down: &AtomicBool) {
    if is_down.load(Ordering::SeqCst) {
        let _ = request.respond(Response::from_string("down").with_status_code(503));
        return;
    }
    let mut body = Vec::new();
    let _ = request.as_reader().read_to_end(&mut body);
    let url = format!("http://{log}{}", request.url());
    let session = Session::new();
    let answer = match request.method() {
        tiny_http::Method::Post => session.post(url).bytes(body).send(),
        _ => session.get(url).send(),
    };
    // A read that was waiting when the log went down fails too.
    let text = answer.and_then(|answer| answer.text()).unwrap_or_default();
    let status = if is_down.load(Ordering::SeqCst) {
        503
    } else {
        200
    };
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}

impl Service {
    fn handle(&self, mut request: Request) {
        let mut body = String::new();
        let _ = request.as_reader().read_to_string(&mut body);
        let header = |name: &'static str| {
            let found = request.headers().iter().find(|h| h.field.equiv(name));
            found.map(|h| h.value.to_string()).unwrap_or_default()
        };
        if request.url() == "/load" {
            let load = r#"{"running":0,"waiting":0,"started_id":1,"report_age_ms":0,"fence":0}"#;
            let _ = request.respond(Response::from_string(load));
            return;
        }
        if request.url() == "/orders" {
            let order: Value = serde_json::from_str(&body).unwrap_or_default();
            let fence = order["fence"].as_u64().unwrap_or(0);
            self.fence.fetch_max(fence, Ordering::SeqCst);
            let _ = request.respond(Response::from_string("{}"));
            return;
        }
        let headers = serde_json::json!({
            "range": header("Waxwing-Range"),
            "fence": header("Waxwing-Fence"),
            "key": header("Idempotency-Key"),
        });
        self.headers.lock().expect("no panic").push(headers);
        let run = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        let status = match self.status.load(Ordering::SeqCst) {
            0 => 201,
            status => status,
        };
        let _ =
            request.respond(Response::from_string(format!("run {run}")).with_status_code(status));
    }
}

impl Platform {
    fn start() -> Self {
        let log =
            waxwing_standin::log::start("127.0.0.1:0", waxwing_standin::log::Config::default())
                .expect("a free port");
        let log = log.address.to_string();
        let is_log_down = Arc::new(AtomicBool::new(false));
        let (is_down, address) = (Arc::clone(&is_log_down), log.clone());
        let log_address = serve(move |request| forward(request, &address, &is_down));
        let service = Arc::new(Service::default());
        let handler = Arc::clone(&service);
        let service_address = serve(move |request| handler.handle(request));
        let class = |name: &str, on_log_outage: &str| {
            format!(
                "[teams.t.classes.{name}]\npool = \"p\"\ntier = 0\ntarget_ms = 800\ndeadline_ms = 10000\n\
                 idempotent = false\non_log_outage = \"{on_log_outage}\"\n"
            )
        };
        let settings = format!(
            "[claims]\noutage_after_ms = 1500\nclock_skew_max_ms = 100\n[pools.p]\nkind = \"service\"\n[[pools.p.endpoints]]\n\
             name = \"s\"\naddress = \"{service_address}\"\ndata_centre = \"d\"\nchecks_fencing = true\n\
             [organisations.o]\nteam = \"t\"\nkey_hashes = [\"{}\"]\n{}{}",
            blake3::hash(API_KEY.as_bytes()).to_hex(),
            class("booking", "refuse"),
            class("bell", "from_memory"),
        );
        assert!(publish::publish_settings(&log, &settings), "the log is up");
        Self {
            log_address,
            is_log_down,
            service,
        }
    }

    /// Starts a daemon and returns its shared state and its address for callers.
    fn daemon(&self, name: &str) -> (Arc<Shared>, String) {
        let free = || {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener.local_addr().expect("an address").to_string()
        };
        let caller = free();
        let text = format!(
            "[vm]\nname = \"{name}\"\ndata_centre = \"d\"\ncaller_address = \"{caller}\"\n\
             peer_address = \"{}\"\noperator_address = \"{}\"\n[platform]\nlog_address = \"{}\"\n\
             [operators]\nroot_public_keys = [\"{}\"]\n",
            free(),
            free(),
            self.log_address,
            publish::root_public_key()
        );
        let config = Config::parse("test", &text).expect("valid settings");
        (daemon::start(config).expect("free ports"), caller)
    }

    fn runs(&self) -> u64 {
        self.service.runs.load(Ordering::SeqCst)
    }
}

fn call(address: &str, class: &str, key: Uuid, body: &str) -> (u16, String) {
    let response = Session::new()
        .post(format!("http://{address}/v1/services/p/book"))
        .header("Authorization", format!("Bearer {API_KEY}"))
        .header("Waxwing-Class", class)
        .header("Idempotency-Key", key.to_string())
        .text(body)
        .send()
        .expect("the daemon answers");
    (
        response.status().as_u16(),
        response.text().unwrap_or_default(),
    )
}

/// Makes calls with new keys until one succeeds, and returns its key and answer; checks that no refused call ran.
fn call_until_served(platform: &Platform, address: &str, class: &str) -> (Uuid, (u16, String)) {
    let started = Instant::now();
    loop {
        let runs = platform.runs();
        let key = Uuid::now_v7();
        let answer = call(address, class, key, "x");
        if answer.0 == 201 {
            return (key, answer);
        }
        assert_eq!(platform.runs(), runs, "{answer:?}");
        assert!(started.elapsed() < TIMEOUT, "{answer:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against an endpoint's status that tells the caller that a call has not run, which has.
#[test]
fn false_promise() {
    let platform = Platform::start();
    let (_shared, address) = platform.daemon("false-promise");
    call_until_served(&platform, &address, "booking");
    for status in [408, 421, 429, 503] {
        platform.service.status.store(status, Ordering::SeqCst);
        let runs = platform.runs();
        let key = Uuid::now_v7();
        let answer = call(&address, "booking", key, "x");
        assert_eq!(platform.runs(), runs + 1);
        assert_eq!(answer.0, 502, "after {status}: {answer:?}");
        assert_eq!(call(&address, "booking", key, "x"), answer);
        assert_eq!(platform.runs(), runs + 1, "a repeat runs nothing");
    }
}

/// Guards against a repeated key that runs the call again, also with another body, and against a call that reaches the
/// service without its key, range or fence header.
#[test]
fn single_run() {
    let platform = Platform::start();
    let (shared, address) = platform.daemon("single-run");
    let (key, answer) = call_until_served(&platform, &address, "booking");
    let runs = platform.runs();
    assert_eq!(call(&address, "booking", key, "x"), answer);
    let (status, body) = call(&address, "booking", key, "y");
    assert_eq!((status, body.contains("key_reused")), (422, true), "{body}");
    assert_eq!(platform.runs(), runs);
    let headers = platform.service.headers.lock().expect("no panic");
    let last = headers.last().expect("one run");
    assert_eq!(last["key"], key.to_string());
    assert_ne!(last["range"], "");
    assert_ne!(last["fence"], "0");
    assert!(shared.claims.release(TIMEOUT.as_millis() as u64));
}

/// Guards against concurrent calls with one key that run more than once.
#[test]
fn concurrent_repeats() {
    let platform = Platform::start();
    let (_shared, address) = platform.daemon("concurrent-repeats");
    call_until_served(&platform, &address, "booking");
    // A key of the same organisation may lie in a range that is not served yet.
    for _ in 0..20 {
        let before = platform.runs();
        let key = Uuid::now_v7();
        let mut threads = Vec::new();
        for _ in 0..8 {
            let address = address.clone();
            threads.push(thread::spawn(move || call(&address, "booking", key, "x").0));
        }
        for thread in threads {
            let status = thread.join().expect("no panic");
            assert!([201, 409, 503].contains(&status), "{status}");
        }
        assert!(platform.runs() - before <= 1);
    }
}

/// Guards against an outage that loses claims granted from memory, or that runs a class which must be refused.
#[test]
fn log_outage() {
    let platform = Platform::start();
    let (shared, address) = platform.daemon("log-outage");
    for _ in 0..40 {
        call_until_served(&platform, &address, "bell");
    }
    platform.is_log_down.store(true, Ordering::SeqCst);
    let (key, answer) = call_until_served(&platform, &address, "bell");
    let runs = platform.runs();
    assert_eq!(call(&address, "bell", key, "x"), answer);
    let (status, body) = call(&address, "booking", Uuid::now_v7(), "x");
    assert_eq!(
        (status, body.contains("log_unavailable")),
        (503, true),
        "{body}"
    );
    assert_eq!(platform.runs(), runs);
    platform.is_log_down.store(false, Ordering::SeqCst);
    // Once the ranges are released, the log holds all claims from memory, so the successor finds the answer.
    assert!(shared.claims.release(TIMEOUT.as_millis() as u64));
    let (_next, next_address) = platform.daemon("log-outage-2");
    let started = Instant::now();
    while call(&next_address, "bell", key, "x") != answer {
        assert!(started.elapsed() < TIMEOUT);
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(platform.runs(), runs);
}

/// Guards against a successor that serves without raising the fencing token, and two owners that keep taking the range
/// from each other.
#[test]
fn takeover() {
    let platform = Platform::start();
    let (_first, first_address) = platform.daemon("takeover");
    let (key, answer) = call_until_served(&platform, &first_address, "bell");
    let fence = platform.service.fence.load(Ordering::SeqCst);
    let (_second, second_address) = platform.daemon("takeover");
    let started = Instant::now();
    while call(&second_address, "bell", key, "x") != answer {
        assert!(started.elapsed() < TIMEOUT);
        thread::sleep(Duration::from_millis(20));
    }
    let started = Instant::now();
    while platform.service.fence.load(Ordering::SeqCst) <= fence {
        assert!(started.elapsed() < TIMEOUT);
        thread::sleep(Duration::from_millis(20));
    }
    // Two processes that take the range from each other would raise the token in each round.
    let (late, _) = call_until_served(&platform, &second_address, "bell");
    let highest = platform.service.fence.load(Ordering::SeqCst);
    assert!(highest < FENCE_LIMIT, "fence {highest} after key {late}");
}
