//! Decisions about changes and their reasons.

use thiserror::Error;

use crate::Name;
use crate::finding::Findings;
use crate::state::settings::change::Digest;
use crate::state::settings::change::Subtree;

/// Decision about one change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeDecision {
    /// Offset of the record + 1; the version of the subtree if the change was accepted.
    pub version: u64,
    /// Time of the append by the log's clock, in milliseconds since the epoch.
    pub time_ms: u64,
    /// Subtree.
    pub subtree: Subtree,
    /// Name that the author gave; not verified if the signature is wrong.
    pub author: Name,
    /// Version that the author saw.
    pub base_version: u64,
    /// Identity of the change.
    pub digest: Digest,
    /// Why it was rejected; `None` if it was accepted.
    pub rejection: Option<Rejection>,
}

/// Why a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The signature is not by a key that the author may use.
    #[error("the signature is not valid for this subtree and author")]
    BadSignature,
    /// The author of a team's change is not in the tree.
    #[error("the deployment subtree names no such operator")]
    UnknownOperator,
    /// The author may not change this team.
    #[error("the operator may not change this team")]
    NotAllowed,
    /// Another change of the subtree came first.
    #[error("the base version is older than version {in_force}, which is in force")]
    StaleBase {
        /// Version in force.
        in_force: u64,
    },
    /// The base version is not known here.
    #[error("the base version is newer than version {in_force}, the newest known here")]
    UnknownBase {
        /// Version in force.
        in_force: u64,
    },
    /// The text, or a team's text together with it, has findings.
    #[error("the text has findings")]
    Invalid(Findings),
}

impl Rejection {
    /// Returns the code that operators and metrics see.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::BadSignature => "bad_signature",
            Self::UnknownOperator => "unknown_operator",
            Self::NotAllowed => "not_allowed",
            Self::StaleBase { .. } => "stale_base",
            Self::UnknownBase { .. } => "unknown_base",
            Self::Invalid(_) => "invalid",
        }
    }
}
