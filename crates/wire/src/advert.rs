//! Datagrams between VMs that forward by route: the advert of a VM, one part of the summary of a data centre, or a
//! request for a permit and its answer.
//!
//! They are encoded with `postcard`, whose variable-length integers keep small numbers at one byte.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use waxwing_core::Name;
use waxwing_core::fleet::Summary;
use waxwing_core::fleet::summary::VmState;
use waxwing_core::forwarding::endpoints::Demand;
use waxwing_core::forwarding::endpoints::URGENCY_LEVELS;
use waxwing_core::forwarding::endpoints::limits::LimitNotice;
use waxwing_core::forwarding::endpoints::notices::Incarnation;
use waxwing_core::forwarding::lanes::LANES_MAX;
use waxwing_core::forwarding::lanes::ServiceDemand;
use waxwing_core::forwarding::peers::Advert;
use waxwing_core::state::evidence::ContentHash;
use waxwing_core::state::evidence::CrashFinding;

use crate::advert::crashes::CrashNotice;
use crate::advert::crashes::TrialQuery;
use crate::advert::crashes::TrialReply;
use crate::advert::crashes::WireCrashNotice;
use crate::advert::crashes::WireTrialQuery;
use crate::advert::crashes::WireTrialReply;
use crate::advert::limits::PermitQuery;
use crate::advert::limits::PermitReply;
use crate::advert::limits::WireLimit;
use crate::advert::limits::WirePermitQuery;
use crate::advert::limits::WirePermitReply;
use crate::advert::streams::StreamNotice;
use crate::advert::streams::WireStreamNotice;

pub mod crashes;
pub mod limits;
pub mod streams;

/// Version of the datagram format, sent as the first byte; datagrams of other versions are rejected.
const VERSION: u8 = 7;

/// Maximum number of unread prompt tokens for one endpoint and urgency level; sums over all VMs must not overflow.
const TOKENS_MAX: u64 = 1 << 40;

/// Maximum number of requests for one endpoint; a VM has fewer file descriptors.
const RUNS_MAX: u32 = 1 << 20;

/// Error while encoding or decoding a datagram.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The datagram does not have the expected structure.
    #[error("the datagram cannot be decoded: {0}")]
    Shape(#[from] postcard::Error),
    /// The datagram is empty.
    #[error("the datagram is empty")]
    Empty,
    /// The datagram has an unsupported version.
    #[error("the datagram has version {0}; this build supports version {VERSION}")]
    Version(u8),
    /// A field has an invalid value.
    #[error("the datagram field `{0}` is invalid")]
    Field(&'static str),
}

/// Result of encoding or decoding a datagram.
pub type Result<T> = std::result::Result<T, Error>;

/// A datagram between VMs.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// State and load of one VM.
    Advert(Advert),
    /// State and load of a data centre, sent by one of its VMs.
    Summary(Summary),
    /// Request for a permit to send to an endpoint with a rate limit.
    PermitQuery(PermitQuery),
    /// Reply to such a request.
    PermitReply(PermitReply),
    /// Crashes under parts of prompts.
    CrashNotice(CrashNotice),
    /// Request to send one request with a suspected part.
    TrialQuery(TrialQuery),
    /// Reply to such a request.
    TrialReply(TrialReply),
    /// Software versions at which streams began.
    StreamNotice(StreamNotice),
}

#[derive(Debug, Serialize, Deserialize)]
enum WireDatagram {
    Advert(WireAdvert),
    Summary(WireSummary),
    PermitQuery(WirePermitQuery),
    PermitReply(WirePermitReply),
    // Older builds reject datagrams of the kinds below and understand the others.
    CrashNotice(WireCrashNotice),
    TrialQuery(WireTrialQuery),
    TrialReply(WireTrialReply),
    StreamNotice(WireStreamNotice),
}

