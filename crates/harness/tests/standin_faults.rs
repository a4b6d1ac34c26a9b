//! The faults of the stand-ins have the effects that other tests rely on.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use waxwing_harness::Run;
use waxwing_harness::Standin;
use waxwing_harness::caller;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::publish;
use waxwing_standin::engine;
use waxwing_standin::fault::CommonFaults;
use waxwing_standin::fault::Outage;
use waxwing_standin::log;
use waxwing_standin::proxy;
use waxwing_standin::service;

const CHAT: &str = "/v1/chat/completions";

fn outage_faults(outage: Outage) -> log::Faults {
    log::Faults {
        common: CommonFaults {
            outage: Some(outage),
            ..CommonFaults::default()
        },
        ..log::Faults::default()
    }
}

/// Guards against an outage that lets appends through or that does not end.
#[test]
fn log_outage_begins_and_ends() {
    let run = Run::new();
    let log = Standin::start(&run, "log", "log", &[]);
    for outage in [Outage::Refuse, Outage::Unavailable] {
        log.set_faults(&outage_faults(outage));
        condition::wait_until("appends fail", || {
            !publish::append(&log.address(), "s", b"a")
        });
        log.set_faults(&log::Faults::default());
        condition::wait_until("appends work", || {
            publish::append(&log.address(), "s", b"a")
        });
    }
}

/// Guards against a lost acknowledgement whose append did not take effect, which would be another fault.
#[test]
fn lost_acknowledgement_keeps_the_record() {
    let run = Run::new();
    let log = Standin::start(&run, "log", "log", &[]);
    log.set_faults(&log::Faults {
        lose_acknowledgements: true,
        ..log::Faults::default()
    });
    assert!(!publish::append(&log.address(), "s", b"a"));
    assert_eq!(log.log_counts().records, 1);
}

/// Guards against a log that takes more appends than the platform's, and one that keeps all records.
#[test]
fn log_limits_rate_and_retention() {
    let run = Run::new();
    let options = ["--appends-per-s", "3", "--retention-ms", "50"];
    let log = Standin::start(&run, "log", "log", &options);
    let client = Caller::new(&log.address(), "");
    let mut is_refused = false;
    for _ in 0..4 {
        is_refused |= !publish::append(&log.address(), "s", b"a");
    }
    assert!(is_refused);
    condition::wait_until("old records are dropped", || {
        let read = client.get("/streams/s/records?from=0");
        read.is_some_and(|answer| answer.status == 410)
    });
}

/// Guards against an engine that is as fast under load, and against a cancelled generation that keeps its slot.
#[test]
fn engine_slows_and_cancels() {
    let run = Run::new();
    let options = ["--knee", "1", "--running-max", "2", "--report-lag-ms", "0"];
    let engine = Standin::start(&run, "engine", "engine", &options);
    let running = || {
        let client = Caller::new(&engine.address(), "");
        let load = client.get("/load").and_then(|answer| answer.to_json());
        load.and_then(|load| Some((load["running"].as_u64()?, load["waiting"].as_u64()?)))
    };
    let mut connections = Vec::new();
    for _ in 0..3 {
        let mut raw = waxwing_harness::raw::RawConnection::connect(&engine.address());
        let body = caller::chat_body("long", 100_000, true).to_string();
        let head = format!(
            "POST {CHAT} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        assert!(raw.send(head.as_bytes()) && raw.send(body.as_bytes()));
        connections.push(raw);
    }
    condition::wait_until("two run and one waits", || running() == Some((2, 1)));
    connections.clear();
    condition::wait_until("closed connections free their slots", || {
        running() == Some((0, 0))
    });
}

/// Guards against a restarted engine that cannot be told from one that never stopped, and a crash text that does nothing.
#[test]
fn engine_crashes_and_changes_identity() {
    let run = Run::new();
    let mut engine = Standin::start(&run, "engine", "engine", &[]);
    let identity = |engine: &Standin| {
        let client = Caller::new(&engine.address(), "");
        client.get("/healthz").and_then(|answer| answer.to_json())
    };
    let before = identity(&engine).expect("the engine is healthy");
    engine.set_faults(&engine::Faults {
        common: CommonFaults {
            crash_text: Some("poison".to_owned()),
            ..CommonFaults::default()
        },
        ..engine::Faults::default()
    });
    let client = Caller::new(&engine.address(), "");
    assert!(client.chat("", "some poison here", 3).is_none());
    assert_eq!(engine.process().wait().code(), Some(134));
    engine.restart();
    let after = identity(&engine).expect("the engine is healthy");
    assert_ne!(before, after);
}

/// Guards against a ledger that misses a call whose acknowledgement was lost, and a fence that lets stale calls run.
#[test]
fn service_checks_fences_and_keeps_a_ledger() {
    let run = Run::new();
    let service = Standin::start(&run, "service", "service", &[]);
    let client = Caller::new(&service.address(), "");
    let post = |fence: &str| {
        let headers = [("Waxwing-Range", "3"), ("Waxwing-Fence", fence)];
        client.post("/book", "", &headers, b"van")
    };
    assert_eq!(post("7").map(|answer| answer.status), Some(200));
    assert_eq!(post("6").map(|answer| answer.status), Some(412));
    service.set_faults(&service::Faults {
        lose_acknowledgements: true,
        ..service::Faults::default()
    });
    assert!(post("8").is_none());
    let mut fences = Vec::new();
    for entry in service.ledger().entries {
        fences.push(entry.fence);
    }
    assert_eq!(fences, [Some(7), Some(8)]);
}

/// Guards against proxy faults that hit the wrong connections or directions.
#[test]
fn proxy_faults_hit_what_they_name() {
    let run = Run::new();
    let options = ["--gap-ms", "20"];
    let engine = Standin::start(&run, "engine", "engine", &options);
    let proxy = Standin::start_proxy(&run, "proxy", &engine.address());
    let client = Caller::new(&proxy.address(), "");
    let is_up = || {
        client
            .get("/healthz")
            .is_some_and(|answer| answer.is_complete)
    };
    assert!(is_up());

    let mut existing = waxwing_harness::raw::RawConnection::connect(&proxy.address());
    assert!(existing.send(b"GET /healthz HTTP/1.1\r\nHost: a\r\n"));
    condition::wait_until("the proxy has the connection", is_up);
    proxy.set_faults(&proxy::Faults {
        silence_existing: true,
        ..proxy::Faults::default()
    });
    condition::wait_until("new connections work", is_up);
    assert!(existing.send(b"Connection: close\r\n\r\n"));
    let silent = thread::spawn(move || existing.read_to_end());

    proxy.set_faults(&proxy::Faults {
        refuse: true,
        ..proxy::Faults::default()
    });
    condition::wait_until("new connections are refused", || !is_up());
    assert!(!silent.is_finished(), "a silent connection was answered");

    proxy.set_faults(&proxy::Faults {
        reset: true,
        ..proxy::Faults::default()
    });
    assert_eq!(silent.join().expect("the reader ends"), "");

    let delay_ms = 300;
    proxy.set_faults(&proxy::Faults {
        to_client: proxy::DirectionFaults {
            delay_ms,
            is_cut: false,
        },
        ..proxy::Faults::default()
    });
    condition::wait_until("connections work again", is_up);
    let begin = Instant::now();
    assert!(is_up());
    assert!(begin.elapsed() >= Duration::from_millis(delay_ms));
}
