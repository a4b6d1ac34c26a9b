//! Records of the log streams `claims-0` to `claims-7`, as JSON.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use waxwing_core::Name;
use waxwing_core::state::claims;

use crate::claim::Grant;
use crate::claim::SettledResult;
use crate::claim::StoredAnswer;
use crate::platform;

/// Result of decoding a record.
pub type Result<T> = std::result::Result<T, Error>;

/// Error while decoding a record.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The record is not base64.
    #[error("offset {offset}: the record is not base64: {source}; it is skipped")]
    Base64 {
        /// Offset of the record.
        offset: u64,
        /// Cause.
        source: base64::DecodeError,
    },
    /// The record is not JSON or does not have the expected structure.
    #[error("offset {offset}: the record is not a claim record: {source}; it is skipped")]
    Json {
        /// Offset of the record.
        offset: u64,
        /// Cause.
        source: serde_json::Error,
    },
    /// The record belongs to another range.
    #[error("offset {offset}: the record is for range {found}, not {expected}; it is skipped")]
    Range {
        /// Offset of the record.
        offset: u64,
        /// Range that the record names.
        found: u8,
        /// Range of the stream.
        expected: u8,
    },
    /// A field has an invalid value.
    #[error("offset {offset}: {finding}; the record is skipped")]
    Value {
        /// Offset of the record.
        offset: u64,
        /// The invalid field.
        finding: InvalidField,
    },
}

/// Field of a record that has an invalid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidField {
    /// The body hash has the wrong length or alphabet.
    #[error("`body_hash` is not 64 hexadecimal digits")]
    BodyHash,
    /// The stored body is not base64.
    #[error("`body` of the answer is not base64")]
    Body,
    /// The fencing token is 0, which is never assigned to an owner.
    #[error("`fence` is 0")]
    Fence,
    /// The attempt is 0; attempts are numbered from 1.
    #[error("`attempt` is 0")]
    Attempt,
}

/// A record of the stream of one range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimRecord {
    /// Acquisition of the ownership by compare-and-swap on the fencing token.
    Own {
        /// Key range.
        range: u8,
        /// VM of the new owner.
        vm: Name,
        /// Random identity of the process.
        incarnation: u64,
        /// Current fencing token that the record expects.
        previous_fence: u64,
    },
    /// The owner starts or continues to serve the range.
    Active {
        /// Key range.
        range: u8,
        /// VM of the owner.
        vm: Name,
        /// Random identity of the process.
        incarnation: u64,
        /// Fencing token of the owner.
        fence: u64,
        /// Requests with unclaimed keys created before this time may have run; in milliseconds since the epoch.
        cutoff_ms: u64,
        /// Whether the owner may grant claims that are not in the log.
        may_use_memory: bool,
    },
    /// Release of the ownership by the owner in a planned handover.
    Release {
        /// Key range.
        range: u8,
        /// Fencing token of the owner.
        fence: u64,
    },
    /// Claims granted in one group commit.
    Claims {
        /// Key range.
        range: u8,
        /// Fencing token of the owner.
        fence: u64,
        /// Claims.
        claims: Vec<Claim>,
    },
    /// Outcome of a claim.
    Outcome {
        /// Key range.
        range: u8,
        /// Organisation.
        organisation: Name,
        /// Idempotency key.
        key: Uuid,
        /// Claim that the outcome belongs to.
        claim: ClaimId,
        /// Outcome.
        result: Outcome,
    },
}

/// Exclusive right to send the call of a key once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Organisation.
    pub organisation: Name,
    /// Idempotency key.
    pub key: Uuid,
    /// Number of the attempt within the key, from 1.
    pub attempt: u32,
    /// Random identity of the request that holds the claim.
    pub claimant: u64,
    /// BLAKE3 hash of target and body, in hexadecimal.
    pub body_hash: String,
}

/// Identity of a claim within its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimId {
    /// Fencing token under which the claim was granted.
    pub fence: u64,
    /// Number of the attempt within the key, from 1.
    pub attempt: u32,
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case", deny_unknown_fields)]
pub enum Outcome {
    /// The call was executed and returned this response.
    Done {
        /// HTTP status code.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body in base64; absent if it was too long to be stored.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        body: Option<String>,
    },
    /// The call was never sent.
    NotRun,
    /// The call may have been executed.
    Unknown,
}

