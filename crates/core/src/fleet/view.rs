//! What a VM asks a reader, and what the reader answers.

use crate::Name;
use crate::forwarding::endpoints::Entry;

/// What a VM read from the log service or from a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feed {
    /// The list of endpoints.
    Endpoints,
    /// The configuration.
    Configuration,
}

/// A question to a reader: what is new since the last answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewRequest {
    /// Incarnation of the reader and its revision of the endpoints in the last answer; `None` asks for all of them.
    pub known: Option<(u64, u64)>,
    /// Version of the configuration in force at the VM that asks; 0 if there is none.
    pub configuration_version: u64,
    /// Longest time to wait for news, in milliseconds.
    pub wait_ms: u64,
}

/// How far a reader's knowledge of a topic reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// Offset after the last record that it took into account.
    pub offset: u64,
    /// Time since nothing beyond that offset existed, in milliseconds.
    pub age_ms: u64,
}

/// A reader's list of endpoints, or what changed in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointsView {
    /// How far it reaches.
    pub watermark: Watermark,
    /// Number of the last change within the incarnation.
    pub revision: u64,
    /// Whether endpoints that are not in `entries` do not exist.
    pub is_full: bool,
    /// Endpoints that are gone.
    pub removed: Vec<Name>,
    /// Endpoints that are new or changed.
    pub entries: Vec<Entry>,
}

/// A reader's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationView {
    /// How far it reaches.
    pub watermark: Watermark,
    /// Version in force at the reader.
    pub version: u64,
    /// The document as the log service holds it; left out if the VM that asks has this version.
    pub document: Option<String>,
}

/// A reader's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Incarnation of the reader.
    pub incarnation: u64,
    /// Time for which the question waited for news, in milliseconds.
    pub waited_ms: u64,
    /// The endpoints.
    pub endpoints: EndpointsView,
    /// The configuration.
    pub configuration: ConfigurationView,
}
