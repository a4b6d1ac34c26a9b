//! Settings of a VM that forwards by route, in TOML.

use std::net::SocketAddr;

use serde::Deserialize;
use waxwing_core::forwarding::admission;
use waxwing_core::forwarding::endpoints::URGENCY_LEVELS;
use waxwing_core::forwarding::lanes;
use waxwing_core::forwarding::lanes::LANES_MAX;
use waxwing_core::forwarding::placement;

use crate::error::Error;
use crate::error::Result;

/// All settings of a process.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This VM.
    pub vm: Vm,
    /// Where it listens.
    pub listen: Listen,
    /// Resource limits.
    pub limits: Limits,
    /// The budget of repeats.
    pub repeats: Repeats,
    /// Planned stops.
    pub stop: Stop,
    /// The directory of entry addresses.
    pub directory: Directory,
    /// The log service.
    pub log_service: LogService,
    /// Messages between VMs.
    #[serde(default)]
    pub fleet: Fleet,
    /// Choice of endpoints.
    #[serde(default)]
    pub placement: Placement,
    /// Admission control: limits of the wait before prefill.
    #[serde(default)]
    pub admission: Admission,
    /// Log lines.
    #[serde(default)]
    pub log: Log,
}

/// This VM.
#[derive(Clone, Debug, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
}

/// Listening addresses.
#[derive(Clone, Debug, Deserialize)]
pub struct Listen {
    /// For callers.
    pub front: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For callers that ask which address to use.
    pub directory: SocketAddr,
    /// For adverts of other VMs (UDP).
    pub peers: SocketAddr,
    /// For metrics, in the text format of Prometheus.
    pub metrics: SocketAddr,
}

/// Bounds on resources.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Memory of the process, in megabytes.
    pub memory_mb: u64,
    /// Descriptors of the process.
    pub descriptors: u64,
}

/// The budget of repeats, summed over all VMs.
#[derive(Clone, Debug, Deserialize)]
pub struct Repeats {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond the ratio.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: u64,
}

/// Planned stops.
#[derive(Clone, Debug, Deserialize)]
pub struct Stop {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: u64,
}

/// The directory of entry addresses.
#[derive(Clone, Debug, Deserialize)]
pub struct Directory {
    /// Longest time to live of a directory response, in seconds.
    pub ttl_max_s: u64,
}

/// The log service.
#[derive(Clone, Debug, Deserialize)]
pub struct LogService {
    /// Its address.
    pub address: SocketAddr,
    /// Time within which an endpoint that is leaving must get no more requests, in milliseconds.
    pub drain_max_ms: u64,
    /// Time within which a change of the configuration must be in force, in milliseconds.
    pub change_max_ms: u64,
    /// Interval at which endpoints renew their entries, in milliseconds.
    #[serde(default = "default_endpoint_report_ms")]
    pub endpoint_report_ms: u64,
}

fn default_endpoint_report_ms() -> u64 {
    1_200
}

impl LogService {
    /// Returns the time within which any change must be in force, in milliseconds.
    pub(crate) fn bound_ms(&self) -> u64 {
        self.drain_max_ms.min(self.change_max_ms)
    }
}

/// Messages between VMs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Fleet {
    /// Number of VMs up to which each sends adverts to each; beyond, data centres exchange summaries.
    pub direct_vms_max: usize,
}

impl Default for Fleet {
    fn default() -> Self {
        Self { direct_vms_max: 16 }
    }
}

