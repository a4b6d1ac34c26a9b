//! Client of the platform's log service.

use std::time::Duration;

use attohttpc::ErrorKind;
use attohttpc::ProxySettings;
use attohttpc::Session;
use thiserror::Error;
use waxwing_wire::platform::Append;
use waxwing_wire::platform::Dropped;
use waxwing_wire::platform::Page;

/// Time to connect, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Time for a response beyond the requested wait, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 2_000;

/// HTTP status of a read whose first record is no longer kept.
const DROPPED_STATUS: u16 = 410;

/// HTTP status of an append that the service rejected because its rate limit was exceeded.
const RATE_EXCEEDED_STATUS: u16 = 429;

/// Result of the calls to the log service.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to the log service.
#[derive(Debug, Error)]
pub enum Error {
    /// The call failed or its answer did not arrive; an append may have taken effect.
    #[error("log service at {address}: {source}")]
    Transport {
        /// Address of the service.
        address: String,
        /// Cause.
        source: attohttpc::Error,
    },
    /// The service answered with an error status.
    #[error("log service at {address} answered with status {status}")]
    Status {
        /// Address of the service.
        address: String,
        /// HTTP status code.
        status: u16,
    },
    /// The first requested record is no longer kept.
    #[error("log service at {address}: records before offset {first_offset} are no longer kept")]
    Dropped {
        /// Address of the service.
        address: String,
        /// Oldest offset that is kept.
        first_offset: u64,
    },
    /// The stream ends before the offset that it was read to: the service has lost records.
    #[error(
        "log service at {address}: stream {stream} ends at offset {end}, but was read up to offset {read_to}; \
         records are lost"
    )]
    LostRecords {
        /// Address of the service.
        address: String,
        /// Stream.
        stream: String,
        /// End of the stream.
        end: u64,
        /// Offset after the last record that was read.
        read_to: u64,
    },
    /// The answer does not decode.
    #[error("log service at {address}: the answer does not decode: {source}")]
    Decode {
        /// Address of the service.
        address: String,
        /// Cause.
        source: serde_json::Error,
    },
}

impl Error {
    /// Returns whether an append with this error has certainly not taken effect.
    pub fn is_not_appended(&self) -> bool {
        match self {
            // Only a refused connection proves that no byte of the call was sent.
            Self::Transport { source, .. } => match source.kind() {
                ErrorKind::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
                _ => false,
            },
            Self::Status { status, .. } => *status == RATE_EXCEEDED_STATUS,
            Self::Dropped { .. } | Self::LostRecords { .. } | Self::Decode { .. } => false,
        }
    }
}

/// Client of the platform's log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    address: String,
}

impl LogClient {
    /// Creates a client of the service at `address`.
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
        }
    }

    /// Appends records in one operation.
    ///
    /// # Errors
    ///
    /// Fails if the service does not confirm the append; the records may still be in the log.
    pub fn append(&self, stream: &str, append: &Append) -> Result<()> {
        let url = format!("http://{}/streams/{stream}/records", self.address);
        let body = serde_json::to_vec(append).map_err(|source| self.decode_error(source))?;
        let session = new_session(ANSWER_TIMEOUT_MS);
        let request = session.post(url).header("Content-Type", "application/json");
        let response = request.bytes(body).send();
        self.read_bytes(response).map(|_| ())
    }

    /// Reads records from `from` on, and waits up to `wait_ms` for the first.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer, with [`Error::Dropped`] if `from` is no longer kept, and with
    /// [`Error::LostRecords`] if the stream ends before it.
    pub fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<Page> {
        let address = &self.address;
        let url =
            format!("http://{address}/streams/{stream}/records?from={from}&wait_ms={wait_ms}");
        let session = new_session(wait_ms + ANSWER_TIMEOUT_MS);
        let bytes = self.read_bytes(session.get(url).send())?;
        let page: Page =
            serde_json::from_slice(&bytes).map_err(|source| self.decode_error(source))?;
        if page.next_offset < from {
            return Err(Error::LostRecords {
                address: self.address.clone(),
                stream: stream.to_owned(),
                end: page.next_offset,
                read_to: from,
            });
        }
        Ok(page)
    }

    fn read_bytes(&self, response: attohttpc::Result<attohttpc::Response>) -> Result<Vec<u8>> {
        let response = response.map_err(|source| self.transport_error(source))?;
        if response.status().as_u16() == DROPPED_STATUS {
            let bytes = response
                .bytes()
                .map_err(|source| self.transport_error(source))?;
            return Err(self.dropped_error(&bytes));
        }
        if !response.is_success() {
            return Err(Error::Status {
                address: self.address.clone(),
                status: response.status().as_u16(),
            });
        }
        response
            .bytes()
            .map_err(|source| self.transport_error(source))
    }

    fn dropped_error(&self, body: &[u8]) -> Error {
        match serde_json::from_slice::<Dropped>(body) {
            Ok(dropped) => Error::Dropped {
                address: self.address.clone(),
                first_offset: dropped.first_offset,
            },
            Err(source) => self.decode_error(source),
        }
    }

    fn transport_error(&self, source: attohttpc::Error) -> Error {
        Error::Transport {
            address: self.address.clone(),
            source,
        }
    }

    fn decode_error(&self, source: serde_json::Error) -> Error {
        Error::Decode {
            address: self.address.clone(),
            source,
        }
    }
}

/// Returns a session that ignores proxies from the environment.
pub(crate) fn new_session(read_timeout_ms: u64) -> Session {
    let mut session = Session::new();
    session.proxy_settings(ProxySettings::builder().build());
    session.connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS));
    session.read_timeout(Duration::from_millis(read_timeout_ms));
    session.follow_redirects(false);
    session
}