#[derive(Debug, Serialize, Deserialize)]
struct WireAdvert {
    vm: String,
    incarnation: u64,
    sequence: u64,
    front: SocketAddr,
    peer: SocketAddr,
    data_centre: String,
    ready: bool,
    configuration: u64,
    load: WireLoad,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireSummary {
    data_centre: String,
    vm: String,
    incarnation: u64,
    sequence: u64,
    part: u16,
    parts: u16,
    remote: bool,
    vms: Vec<WireVmState>,
    load: WireLoad,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireVmState {
    vm: String,
    incarnation: u64,
    sequence: u64,
    front: SocketAddr,
    peer: SocketAddr,
    ready: bool,
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireLoad {
    demands: Vec<WireDemand>,
    service_demands: Vec<WireServiceDemand>,
    findings: Vec<WireFinding>,
    /// Incarnations of endpoints that are leaving, in little-endian byte order.
    leaving: Vec<[u8; 8]>,
    limits: Vec<WireLimit>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireDemand {
    /// Hash of the endpoint's id in little-endian byte order; a variable-length integer would take ten bytes.
    endpoint: [u8; 8],
    runs: u32,
    /// Pairs of urgency level and unread tokens; levels without tokens are omitted.
    unread_tokens: Vec<(u8, u64)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireServiceDemand {
    /// Hash of the service's name, in little-endian byte order.
    service: [u8; 8],
    burst_tokens_per_ms: [f32; LANES_MAX],
    usual_tokens_per_ms: [f32; LANES_MAX],
    usual_shared_tokens_per_ms: [f32; LANES_MAX],
    streams: [f32; LANES_MAX],
}

#[derive(Debug, Serialize, Deserialize)]
struct WireFinding {
    content: ContentHash,
    endpoint: Option<String>,
    age_ms: u64,
}

/// Load of a VM in an advert, or of a data centre in a summary.
struct Load {
    demands: Vec<(u64, Demand)>,
    service_demands: Vec<(u64, ServiceDemand)>,
    findings: Vec<CrashFinding>,
    leaving: Vec<Incarnation>,
    limits: Vec<LimitNotice>,
}

impl WireLoad {
    fn new(
        demands: &[(u64, Demand)],
        service_demands: &[(u64, ServiceDemand)],
        findings: &[CrashFinding],
        leaving: &[Incarnation],
        limits: &[LimitNotice],
    ) -> Self {
        let leaving = leaving.iter();
        Self {
            leaving: leaving.map(|endpoint| endpoint.0.to_le_bytes()).collect(),
            demands: demands.iter().map(WireDemand::from).collect(),
            service_demands: service_demands
                .iter()
                .map(WireServiceDemand::from)
                .collect(),
            findings: findings.iter().map(WireFinding::from).collect(),
            limits: limits.iter().map(WireLimit::from).collect(),
        }
    }
}

impl TryFrom<WireLoad> for Load {
    type Error = Error;

    fn try_from(wire: WireLoad) -> Result<Self> {
        let demands = wire.demands.into_iter().map(TryFrom::try_from);
        let service_demands = wire.service_demands.into_iter().map(TryFrom::try_from);
        let leaving = wire.leaving.into_iter().map(u64::from_le_bytes);
        let limits = wire.limits.into_iter().map(LimitNotice::try_from);
        Ok(Self {
            limits: limits.collect::<Result<_>>()?,
            leaving: leaving.map(Incarnation).collect(),
            demands: demands.collect::<Result<_>>()?,
            service_demands: service_demands.collect::<Result<_>>()?,
            findings: wire.findings.into_iter().map(CrashFinding::from).collect(),
        })
    }
}

impl From<&(u64, Demand)> for WireDemand {
    fn from((endpoint, demand): &(u64, Demand)) -> Self {
        let mut unread_tokens = Vec::new();
        for (level, tokens) in (0..).zip(demand.unread_tokens) {
            if tokens > 0 {
                unread_tokens.push((level, tokens));
            }
        }
        Self {
            endpoint: endpoint.to_le_bytes(),
            runs: demand.runs,
            unread_tokens,
        }
    }
}

impl TryFrom<WireDemand> for (u64, Demand) {
    type Error = Error;

    fn try_from(wire: WireDemand) -> Result<Self> {
        if wire.runs > RUNS_MAX {
            return Err(Error::Field("runs"));
        }
        let mut unread_tokens = [0; URGENCY_LEVELS];
        for (level, tokens) in wire.unread_tokens {
            if tokens > TOKENS_MAX {
                return Err(Error::Field("unread_tokens"));
            }
            let level_tokens = unread_tokens.get_mut(usize::from(level));
            *level_tokens.ok_or(Error::Field("unread_tokens"))? = tokens;
        }
        let demand = Demand {
            runs: wire.runs,
            unread_tokens,
        };
        Ok((u64::from_le_bytes(wire.endpoint), demand))
    }
}

impl From<&(u64, ServiceDemand)> for WireServiceDemand {
    fn from((service, demand): &(u64, ServiceDemand)) -> Self {
        let to_f32 = |values: [f64; LANES_MAX]| values.map(|value| value as f32);
        Self {
            service: service.to_le_bytes(),
            burst_tokens_per_ms: to_f32(demand.burst_tokens_per_ms),
            usual_tokens_per_ms: to_f32(demand.usual_tokens_per_ms),
            usual_shared_tokens_per_ms: to_f32(demand.usual_shared_tokens_per_ms),
            streams: to_f32(demand.streams),
        }
    }
}

impl TryFrom<WireServiceDemand> for (u64, ServiceDemand) {
    type Error = Error;

    fn try_from(wire: WireServiceDemand) -> Result<Self> {
        let to_f64 = |values: [f32; LANES_MAX]| {
            let is_valid = |value: &f32| value.is_finite() && *value >= 0.0;
            match values.iter().all(is_valid) {
                true => Ok(values.map(f64::from)),
                false => Err(Error::Field("service_demands")),
            }
        };
        let demand = ServiceDemand {
            burst_tokens_per_ms: to_f64(wire.burst_tokens_per_ms)?,
            usual_tokens_per_ms: to_f64(wire.usual_tokens_per_ms)?,
            usual_shared_tokens_per_ms: to_f64(wire.usual_shared_tokens_per_ms)?,
            streams: to_f64(wire.streams)?,
        };
        Ok((u64::from_le_bytes(wire.service), demand))
    }
}

impl From<&CrashFinding> for WireFinding {
    fn from(finding: &CrashFinding) -> Self {
        let endpoint = finding.endpoint.as_ref();
        Self {
            content: finding.content,
            endpoint: endpoint.map(|name| name.as_str().to_owned()),
            age_ms: finding.age_ms,
        }
    }
}

impl From<WireFinding> for CrashFinding {
    fn from(wire: WireFinding) -> Self {
        Self {
            content: wire.content,
            endpoint: wire.endpoint.map(Name::from),
            age_ms: wire.age_ms,
        }
    }
}

impl From<&VmState> for WireVmState {
    fn from(state: &VmState) -> Self {
        Self {
            vm: state.vm.as_str().to_owned(),
            incarnation: state.incarnation,
            sequence: state.sequence,
            front: state.front,
            peer: state.peer,
            ready: state.is_ready,
            age_ms: state.age_ms,
        }
    }
}

impl From<WireVmState> for VmState {
    fn from(wire: WireVmState) -> Self {
        Self {
            vm: Name::from(wire.vm),
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            front: wire.front,
            peer: wire.peer,
            is_ready: wire.ready,
            age_ms: wire.age_ms,
        }
    }
}

impl From<&Datagram> for WireDatagram {
    fn from(datagram: &Datagram) -> Self {
        match datagram {
            Datagram::Advert(advert) => WireDatagram::Advert(WireAdvert {
                vm: advert.vm.as_str().to_owned(),
                incarnation: advert.incarnation,
                sequence: advert.sequence,
                front: advert.front,
                peer: advert.peer,
                data_centre: advert.data_centre.as_str().to_owned(),
                ready: advert.is_ready,
                configuration: advert.configuration_version,
                load: WireLoad::new(
                    &advert.demands,
                    &advert.service_demands,
                    &advert.findings,
                    &advert.leaving,
                    &advert.limits,
                ),
            }),
            Datagram::PermitQuery(query) => WireDatagram::PermitQuery(WirePermitQuery::from(query)),
            Datagram::PermitReply(reply) => WireDatagram::PermitReply(WirePermitReply::from(reply)),
            Datagram::CrashNotice(notice) => {
                WireDatagram::CrashNotice(WireCrashNotice::from(notice))
            }
            Datagram::TrialQuery(query) => WireDatagram::TrialQuery(WireTrialQuery::from(query)),
            Datagram::TrialReply(reply) => WireDatagram::TrialReply(WireTrialReply::from(reply)),
            Datagram::StreamNotice(notice) => {
                WireDatagram::StreamNotice(WireStreamNotice::from(notice))
            }
            Datagram::Summary(summary) => WireDatagram::Summary(WireSummary {
                data_centre: summary.data_centre.as_str().to_owned(),
                vm: summary.vm.as_str().to_owned(),
                incarnation: summary.incarnation,
                sequence: summary.sequence,
                part: summary.part as u16,
                parts: summary.parts as u16,
                remote: summary.is_remote,
                vms: summary.vms.iter().map(WireVmState::from).collect(),
                load: WireLoad::new(
                    &summary.demands,
                    &summary.service_demands,
                    &summary.findings,
                    &summary.leaving,
                    &summary.limits,
                ),
            }),
        }
    }
}

impl TryFrom<WireDatagram> for Datagram {
    type Error = Error;

    fn try_from(wire: WireDatagram) -> Result<Self> {
        match wire {
            WireDatagram::CrashNotice(wire) => {
                Ok(Datagram::CrashNotice(CrashNotice::try_from(wire)?))
            }
            WireDatagram::TrialQuery(wire) => Ok(Datagram::TrialQuery(TrialQuery::try_from(wire)?)),
            WireDatagram::TrialReply(wire) => Ok(Datagram::TrialReply(TrialReply::from(wire))),
            WireDatagram::StreamNotice(wire) => {
                Ok(Datagram::StreamNotice(StreamNotice::try_from(wire)?))
            }
            WireDatagram::PermitQuery(wire) => {
                Ok(Datagram::PermitQuery(PermitQuery::try_from(wire)?))
            }
            WireDatagram::PermitReply(wire) => {
                Ok(Datagram::PermitReply(PermitReply::try_from(wire)?))
            }
            WireDatagram::Advert(wire) => {
                let load = Load::try_from(wire.load)?;
                Ok(Datagram::Advert(Advert {
                    vm: Name::from(wire.vm),
                    incarnation: wire.incarnation,
                    sequence: wire.sequence,
                    front: wire.front,
                    peer: wire.peer,
                    data_centre: Name::from(wire.data_centre),
                    is_ready: wire.ready,
                    configuration_version: wire.configuration,
                    demands: load.demands,
                    service_demands: load.service_demands,
                    findings: load.findings,
                    leaving: load.leaving,
                    limits: load.limits,
                }))
            }
            WireDatagram::Summary(wire) => {
                if wire.part >= wire.parts {
                    return Err(Error::Field("part"));
                }
                let load = Load::try_from(wire.load)?;
                Ok(Datagram::Summary(Summary {
                    data_centre: Name::from(wire.data_centre),
                    vm: Name::from(wire.vm),
                    incarnation: wire.incarnation,
                    sequence: wire.sequence,
                    part: usize::from(wire.part),
                    parts: usize::from(wire.parts),
                    is_remote: wire.remote,
                    vms: wire.vms.into_iter().map(VmState::from).collect(),
                    demands: load.demands,
                    service_demands: load.service_demands,
                    findings: load.findings,
                    leaving: load.leaving,
                    limits: load.limits,
                }))
            }
        }
    }
}

/// Encodes a datagram.
///
/// # Errors
///
/// Fails if the encoder does.
pub fn to_bytes(datagram: &Datagram) -> Result<Vec<u8>> {
    Ok(postcard::to_extend(
        &WireDatagram::from(datagram),
        vec![VERSION],
    )?)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails if the bytes are not a datagram of this version or a field is invalid.
pub fn from_bytes(bytes: &[u8]) -> Result<Datagram> {
    let (version, rest) = bytes.split_first().ok_or(Error::Empty)?;
    if *version != VERSION {
        return Err(Error::Version(*version));
    }
    Datagram::try_from(postcard::from_bytes::<WireDatagram>(rest)?)
}
