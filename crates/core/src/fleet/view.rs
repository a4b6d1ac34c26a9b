//! Requests of followers to readers, and the answers.

use crate::Name;
use crate::fleet::sync_state::Position;
use crate::forwarding::endpoints::Entry;
use crate::forwarding::software_history::SoftwareNews;

/// A topic of the log service that is distributed through readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feed {
    /// The list of endpoints.
    Endpoints,
    /// The configuration.
    Configuration,
}

/// A long-poll request to a reader for the changes since the last answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewRequest {
    /// Incarnation of the reader and revision of the endpoints in its last answer; `None` requests the full list.
    pub known: Option<(u64, u64)>,
    /// Version of the configuration at the requesting VM; 0 if there is none.
    pub configuration_version: u64,
    /// Newest timeline of the log service that the requesting VM knows; 0 if it knows none.
    pub timeline: u64,
    /// Long-poll timeout, in milliseconds.
    pub wait_ms: u64,
}

/// Position and staleness of a reader's copy of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// Position after the last applied record.
    pub position: Position,
    /// Time since the log was known to end at that position, in milliseconds.
    pub age_ms: u64,
}

/// A reader's list of endpoints, or the changes of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointsView {
    /// Position and staleness of the data.
    pub watermark: Watermark,
    /// Revision of the last change within the incarnation.
    pub revision: u64,
    /// Whether `entries` is the full list, so that endpoints not in it do not exist.
    pub is_full: bool,
    /// Ids of the removed endpoints.
    pub removed: Vec<Name>,
    /// New and changed endpoints.
    pub entries: Vec<Entry>,
    /// Software versions that the reader has seen; `None` if it does not tell.
    pub software: Option<SoftwareNews>,
}

/// A reader's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationView {
    /// Position and staleness of the data.
    pub watermark: Watermark,
    /// Version at the reader.
    pub version: u64,
    /// The document as stored in the log service; `None` if the requesting VM already has this version.
    pub document: Option<String>,
}

/// A reader's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Incarnation of the reader.
    pub incarnation: u64,
    /// Time for which the reader held the request, in milliseconds.
    pub waited_ms: u64,
    /// The endpoints.
    pub endpoints: EndpointsView,
    /// The configuration.
    pub configuration: ConfigurationView,
}
