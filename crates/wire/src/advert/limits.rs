//! Rate limits of endpoints, and requests for permits to send to them, in datagrams between VMs.

use serde::Deserialize;
use serde::Serialize;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::endpoints::limits::LimitNotice;
use waxwing_core::forwarding::endpoints::limits::RateLimit;
use waxwing_core::forwarding::endpoints::notices::Incarnation;
use waxwing_core::forwarding::permits::PermitRequest;
use waxwing_core::forwarding::permits::Verdict;

use crate::advert::Error;
use crate::advert::Result;

/// Maximum age of a report, in milliseconds: a year, so that sums cannot overflow.
const AGE_MAX_MS: u64 = 31_536_000_000;

/// Request of a VM to the VM that grants the permits of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitQuery {
    /// Id that the reply repeats.
    pub id: u64,
    /// The request.
    pub request: PermitRequest,
    /// What the sender knows of the endpoint's limit.
    pub notice: LimitNotice,
}

/// Reply to a [`PermitQuery`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitReply {
    /// Id of the query.
    pub id: u64,
    /// Whether a request may be sent now.
    pub verdict: Verdict,
    /// What the sender knows of the endpoint's limit.
    pub notice: LimitNotice,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireLimit {
    /// Incarnation of the endpoint in little-endian byte order.
    endpoint: [u8; 8],
    limit_per_s: Option<f64>,
    sent_age_ms: u64,
    received_age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WirePermitQuery {
    id: u64,
    vm: [u8; 8],
    level: u8,
    limit: WireLimit,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WirePermitReply {
    id: u64,
    /// Time to wait, in milliseconds; `None` grants the permit.
    wait_ms: Option<u64>,
    limit: WireLimit,
}

impl From<&LimitNotice> for WireLimit {
    fn from(notice: &LimitNotice) -> Self {
        Self {
            endpoint: notice.endpoint.0.to_le_bytes(),
            limit_per_s: match notice.limit {
                RateLimit::Unlimited => None,
                RateLimit::PerSecond(rate) => Some(rate),
            },
            sent_age_ms: notice.sent_age_ms.min(AGE_MAX_MS),
            received_age_ms: notice.received_age_ms.min(AGE_MAX_MS),
        }
    }
}

impl TryFrom<WireLimit> for LimitNotice {
    type Error = Error;

    fn try_from(wire: WireLimit) -> Result<Self> {
        let limit = match wire.limit_per_s {
            None => RateLimit::Unlimited,
            Some(rate) if rate.is_finite() && rate >= 0.0 => RateLimit::PerSecond(rate),
            Some(_) => return Err(Error::Field("limit_per_s")),
        };
        if wire.received_age_ms > wire.sent_age_ms || wire.sent_age_ms > AGE_MAX_MS {
            return Err(Error::Field("sent_age_ms"));
        }
        Ok(Self {
            endpoint: Incarnation(u64::from_le_bytes(wire.endpoint)),
            limit,
            sent_age_ms: wire.sent_age_ms,
            received_age_ms: wire.received_age_ms,
        })
    }
}

impl From<&PermitQuery> for WirePermitQuery {
    fn from(query: &PermitQuery) -> Self {
        Self {
            id: query.id,
            vm: query.request.vm.to_le_bytes(),
            level: query.request.level.into(),
            limit: WireLimit::from(&query.notice),
        }
    }
}

impl TryFrom<WirePermitQuery> for PermitQuery {
    type Error = Error;

    fn try_from(wire: WirePermitQuery) -> Result<Self> {
        let notice = LimitNotice::try_from(wire.limit)?;
        Ok(Self {
            id: wire.id,
            request: PermitRequest {
                endpoint: notice.endpoint,
                vm: u64::from_le_bytes(wire.vm),
                level: UrgencyLevel::from(wire.level),
            },
            notice,
        })
    }
}

impl From<&PermitReply> for WirePermitReply {
    fn from(reply: &PermitReply) -> Self {
        Self {
            id: reply.id,
            wait_ms: match reply.verdict {
                Verdict::Granted => None,
                Verdict::Wait { for_ms } => Some(for_ms),
            },
            limit: WireLimit::from(&reply.notice),
        }
    }
}

impl TryFrom<WirePermitReply> for PermitReply {
    type Error = Error;

    fn try_from(wire: WirePermitReply) -> Result<Self> {
        let verdict = match wire.wait_ms {
            None => Verdict::Granted,
            Some(for_ms) if for_ms <= AGE_MAX_MS => Verdict::Wait { for_ms },
            Some(_) => return Err(Error::Field("wait_ms")),
        };
        Ok(Self {
            id: wire.id,
            verdict,
            notice: LimitNotice::try_from(wire.limit)?,
        })
    }
}
