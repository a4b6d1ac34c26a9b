//! Stand-in for the platform's rate-limited weight store.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde::Deserialize;
use serde::Serialize;

use crate::fault::CommonFaults;
use crate::fault::FaultCell;
use crate::http;
use crate::http::Call;
use crate::http::ListenAddresses;

/// Configuration of the weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Maximum number of reads within any window.
    pub reads_max: usize,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            reads_max: 2,
            window_ms: 1_000,
        }
    }
}

/// Faults of the weight store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults that all HTTP stand-ins support.
    pub common: CommonFaults,
}

impl AsRef<CommonFaults> for Faults {
    fn as_ref(&self) -> &CommonFaults {
        &self.common
    }
}

/// Weights of one version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
}

/// Starts the weight store on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(address: &str, config: Config) -> std::io::Result<ListenAddresses> {
    let recent = Mutex::new(VecDeque::new());
    let faults = Arc::new(FaultCell::<Faults>::new());
    http::serve(address, faults, move |call| handle(call, &config, &recent))
}

fn handle(call: Call, config: &Config, recent: &Mutex<VecDeque<Instant>>) {
    let path = call.path.clone();
    let Some((model, version)) = path
        .strip_prefix("/weights/")
        .and_then(|rest| rest.split_once('/'))
        .filter(|_| call.method == Method::GET)
    else {
        return call.answer(404, &"unknown path");
    };
    let window = Duration::from_millis(config.window_ms);
    let mut reads = recent
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    while let Some(oldest) = reads.front()
        && oldest.elapsed() >= window
    {
        reads.pop_front();
    }
    let is_admitted = reads.len() < config.reads_max;
    if is_admitted {
        reads.push_back(Instant::now());
    }
    drop(reads);
    if !is_admitted {
        return call.answer_with_retry_after(
            429,
            config.window_ms.div_ceil(1_000),
            &"rate exceeded",
        );
    }
    let weights = Weights {
        model: model.to_owned(),
        version: version.to_owned(),
    };
    call.answer(200, &weights);
}
