//! Parts of prompts that crash endpoints, and requests to try them, in datagrams between VMs.

use serde::Deserialize;
use serde::Serialize;
use waxwing_core::forwarding::crashing_parts::Clearance;
use waxwing_core::forwarding::crashing_parts::CrashReport;
use waxwing_core::forwarding::crashing_parts::PARTS_MAX;
use waxwing_core::forwarding::crashing_parts::PartKey;
use waxwing_core::forwarding::crashing_parts::Scope;
use waxwing_core::forwarding::endpoints::notices::Incarnation;

use crate::advert::Error;
use crate::advert::Result;

/// Maximum age of a finding, in milliseconds: a year, so that sums cannot overflow.
const AGE_MAX_MS: u64 = 31_536_000_000;

/// Crashes under parts of prompts, and parts that answers have cleared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrashNotice {
    /// Crashes.
    pub reports: Vec<CrashReport>,
    /// Parts that are sound.
    pub clearances: Vec<Clearance>,
}

/// Request of a VM to the VM that allows trials of a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialQuery {
    /// Id that the reply repeats.
    pub id: u64,
    /// The part.
    pub part: PartKey,
    /// Time in which no further request with the part may follow, in milliseconds.
    pub hold_ms: u64,
}

/// Reply to a [`TrialQuery`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialReply {
    /// Id of the query.
    pub id: u64,
    /// Whether the request may be sent now.
    pub is_allowed: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireCrashNotice {
    reports: Vec<WireReport>,
    clearances: Vec<WireClearance>,
}

/// Hashes of the organisation and the service, in little-endian byte order.
type WireScope = ([u8; 8], [u8; 8]);

#[derive(Debug, Serialize, Deserialize)]
struct WireReport {
    endpoint: [u8; 8],
    scope: WireScope,
    parts: Vec<[u8; 8]>,
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireClearance {
    scope: WireScope,
    part: [u8; 8],
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireTrialQuery {
    id: u64,
    part: [u8; 8],
    hold_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireTrialReply {
    id: u64,
    allowed: bool,
}

fn encode_scope(scope: Scope) -> WireScope {
    (
        scope.organisation.to_le_bytes(),
        scope.service.to_le_bytes(),
    )
}

fn decode_scope((organisation, service): WireScope) -> Scope {
    Scope {
        organisation: u64::from_le_bytes(organisation),
        service: u64::from_le_bytes(service),
    }
}

fn decode_part(part: [u8; 8]) -> PartKey {
    PartKey(u64::from_le_bytes(part))
}

fn check_age(age_ms: u64) -> Result<u64> {
    match age_ms <= AGE_MAX_MS {
        true => Ok(age_ms),
        false => Err(Error::Field("age_ms")),
    }
}

impl From<&CrashNotice> for WireCrashNotice {
    fn from(notice: &CrashNotice) -> Self {
        let report = |report: &CrashReport| WireReport {
            endpoint: report.endpoint.0.to_le_bytes(),
            scope: encode_scope(report.scope),
            parts: report
                .parts
                .iter()
                .map(|part| part.0.to_le_bytes())
                .collect(),
            age_ms: report.age_ms.min(AGE_MAX_MS),
        };
        let clearance = |clearance: &Clearance| WireClearance {
            scope: encode_scope(clearance.scope),
            part: clearance.part.0.to_le_bytes(),
            age_ms: clearance.age_ms.min(AGE_MAX_MS),
        };
        Self {
            reports: notice.reports.iter().map(report).collect(),
            clearances: notice.clearances.iter().map(clearance).collect(),
        }
    }
}

impl TryFrom<WireCrashNotice> for CrashNotice {
    type Error = Error;

    fn try_from(wire: WireCrashNotice) -> Result<Self> {
        let mut notice = Self::default();
        for report in wire.reports {
            if report.parts.len() > PARTS_MAX {
                return Err(Error::Field("parts"));
            }
            notice.reports.push(CrashReport {
                endpoint: Incarnation(u64::from_le_bytes(report.endpoint)),
                scope: decode_scope(report.scope),
                parts: report.parts.into_iter().map(decode_part).collect(),
                age_ms: check_age(report.age_ms)?,
            });
        }
        for clearance in wire.clearances {
            notice.clearances.push(Clearance {
                scope: decode_scope(clearance.scope),
                part: decode_part(clearance.part),
                age_ms: check_age(clearance.age_ms)?,
            });
        }
        Ok(notice)
    }
}

impl From<&TrialQuery> for WireTrialQuery {
    fn from(query: &TrialQuery) -> Self {
        Self {
            id: query.id,
            part: query.part.0.to_le_bytes(),
            hold_ms: query.hold_ms.min(AGE_MAX_MS),
        }
    }
}

impl TryFrom<WireTrialQuery> for TrialQuery {
    type Error = Error;

    fn try_from(wire: WireTrialQuery) -> Result<Self> {
        if wire.hold_ms > AGE_MAX_MS {
            return Err(Error::Field("hold_ms"));
        }
        Ok(Self {
            id: wire.id,
            part: decode_part(wire.part),
            hold_ms: wire.hold_ms,
        })
    }
}

impl From<&TrialReply> for WireTrialReply {
    fn from(reply: &TrialReply) -> Self {
        Self {
            id: reply.id,
            allowed: reply.is_allowed,
        }
    }
}

impl From<WireTrialReply> for TrialReply {
    fn from(wire: WireTrialReply) -> Self {
        Self {
            id: wire.id,
            is_allowed: wire.allowed,
        }
    }
}
