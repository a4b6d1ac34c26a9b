//! Start and end of a daemon process.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::config::Config;
use crate::jobs;
use crate::logging;
use crate::members;
use crate::members::Members;
use crate::metric;
use crate::operator;
use crate::peer;
use crate::peer::Peers;
use crate::prober;
use crate::scheduling;
use crate::scheduling::Scheduling;
use crate::settings_sync;
use crate::shared::Shared;
use crate::transport::front;

/// Time between looks at the requests in progress during a planned stop, in milliseconds.
const STOP_POLL_MS: u64 = 20;

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
    log::info!("no request is in progress, the process ends");
}

/// Starts the threads of a daemon and returns what they share.
///
/// # Errors
///
/// Fails if an address cannot be bound or a thread cannot be started.
pub fn start(config: Config) -> Result<Arc<Shared>> {
    logging::install(config.vm.name.as_str(), log::LevelFilter::Info);
    let metrics = metric::install();
    let listener = bind("vm.caller_address", &config.vm.caller_address)?;
    let peer_listener = bind("vm.peer_address", &config.vm.peer_address)?;
    let (scheduling, scheduling_inbox) = Scheduling::new();
    let (peers, peers_inbox) = Peers::new();
    let (members, members_inbox) = Members::new();
    let shared = Arc::new(Shared::new(config, scheduling, peers, members));
    scheduling::start(Arc::clone(&shared), scheduling_inbox);
    peer::start(Arc::clone(&shared), peers_inbox, peer_listener)?;
    members::start(Arc::clone(&shared), members_inbox)?;
    settings_sync::start(Arc::clone(&shared));
    prober::start(Arc::clone(&shared));
    jobs::start(&shared)?;
    operator::start(Arc::clone(&shared), metrics)?;
    front::start(Arc::clone(&shared), listener)?;
    Ok(shared)
}

fn bind(key: &'static str, address: &str) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|source| Error::Bind {
        key,
        address: address.to_owned(),
        source,
    })
}
