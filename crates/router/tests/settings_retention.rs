//! Guards against settings that are lost when the log drops old records, is down or loses an acknowledgement.

#[path = "common/settings.rs"]
mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;
use waxwing_core::state::settings::replay::Record as SettingsRecord;
use waxwing_wire::platform::Append;
use waxwing_wire::platform::Dropped;
use waxwing_wire::platform::Page;
use waxwing_wire::platform::Record;
use waxwing_wire::settings_api::PublishAnswer;
use waxwing_wire::settings_record;

use common::change::change_deployment;
use common::change::change_team;
use common::change::deployment_text;
use common::change::team_text;
use common::start_vm;
use common::wait_until;

/// Delay of each read, in milliseconds; it limits the rate of reads.
const POLL_MS: u64 = 50;

/// An in-process log that can drop records, fail and lose acknowledgements.
#[derive(Default)]
struct Log {
    records: Vec<Record>,
    first_offset: u64,
    retention_ms: u64,
    is_down: bool,
    loses_acknowledgements: bool,
}

fn start_log(retention_ms: u64) -> (Arc<Mutex<Log>>, String) {
    let log = Arc::new(Mutex::new(Log {
        retention_ms,
        ..Log::default()
    }));
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_string();
    let served = Arc::clone(&log);
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let served = Arc::clone(&served);
            thread::spawn(move || handle(&served, request));
        }
    });
    (log, address)
}

fn handle(log: &Mutex<Log>, mut request: Request) {
    let mut bytes = Vec::new();
    let _ = request.as_reader().read_to_end(&mut bytes);
    let (status, body) = match request.method() {
        Method::Post => append(&mut log.lock().expect("not poisoned"), &bytes),
        _ => {
            thread::sleep(Duration::from_millis(POLL_MS));
            read(&log.lock().expect("not poisoned"), request.url())
        }
    };
    let _ = request.respond(Response::from_string(body).with_status_code(status));
}

fn append(log: &mut Log, bytes: &[u8]) -> (u16, String) {
    if log.is_down {
        return (503, String::new());
    }
    let append: Append = serde_json::from_slice(bytes).expect("an append");
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock");
    let first = log.records.len() as u64;
    for data in append.records {
        let offset = log.records.len() as u64;
        let time_ms = since.as_millis() as u64;
        log.records.push(Record {
            offset,
            time_ms,
            data,
        });
    }
    match log.loses_acknowledgements {
        true => (500, String::new()),
        false => (200, format!("{{\"first_offset\":{first}}}")),
    }
}

fn read(log: &Log, url: &str) -> (u16, String) {
    if log.is_down {
        return (503, String::new());
    }
    let (_, query) = url.split_once("from=").expect("an offset");
    let from: u64 = query
        .split('&')
        .next()
        .and_then(|from| from.parse().ok())
        .expect("an offset");
    let first_offset = log.first_offset;
    if from < first_offset {
        return (
            410,
            serde_json::to_string(&Dropped { first_offset }).expect("JSON"),
        );
    }
    let page = Page {
        records: log.records.iter().skip(from as usize).cloned().collect(),
        first_offset,
        next_offset: log.records.len() as u64,
        retention_ms: log.retention_ms,
    };
    (200, serde_json::to_string(&page).expect("JSON"))
}

/// Returns the offset of the first snapshot.
fn find_snapshot(log: &Mutex<Log>) -> Option<u64> {
    let log = log.lock().expect("not poisoned");
    let is_snapshot = |record: &&Record| {
        matches!(
            settings_record::decode(record),
            Ok(SettingsRecord::Snapshot(_))
        )
    };
    let found = log.records.iter().find(is_snapshot);
    found.map(|record| record.offset)
}

#[test]
fn a_snapshot_replaces_records_that_are_no_longer_kept() {
    let (log, address) = start_log(2_000);
    let first = start_vm("vm-r1", &address);
    assert_eq!(
        first
            .publish(&change_deployment(0, deployment_text(1, false)))
            .0,
        200
    );
    assert_eq!(
        first
            .publish(&change_team("dispatch", 0, team_text("chat", 800)))
            .0,
        200
    );
    wait_until("a snapshot is appended", || find_snapshot(&log).is_some());
    log.lock().expect("not poisoned").first_offset = find_snapshot(&log).expect("present");
    let second = start_vm("vm-r2", &address);
    wait_until("the snapshot is used", || {
        second.subtree_version("teams.dispatch") == 2
    });
    // The VM that started from the snapshot accepts later changes too.
    assert_eq!(
        second
            .publish(&change_team("dispatch", 2, team_text("chat", 900)))
            .0,
        200
    );
    wait_until("in force everywhere", || {
        first.subtree_version("teams.dispatch") > 2 && second.subtree_version("teams.dispatch") > 2
    });
}

#[test]
fn a_lost_acknowledgement_is_settled_by_reading_back() {
    let (log, address) = start_log(3_600_000);
    let vm = start_vm("vm-r3", &address);
    log.lock().expect("not poisoned").loses_acknowledgements = true;
    assert_eq!(
        vm.publish(&change_deployment(0, deployment_text(1, false))),
        (200, PublishAnswer::Accepted { version: 1 })
    );
    assert_eq!(log.lock().expect("not poisoned").records.len(), 1);
}

#[test]
fn settings_stay_in_force_during_an_outage_and_follow_after_it() {
    let (log, address) = start_log(3_600_000);
    let vm = start_vm("vm-r4", &address);
    assert_eq!(
        vm.publish(&change_deployment(0, deployment_text(1, false)))
            .0,
        200
    );
    log.lock().expect("not poisoned").is_down = true;
    let change = change_team("dispatch", 0, team_text("chat", 800));
    // More concurrent changes than the operator server has threads must not block its status requests.
    let mut statuses: Vec<u16> = thread::scope(|scope| {
        let publish = || scope.spawn(|| vm.publish(&change).0);
        let publishing: Vec<_> = (0..5).map(|_| publish()).collect();
        assert_eq!(vm.subtree_version("deployment"), 1);
        let ended = publishing.into_iter().map(|handle| handle.join());
        ended.map(|status| status.expect("an answer")).collect()
    });
    statuses.sort_unstable();
    assert_eq!(statuses, [503, 503, 503, 504, 504]);
    log.lock().expect("not poisoned").is_down = false;
    assert_eq!(
        vm.publish(&change),
        (200, PublishAnswer::Accepted { version: 2 })
    );
}
