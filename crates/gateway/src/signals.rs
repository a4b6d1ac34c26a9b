//! Asynchronous reception of Unix signals.

use std::io::Read;
use std::os::unix::net::UnixStream;

use async_io::Async;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGTERM;
use signal_hook::low_level::pipe;

use crate::error::Error;
use crate::error::Result;

/// A stream of one kind of signal.
#[derive(Debug)]
pub struct Signals {
    receiver: Async<UnixStream>,
}

impl Signals {
    /// Receives requests to stop (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails if the handler cannot be installed.
    pub fn of_stop() -> Result<Self> {
        Self::of(SIGTERM)
    }

    /// Receives requests to reload the settings (SIGHUP).
    ///
    /// # Errors
    ///
    /// Fails if the handler cannot be installed.
    pub fn of_reload() -> Result<Self> {
        Self::of(SIGHUP)
    }

    fn of(signal: i32) -> Result<Self> {
        let install = || {
            let (receiver, sender) = UnixStream::pair()?;
            pipe::register(signal, sender)?;
            Async::new(receiver)
        };
        let receiver = install().map_err(Error::Signals)?;
        Ok(Self { receiver })
    }

    /// Waits for the next signal.
    pub async fn next(&self) {
        let mut byte = [0];
        // The sending end lives as long as the process, so the only outcome is a byte.
        let _ = self
            .receiver
            .read_with(|stream| (&*stream).read(&mut byte))
            .await;
    }
}
