//! The prober thread: asks the endpoints that this VM schedules for their health and load.

use std::collections::HashSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use attohttpc::Session;
use flume::Receiver;
use flume::Sender;
use serde::de::DeserializeOwned;
use waxwing_core::Name;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::state::settings::PoolKind;
use waxwing_wire::platform::Health;
use waxwing_wire::platform::LoadReport;

use crate::config::Vm;
use crate::metric;
use crate::scheduling::is_scheduled_by;
use crate::shared::Shared;
use crate::shared::View;

/// Time between two probes of an endpoint, in milliseconds.
///
/// A probe takes 569 bytes both ways without TCP headers. With the 14 endpoints of a planned shard, an interval of one
/// second would exceed the 5 KB/s of control traffic that a daemon may cause.
const INTERVAL_MS: u64 = 2_000;

/// Shortest time between two rounds when a lost connection triggers an early one, in milliseconds.
const EARLY_INTERVAL_MS: u64 = 100;

/// Timeout of a call to an endpoint, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Endpoints probed at the same time.
const WORKERS: usize = 8;

/// Probes that may wait for a worker; the others are left to the next round.
const PROBES_MAX: usize = 256;

/// Age beyond which a load report is ignored as stale, in milliseconds.
const REPORT_AGE_MAX_MS: u64 = 5_000;

/// An endpoint to probe.
#[derive(Clone, Debug, PartialEq)]
struct Target {
    pool: Name,
    kind: PoolKind,
    endpoint: Name,
    address: String,
}

/// Starts the prober thread and its workers.
pub fn start(shared: Arc<Shared>) {
    let (probes, inbox) = flume::bounded(PROBES_MAX);
    // Each probe in progress or waiting sends one result.
    let (results, finished) = flume::bounded(PROBES_MAX + WORKERS);
    for _ in 0..WORKERS {
        let shared = Arc::clone(&shared);
        let inbox = inbox.clone();
        let results = results.clone();
        thread::spawn(move || work(&shared, &inbox, &results));
    }
    thread::spawn(move || run(&shared, &probes, &finished));
}

fn run(shared: &Shared, probes: &Sender<Target>, finished: &Receiver<Name>) {
    let mut in_progress: HashSet<Name> = HashSet::new();
    loop {
        let began = Instant::now();
        for target in probe_targets(&shared.view(), &shared.config.vm) {
            if in_progress.contains(&target.endpoint) {
                continue;
            }
            let endpoint = target.endpoint.clone();
            match probes.try_send(target) {
                Ok(()) => {
                    in_progress.insert(endpoint);
                }
                Err(_) => {
                    metrics::counter!(metric::PROBES, "result" => "no_worker").increment(1);
                }
            }
        }
        thread::sleep(Duration::from_millis(EARLY_INTERVAL_MS));
        let interval = Duration::from_millis(INTERVAL_MS);
        let left = interval.saturating_sub(began.elapsed());
        shared.scheduling.wait_for_lost_connection(left);
        for endpoint in finished.try_iter() {
            in_progress.remove(&endpoint);
        }
    }
}

/// Returns the endpoints of the shards that the VM schedules.
fn probe_targets(view: &View, vm: &Vm) -> Vec<Target> {
    let mut targets = Vec::new();
    for (pool_name, pool) in &view.settings.pools {
        for endpoint in &pool.endpoints {
            if !is_scheduled_by(view, vm, pool_name, pool, &endpoint.data_centre) {
                continue;
            }
            targets.push(Target {
                pool: pool_name.clone(),
                kind: pool.kind,
                endpoint: endpoint.name.clone(),
                address: endpoint.address.clone(),
            });
        }
    }
    targets
}

fn work(shared: &Shared, inbox: &Receiver<Target>, results: &Sender<Name>) {
    let mut session = Session::new();
    session.proxy_settings(attohttpc::ProxySettings::builder().build());
    session.timeout(Duration::from_millis(CALL_TIMEOUT_MS));
    session.connect_timeout(Duration::from_millis(CALL_TIMEOUT_MS));
    session.follow_redirects(false);
    for target in inbox.iter() {
        probe(shared, &session, &target);
        // The channel has room for a result of each probe that waits or is in progress.
        let _ = results.try_send(target.endpoint);
    }
}

fn probe(shared: &Shared, session: &Session, target: &Target) {
    let load: Option<LoadReport> = get(session, &target.address, "load");
    let started_id = match target.kind {
        PoolKind::Model => {
            let health: Option<Health> = get(session, &target.address, "healthz");
            health.map(|health| health.started_id)
        }
        // Services have no health call; their load report carries the identity.
        PoolKind::Service => load.map(|load| load.started_id),
    };
    let result = if started_id.is_some() {
        "alive"
    } else {
        "failed"
    };
    metrics::counter!(metric::PROBES, "result" => result).increment(1);
    let probe = Input::Probe {
        endpoint: target.endpoint.clone(),
        is_alive: started_id.is_some(),
        started_id: started_id.unwrap_or(0),
    };
    shared.scheduling.input(&target.pool, probe);
    let Some(load) = load else {
        return;
    };
    if load.report_age_ms > REPORT_AGE_MAX_MS {
        return;
    }
    let load = Input::Load {
        endpoint: target.endpoint.clone(),
        running: load.running,
        waiting: load.waiting,
    };
    shared.scheduling.input(&target.pool, load);
}

fn get<T: DeserializeOwned>(session: &Session, address: &str, path: &str) -> Option<T> {
    let response = session.get(format!("http://{address}/{path}")).send();
    let response = match response {
        Ok(response) if response.is_success() => response,
        Ok(response) => {
            log::debug!("endpoint {address}, /{path}: status {}", response.status());
            return None;
        }
        Err(error) => {
            log::debug!("endpoint {address}, /{path}: {error}");
            return None;
        }
    };
    serde_json::from_slice(&response.bytes().ok()?).ok()
}
