//! Streaming statistics with decay: histograms and event rates.

/// Number of buckets; four for each doubling cover values beyond ten million.
const BUCKETS: usize = 96;

/// Number of samples at which all counts are halved, so that old samples decay.
const SAMPLES_MAX: u32 = 512;

/// Time constant of the exponential decay of a rate, in milliseconds.
const RATE_WINDOW_MS: f64 = 10_000.0;

/// Exponential histogram with four buckets for each doubling.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: [u16; BUCKETS],
    count: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            count: 0,
        }
    }
}

impl Histogram {
    /// Adds a sample.
    pub fn add(&mut self, value: u64) {
        if self.count >= SAMPLES_MAX {
            self.count = 0;
            for count in &mut self.counts {
                *count /= 2;
                self.count += u32::from(*count);
            }
        }
        self.counts[bucket_index(value)] += 1;
        self.count += 1;
    }

    /// Returns the number of samples, less those that decayed.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the middle of the bucket that holds the quantile, or 0 without samples.
    pub fn quantile(&self, quantile: f64) -> u64 {
        let wanted = (f64::from(self.count) * quantile).ceil().max(1.0);
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += u32::from(*count);
            if f64::from(seen) >= wanted {
                return bucket_middle(bucket);
            }
        }
        0
    }

    /// Returns the mean, or 0 without samples.
    pub fn mean(&self) -> u64 {
        let mut sum = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            sum += bucket_middle(bucket) * u64::from(*count);
        }
        sum / u64::from(self.count.max(1))
    }
}

fn bucket_index(value: u64) -> usize {
    if value < 4 {
        return value as usize;
    }
    let doublings = value.ilog2() as usize;
    let quarter = (value >> (doublings - 2)) as usize & 3;
    ((doublings - 1) * 4 + quarter).min(BUCKETS - 1)
}

fn bucket_middle(bucket: usize) -> u64 {
    if bucket < 4 {
        return bucket as u64;
    }
    let shift = bucket / 4 - 1;
    let low = (4 + bucket as u64 % 4) << shift;
    low + (1 << shift) / 2
}

/// Event rate with exponential decay.
#[derive(Clone, Debug, Default)]
pub(super) struct Rate {
    weight: f64,
    at_ms: u64,
    since_ms: Option<u64>,
}

impl Rate {
    /// Counts an event.
    pub(super) fn add(&mut self, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
        self.weight = self.decayed_weight(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Returns the events per millisecond, or `None` while there are too few recent events for an estimate.
    pub(super) fn events_per_ms(&self, now_ms: u64) -> Option<f64> {
        let age = now_ms.saturating_sub(self.since_ms?) as f64;
        // Shortly after the first event, the weight covers less time than the full window.
        let window = RATE_WINDOW_MS * (1.0 - (-age / RATE_WINDOW_MS).exp());
        let weight = self.decayed_weight(now_ms);
        (window >= 1.0 && weight > 0.01).then(|| weight / window)
    }

    fn decayed_weight(&self, now_ms: u64) -> f64 {
        let age = now_ms.saturating_sub(self.at_ms) as f64;
        self.weight * (-age / RATE_WINDOW_MS).exp()
    }
}
