//! Startup and planned stop of the daemon.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use waxwing_gateway::logging;

use crate::claims;
use crate::config::Config;
use crate::evidence;
use crate::explain;
use crate::jobs;
use crate::members;
use crate::operator;
use crate::peer;
use crate::prober;
use crate::scheduling;
use crate::settings_sync;
use crate::shared::Handles;
use crate::shared::Shared;
use crate::transport::http_server;

/// Interval at which a planned stop polls the requests in progress, in milliseconds.
const STOP_POLL_MS: u64 = 20;

/// Longest wait for the log to confirm the release of all key ranges, in milliseconds.
const RELEASE_WAIT_MS: u64 = 5_000;

/// Longest wait for the results of jobs that run here, in milliseconds; after it another VM has to run them again.
const RESULTS_WAIT_MS: u64 = 10_000;

/// Result of running a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a daemon cannot run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be bound.
    #[error("{key} {address} cannot be bound: {source}")]
    Bind {
        /// Key of the setting.
        key: &'static str,
        /// Address.
        address: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A thread or signal handler cannot be set up.
    #[error("the process cannot be set up: {0}")]
    Setup(#[from] std::io::Error),
}

/// Runs a daemon until SIGTERM, SIGINT or an operator starts a planned stop, and returns when it has finished.
///
/// # Errors
///
/// Fails if an address cannot be bound or a thread cannot be started.
pub fn run(config: Config) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let shared = start(config)?;
    let draining = Arc::clone(&shared);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            // A second signal has no effect: the requests in progress still run to their end.
            for signal in signals.forever() {
                log::info!("planned stop after signal {signal}");
                draining.drain();
            }
        })?;
    shared.wait_for_draining();
    finish(&shared);
    Ok(())
}

/// Completes a planned stop: accepts requests until callers have dropped the address, then waits for those in progress and
/// for the results of jobs.
fn finish(shared: &Shared) {
    let lifetime_s = shared.config.limits.entries_lifetime_s;
    log::info!("draining for {lifetime_s} s");
    thread::sleep(Duration::from_secs(lifetime_s));
    shared.stop();
    log::info!("new requests are refused");
    // A connection stays open after its request thread ends, until the last bytes of the response are sent.
    while shared.in_progress.load(Ordering::SeqCst) > 0
        || shared.connections.load(Ordering::SeqCst) > 0
    {
        thread::sleep(Duration::from_millis(STOP_POLL_MS));
    }
    let unrecorded = shared
        .jobs
        .wait_for_results(Duration::from_millis(RESULTS_WAIT_MS));
    if unrecorded > 0 {
        log::warn!("{unrecorded} jobs have no result in the log; they run again on another VM");
    }
    if !shared.claims.release(RELEASE_WAIT_MS) {
        log::warn!(
            "the release of some key ranges was not confirmed; their next owner has to take them over"
        );
    }
    log::info!("no request is in progress; the process exits");
}

/// Starts the threads of a daemon and returns their shared state.
///
/// # Errors
///
/// Fails if an address cannot be bound or a thread cannot be started.
pub fn start(config: Config) -> Result<Arc<Shared>> {
    let vm = config.vm.name.as_str();
    logging::install(vm, log::LevelFilter::Info, logging::Output::Stderr);
    let metrics = waxwing_gateway::metric::install();
    let listener = bind("vm.caller_address", &config.vm.caller_address)?;
    let peer_listener = bind("vm.peer_address", &config.vm.peer_address)?;
    let (handles, inboxes) = Handles::new();
    let shared = Arc::new(Shared::new(config, handles));
    scheduling::start(Arc::clone(&shared), inboxes.scheduling);
    peer::start(Arc::clone(&shared), inboxes.peers, peer_listener)?;
    members::start(Arc::clone(&shared), inboxes.members)?;
    claims::start(Arc::clone(&shared), inboxes.claims);
    settings_sync::start(Arc::clone(&shared));
    prober::start(Arc::clone(&shared));
    evidence::start(Arc::clone(&shared));
    explain::start(Arc::clone(&shared));
    jobs::start(&shared)?;
    operator::start(Arc::clone(&shared), metrics)?;
    http_server::start(Arc::clone(&shared), listener)?;
    Ok(shared)
}

fn bind(key: &'static str, address: &str) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|source| Error::Bind {
        key,
        address: address.to_owned(),
        source,
    })
}
