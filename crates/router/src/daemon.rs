//! Start and end of a daemon process.

use std::net::TcpListener;
use std::sync::Arc;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::claims;
use crate::claims::Claims;
use crate::config::Config;
use crate::logging;
use crate::metric;
use crate::operator;
use crate::scheduling;
use crate::scheduling::Scheduling;
use crate::settings_sync;
use crate::shared::Shared;
use crate::transport::front;

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
    let shared = start(config)?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let signal = signals.forever().next();
    log::info!("stopping after signal {signal:?}");
    if !shared.claims.release(RELEASE_WAIT_MS) {
        log::warn!("some key ranges were not handed over; their next owner has to take them over");
    }
    Ok(())
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
    let (scheduling, inbox) = Scheduling::new();
    let (claims, claims_inbox) = Claims::new();
    let shared = Arc::new(Shared::new(config, scheduling, claims));
    scheduling::start(Arc::clone(&shared), inbox);
    claims::start(Arc::clone(&shared), claims_inbox);
    settings_sync::start(Arc::clone(&shared));
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
