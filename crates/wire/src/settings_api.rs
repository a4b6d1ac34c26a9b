//! Response bodies of the operator API for settings.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use waxwing_core::finding::Finding;
use waxwing_core::state::settings::change::Subtree;
use waxwing_core::state::settings::replay::ActiveSubtree;
use waxwing_core::state::settings::replay::ChangeDecision;
use waxwing_core::state::settings::replay::Rejection;

/// Response to a published change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum PublishAnswer {
    /// The change is in force on the responding VM.
    Accepted {
        /// New version of the subtree.
        version: u64,
    },
    /// The change was rejected and will not take effect.
    Rejected(PublishRejection),
    /// It is unknown whether the change was appended to the log; publishing the same change again is safe.
    Unknown {
        /// What happened.
        message: String,
    },
}

/// Why a published change is rejected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PublishRejection {
    /// Reason code.
    pub reason: String,
    /// Human-readable reason.
    pub message: String,
    /// Errors in an invalid settings text.
    pub findings: Vec<SettingsFinding>,
    /// Version of the subtree in force; absent if the subtree does not exist.
    pub in_force: Option<SubtreeVersion>,
    /// Unified diff from the text in force to the rejected text, if the base version is outdated.
    pub difference: String,
}

/// Version of a subtree and its origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubtreeVersion {
    /// Version.
    pub version: u64,
    /// Append time by the log service's clock, in milliseconds since the epoch.
    pub time_ms: u64,
    /// Operator who made the change.
    pub author: String,
}

/// An error in a settings text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsFinding {
    /// Path of the file or name of the subtree.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// How to fix it.
    pub remedy: String,
}

/// The tree in force on one VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsTree {
    /// Highest version of all subtrees; 0 if there is none.
    pub version: u64,
    /// Whether the tree reflects all records that the VM has read.
    pub is_complete: bool,
    /// Number of records that could not be decoded and were skipped.
    pub undecodable: u64,
    /// Subtrees by name: `deployment` and `teams.T`.
    pub subtrees: BTreeMap<String, SubtreeText>,
}

/// A subtree in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubtreeText {
    /// Version and origin.
    #[serde(flatten)]
    pub origin: SubtreeVersion,
    /// Text in TOML.
    pub text: String,
}

/// Most recent decisions, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsHistory {
    /// Decisions.
    pub entries: Vec<HistoryEntry>,
}

/// Decision about one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Subtree: `deployment` or `teams.T`.
    pub subtree: String,
    /// Origin of the change; its version is the offset of the record + 1, whether or not the change was accepted.
    #[serde(flatten)]
    pub origin: SubtreeVersion,
    /// Version on which the change is based.
    pub base_version: u64,
    /// Why the change was rejected; absent if it was accepted.
    pub rejection: Option<PublishRejection>,
}

impl From<&Finding> for SettingsFinding {
    fn from(finding: &Finding) -> Self {
        Self {
            file: finding.file.clone(),
            line: finding.line,
            column: finding.column,
            message: finding.message.clone(),
            remedy: finding.remedy.clone(),
        }
    }
}

impl From<SettingsFinding> for Finding {
    fn from(finding: SettingsFinding) -> Self {
        Self {
            file: finding.file,
            line: finding.line,
            column: finding.column,
            message: finding.message,
            remedy: finding.remedy,
        }
    }
}

impl From<&Rejection> for PublishRejection {
    fn from(rejection: &Rejection) -> Self {
        let findings = match rejection {
            Rejection::Invalid(findings) => findings.as_slice().iter().map(Into::into).collect(),
            _ => Vec::new(),
        };
        Self {
            reason: rejection.as_str().to_owned(),
            message: rejection.to_string(),
            findings,
            ..Self::default()
        }
    }
}

impl From<&ActiveSubtree> for SubtreeVersion {
    fn from(in_force: &ActiveSubtree) -> Self {
        Self {
            version: in_force.version,
            time_ms: in_force.time_ms,
            author: in_force.change.author.to_string(),
        }
    }
}

impl From<&ActiveSubtree> for SubtreeText {
    fn from(in_force: &ActiveSubtree) -> Self {
        Self {
            origin: in_force.into(),
            text: in_force.change.text.clone(),
        }
    }
}

impl From<&ChangeDecision> for HistoryEntry {
    fn from(entry: &ChangeDecision) -> Self {
        Self {
            subtree: subtree_name(&entry.subtree),
            origin: SubtreeVersion {
                version: entry.version,
                time_ms: entry.time_ms,
                author: entry.author.to_string(),
            },
            base_version: entry.base_version,
            rejection: entry.rejection.as_ref().map(Into::into),
        }
    }
}

/// Returns the name of a subtree as used in these bodies: `deployment` or `teams.T`.
pub fn subtree_name(subtree: &Subtree) -> String {
    subtree.to_string()
}
