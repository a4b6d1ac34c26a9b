//! State of one endpoint: adaptive slot limit, relative latency and health.

use slotmap::new_key_type;

use super::Config;
use super::EndpointSpec;
use crate::TicketId;
use crate::state::evidence::ContentHash;

new_key_type! {
    /// Key of an endpoint.
    pub(super) struct EndpointKey;
}

/// Latency samples from which an endpoint is found slow.
const SAMPLE_WINDOW: usize = 8;

/// Latency samples before an endpoint is compared with the others.
const SAMPLES_MIN: usize = 4;

/// Latency samples for the short-term median.
const RECENT_SAMPLES: usize = 3;

/// Minimum time between two reductions of the slot limit, in milliseconds, so that the first takes effect.
const REDUCTION_INTERVAL_MS: u64 = 1_000;

/// Minimum number of late observations for a reduction.
const LATE_COUNT_MIN: u32 = 2;

/// Time for which a load report lowers the limit, in milliseconds; it outlasts two failed probes.
const LOAD_LIFETIME_MS: u64 = 5_000;

/// Consecutive failed attempts after which the endpoint is ejected.
pub(super) const CONSECUTIVE_FAILURES_MAX: u32 = 3;

/// Maximum time between a lost connection and a crash or restart for which the two are related, in milliseconds.
const CRASH_WINDOW_MS: u64 = 10_000;

/// Whether an endpoint is in service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Health {
    /// Gets requests.
    Serving,
    /// Gets one probe request at a time.
    Ejected {
        since_ms: u64,
        next_probe_ms: u64,
        probe: Option<TicketId>,
    },
}

/// A lost connection, until a probe shows whether the endpoint crashed.
#[derive(Debug)]
pub(super) struct SuspectedCrash {
    pub(super) at_ms: u64,
    pub(super) contents: Vec<ContentHash>,
}

/// State of one endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) spec: EndpointSpec,
    /// Whether it is in the endpoint list of the shard; if not, its running requests finish and it gets no others.
    pub(super) is_listed: bool,
    pub(super) is_alive: bool,
    pub(super) started_id: Option<u64>,
    pub(super) running: u32,
    /// Running requests below tier 0.
    pub(super) below_tier_0: u32,
    pub(super) preempting: u32,
    pub(super) running_suspects: u32,
    pub(super) limit: u32,
    pub(super) health: Health,
    pub(super) suspected_crash: Option<SuspectedCrash>,
    pub(super) crashed_at_ms: Option<u64>,
    pub(super) consecutive_failures: u32,
    pub(super) last_grant: u64,
    on_time_count: u32,
    late_count: u32,
    reduced_at_ms: u64,
    reported_limit: Option<(u32, u64)>,
    samples: [f32; SAMPLE_WINDOW],
    sample_count: usize,
}

impl Endpoint {
    pub(super) fn new(spec: EndpointSpec, is_listed: bool) -> Self {
        Self {
            limit: spec.slots_max,
            spec,
            is_listed,
            is_alive: true,
            started_id: None,
            running: 0,
            below_tier_0: 0,
            preempting: 0,
            running_suspects: 0,
            health: Health::Serving,
            suspected_crash: None,
            crashed_at_ms: None,
            consecutive_failures: 0,
            last_grant: 0,
            on_time_count: 0,
            late_count: 0,
            reduced_at_ms: 0,
            reported_limit: None,
            samples: [0.0; SAMPLE_WINDOW],
            sample_count: 0,
        }
    }

    /// Replaces the settings of the endpoint.
    pub(super) fn update(&mut self, spec: EndpointSpec) {
        if spec.slots_max != self.spec.slots_max {
            self.limit = spec.slots_max;
        }
        self.spec = spec;
        self.is_listed = true;
    }

    /// Returns whether it may get requests, including probe requests while ejected.
    pub(super) fn is_usable(&self) -> bool {
        self.is_listed && !self.spec.leaving && self.is_alive
    }

    /// Returns whether it is usable and not ejected.
    pub(super) fn is_serving(&self) -> bool {
        self.is_usable() && self.health == Health::Serving
    }

    /// Returns the number of requests that it may run at once now.
    pub(super) fn current_limit(&self, now_ms: u64) -> u32 {
        let reported = match self.reported_limit {
            Some((limit, until_ms)) if now_ms < until_ms => limit,
            _ => u32::MAX,
        };
        self.limit.min(self.spec.slots_max).min(reported)
    }

    /// Returns whether a probe request may be sent to the ejected endpoint.
    pub(super) fn is_probe_due(&self, now_ms: u64) -> bool {
        match self.health {
            Health::Ejected {
                next_probe_ms,
                probe: None,
                ..
            } => self.is_usable() && self.running < self.spec.slots_max && now_ms >= next_probe_ms,
            _ => false,
        }
    }

