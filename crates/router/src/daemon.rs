//! Start and end of a daemon process.

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

/// Time between looks at the requests in progress during a planned stop, in milliseconds.
const STOP_POLL_MS: u64 = 20;

/// Time for the log to confirm that all key ranges are handed over, in milliseconds.
const RELEASE_WAIT_MS: u64 = 5_000;

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

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// Fails if an address cannot be bound or a thread cannot be started.
pub fn run(config: Config) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let shared = start(config)?;
    let drained = Arc::clone(&shared);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            // A second signal finds the stop in progress and cuts no request.
            for signal in signals.forever() {
                log::info!("planned stop after signal {signal}");
                drained.drain();
            }
        })?;
    shared.wait_for_draining();
    finish(&shared);
    Ok(())
}

/// Ends a planned stop: accepts requests as long as callers may hold the address, then waits for those in progress.
fn finish(shared: &Shared) {
    let lifetime_s = shared.config.limits.entries_lifetime_s;
    log::info!("draining for {lifetime_s} s");
    thread::sleep(Duration::from_secs(lifetime_s));
    shared.stop();
    log::info!("new requests are refused");
    // Open connections outlast the request threads until the last bytes of the answers are sent.
    while shared.in_progress.load(Ordering::SeqCst) > 0
        || shared.connections.load(Ordering::SeqCst) > 0
    {
        thread::sleep(Duration::from_millis(STOP_POLL_MS));
    }
    if !shared.claims.release(RELEASE_WAIT_MS) {
        log::warn!("some key ranges were not handed over; their next owner has to take them over");
    }
    log::info!("no request is in progress, the process ends");
}

/// Starts the threads of a daemon and returns what they share.
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