/// Returns the name of the log stream of a range.
pub fn stream_name(range: u8) -> String {
    format!("claims-{range}")
}

/// Decodes a record of the stream of `range`.
///
/// # Errors
///
/// Fails with the offset and the cause; the reader skips and counts such records.
pub fn decode(range: u8, record: &platform::Record) -> Result<claims::Record> {
    let offset = record.offset;
    let bytes = STANDARD
        .decode(&record.data)
        .map_err(|source| Error::Base64 { offset, source })?;
    let record: ClaimRecord =
        serde_json::from_slice(&bytes).map_err(|source| Error::Json { offset, source })?;
    let found = record.range();
    if found != range {
        return Err(Error::Range {
            offset,
            found,
            expected: range,
        });
    }
    claims::Record::try_from(record).map_err(|finding| Error::Value { offset, finding })
}

/// Encodes a record for the stream of `range`.
pub fn encode(range: u8, record: &claims::Record) -> String {
    let record = ClaimRecord::from((range, record));
    // These types have only string keys and finite numbers, which always serialize.
    STANDARD.encode(serde_json::to_vec(&record).unwrap_or_default())
}

impl ClaimRecord {
    /// Returns the key range.
    pub fn range(&self) -> u8 {
        match self {
            Self::Own { range, .. }
            | Self::Active { range, .. }
            | Self::Release { range, .. }
            | Self::Claims { range, .. }
            | Self::Outcome { range, .. } => *range,
        }
    }
}

impl From<(u8, &claims::Record)> for ClaimRecord {
    fn from((range, record): (u8, &claims::Record)) -> Self {
        match record {
            claims::Record::Own {
                owner,
                previous_fence,
            } => Self::Own {
                range,
                vm: owner.vm.clone(),
                incarnation: owner.incarnation,
                previous_fence: *previous_fence,
            },
            claims::Record::Active {
                owner,
                fence,
                cutoff_ms,
                may_use_memory,
            } => Self::Active {
                range,
                vm: owner.vm.clone(),
                incarnation: owner.incarnation,
                fence: *fence,
                cutoff_ms: *cutoff_ms,
                may_use_memory: *may_use_memory,
            },
            claims::Record::Release { fence } => Self::Release {
                range,
                fence: *fence,
            },
            claims::Record::Claims { fence, claims } => Self::Claims {
                range,
                fence: *fence,
                claims: claims.iter().map(Claim::from).collect(),
            },
            claims::Record::Outcome { key, claim, result } => Self::Outcome {
                range,
                organisation: key.organisation.clone(),
                key: key.key,
                claim: ClaimId {
                    fence: claim.fence,
                    attempt: claim.attempt,
                },
                result: Outcome::from(result),
            },
        }
    }
}

impl TryFrom<ClaimRecord> for claims::Record {
    type Error = InvalidField;

    fn try_from(record: ClaimRecord) -> std::result::Result<Self, InvalidField> {
        Ok(match record {
            ClaimRecord::Own {
                vm,
                incarnation,
                previous_fence,
                ..
            } => Self::Own {
                owner: claims::Owner { vm, incarnation },
                previous_fence,
            },
            ClaimRecord::Active {
                vm,
                incarnation,
                fence,
                cutoff_ms,
                may_use_memory,
                ..
            } => Self::Active {
                owner: claims::Owner { vm, incarnation },
                fence: check_fence(fence)?,
                cutoff_ms,
                may_use_memory,
            },
            ClaimRecord::Release { fence, .. } => Self::Release {
                fence: check_fence(fence)?,
            },
            ClaimRecord::Claims { fence, claims, .. } => Self::Claims {
                fence: check_fence(fence)?,
                claims: decode_claims(claims)?,
            },
            ClaimRecord::Outcome {
                organisation,
                key,
                claim,
                result,
                ..
            } => Self::Outcome {
                key: claims::ClaimKey { organisation, key },
                claim: claims::ClaimId {
                    fence: check_fence(claim.fence)?,
                    attempt: check_attempt(claim.attempt)?,
                },
                result: claims::Outcome::try_from(result)?,
            },
        })
    }
}