/// Choice of endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Placement {
    /// Prefill rate of an engine, in tokens per millisecond.
    pub read_tokens_per_ms: f64,
    /// Delay that one running request adds to others, in milliseconds.
    pub run_cost_ms: f64,
    /// Delay that one request which waits for a slot or for memory adds to others, in milliseconds.
    pub queued_cost_ms: f64,
    /// Cost of an endpoint in another data centre, in milliseconds.
    pub remote_cost_ms: f64,
    /// Shares of the engines by lane, the shortest gap target first. They divide all engines until there is demand, and
    /// then the spare engines that are not assigned as prefix cache.
    pub lane_shares: [f64; LANES_MAX],
    /// Fractions of time that the engines of each lane may spend on prefill under usual demand.
    pub lane_calm_reading_shares: [f64; LANES_MAX],
    /// Fractions of time that the engines of each lane may spend on prefill in a burst.
    pub lane_burst_reading_shares: [f64; LANES_MAX],
    /// Target slot utilization of a lane's engines in a burst.
    pub lane_burst_slot_share: f64,
    /// Fraction of the spare engines that is divided by demand for shared tokens; the rest is divided by `lane_shares`.
    pub lane_memory_share: f64,
    /// Fraction of its share that a lane keeps when there are too few engines for all lanes.
    pub lane_kept_share: f64,
    /// Cost of an engine in a lane with a shorter gap target, in milliseconds.
    pub tighter_lane_cost_ms: f64,
    /// Cost of an engine in a lane with a longer gap target, in milliseconds per lane of distance.
    pub looser_lane_cost_ms: f64,
    /// Multiplier of the prefill time of a shared part on an engine that is not one of its homes.
    pub reread_factor: f64,
    /// Multiplier for the second home of a part in the request's lane.
    pub second_home_factor: f64,
    /// Multiplier for the first home of a part in another lane.
    pub looser_home_factor: f64,
    /// Whether an engine that is not the home of a shared part fetches it from the home.
    pub fetches_shared_parts: bool,
}

impl Default for Placement {
    fn default() -> Self {
        let default = placement::Config::default();
        Self {
            read_tokens_per_ms: default.read_tokens_per_ms,
            run_cost_ms: default.run_cost_ms,
            queued_cost_ms: default.queued_cost_ms,
            remote_cost_ms: default.remote_cost_ms,
            lane_shares: default.lanes.shares,
            lane_calm_reading_shares: default.lanes.calm_reading_shares,
            lane_burst_reading_shares: default.lanes.burst_reading_shares,
            lane_burst_slot_share: default.lanes.burst_slot_share,
            lane_memory_share: default.lanes.memory_share,
            lane_kept_share: default.lanes.kept_share,
            tighter_lane_cost_ms: default.tighter_lane_cost_ms,
            looser_lane_cost_ms: default.looser_lane_cost_ms,
            reread_factor: default.reread_factor,
            second_home_factor: default.second_home_factor,
            looser_home_factor: default.looser_home_factor,
            fetches_shared_parts: default.fetches_shared_parts,
        }
    }
}

impl From<&Placement> for placement::Config {
    fn from(settings: &Placement) -> Self {
        Self {
            read_tokens_per_ms: settings.read_tokens_per_ms,
            run_cost_ms: settings.run_cost_ms,
            queued_cost_ms: settings.queued_cost_ms,
            remote_cost_ms: settings.remote_cost_ms,
            lanes: lanes::Config {
                shares: settings.lane_shares,
                calm_reading_shares: settings.lane_calm_reading_shares,
                burst_reading_shares: settings.lane_burst_reading_shares,
                burst_slot_share: settings.lane_burst_slot_share,
                memory_share: settings.lane_memory_share,
                kept_share: settings.lane_kept_share,
            },
            tighter_lane_cost_ms: settings.tighter_lane_cost_ms,
            looser_lane_cost_ms: settings.looser_lane_cost_ms,
            reread_factor: settings.reread_factor,
            second_home_factor: settings.second_home_factor,
            looser_home_factor: settings.looser_home_factor,
            fetches_shared_parts: settings.fetches_shared_parts,
            ..Self::default()
        }
    }
}

/// Admission control: limits of the wait before prefill.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Admission {
    /// Fractions of the remaining time within which the engine must start the prefill, by urgency level.
    pub latest_start_shares: [f64; URGENCY_LEVELS],
}

impl Default for Admission {
    fn default() -> Self {
        let default = admission::Config::default();
        Self {
            latest_start_shares: default.latest_start_shares,
        }
    }
}

impl From<&Admission> for admission::Config {
    fn from(settings: &Admission) -> Self {
        Self {
            latest_start_shares: settings.latest_start_shares,
        }
    }
}

