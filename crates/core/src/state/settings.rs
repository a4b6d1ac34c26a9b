//! The settings tree that operators publish.

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
    /// Bounds of idempotency keys.
    pub claims: Claims,
}

/// A set of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What the endpoints are.
    pub kind: PoolKind,
    /// Which endpoints share one queue.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// How requests are ordered and placed.
    #[serde(default)]
    pub policy: Policy,
    /// Slots that only tier 0 may use.
    #[serde(default)]
    pub reserved_slots: u32,
    /// Requests that may wait for a slot.
    #[serde(default = "default_queue_max")]
    pub queue_max: u32,
    /// Ratio to the pool's median at which an endpoint counts as slow.
    #[serde(default = "default_slow_factor")]
    pub slow_factor: f64,
    /// Largest share of the endpoints that may be ejected as slow.
    #[serde(default = "default_eject_share_max")]
    pub eject_share_max: f64,
    /// Time between probes of an ejected endpoint, in milliseconds.
    #[serde(default = "default_probe_interval_ms")]
    pub probe_interval_ms: u64,
    /// Most times that one request is preempted.
    #[serde(default = "default_preempt_max")]
    pub preempt_max: u32,
    /// Distinct endpoints lost to one content after which it is refused.
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

/// What the endpoints of a pool are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines that generate tokens.
    Model,
    /// Plain services that answer one call.
    Service,
}

/// Which endpoints of a pool share one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scheduling {
    /// All of the deployment.
    #[default]
    Deployment,
    /// Those of one data centre.
    DataCentre,
}

/// How requests are ordered and placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Tiers, shares and deadlines, with observed limits.
    #[default]
    Tiers,
    /// First in, first out with a random endpoint; the baseline of measurements.
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
    /// Whether it refuses calls and orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Least value of the adaptive limit on requests that it runs at once.
    #[serde(default = "default_slots_min")]
    pub slots_min: u32,
    /// Most requests that it may run at once.
    #[serde(default = "default_slots_max")]
    pub slots_max: u32,
    /// Whether it takes no new requests.
    #[serde(default)]
    pub leaving: bool,
}

fn default_slots_min() -> u32 {
    1
}

fn default_slots_max() -> u32 {
    8
}

/// A company or utility that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Team whose classes it uses.
    pub team: Name,
    /// Share within a tier, relative to the other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// BLAKE3 hashes of its API keys, in hexadecimal.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Requests that it may have running and waiting.
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
    /// Public key for ed25519 signatures, in base64.
    pub public_key: String,
    /// Teams whose subtree it may change.
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
    /// Pool that serves it.
    pub pool: Name,
    /// Priority tier; 0 is the most urgent.
    pub tier: u8,
    /// Latency target in milliseconds: first token of a stream, otherwise the whole answer.
    pub target_ms: u64,
    /// Default time from receipt to the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request may run more than once.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// How the answer is delivered.
    #[serde(default)]
    pub delivery: Delivery,
    /// Expected length of an answer in tokens, until it has been learned.
    #[serde(default = "default_expected_tokens")]
    pub expected_tokens: u32,
    /// What to do with a non-idempotent request while the log is down.
    #[serde(default)]
    pub on_log_outage: OnLogOutage,
    /// Wait in milliseconds after which a request counts as aged.
    #[serde(default = "default_ageing_ms")]
    pub ageing_ms: u64,
    /// Requests that may be running and waiting.
    #[serde(default = "default_in_flight_max")]
    pub in_flight_max: u32,
    /// Whether a running request may be cancelled and resumed later.
    #[serde(default)]
    pub preemptible: bool,
    /// Whether a second attempt may be started while the first is slow.
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
    /// Kept in the log and collected by id.
    Job,
}

/// What to do with a non-idempotent request while the log is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnLogOutage {
    /// Refuse it.
    #[default]
    Refuse,
    /// Run it from the memory of the range's owner, fenced by the endpoint.
    FromMemory,
}

/// Bounds of idempotency keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Claims {
    /// Time for which a key is accepted, in seconds.
    pub key_lifetime_s: u64,
    /// Most that a clock may be ahead or behind, in milliseconds.
    pub clock_skew_max_ms: u64,
    /// Time over which claims are collected for one append, in milliseconds.
    pub group_commit_ms: u64,
    /// Time without a confirmed read after which the log counts as down, in milliseconds.
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
    /// Returns the organisation that owns the API key, by its BLAKE3 hash.
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

    /// Returns a class of the team.
    pub fn class(&self, team: &Name, class: &str) -> Option<(&Name, &Class)> {
        self.teams.get(team)?.classes.get_key_value(class)
    }
}
