//! Statistics and service time estimates of each request class.

use std::collections::BTreeSet;

use slotmap::new_key_type;

use super::queue::WaitKey;
use super::statistics::Histogram;
use super::statistics::Rate;

new_key_type! {
    /// Key of a request class.
    pub(super) struct ClassKey;
}

/// Samples before an estimate from observations replaces the configured one.
pub(super) const SAMPLES_MIN: u32 = 8;

/// Samples before requests are refused because of the shortest service time observed.
const SHORTEST_SAMPLES_MIN: u32 = 20;

/// Quantile used as the shortest service time; the minimum would follow a single outlier.
const SHORTEST_QUANTILE: f64 = 0.05;

/// Assumed time to the first token before enough were observed, in milliseconds.
const FIRST_TOKEN_MS: u64 = 100;

/// Assumed time between tokens before enough were observed, in microseconds.
const GAP_US: u64 = 20_000;

/// State of a request class.
#[derive(Debug, Default)]
pub(super) struct Class {
    pub(super) in_flight: u32,
    pub(super) first_token_ms: Histogram,
    pub(super) duration_ms: Histogram,
    pub(super) lengths: Histogram,
    pub(super) rate: Rate,
    /// Waiting requests by deadline.
    pub(super) deadlines: BTreeSet<(u64, WaitKey)>,
    estimates: Estimates,
}

/// Estimates cached from the distributions, since each scheduling decision reads them.
#[derive(Debug)]
struct Estimates {
    length: Option<u64>,
    duration_ms: Option<u64>,
    first_ms: u64,
    gap_us: u64,
    shortest_first_ms: u64,
    shortest_rest_ms: u64,
}

impl Default for Estimates {
    fn default() -> Self {
        Self {
            length: None,
            duration_ms: None,
            first_ms: FIRST_TOKEN_MS,
            gap_us: GAP_US,
            shortest_first_ms: 0,
            shortest_rest_ms: 0,
        }
    }
}

impl Class {
    /// Recomputes the cached estimates after the distributions changed.
    pub(super) fn refresh(&mut self, gaps: &Histogram) {
        let has_lengths = self.lengths.count() >= SHORTEST_SAMPLES_MIN;
        let has_durations = self.duration_ms.count() >= SHORTEST_SAMPLES_MIN;
        self.estimates = Estimates {
            length: (self.lengths.count() >= SAMPLES_MIN).then(|| self.lengths.mean()),
            duration_ms: (self.duration_ms.count() >= SAMPLES_MIN)
                .then(|| self.duration_ms.mean().max(1)),
            first_ms: match self.first_token_ms.count() {
                0..SAMPLES_MIN => FIRST_TOKEN_MS,
                _ => self.first_token_ms.quantile(0.5),
            },
            gap_us: match gaps.count() {
                0..SAMPLES_MIN => GAP_US,
                _ => gaps.quantile(0.5),
            },
            shortest_first_ms: match (has_lengths, has_durations) {
                (true, _) => self.first_token_ms.quantile(SHORTEST_QUANTILE),
                (false, true) => self.duration_ms.quantile(SHORTEST_QUANTILE),
                (false, false) => 0,
            },
            shortest_rest_ms: match has_lengths {
                true => {
                    let length = self.lengths.quantile(SHORTEST_QUANTILE);
                    length.saturating_sub(1) * gaps.quantile(SHORTEST_QUANTILE) / 1_000
                }
                false => 0,
            },
        };
    }

    /// Returns whether the expected slot time rests on observations.
    pub(super) fn is_learned(&self) -> bool {
        self.estimates.length.is_some() || self.estimates.duration_ms.is_some()
    }

    /// Returns the expected slot time of a request with `generated` tokens done, in milliseconds.
    pub(super) fn expected_ms(&self, expected: u32, generated: u32) -> u64 {
        let estimates = &self.estimates;
        if estimates.length.is_none()
            && let Some(duration_ms) = estimates.duration_ms
        {
            return duration_ms;
        }
        let length = estimates.length.unwrap_or(u64::from(expected));
        // A resumed request that is already longer than the mean is expected to need about another mean length.
        let left = match length.checked_sub(u64::from(generated)) {
            Some(left) if left > 0 => left,
            _ => length,
        };
        estimates.first_ms + left * estimates.gap_us / 1_000 + 1
    }

    /// Returns the shortest likely service time, in milliseconds; 0 until there are enough samples.
    pub(super) fn shortest_ms(&self, generated: u32) -> u64 {
        match generated {
            0 => self.estimates.shortest_first_ms + self.estimates.shortest_rest_ms,
            _ => self.estimates.shortest_first_ms,
        }
    }
}
