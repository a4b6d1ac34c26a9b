//! Settings tree that operators publish.

pub mod change;
pub mod check;
pub mod replay;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// The whole tree: the deployment subtree and one subtree per team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Pools by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Organisations by name.
    pub organisations: BTreeMap<Name, Organisation>,
    /// Operators by name.
    pub operators: BTreeMap<Name, Operator>,
    /// Team subtrees by name.
    pub teams: BTreeMap<Name, Team>,
    /// Settings of idempotency-key claims.
    pub claims: Claims,
}

/// A set of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Kind of endpoints.
    pub kind: PoolKind,
    /// Scope of the pool's queues.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// How requests are ordered and placed.
    #[serde(default)]
    pub policy: Policy,
    /// Slots that only tier 0 may use.
    #[serde(default)]
    pub reserved_slots: u32,
    /// Most requests that may wait for a slot.
    #[serde(default = "default_queue_max")]
    pub queue_max: u32,
    /// Slowness relative to the pool's median at which an endpoint counts as slow.
    #[serde(default = "default_slow_factor")]
    pub slow_factor: f64,
    /// Largest share of the endpoints that may be ejected as slow.
    #[serde(default = "default_eject_share_max")]
    pub eject_share_max: f64,
    /// Time between probes of an ejected endpoint, in milliseconds.
    #[serde(default = "default_probe_interval_ms")]
    pub probe_interval_ms: u64,
    /// Most preemptions of one request.
    #[serde(default = "default_preempt_max")]
    pub preempt_max: u32,
    /// Number of distinct endpoints crashed by one content at which the content is refused.
    #[serde(default = "default_poison_endpoints_max")]
    pub poison_endpoints_max: u32,
    /// The endpoints.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

fn default_queue_max() -> u32 {
    1_000
}

fn default_slow_factor() -> f64 {
    3.0
}

fn default_eject_share_max() -> f64 {
    1.0 / 3.0
}

fn default_probe_interval_ms() -> u64 {
    1_000
}

fn default_preempt_max() -> u32 {
    3
}

fn default_poison_endpoints_max() -> u32 {
    2
}

/// Kind of endpoints in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines that generate tokens.
    Model,
    /// Plain services that answer one call.
    Service,
}

/// Scope of a pool's queues.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scheduling {
    /// One queue for the whole deployment.
    #[default]
    Deployment,
    /// One queue per data centre.
    DataCentre,
}

/// How requests are ordered and placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Priority tiers, fair shares and deadlines, with adaptive concurrency limits.
    #[default]
    Tiers,
    /// First in, first out with a random endpoint; the baseline for benchmarks.
    Baseline,
}

/// A model engine or a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name, unique in the deployment.
    pub name: Name,
    /// IP address and port.
    pub address: String,
    /// Data centre.
    pub data_centre: Name,
    /// Whether the endpoint rejects calls and orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Lower bound of the adaptive concurrency limit.
    #[serde(default = "default_slots_min")]
    pub slots_min: u32,
    /// Upper bound of the adaptive concurrency limit.
    #[serde(default = "default_slots_max")]
    pub slots_max: u32,
    /// Whether the endpoint is draining and takes no new requests.
    #[serde(default)]
    pub leaving: bool,
}

fn default_slots_min() -> u32 {
    1
}

fn default_slots_max() -> u32 {
    8
}

/// A tenant that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Team whose classes the organisation uses.
    pub team: Name,
    /// Weight of the organisation's fair share within a tier.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// BLAKE3 hashes of its API keys, in hexadecimal.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Most requests that may be running or waiting.
    #[serde(default = "default_in_flight_max")]
    pub in_flight_max: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_in_flight_max() -> u32 {
    1_000
}

/// A person or program that may publish settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Ed25519 public key, in base64.
    pub public_key: String,
    /// Teams whose subtrees the operator may change.
    #[serde(default)]
    pub teams: Vec<Name>,
}

/// The subtree of one team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// Request classes by name.
    pub classes: BTreeMap<Name, Class>,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Pool that serves the class.
    pub pool: Name,
    /// Priority tier; 0 is the highest.
    pub tier: u8,
    /// Latency target in milliseconds: time to first token of a stream, otherwise to the whole answer.
    pub target_ms: u64,
    /// Default deadline for the whole answer, in milliseconds from receipt.
    pub deadline_ms: u64,
    /// Whether a request may run more than once.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// How the answer is delivered.
    #[serde(default)]
    pub delivery: Delivery,
    /// Initial estimate of the answer length in tokens, used until one has been learned.
    #[serde(default = "default_expected_tokens")]
    pub expected_tokens: u32,
    /// Handling of non-idempotent requests while the log is unavailable.
    #[serde(default)]
    pub on_log_outage: OnLogOutage,
    /// Queue wait after which a request counts as aged, in milliseconds.
    #[serde(default = "default_ageing_ms")]
    pub ageing_ms: u64,
    /// Most requests that may be running or waiting.
    #[serde(default = "default_in_flight_max")]
    pub in_flight_max: u32,
    /// Whether a running request may be cancelled and resumed later.
    #[serde(default)]
    pub preemptible: bool,
    /// Whether a slow first attempt may be hedged with a second one.
    #[serde(default)]
    pub hedge: bool,
}

fn default_true() -> bool {
    true
}

fn default_expected_tokens() -> u32 {
    100
}

fn default_ageing_ms() -> u64 {
    30_000
}

/// How an answer is delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// On the caller's connection.
    #[default]
    Direct,
    /// Stored in the log and fetched by job id.
    Job,
}

/// Handling of non-idempotent requests while the log is unavailable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnLogOutage {
    /// Refuse the request.
    #[default]
    Refuse,
    /// Grant the claim from the memory of the key range's owner; the endpoint's fencing check excludes former owners.
    FromMemory,
}

/// Settings of idempotency-key claims.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Claims {
    /// Time for which a key is accepted, in seconds.
    pub key_lifetime_s: u64,
    /// Largest tolerated clock skew in either direction, in milliseconds.
    pub clock_skew_max_ms: u64,
    /// Time over which claims are batched into one append, in milliseconds.
    pub group_commit_ms: u64,
    /// Time without a confirmed read after which the log counts as unavailable, in milliseconds.
    pub outage_after_ms: u64,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            key_lifetime_s: 3_600,
            clock_skew_max_ms: 5_000,
            group_commit_ms: 20,
            outage_after_ms: 5_000,
        }
    }
}

impl Settings {
    /// Looks up the organisation that owns an API key, by the key's BLAKE3 hash.
    pub fn organisation_by_key(&self, key: &str) -> Option<(&Name, &Organisation)> {
        let hash = blake3::hash(key.as_bytes()).to_hex();
        for (name, organisation) in &self.organisations {
            if organisation
                .key_hashes
                .iter()
                .any(|known| known == hash.as_str())
            {
                return Some((name, organisation));
            }
        }
        None
    }

    /// Looks up a class of a team.
    pub fn class(&self, team: &Name, class: &str) -> Option<(&Name, &Class)> {
        self.teams.get(team)?.classes.get_key_value(class)
    }
}