/// Log lines.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Log {
    /// Least severe level that is written: `error`, `warn`, `info` or `debug`.
    pub level: String,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or with all findings if it is invalid.
    pub fn read(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::ReadSettings {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Checks settings; `path` names them in errors.
    ///
    /// # Errors
    ///
    /// Fails with all findings if the settings are invalid.
    pub fn parse(path: &str, text: &str) -> Result<Self> {
        let invalid = |findings: String| Error::Settings {
            path: path.to_owned(),
            findings,
        };
        let settings: Self = toml::from_str(text).map_err(|error| invalid(error.to_string()))?;
        let findings = settings.check();
        if findings.is_empty() {
            return Ok(settings);
        }
        Err(invalid(findings.join("\n")))
    }

    fn check(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if self.vm.name.is_empty() {
            findings.push("vm.name is empty; give the VM a name".to_owned());
        }
        if self.limits.memory_mb < 32 {
            findings.push("limits.memory_mb is below 32; the daemon needs that much".to_owned());
        }
        if self.limits.descriptors < 300 {
            findings.push("limits.descriptors is below 300; the daemon needs that many".to_owned());
        }
        if !self.repeats.ratio.is_finite() || self.repeats.ratio < 0.0 {
            findings.push("repeats.ratio is negative; use a share such as 0.2".to_owned());
        }
        if !self.repeats.slack.is_finite() || self.repeats.slack < 0.0 {
            findings.push("repeats.slack is negative; use a number of requests".to_owned());
        }
        if self.repeats.window_s == 0 {
            findings.push("repeats.window_s is 0; use a number of seconds".to_owned());
        }
        if self.stop.grace_s < 2 {
            findings.push("stop.grace_s is below 2; requests could not finish".to_owned());
        }
        if self.log_service.drain_max_ms < 500 {
            findings
                .push("log_service.drain_max_ms is below 500; reads would be too many".to_owned());
        }
        if self.log_service.change_max_ms < 500 {
            findings
                .push("log_service.change_max_ms is below 500; reads would be too many".to_owned());
        }
        if self.directory.ttl_max_s == 0 {
            findings.push("directory.ttl_max_s is 0; use a number of seconds".to_owned());
        }
        let placement = &self.placement;
        let costs = [
            ("read_tokens_per_ms", placement.read_tokens_per_ms),
            ("reread_factor", placement.reread_factor),
            ("second_home_factor", placement.second_home_factor),
            ("looser_home_factor", placement.looser_home_factor),
            (
                "lane_calm_reading_shares[0]",
                placement.lane_calm_reading_shares[0],
            ),
            (
                "lane_calm_reading_shares[1]",
                placement.lane_calm_reading_shares[1],
            ),
            (
                "lane_calm_reading_shares[2]",
                placement.lane_calm_reading_shares[2],
            ),
            (
                "lane_burst_reading_shares[0]",
                placement.lane_burst_reading_shares[0],
            ),
            (
                "lane_burst_reading_shares[1]",
                placement.lane_burst_reading_shares[1],
            ),
            (
                "lane_burst_reading_shares[2]",
                placement.lane_burst_reading_shares[2],
            ),
            ("lane_burst_slot_share", placement.lane_burst_slot_share),
            ("lane_shares[0]", placement.lane_shares[0]),
            ("lane_shares[1]", placement.lane_shares[1]),
            ("lane_shares[2]", placement.lane_shares[2]),
        ];
        for (name, value) in costs {
            if !value.is_finite() || value <= 0.0 {
                findings.push(format!("placement.{name} is {value}; use a number above 0"));
            }
        }
        for (level, share) in self.admission.latest_start_shares.iter().enumerate() {
            if !share.is_finite() || *share <= 0.0 {
                findings.push(format!(
                    "admission.latest_start_shares[{level}] is {share}; use a number above 0"
                ));
            }
        }
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            let level = &self.log.level;
            findings.push(format!(
                "log.level `{level}` is unknown; use error, warn, info or debug"
            ));
        }
        findings
    }
}
