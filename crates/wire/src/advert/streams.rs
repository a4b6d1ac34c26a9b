//! Software versions at which streams began, in datagrams between VMs.

use serde::Deserialize;
use serde::Serialize;
use waxwing_core::forwarding::stream_origins::AttemptKey;
use waxwing_core::forwarding::stream_origins::SoftwareKey;
use waxwing_core::forwarding::stream_origins::StreamOrigin;

use crate::advert::Error;
use crate::advert::Result;

/// Maximum age of a stream, in milliseconds: a year, so that sums cannot overflow.
const AGE_MAX_MS: u64 = 31_536_000_000;

/// Streams that began lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamNotice {
    /// The streams.
    pub origins: Vec<StreamOrigin>,
    /// Whether it comes from another data centre and must still be forwarded to the other VMs of this one.
    pub is_remote: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireStreamNotice {
    remote: bool,
    origins: Vec<WireOrigin>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireOrigin {
    /// Hash of the attempt's id, in little-endian byte order.
    attempt: [u8; 8],
    /// Hash of the service and the version; absent if the version is not certain.
    software: Option<[u8; 8]>,
    age_ms: u64,
}

impl From<&StreamNotice> for WireStreamNotice {
    fn from(notice: &StreamNotice) -> Self {
        let mut origins = Vec::new();
        for origin in &notice.origins {
            origins.push(WireOrigin {
                attempt: origin.attempt.0.to_le_bytes(),
                software: origin.software.map(|software| software.0.to_le_bytes()),
                age_ms: origin.age_ms,
            });
        }
        Self {
            remote: notice.is_remote,
            origins,
        }
    }
}

impl TryFrom<WireStreamNotice> for StreamNotice {
    type Error = Error;

    fn try_from(wire: WireStreamNotice) -> Result<Self> {
        let mut origins = Vec::new();
        for origin in wire.origins {
            if origin.age_ms > AGE_MAX_MS {
                return Err(Error::Field("age_ms"));
            }
            let software = origin.software.map(u64::from_le_bytes);
            origins.push(StreamOrigin {
                attempt: AttemptKey(u64::from_le_bytes(origin.attempt)),
                software: software.map(SoftwareKey),
                age_ms: origin.age_ms,
            });
        }
        Ok(Self {
            origins,
            is_remote: wire.remote,
        })
    }
}