fn check_fence(fence: u64) -> std::result::Result<u64, InvalidField> {
    if fence == 0 {
        return Err(InvalidField::Fence);
    }
    Ok(fence)
}

fn check_attempt(attempt: u32) -> std::result::Result<u32, InvalidField> {
    if attempt == 0 {
        return Err(InvalidField::Attempt);
    }
    Ok(attempt)
}

fn decode_claims(claims: Vec<Claim>) -> std::result::Result<Vec<claims::Claim>, InvalidField> {
    let mut decoded = Vec::new();
    for claim in claims {
        decoded.push(claims::Claim::try_from(claim)?);
    }
    Ok(decoded)
}

impl From<&claims::Claim> for Claim {
    fn from(claim: &claims::Claim) -> Self {
        Self {
            organisation: claim.key.organisation.clone(),
            key: claim.key.key,
            attempt: claim.attempt,
            claimant: claim.claimant,
            body_hash: blake3::Hash::from_bytes(claim.body_hash).to_string(),
        }
    }
}

impl TryFrom<Claim> for claims::Claim {
    type Error = InvalidField;

    fn try_from(claim: Claim) -> std::result::Result<Self, InvalidField> {
        let body_hash =
            blake3::Hash::from_hex(&claim.body_hash).map_err(|_| InvalidField::BodyHash)?;
        Ok(Self {
            key: claims::ClaimKey {
                organisation: claim.organisation,
                key: claim.key,
            },
            attempt: check_attempt(claim.attempt)?,
            claimant: claim.claimant,
            body_hash: *body_hash.as_bytes(),
        })
    }
}

impl From<&claims::Outcome> for Outcome {
    fn from(outcome: &claims::Outcome) -> Self {
        match outcome {
            claims::Outcome::Done(answer) => Self::Done {
                status: answer.status,
                content_type: answer.content_type.clone(),
                body: answer.body.as_ref().map(|body| STANDARD.encode(body)),
            },
            claims::Outcome::NotRun => Self::NotRun,
            claims::Outcome::Unknown => Self::Unknown,
        }
    }
}

impl TryFrom<Outcome> for claims::Outcome {
    type Error = InvalidField;

    fn try_from(outcome: Outcome) -> std::result::Result<Self, InvalidField> {
        Ok(match outcome {
            Outcome::Done {
                status,
                content_type,
                body,
            } => {
                let body = body.map(|body| STANDARD.decode(body)).transpose();
                Self::Done(claims::Answer {
                    status,
                    content_type,
                    body: body.map_err(|_| InvalidField::Body)?,
                })
            }
            Outcome::NotRun => Self::NotRun,
            Outcome::Unknown => Self::Unknown,
        })
    }
}

impl From<claims::Answer> for StoredAnswer {
    fn from(answer: claims::Answer) -> Self {
        Self {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        }
    }
}

impl From<StoredAnswer> for claims::Answer {
    fn from(answer: StoredAnswer) -> Self {
        Self {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        }
    }
}

impl From<SettledResult> for claims::Outcome {
    fn from(result: SettledResult) -> Self {
        match result {
            SettledResult::Done(answer) => Self::Done(answer.into()),
            SettledResult::NotRun => Self::NotRun,
            SettledResult::Unknown => Self::Unknown,
        }
    }
}

impl From<claims::Outcome> for SettledResult {
    fn from(outcome: claims::Outcome) -> Self {
        match outcome {
            claims::Outcome::Done(answer) => Self::Done(answer.into()),
            claims::Outcome::NotRun => Self::NotRun,
            claims::Outcome::Unknown => Self::Unknown,
        }
    }
}

impl From<Grant> for claims::ClaimId {
    fn from(grant: Grant) -> Self {
        Self {
            fence: grant.fence,
            attempt: grant.attempt,
        }
    }
}