    /// Counts whether an observation met its latency target, and adapts the limit.
    pub(super) fn observe_target(&mut self, now_ms: u64, is_late: bool, config: &Config) {
        if is_late {
            self.late_count += 1;
        } else {
            self.on_time_count += 1;
        }
        if is_late
            && self.late_count >= LATE_COUNT_MIN
            && self.late_count * 4 >= self.late_count + self.on_time_count
        {
            self.reduce_limit(now_ms, config);
        }
        if self.on_time_count >= self.limit.max(1)
            && self.late_count * 4 < self.late_count + self.on_time_count
        {
            self.on_time_count = 0;
            self.late_count = 0;
            // Good latency below the limit is no evidence that the endpoint could run more than the limit.
            if self.running >= self.limit && self.limit < self.spec.slots_max {
                self.limit += 1;
            }
        }
    }

    fn reduce_limit(&mut self, now_ms: u64, config: &Config) {
        if now_ms < self.reduced_at_ms.saturating_add(REDUCTION_INTERVAL_MS)
            && self.reduced_at_ms > 0
        {
            return;
        }
        self.reduced_at_ms = now_ms;
        self.on_time_count = 0;
        self.late_count = 0;
        let limit_min = config.slots_min.min(self.spec.slots_max);
        self.limit = (self.limit * 3 / 4).max(limit_min);
    }

    /// Applies a load report, which can only lower the limit.
    pub(super) fn observe_load(&mut self, now_ms: u64, running: u32, waiting: u32, limit_min: u32) {
        if waiting == 0 {
            self.reported_limit = None;
            return;
        }
        let limit = running.max(limit_min).max(1);
        self.reported_limit = Some((limit, now_ms + LOAD_LIFETIME_MS));
    }

    /// Adds the ratio of an observed latency to the median of the pool.
    pub(super) fn observe_latency_ratio(&mut self, latency_ratio: f32) {
        self.samples[self.sample_count % SAMPLE_WINDOW] = latency_ratio;
        self.sample_count += 1;
    }

    /// Returns the median of the last latency ratios, or `None` while there are too few.
    pub(super) fn median_latency_ratio(&self) -> Option<f32> {
        if self.sample_count < SAMPLES_MIN {
            return None;
        }
        let mut samples = self.samples;
        let samples = &mut samples[..self.sample_count.min(SAMPLE_WINDOW)];
        samples.sort_by(f32::total_cmp);
        Some(samples[samples.len() / 2])
    }

    /// Returns the short-term median of the latency ratios.
    ///
    /// It reacts to changes sooner than [`Self::median_latency_ratio`], so that no endpoint is ejected when the whole
    /// pool slows down.
    pub(super) fn recent_latency_ratio(&self) -> f32 {
        if self.sample_count < RECENT_SAMPLES {
            return 1.0;
        }
        let mut recent = [0.0; RECENT_SAMPLES];
        for (back, sample) in recent.iter_mut().enumerate() {
            *sample = self.samples[(self.sample_count - 1 - back) % SAMPLE_WINDOW];
        }
        recent.sort_by(f32::total_cmp);
        recent[RECENT_SAMPLES / 2]
    }

    /// Takes the endpoint out of service.
    pub(super) fn eject(&mut self, now_ms: u64, config: &Config) {
        self.health = Health::Ejected {
            since_ms: now_ms,
            next_probe_ms: now_ms + config.probe_interval_ms,
            probe: None,
        };
    }

    /// Puts the endpoint back into service.
    pub(super) fn readmit(&mut self) {
        self.health = Health::Serving;
        self.sample_count = 0;
        self.consecutive_failures = 0;
    }

    /// Ends the probe request; the next one is due after the interval.
    pub(super) fn end_probe(&mut self, now_ms: u64, ticket: TicketId, config: &Config) {
        if let Health::Ejected {
            next_probe_ms,
            probe,
            ..
        } = &mut self.health
            && *probe == Some(ticket)
        {
            *probe = None;
            *next_probe_ms = now_ms + config.probe_interval_ms;
        }
    }

    /// Returns whether a connection lost now belongs to a crash that a probe has already shown.
    pub(super) fn has_crashed_since(&self, granted_ms: u64, now_ms: u64) -> bool {
        self.crashed_at_ms
            .is_some_and(|at| granted_ms <= at && now_ms < at.saturating_add(CRASH_WINDOW_MS))
    }

    /// Handles a probe result and returns the contents that were running if it confirms a crash.
    pub(super) fn observe_probe(
        &mut self,
        now_ms: u64,
        is_alive: bool,
        started_id: u64,
    ) -> Option<Vec<ContentHash>> {
        let has_restarted = is_alive && self.started_id.is_some_and(|known| known != started_id);
        let has_stopped = !is_alive && self.is_alive;
        if is_alive {
            self.started_id = Some(started_id);
        }
        self.is_alive = is_alive;
        let is_recent =
            |crash: &SuspectedCrash| now_ms < crash.at_ms.saturating_add(CRASH_WINDOW_MS);
        if !has_restarted && is_alive {
            // The probe may have been sent before the connection was lost, so the suspicion is kept for the window.
            self.suspected_crash.take_if(|crash| !is_recent(crash));
            return None;
        }
        if has_restarted || has_stopped {
            self.crashed_at_ms = Some(now_ms);
        }
        let crash = self.suspected_crash.take()?;
        is_recent(&crash).then_some(crash.contents)
    }
}
