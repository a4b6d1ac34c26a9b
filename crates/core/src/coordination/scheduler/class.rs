//! What is learned about each request class.

use std::collections::BTreeSet;

use slotmap::new_key_type;

use super::learn::Histogram;
use super::learn::Rate;
use super::queue::WaitKey;

new_key_type! {
    /// Key of a request class.
    pub(super) struct ClassKey;
}

/// Samples before a learned figure replaces the configured one.
pub(super) const SAMPLES_MIN: u32 = 8;

/// Samples before requests are refused because of a learned shortest service time.
const SHORTEST_SAMPLES_MIN: u32 = 20;

/// Quantile that stands for the shortest service time; the very shortest sample may be an exception.
const SHORTEST_QUANTILE: f64 = 0.05;

/// First-token time before any was observed, in milliseconds.
const FIRST_TOKEN_MS: u64 = 100;

/// Time between tokens before any was observed, in microseconds.
const GAP_US: u64 = 20_000;

/// Learned figures and counts of a class.
#[derive(Debug, Default)]
pub(super) struct Class {
    pub(super) in_flight: u32,
    pub(super) first_token_ms: Histogram,
    pub(super) duration_ms: Histogram,
    pub(super) lengths: Histogram,
    pub(super) rate: Rate,
    /// Waiting requests by deadline.
    pub(super) deadlines: BTreeSet<(u64, WaitKey)>,
}

impl Class {
    /// Returns the expected slot time of a request with `generated` tokens done, in milliseconds.
    pub(super) fn to_expected_ms(&self, expected: u32, generated: u32, gaps: &Histogram) -> u64 {
        if self.lengths.to_count() < SAMPLES_MIN && self.duration_ms.to_count() >= SAMPLES_MIN {
            return self.duration_ms.to_mean().max(1);
        }
        let length = match self.lengths.to_count() {
            0..SAMPLES_MIN => u64::from(expected),
            _ => self.lengths.to_mean(),
        };
        let first_ms = match self.first_token_ms.to_count() {
            0..SAMPLES_MIN => FIRST_TOKEN_MS,
            _ => self.first_token_ms.to_quantile(0.5),
        };
        let gap_us = match gaps.to_count() {
            0..SAMPLES_MIN => GAP_US,
            _ => gaps.to_quantile(0.5),
        };
        // A resumed straggler is expected to run about as long again as a fresh request.
        let left = match length.checked_sub(u64::from(generated)) {
            Some(left) if left > 0 => left,
            _ => length,
        };
        first_ms + left * gap_us / 1_000 + 1
    }

    /// Returns the shortest service time to be expected, in milliseconds; 0 until it is learned.
    pub(super) fn to_shortest_ms(&self, generated: u32, gaps: &Histogram) -> u64 {
        if self.lengths.to_count() >= SHORTEST_SAMPLES_MIN {
            let first_ms = self.first_token_ms.to_quantile(SHORTEST_QUANTILE);
            if generated > 0 {
                return first_ms;
            }
            let length = self.lengths.to_quantile(SHORTEST_QUANTILE);
            let gap_us = gaps.to_quantile(SHORTEST_QUANTILE);
            return first_ms + length.saturating_sub(1) * gap_us / 1_000;
        }
        if self.duration_ms.to_count() >= SHORTEST_SAMPLES_MIN {
            return self.duration_ms.to_quantile(SHORTEST_QUANTILE);
        }
        0
    }
}
