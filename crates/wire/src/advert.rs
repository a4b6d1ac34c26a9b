//! Adverts between VMs that forward by route: one JSON object a datagram.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::Deserialize;
use serde::Serialize;
use waxwing_core::Name;
use waxwing_core::forwarding::endpoints::Demand;
use waxwing_core::forwarding::endpoints::LEVELS;
use waxwing_core::forwarding::lanes::Rates;
use waxwing_core::forwarding::peers;
use waxwing_core::state::evidence::Finding;

/// Version of the message; adverts of other versions are refused.
const VERSION: u8 = 3;

/// Most prompt tokens that one VM can have in progress at an endpoint at one level; sums over all VMs must not overflow.
const TOKENS_MAX: u64 = 1 << 40;

/// Most requests that one VM can have in progress at an endpoint; it has fewer descriptors.
const RUNS_MAX: u32 = 1 << 20;

/// Why a datagram is not an advert.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is not JSON of the expected shape.
    #[error("the advert cannot be decoded: {0}")]
    Json(#[from] serde_json::Error),
    /// Its version is not known here.
    #[error("the advert has version {0}; this build speaks version {VERSION}")]
    Version(u8),
    /// A field holds a value that is not allowed.
    #[error("the advert field `{0}` is invalid")]
    Field(&'static str),
}

/// Result of decoding an advert.
pub type Result<T> = std::result::Result<T, Error>;

/// Endpoint hash, runs, unread tokens as pairs of level and number; levels without any are left out.
type WireDemand = (u64, u32, Vec<(usize, u64)>);

/// The advert as it travels; short names keep it within one datagram.
#[derive(Debug, Serialize, Deserialize)]
struct Wire {
    v: u8,
    vm: String,
    incarnation: u64,
    sequence: u64,
    front: String,
    peer: String,
    data_centre: String,
    ready: bool,
    configuration: u64,
    demands: Vec<WireDemand>,
    /// Hash of a service's name, prompt tokens that arrive for each lane in a millisecond.
    asked: Vec<(u64, Rates)>,
    /// Content hash in base64, endpoint that was lost if any, age in milliseconds.
    findings: Vec<(String, Option<String>, u64)>,
}

impl From<&peers::Advert> for Wire {
    fn from(advert: &peers::Advert) -> Self {
        let mut demands = Vec::new();
        for (hash, demand) in &advert.demands {
            let levels = demand.unread_tokens.iter().copied().enumerate();
            let unread_tokens = levels.filter(|(_, tokens)| *tokens > 0).collect();
            demands.push((*hash, demand.runs, unread_tokens));
        }
        let mut findings = Vec::new();
        for finding in &advert.findings {
            let endpoint = finding
                .endpoint
                .as_ref()
                .map(|name| name.as_str().to_owned());
            let content = STANDARD_NO_PAD.encode(finding.content);
            findings.push((content, endpoint, finding.age_ms));
        }
        Self {
            v: VERSION,
            vm: advert.vm.as_str().to_owned(),
            incarnation: advert.incarnation,
            sequence: advert.sequence,
            front: advert.front.to_string(),
            peer: advert.peer.to_string(),
            data_centre: advert.data_centre.as_str().to_owned(),
            ready: advert.is_ready,
            configuration: advert.configuration_version,
            demands,
            asked: advert.asked.clone(),
            findings,
        }
    }
}

impl TryFrom<Wire> for peers::Advert {
    type Error = Error;

    fn try_from(wire: Wire) -> Result<Self> {
        if wire.v != VERSION {
            return Err(Error::Version(wire.v));
        }
        let mut demands = Vec::new();
        for (hash, runs, levels) in wire.demands {
            if runs > RUNS_MAX {
                return Err(Error::Field("demands"));
            }
            let mut unread_tokens = [0; LEVELS];
            for (level, tokens) in levels {
                if tokens > TOKENS_MAX {
                    return Err(Error::Field("demands"));
                }
                let known = unread_tokens.get_mut(level);
                *known.ok_or(Error::Field("demands"))? = tokens;
            }
            let demand = Demand {
                runs,
                unread_tokens,
            };
            demands.push((hash, demand));
        }
        let mut findings = Vec::new();
        for (content, endpoint, age_ms) in wire.findings {
            let bytes = STANDARD_NO_PAD.decode(content);
            let bytes = bytes.map_err(|_| Error::Field("findings"))?;
            findings.push(Finding {
                content: bytes.try_into().map_err(|_| Error::Field("findings"))?,
                endpoint: endpoint.map(Name::from),
                age_ms,
            });
        }
        let rates = wire.asked.iter().flat_map(|(_, rates)| rates);
        if rates
            .into_iter()
            .any(|rate| !rate.is_finite() || *rate < 0.0)
        {
            return Err(Error::Field("asked"));
        }
        Ok(Self {
            vm: Name::from(wire.vm),
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            front: wire.front.parse().map_err(|_| Error::Field("front"))?,
            peer: wire.peer.parse().map_err(|_| Error::Field("peer"))?,
            data_centre: Name::from(wire.data_centre),
            is_ready: wire.ready,
            configuration_version: wire.configuration,
            demands,
            asked: wire.asked,
            findings,
        })
    }
}

/// Encodes an advert.
///
/// # Errors
///
/// Fails if the JSON encoder does.
pub fn to_bytes(advert: &peers::Advert) -> Result<Vec<u8>> {
    Ok(serde_json::to_vec(&Wire::from(advert))?)
}

/// Decodes an advert.
///
/// # Errors
///
/// Fails if the datagram is not an advert of this version or a field is invalid.
pub fn from_bytes(bytes: &[u8]) -> Result<peers::Advert> {
    let wire: Wire = serde_json::from_slice(bytes)?;
    peers::Advert::try_from(wire)
}
