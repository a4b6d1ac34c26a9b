//! What callers saw in a load run, by class.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use waxwing_core::ExecutionStatus;

use crate::load::arrivals::Arrival;
use crate::load::call::End;
use crate::load::call::Outcome;
use crate::load::plan::Kind;
use crate::load::plan::Plan;

/// Longest time that the histograms tell apart, in microseconds.
const HISTOGRAM_MAX_US: u64 = 3_600 * 1_000_000;

/// Result of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run in seconds, until the last answer.
    pub elapsed_s: f64,
    /// Classes in the order of the plan.
    pub classes: Vec<ClassReport>,
    #[serde(skip)]
    streams: Vec<StreamInfo>,
}

#[derive(Clone, Debug)]
struct StreamInfo {
    class: usize,
    target_us: u64,
    is_stream: bool,
}

/// Result of one class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Class without the team.
    pub class: String,
    /// Latency target in milliseconds.
    pub target_ms: u64,
    /// Requests that were planned.
    pub sent: u64,
    /// Requests with a whole answer.
    pub answered: u64,
    /// Requests with a whole answer within the latency target.
    pub in_target: u64,
    /// Share of planned requests that were answered within the target, from 0 to 1.
    pub attainment: f64,
    /// Whole answers within the target a second.
    pub goodput_per_s: f64,
    /// Tokens of whole answers a second.
    pub tokens_per_s: f64,
    /// Final refusals by reason and `not_run` or `unknown`.
    pub refusals: BTreeMap<String, u64>,
    /// Refusals that the caller followed by a repeat, by reason.
    pub retries: BTreeMap<String, u64>,
    /// Requests without a final answer, by cause.
    pub broken: BTreeMap<String, u64>,
    /// Time to the first token.
    pub first_token: Percentiles,
    /// Time to the whole answer.
    pub total: Percentiles,
    /// Planned requests and those answered within the target, for each second of arrival.
    pub by_second: Vec<(u64, u64)>,
    #[serde(skip)]
    tokens: u64,
    #[serde(skip)]
    first_token_us: Histogram<u64>,
    #[serde(skip)]
    total_us: Histogram<u64>,
}

/// Percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest value.
    pub max_ms: f64,
}

impl Report {
    pub(crate) fn new(plan: &Plan) -> Self {
        let mut report = Self {
            seed: plan.seed,
            elapsed_s: 0.0,
            classes: Vec::new(),
            streams: Vec::new(),
        };
        for stream in &plan.streams {
            let known = report
                .classes
                .iter()
                .position(|class| class.class == stream.class);
            let class = known.unwrap_or_else(|| {
                let seconds = plan.duration_s.ceil() as usize;
                report
                    .classes
                    .push(ClassReport::new(&stream.class, stream.target_ms, seconds));
                report.classes.len() - 1
            });
            report.streams.push(StreamInfo {
                class,
                target_us: stream.target_ms * 1_000,
                is_stream: matches!(stream.call, Kind::Chat { stream: true, .. }),
            });
        }
        report
    }

    pub(crate) fn add(&mut self, outcome: &Outcome) {
        let info = &self.streams[outcome.stream];
        let class = &mut self.classes[info.class];
        class.sent += 1;
        let second = class
            .by_second
            .get_mut((outcome.at_us / 1_000_000) as usize);
        for reason in &outcome.retried {
            *class.retries.entry(reason.clone()).or_default() += 1;
        }
        let is_in_target = outcome.end == End::Answered && info.is_in_target(outcome);
        if let Some((planned, in_target)) = second {
            *planned += 1;
            *in_target += u64::from(is_in_target);
        }
        match &outcome.end {
            End::Answered => {
                class.answered += 1;
                class.in_target += u64::from(is_in_target);
                class.tokens += u64::from(outcome.tokens);
                class.total_us.saturating_record(outcome.total_us);
                if let Some(first_token_us) = outcome.first_token_us {
                    class.first_token_us.saturating_record(first_token_us);
                }
            }
            End::Refused { reason, run } => {
                let run = match run {
                    ExecutionStatus::NotRun => "not_run",
                    ExecutionStatus::Unknown => "unknown",
                };
                *class
                    .refusals
                    .entry(format!("{reason} ({run})"))
                    .or_default() += 1;
            }
            End::Broken(cause) => *class.broken.entry(cause.clone()).or_default() += 1,
        }
    }

    /// Counts a request that the load generator itself could not send.
    pub(crate) fn add_unsent(&mut self, arrival: &Arrival) {
        let class = &mut self.classes[self.streams[arrival.stream].class];
        class.sent += 1;
        *class
            .broken
            .entry("not sent by the load generator".to_owned())
            .or_default() += 1;
    }

    pub(crate) fn finish(&mut self, elapsed: Duration) {
        self.elapsed_s = elapsed.as_secs_f64();
        for class in &mut self.classes {
            class.attainment = class.in_target as f64 / class.sent.max(1) as f64;
            class.goodput_per_s = class.in_target as f64 / self.elapsed_s;
            class.tokens_per_s = class.tokens as f64 / self.elapsed_s;
            class.first_token = percentiles(&class.first_token_us);
            class.total = percentiles(&class.total_us);
        }
    }

    /// Returns the result of a class.
    pub fn class(&self, name: &str) -> Option<&ClassReport> {
        self.classes.iter().find(|class| class.class == name)
    }
}

impl StreamInfo {
    fn is_in_target(&self, outcome: &Outcome) -> bool {
        let reached_us = if self.is_stream {
            outcome.first_token_us
        } else {
            Some(outcome.total_us)
        };
        reached_us.is_some_and(|reached_us| reached_us <= self.target_us)
    }
}

impl ClassReport {
    fn new(class: &str, target_ms: u64, seconds: usize) -> Self {
        Self {
            class: class.to_owned(),
            target_ms,
            sent: 0,
            answered: 0,
            in_target: 0,
            attainment: 0.0,
            goodput_per_s: 0.0,
            tokens_per_s: 0.0,
            refusals: BTreeMap::new(),
            retries: BTreeMap::new(),
            broken: BTreeMap::new(),
            first_token: Percentiles::default(),
            total: Percentiles::default(),
            by_second: vec![(0, 0); seconds],
            tokens: 0,
            first_token_us: new_histogram(),
            total_us: new_histogram(),
        }
    }

    /// Returns the final refusals and the requests without a final answer.
    pub fn unanswered(&self) -> u64 {
        self.sent - self.answered
    }
}

fn new_histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, HISTOGRAM_MAX_US, 3).expect("valid histogram bounds")
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        p50_ms: quantile_ms(0.5),
        p95_ms: quantile_ms(0.95),
        p99_ms: quantile_ms(0.99),
        max_ms: histogram.max() as f64 / 1_000.0,
    }
}
