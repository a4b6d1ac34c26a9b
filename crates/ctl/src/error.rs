//! Why a command cannot be carried out.

use thiserror::Error as ThisError;
use waxwing_core::finding::Findings;

use crate::exit::Exit;

/// Result of the operations of this package.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command cannot be carried out.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// An argument cannot be read.
    #[error("{0}")]
    Argument(#[from] lexopt::Error),
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Standard input or output fails.
    #[error("standard input or output: {0}")]
    Terminal(#[from] std::io::Error),
    /// A VM does not answer.
    #[error("VM at {address}: {source}")]
    Transport {
        /// Operator address.
        address: String,
        /// Cause.
        source: attohttpc::Error,
    },
    /// A VM answers with an error status.
    #[error("VM at {address} answered with status {status}: {message}")]
    Status {
        /// Operator address.
        address: String,
        /// HTTP status code.
        status: u16,
        /// Body.
        message: String,
    },
    /// The answer of a VM does not decode.
    #[error("VM at {address}: the answer does not decode: {source}")]
    Decode {
        /// Operator address.
        address: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// Output cannot be written as JSON.
    #[error("the output cannot be written as JSON: {0}")]
    Json(serde_json::Error),
    /// A load run cannot be made.
    #[error("{0}")]
    Load(#[from] crate::load::Error),
    /// A file has findings.
    #[error("{0}")]
    Findings(#[from] Findings),
}

impl Error {
    /// Returns the outcome of a command that fails in this way.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Argument(_) => Exit::Usage,
            Self::Findings(_) => Exit::Findings,
            _ => Exit::Failure,
        }
    }
}
