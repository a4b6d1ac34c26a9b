//! Errors of the gateway.

use std::net::SocketAddr;

/// Why the gateway or one of its calls failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket cannot be bound.
    #[error("cannot listen on {address} for {duty}: {source}")]
    Listen {
        /// What the socket is for.
        duty: &'static str,
        /// Its address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[error("signal handlers cannot be installed: {0}")]
    Signals(std::io::Error),
    /// The settings cannot be read.
    #[error("the settings {path} cannot be read: {source}")]
    ReadSettings {
        /// Path of the file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[error("the settings {path} are invalid:\n{findings}")]
    Settings {
        /// Path of the file.
        path: String,
        /// All findings, one a line.
        findings: String,
    },
    /// A connection could not be made.
    #[error("no connection to {address}: {source}")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A call got no usable answer.
    #[error("the call to {address} failed: {message}")]
    Call {
        /// The address.
        address: SocketAddr,
        /// What happened.
        message: String,
    },
}

/// Result of the gateway.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns whether nobody listens at the address of a connection that could not be made.
    pub(crate) fn is_refused(&self) -> bool {
        match self {
            Self::Connect { source, .. } => source.kind() == std::io::ErrorKind::ConnectionRefused,
            _ => false,
        }
    }
}
