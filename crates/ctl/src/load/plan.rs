//! What a load run sends.

use serde::Deserialize;
use serde::Serialize;

use crate::load::Error;
use crate::load::Result;

/// A load run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of arrivals and lengths.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Time over which requests are sent, in seconds.
    pub duration_s: f64,
    /// Independent streams of requests.
    pub streams: Vec<Stream>,
}

/// A stream of requests of one class and organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Class without the team.
    pub class: String,
    /// API key of the organisation.
    pub api_key: String,
    /// What is called.
    pub call: Kind,
    /// Mean arrivals a second.
    pub rate_per_s: f64,
    /// Times at which the rate is multiplied.
    #[serde(default)]
    pub phases: Vec<Phase>,
    /// Latency target in milliseconds: first token of a stream, otherwise the whole answer.
    pub target_ms: u64,
    /// Time that the caller gives the request, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request carries an idempotency key.
    #[serde(default)]
    pub has_key: bool,
    /// Repeats of a refused request that the caller makes when the answer says when to come back.
    #[serde(default)]
    pub retries_max: u32,
}

/// What a stream calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Kind {
    /// Chat completions.
    Chat {
        /// Whether the answer is streamed.
        #[serde(default)]
        stream: bool,
        /// Median length of an answer in tokens.
        tokens: u32,
        /// Spread of the lengths: standard deviation of their natural logarithm.
        #[serde(default)]
        tokens_sigma: f64,
        /// Share of requests that are stragglers, from 0 to 1.
        #[serde(default)]
        straggler_share: f64,
        /// How many times longer a straggler is.
        #[serde(default = "default_straggler_factor")]
        straggler_factor: u32,
        /// Length of the prompt in bytes.
        #[serde(default = "default_prompt_bytes")]
        prompt_bytes: usize,
        /// Distinct first messages, which prefix caches can keep.
        #[serde(default = "default_prefixes")]
        prefixes: u32,
    },
    /// A call to a plain service.
    Service {
        /// Pool.
        pool: String,
        /// Path.
        path: String,
    },
}

/// A time span with another rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Start in seconds.
    pub from_s: f64,
    /// End in seconds.
    pub to_s: f64,
    /// Factor of the rate.
    pub factor: f64,
}

fn default_seed() -> u64 {
    1
}

fn default_straggler_factor() -> u32 {
    10
}

fn default_prompt_bytes() -> usize {
    200
}

fn default_prefixes() -> u32 {
    1
}

impl Plan {
    /// Reads a plan from a TOML file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not a plan.
    pub fn read(file: &str) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|source| Error::Read {
            file: file.to_owned(),
            source,
        })?;
        Self::parse(file, &text)
    }

    /// Parses the text of a plan.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a plan or a value is out of range; all such values are reported together.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let plan_error = |message: String| Error::Plan {
            file: file.to_owned(),
            message,
        };
        let plan: Self = toml::from_str(text).map_err(|error| plan_error(error.to_string()))?;
        let findings = plan.findings();
        if findings.is_empty() {
            Ok(plan)
        } else {
            Err(plan_error(findings.join("; ")))
        }
    }

    fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if !(self.duration_s > 0.0 && self.duration_s <= 3_600.0) {
            findings.push("duration_s must be above 0 and at most 3600".to_owned());
        }
        for (index, stream) in self.streams.iter().enumerate() {
            if !(stream.rate_per_s >= 0.0 && stream.rate_per_s <= 10_000.0) {
                findings.push(format!(
                    "streams[{index}].rate_per_s must be from 0 to 10000"
                ));
            }
            for (number, phase) in stream.phases.iter().enumerate() {
                if !(phase.factor >= 0.0 && phase.factor <= 100.0) {
                    findings.push(format!(
                        "streams[{index}].phases[{number}].factor must be from 0 to 100"
                    ));
                }
            }
        }
        findings
    }
}
