//! Records of the settings stream.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use waxwing_core::Name;
use waxwing_core::error::Code;
use waxwing_core::error::Location;
use waxwing_core::state::settings::change::Change;
use waxwing_core::state::settings::change::Subtree;
use waxwing_core::state::settings::replay::ActiveSubtree;
use waxwing_core::state::settings::replay::Record as CoreRecord;
use waxwing_core::state::settings::replay::Snapshot;

use crate::platform::Record;

/// Stream that carries the settings.
pub const STREAM: &str = "settings";

/// Result of the conversions of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Error while encoding or decoding a record.
#[derive(Debug, Error)]
pub enum Error {
    /// The content is not base64.
    #[error("the content is not base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// The content is not JSON of a known record kind.
    #[error("the content is not a settings record: {0}")]
    Json(#[from] serde_json::Error),
    /// The signature does not have 64 bytes in base64.
    #[error("the signature does not have 64 bytes in base64")]
    Signature,
    /// The name of a team or an operator is malformed.
    #[error("the name of the team or author is malformed")]
    Name,
    /// A snapshot contains a subtree twice.
    #[error("the snapshot contains {0} twice")]
    DuplicateSubtree(Subtree),
}

/// A record of the settings stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum SettingsRecord {
    /// A change of one subtree.
    Change(SettingsChange),
    /// The whole tree at a position of the stream.
    Snapshot(SettingsSnapshot),
}

/// A signed change of one subtree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Team whose subtree it replaces; absent for the deployment subtree.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Version of the subtree on which the change is based; 0 if the subtree did not exist.
    pub base_version: u64,
    /// New text of the subtree, in TOML.
    pub text: String,
    /// Name of the operator.
    pub author: String,
    /// ed25519 signature in base64.
    pub signature: String,
}

/// The whole tree at a position of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsSnapshot {
    /// Offset of the first record that is not included in the tree.
    pub next_offset: u64,
    /// Subtrees in force at that position.
    pub subtrees: Vec<SettingsSubtree>,
}

/// A subtree in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsSubtree {
    /// Version: offset of the accepted record + 1.
    pub version: u64,
    /// Append time by the log service's clock, in milliseconds since the epoch.
    pub time_ms: u64,
    /// The accepted change.
    pub change: SettingsChange,
}

impl SettingsRecord {
    /// Encodes the record as the data of a log record.
    ///
    /// # Errors
    ///
    /// Fails if the record cannot be serialized to JSON.
    pub fn encode(&self) -> Result<String> {
        Ok(STANDARD.encode(serde_json::to_vec(self)?))
    }

    /// Decodes the data of a log record.
    ///
    /// # Errors
    ///
    /// Fails if the data is not a base64-encoded JSON record of a known kind.
    pub fn from_data(data: &str) -> Result<Self> {
        Ok(serde_json::from_slice(&STANDARD.decode(data)?)?)
    }
}

/// Decodes a record of the settings stream.
///
/// # Errors
///
/// Fails with [`Code::Undecodable`] and the offset of the record if it cannot be decoded.
pub fn decode(record: &Record) -> waxwing_core::Result<CoreRecord> {
    let decoded = SettingsRecord::from_data(&record.data).and_then(CoreRecord::try_from);
    decoded.map_err(|error| {
        let location = Location::Record {
            stream: STREAM.to_owned(),
            offset: record.offset,
        };
        waxwing_core::Error::new(Code::Undecodable, location, error.to_string())
    })
}

impl TryFrom<SettingsRecord> for CoreRecord {
    type Error = Error;

    fn try_from(record: SettingsRecord) -> Result<Self> {
        match record {
            SettingsRecord::Change(change) => Ok(Self::Change(change.try_into()?)),
            SettingsRecord::Snapshot(snapshot) => Ok(Self::Snapshot(snapshot.try_into()?)),
        }
    }
}

impl From<&Change> for SettingsChange {
    fn from(change: &Change) -> Self {
        let team = match &change.subtree {
            Subtree::Deployment => None,
            Subtree::Team(team) => Some(team.to_string()),
        };
        Self {
            team,
            base_version: change.base_version,
            text: change.text.clone(),
            author: change.author.to_string(),
            signature: STANDARD.encode(change.signature),
        }
    }
}

impl TryFrom<SettingsChange> for Change {
    type Error = Error;

    fn try_from(change: SettingsChange) -> Result<Self> {
        let signature = STANDARD.decode(&change.signature)?;
        let subtree = match change.team {
            None => Subtree::Deployment,
            Some(team) => Subtree::Team(parse_name(&team)?),
        };
        Ok(Self {
            subtree,
            base_version: change.base_version,
            text: change.text,
            author: parse_name(&change.author)?,
            signature: signature.try_into().map_err(|_| Error::Signature)?,
        })
    }
}

impl From<&ActiveSubtree> for SettingsSubtree {
    fn from(in_force: &ActiveSubtree) -> Self {
        Self {
            version: in_force.version,
            time_ms: in_force.time_ms,
            change: (&in_force.change).into(),
        }
    }
}

impl TryFrom<SettingsSubtree> for ActiveSubtree {
    type Error = Error;

    fn try_from(in_force: SettingsSubtree) -> Result<Self> {
        Ok(Self {
            version: in_force.version,
            time_ms: in_force.time_ms,
            change: in_force.change.try_into()?,
        })
    }
}

impl From<&Snapshot> for SettingsSnapshot {
    fn from(snapshot: &Snapshot) -> Self {
        Self {
            next_offset: snapshot.next_offset,
            subtrees: snapshot.subtrees.values().map(Into::into).collect(),
        }
    }
}

impl TryFrom<SettingsSnapshot> for Snapshot {
    type Error = Error;

    fn try_from(snapshot: SettingsSnapshot) -> Result<Self> {
        let mut decoded = Self {
            next_offset: snapshot.next_offset,
            subtrees: Default::default(),
        };
        for in_force in snapshot.subtrees {
            let in_force = ActiveSubtree::try_from(in_force)?;
            let subtree = in_force.change.subtree.clone();
            if decoded.subtrees.insert(subtree.clone(), in_force).is_some() {
                return Err(Error::DuplicateSubtree(subtree));
            }
        }
        Ok(decoded)
    }
}

fn parse_name(text: &str) -> Result<Name> {
    match Name::is_well_formed(text) {
        true => Ok(Name::from(text)),
        false => Err(Error::Name),
    }
}
