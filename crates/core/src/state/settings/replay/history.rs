//! Decisions on changes, with reasons of rejection.

use thiserror::Error;

use crate::Name;
use crate::finding::Findings;
use crate::state::settings::change::Digest;
use crate::state::settings::change::Subtree;

/// Decision on one change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeDecision {
    /// Offset of the record + 1, which becomes the version of the subtree if the change is accepted.
    pub version: u64,
    /// Time of the append by the log's clock, in milliseconds since the epoch.
    pub time_ms: u64,
    /// Subtree that the change replaces.
    pub subtree: Subtree,
    /// Author that the change names; unverified if the signature is invalid.
    pub author: Name,
    /// Version that the change is based on.
    pub base_version: u64,
    /// Digest of the change.
    pub digest: Digest,
    /// Reason of the rejection; `None` if the change was accepted.
    pub rejection: Option<Rejection>,
}

/// Reason why a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The signature is not by a key of the author, or not by a root key for the deployment subtree.
    #[error("the signature is not valid for this subtree and author")]
    BadSignature,
    /// The author of a team's change is not an operator in the deployment subtree.
    #[error("the deployment subtree names no such operator")]
    UnknownOperator,
    /// The author is not an operator of this team.
    #[error("the operator may not change this team")]
    NotAllowed,
    /// A newer change of the subtree is already in force.
    #[error("the base version is older than version {in_force}, which is in force")]
    StaleBase {
        /// Version in force.
        in_force: u64,
    },
    /// The base version is newer than the version in force.
    #[error("the base version is newer than version {in_force}, the newest known here")]
    UnknownBase {
        /// Version in force.
        in_force: u64,
    },
    /// The text, or a team's text checked against it, has findings.
    #[error("the text has findings")]
    Invalid(Findings),
}

impl Rejection {
    /// Returns the code used in the operator API and in metrics.
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
