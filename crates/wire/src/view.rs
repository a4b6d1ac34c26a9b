//! Requests to VMs that read the log service on behalf of other VMs, and the responses: one JSON object each.

use serde::Deserialize;
use serde::Serialize;
use waxwing_core::Name;
use waxwing_core::fleet::Position;
use waxwing_core::fleet::view;
use waxwing_core::forwarding::endpoints::Entry;
use waxwing_core::forwarding::software_history::ListedSoftware;
use waxwing_core::forwarding::software_history::SoftwareNews;
use waxwing_core::forwarding::stream_origins::SoftwareKey;

/// Version of the message format; messages of other versions are rejected.
const VERSION: u8 = 1;

/// Error while encoding or decoding a message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The message is not JSON or does not have the expected structure.
    #[error("the message cannot be decoded: {0}")]
    Json(#[from] serde_json::Error),
    /// The message has an unsupported version.
    #[error("the message has version {0}; this build supports version {VERSION}")]
    Version(u8),
    /// A field has an invalid value.
    #[error("the message field `{0}` is invalid")]
    Field(&'static str),
}

/// Result of encoding or decoding a message.
pub type Result<T> = std::result::Result<T, Error>;

#[derive(Debug, Serialize, Deserialize)]
struct WireViewRequest {
    v: u8,
    known: Option<(u64, u64)>,
    configuration: u64,
    /// Absent in requests of earlier builds.
    #[serde(default)]
    timeline: u64,
    wait_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireWatermark {
    /// Absent in answers of earlier builds.
    #[serde(default)]
    timeline: u64,
    offset: u64,
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireEntry {
    id: String,
    service: String,
    address: String,
    data_centre: String,
    slots: u32,
    draining: bool,
    cold_ms: u64,
    born_ms: Option<u64>,
    /// Absent in answers of earlier builds.
    #[serde(default)]
    version: String,
    sequence: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireListedSoftware {
    service: String,
    software: u64,
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireSoftwareNews {
    complete_ms: u64,
    versions: Vec<WireListedSoftware>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireView {
    v: u8,
    incarnation: u64,
    waited_ms: u64,
    endpoints: WireWatermark,
    revision: u64,
    whole: bool,
    removed: Vec<String>,
    entries: Vec<WireEntry>,
    /// Absent in answers of earlier builds.
    #[serde(default)]
    software: Option<WireSoftwareNews>,
    configuration: WireWatermark,
    version: u64,
    document: Option<String>,
}

impl From<view::Watermark> for WireWatermark {
    fn from(watermark: view::Watermark) -> Self {
        Self {
            timeline: watermark.position.timeline,
            offset: watermark.position.offset,
            age_ms: watermark.age_ms,
        }
    }
}

impl From<WireWatermark> for view::Watermark {
    fn from(wire: WireWatermark) -> Self {
        Self {
            position: Position {
                timeline: wire.timeline,
                offset: wire.offset,
            },
            age_ms: wire.age_ms,
        }
    }
}

impl From<&Entry> for WireEntry {
    fn from(entry: &Entry) -> Self {
        Self {
            id: entry.id.as_str().to_owned(),
            service: entry.service.as_str().to_owned(),
            address: entry.address.to_string(),
            data_centre: entry.data_centre.as_str().to_owned(),
            slots: entry.slots,
            draining: entry.is_draining,
            cold_ms: entry.cold_ms,
            born_ms: entry.born_ms,
            version: entry.version.as_str().to_owned(),
            sequence: entry.sequence,
        }
    }
}

impl TryFrom<WireEntry> for Entry {
    type Error = Error;

    fn try_from(wire: WireEntry) -> Result<Self> {
        Ok(Self {
            id: Name::from(wire.id),
            service: Name::from(wire.service),
            address: wire.address.parse().map_err(|_| Error::Field("address"))?,
            data_centre: Name::from(wire.data_centre),
            slots: wire.slots,
            is_draining: wire.draining,
            cold_ms: wire.cold_ms,
            born_ms: wire.born_ms,
            version: Name::from(wire.version),
            sequence: wire.sequence,
        })
    }
}

impl From<&SoftwareNews> for WireSoftwareNews {
    fn from(news: &SoftwareNews) -> Self {
        let mut versions = Vec::new();
        for listed in &news.versions {
            versions.push(WireListedSoftware {
                service: listed.service.as_str().to_owned(),
                software: listed.software.0,
                age_ms: listed.age_ms,
            });
        }
        Self {
            complete_ms: news.complete_ms,
            versions,
        }
    }
}

impl From<WireSoftwareNews> for SoftwareNews {
    fn from(wire: WireSoftwareNews) -> Self {
        let mut versions = Vec::new();
        for listed in wire.versions {
            versions.push(ListedSoftware {
                service: Name::from(listed.service),
                software: SoftwareKey(listed.software),
                age_ms: listed.age_ms,
            });
        }
        Self {
            complete_ms: wire.complete_ms,
            versions,
        }
    }
}

impl From<&view::View> for WireView {
    fn from(view: &view::View) -> Self {
        let endpoints = &view.endpoints;
        let removed = endpoints.removed.iter();
        Self {
            v: VERSION,
            incarnation: view.incarnation,
            waited_ms: view.waited_ms,
            endpoints: endpoints.watermark.into(),
            revision: endpoints.revision,
            whole: endpoints.is_full,
            removed: removed.map(|id| id.as_str().to_owned()).collect(),
            entries: endpoints.entries.iter().map(WireEntry::from).collect(),
            software: endpoints.software.as_ref().map(WireSoftwareNews::from),
            configuration: view.configuration.watermark.into(),
            version: view.configuration.version,
            document: view.configuration.document.clone(),
        }
    }
}

impl TryFrom<WireView> for view::View {
    type Error = Error;

    fn try_from(wire: WireView) -> Result<Self> {
        check_version(wire.v)?;
        let mut entries = Vec::new();
        for entry in wire.entries {
            entries.push(Entry::try_from(entry)?);
        }
        Ok(Self {
            incarnation: wire.incarnation,
            waited_ms: wire.waited_ms,
            endpoints: view::EndpointsView {
                watermark: wire.endpoints.into(),
                revision: wire.revision,
                is_full: wire.whole,
                removed: wire.removed.into_iter().map(Name::from).collect(),
                entries,
                software: wire.software.map(SoftwareNews::from),
            },
            configuration: view::ConfigurationView {
                watermark: wire.configuration.into(),
                version: wire.version,
                document: wire.document,
            },
        })
    }
}

fn check_version(version: u8) -> Result<()> {
    if version != VERSION {
        return Err(Error::Version(version));
    }
    Ok(())
}

/// Encodes a request for a view.
///
/// # Errors
///
/// Fails if the JSON encoder does.
pub fn encode_question(request: &view::ViewRequest) -> Result<Vec<u8>> {
    Ok(serde_json::to_vec(&WireViewRequest {
        v: VERSION,
        known: request.known,
        configuration: request.configuration_version,
        timeline: request.timeline,
        wait_ms: request.wait_ms,
    })?)
}

/// Decodes a request for a view.
///
/// # Errors
///
/// Fails if the message is not a request of this version.
pub fn decode_question(bytes: &[u8]) -> Result<view::ViewRequest> {
    let wire: WireViewRequest = serde_json::from_slice(bytes)?;
    check_version(wire.v)?;
    Ok(view::ViewRequest {
        known: wire.known,
        configuration_version: wire.configuration,
        timeline: wire.timeline,
        wait_ms: wire.wait_ms,
    })
}

/// Encodes a view.
///
/// # Errors
///
/// Fails if the JSON encoder does.
pub fn encode_view(view: &view::View) -> Result<Vec<u8>> {
    Ok(serde_json::to_vec(&WireView::from(view))?)
}

/// Decodes a view.
///
/// # Errors
///
/// Fails if the message is not a view of this version or a field is invalid.
pub fn decode_view(bytes: &[u8]) -> Result<view::View> {
    let wire: WireView = serde_json::from_slice(bytes)?;
    view::View::try_from(wire)
}
