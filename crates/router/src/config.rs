//! Settings of one VM, read from its TOML file.

use serde::Deserialize;
use waxwing_core::Error;
use waxwing_core::Name;
use waxwing_core::Result;
use waxwing_core::error::Code;
use waxwing_core::error::Place;

/// Settings of one VM.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// This VM.
    pub vm: Vm,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Who may publish the deployment subtree.
    #[serde(default)]
    pub operators: Operators,
    /// Bounds of this process.
    #[serde(default)]
    pub limits: Limits,
}

/// Identity and addresses of this VM.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name, unique in the deployment.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Address for callers.
    pub caller_address: String,
    /// Address for the other entry VMs.
    pub peer_address: String,
    /// Address for operators and metrics.
    pub operator_address: String,
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the log service.
    pub log_address: String,
    /// Address of the VM list.
    #[serde(default)]
    pub vm_list_address: String,
    /// Address of the weight store.
    #[serde(default)]
    pub weight_store_address: String,
}

/// Who may publish the deployment subtree.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Public keys for ed25519 signatures, in base64.
    #[serde(default)]
    pub root_public_keys: Vec<String>,
}

/// Bounds of this process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests in progress.
    pub requests_max: usize,
    /// Length of a request head, in bytes.
    pub head_max_bytes: usize,
    /// Time for a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Length of a request body, in bytes.
    pub body_max_bytes: usize,
    /// Time for a request body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Silence of an endpoint after which an attempt counts as lost, in milliseconds.
    pub endpoint_silence_ms: u64,
    /// Time for which callers may keep the entry addresses, in seconds.
    pub entries_lifetime_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            requests_max: 2_000,
            head_max_bytes: 16 * 1_024,
            head_timeout_ms: 10_000,
            body_max_bytes: 1_024 * 1_024,
            body_timeout_ms: 30_000,
            endpoint_silence_ms: 15_000,
            entries_lifetime_s: 10,
        }
    }
}

impl Config {
    /// Reads and checks the file.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::InvalidSettings`] and the place if the file cannot be read or has a finding.
    pub fn read(file: &str) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|error| {
            let place = Place::File {
                file: file.to_owned(),
                line: 1,
                column: 1,
            };
            Error::new(
                Code::InvalidSettings,
                place,
                format!("the file cannot be read: {error}"),
            )
        })?;
        Self::parse(file, &text)
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::InvalidSettings`] and the place of the first finding.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        toml::from_str(text).map_err(|error: toml::de::Error| {
            let start = error.span().map_or(0, |span| span.start);
            let before = text.get(..start).unwrap_or("");
            let place = Place::File {
                file: file.to_owned(),
                line: before.matches('\n').count() + 1,
                column: before.chars().rev().take_while(|c| *c != '\n').count() + 1,
            };
            Error::new(Code::InvalidSettings, place, error.message())
        })
    }
}
