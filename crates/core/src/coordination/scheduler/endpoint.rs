//! One endpoint: its adaptive slot limit, its speed and its health.

use slotmap::new_key_type;

use super::Config;
use super::EndpointSpec;
use crate::TicketId;
use crate::state::evidence::ContentHash;

new_key_type! {
    /// Key of an endpoint.
    pub(super) struct EndpointKey;
}

/// Speed samples that decide whether an endpoint is slow.
const SAMPLES: usize = 8;

/// Speed samples before an endpoint is compared with the others.
const SAMPLES_MIN: usize = 4;

/// Speed samples that stand for what the other endpoints do at the moment.
const RECENT: usize = 3;

/// Shortest time between two reductions of the slot limit, in milliseconds; the effect of one shows only after this.
const CUT_INTERVAL_MS: u64 = 1_000;

/// Late observations that a reduction needs at least.
const LATE_MIN: u32 = 2;

/// Time for which a load report lowers the limit, in milliseconds; two probes may fail before it is forgotten.
const LOAD_LIFETIME_MS: u64 = 5_000;

/// Attempts in a row that fail before the endpoint is ejected.
pub(super) const FAILURES_MAX: u32 = 3;

/// Time after which a lost connection and a restart are no longer connected, in milliseconds.
const CRASH_WINDOW_MS: u64 = 10_000;

/// Whether an endpoint gets requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Health {
    /// It does.
    Serving,
    /// It gets one probe request at a time.
    Ejected {
        since_ms: u64,
        next_probe_ms: u64,
        probe: Option<TicketId>,
    },
}

/// A connection that was lost, until a probe shows whether the endpoint crashed.
#[derive(Debug)]
pub(super) struct Loss {
    pub(super) at_ms: u64,
    pub(super) contents: Vec<ContentHash>,
}

/// State of one endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) spec: EndpointSpec,
    /// Whether it is among the endpoints of the shard; if not, its requests may only finish.
    pub(super) is_listed: bool,
    pub(super) is_alive: bool,
    pub(super) started_id: Option<u64>,
    pub(super) running: u32,
    /// Running requests below tier 0.
    pub(super) ordinary: u32,
    pub(super) preempting: u32,
    pub(super) suspects: u32,
    pub(super) limit: u32,
    pub(super) health: Health,
    pub(super) loss: Option<Loss>,
    pub(super) crashed_at_ms: Option<u64>,
    pub(super) failures: u32,
    pub(super) granted_at: u64,
    in_time: u32,
    late: u32,
    cut_at_ms: u64,
    reported_limit: Option<(u32, u64)>,
    samples: [f32; SAMPLES],
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
            ordinary: 0,
            preempting: 0,
            suspects: 0,
            health: Health::Serving,
            loss: None,
            crashed_at_ms: None,
            failures: 0,
            granted_at: 0,
            in_time: 0,
            late: 0,
            cut_at_ms: 0,
            reported_limit: None,
            samples: [0.0; SAMPLES],
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

    /// Returns whether it may get requests at all.
    pub(super) fn is_usable(&self) -> bool {
        self.is_listed && !self.spec.leaving && self.is_alive
    }

    /// Returns whether it serves at normal speed.
    pub(super) fn is_serving(&self) -> bool {
        self.is_usable() && self.health == Health::Serving
    }

    /// Returns the requests that it may run at once now.
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

    /// Learns whether an observation met its target, and adapts the limit.
    pub(super) fn observe_target(&mut self, now_ms: u64, is_late: bool, config: &Config) {
        if is_late {
            self.late += 1;
        } else {
            self.in_time += 1;
        }
        if is_late && self.late >= LATE_MIN && self.late * 4 >= self.late + self.in_time {
            self.cut(now_ms, config);
        }
        if self.in_time >= self.limit.max(1) && self.late * 4 < self.late + self.in_time {
            self.in_time = 0;
            self.late = 0;
            // A limit that is not used up says nothing about whether a higher one would do.
            if self.running >= self.limit && self.limit < self.spec.slots_max {
                self.limit += 1;
            }
        }
    }

    fn cut(&mut self, now_ms: u64, config: &Config) {
        if now_ms < self.cut_at_ms.saturating_add(CUT_INTERVAL_MS) && self.cut_at_ms > 0 {
            return;
        }
        self.cut_at_ms = now_ms;
        self.in_time = 0;
        self.late = 0;
        let least = config.slots_min.min(self.spec.slots_max);
        self.limit = (self.limit * 3 / 4).max(least);
    }

    /// Learns a load report; it can only lower the limit.
    pub(super) fn observe_load(&mut self, now_ms: u64, running: u32, waiting: u32, least: u32) {
        if waiting == 0 {
            self.reported_limit = None;
            return;
        }
        let limit = running.max(least).max(1);
        self.reported_limit = Some((limit, now_ms + LOAD_LIFETIME_MS));
    }

    /// Learns a time relative to what is usual in the pool.
    pub(super) fn observe_speed(&mut self, relative: f32) {
        self.samples[self.sample_count % SAMPLES] = relative;
        self.sample_count += 1;
    }

    /// Returns the median of the last relative times, or `None` while there are too few.
    pub(super) fn slowness(&self) -> Option<f32> {
        if self.sample_count < SAMPLES_MIN {
            return None;
        }
        let mut samples = self.samples;
        let samples = &mut samples[..self.sample_count.min(SAMPLES)];
        samples.sort_by(f32::total_cmp);
        Some(samples[samples.len() / 2])
    }

    /// Returns the median of the last few relative times.
    ///
    /// It follows a change sooner than [`Self::slowness`], so that a pool that slows down as a whole is not taken
    /// for one slow endpoint.
    pub(super) fn recent_slowness(&self) -> f32 {
        if self.sample_count < RECENT {
            return 1.0;
        }
        let mut recent = [0.0; RECENT];
        for (back, sample) in recent.iter_mut().enumerate() {
            *sample = self.samples[(self.sample_count - 1 - back) % SAMPLES];
        }
        recent.sort_by(f32::total_cmp);
        recent[RECENT / 2]
    }

    /// Takes the endpoint out of service.
    pub(super) fn eject(&mut self, now_ms: u64, config: &Config) {
        self.health = Health::Ejected {
            since_ms: now_ms,
            next_probe_ms: now_ms + config.probe_interval_ms,
            probe: None,
        };
    }

    /// Takes the endpoint back.
    pub(super) fn readmit(&mut self) {
        self.health = Health::Serving;
        self.sample_count = 0;
        self.failures = 0;
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

    /// Returns whether a connection lost now belongs to a crash that the prober has already seen.
    pub(super) fn has_crashed_since(&self, granted_ms: u64, now_ms: u64) -> bool {
        self.crashed_at_ms
            .is_some_and(|at| granted_ms <= at && now_ms < at.saturating_add(CRASH_WINDOW_MS))
    }

    /// Learns a probe; returns the contents to blame if it shows a crash.
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
        let is_recent = |loss: &Loss| now_ms < loss.at_ms.saturating_add(CRASH_WINDOW_MS);
        if !has_restarted && is_alive {
            // A probe may have been under way before the connection was lost, so the loss is kept for the window.
            self.loss.take_if(|loss| !is_recent(loss));
            return None;
        }
        if has_restarted || has_stopped {
            self.crashed_at_ms = Some(now_ms);
        }
        let loss = self.loss.take()?;
        is_recent(&loss).then_some(loss.contents)
    }
}
