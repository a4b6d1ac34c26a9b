//! The scheduler of one shard. It decides which request gets a slot of which endpoint, and when.

use std::collections::HashMap;
use std::collections::HashSet;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use slotmap::SlotMap;

use crate::Name;
use crate::Reason;
use crate::TicketId;
use crate::state::evidence::ContentHash;
use crate::state::evidence::CrashFinding;
use crate::state::evidence::Evidence;
use crate::state::settings::Policy;

use self::class::Class;
use self::class::ClassKey;
use self::endpoint::Endpoint;
use self::endpoint::EndpointKey;
use self::placement::Prefixes;
use self::queue::OrganisationKey;
use self::queue::Queue;
use self::queue::WaitKey;
use self::running::EndedAttempt;
use self::running::RunKey;
use self::running::RunningRequest;
use self::slot_usage::SlotUsage;
use self::statistics::Histogram;
use self::statistics::Rate;

pub use self::counters::Counters;
pub use self::counters::Gauges;

pub mod statistics;

mod admission;
mod class;
mod counters;
mod crash;
mod endpoint;
mod endpoint_health;
mod grant;
mod placement;
mod preempt;
mod queue;
mod running;
mod slot_usage;

/// A request for a slot of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    /// Identity of the request.
    pub ticket: TicketId,
    /// Class name, with the team as prefix: `team/class`.
    pub class: Name,
    /// Organisation.
    pub organisation: Name,
    /// Weight of the organisation within its tier.
    pub weight: u32,
    /// Priority tier; 0 is the most urgent.
    pub tier: u8,
    /// Deadline for the complete answer on the scheduler's clock, in milliseconds.
    pub deadline_at_ms: u64,
    /// Latency target of the class, in milliseconds.
    pub target_ms: u64,
    /// Queueing time after which the request counts as aged and may bypass the tier order, in milliseconds.
    pub ageing_ms: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether it may be preempted and resumed later.
    pub preemptible: bool,
    /// Expected answer length in tokens, used until enough answers of the class were observed.
    pub expected_tokens: u32,
    /// Tokens that the caller already received from earlier attempts.
    pub generated_tokens: u32,
    /// Limit on the running and waiting requests of the class.
    pub class_in_flight_max: u32,
    /// Limit on the running and waiting requests of the organisation.
    pub organisation_in_flight_max: u32,
    /// Hash of the prompt prefix; prefers the endpoint that has it in its prefix cache.
    pub prefix_hash: u64,
    /// Hash of organisation, pool and body; identifies contents that crash endpoints.
    pub content_hash: [u8; 32],
    /// Data centre of the VM that received the request.
    pub data_centre: Name,
    /// Endpoints that must not be used because earlier attempts failed there.
    pub excluded: Vec<Name>,
}

/// An endpoint as the scheduler sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// Name, unique in the deployment.
    pub name: Name,
    /// IP address and port.
    pub address: String,
    /// Data centre.
    pub data_centre: Name,
    /// Maximum number of concurrent requests.
    pub slots_max: u32,
    /// Whether it is draining and gets no new requests.
    pub leaving: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// The answer is complete.
    Done,
    /// The request did not reach the endpoint and therefore did not run.
    NotSent,
    /// The endpoint answered with an error.
    Failed,
    /// The connection broke or stopped delivering data.
    Lost,
    /// The caller or the deadline ended the attempt.
    Cancelled,
    /// The scheduler preempted the attempt.
    Preempted,
}

/// An input of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request wants a slot.
    Enqueue(Box<SlotRequest>),
    /// A waiting or running request is cancelled.
    Cancel(TicketId),
    /// A request already runs under a grant from a previous owner of the shard.
    Adopt {
        /// The request.
        request: Box<SlotRequest>,
        /// Where it runs.
        endpoint: Name,
    },
    /// The first token arrived.
    FirstToken {
        /// The request.
        ticket: TicketId,
        /// Time since the call was sent, in milliseconds.
        elapsed_ms: u64,
    },
    /// More tokens arrived.
    Progress {
        /// The request.
        ticket: TicketId,
        /// Tokens so far in this attempt.
        tokens: u32,
        /// Mean time between tokens since the last report, in microseconds.
        gap_us: u64,
    },
    /// An attempt ended and its slot is free.
    Finish {
        /// The request.
        ticket: TicketId,
        /// How it ended.
        end: AttemptEnd,
        /// Tokens of this attempt.
        tokens: u32,
    },
    /// The complete list of the shard's endpoints.
    Endpoints(Vec<EndpointSpec>),
    /// A process left or died; all its requests are cancelled.
    MemberGone {
        /// Its incarnation.
        incarnation: u64,
    },
    /// A load report of an endpoint, which may be out of date.
    Load {
        /// Endpoint.
        endpoint: Name,
        /// Requests running there.
        running: u32,
        /// Requests waiting there.
        waiting: u32,
    },
    /// The result of a health probe of an endpoint.
    Probe {
        /// Endpoint.
        endpoint: Name,
        /// Whether it answered.
        is_alive: bool,
        /// Identity of the endpoint process; another value means that it restarted.
        started_id: u64,
    },
    /// Findings from other VMs about contents that crash endpoints.
    Evidence(Vec<CrashFinding>),
    /// Time has passed.
    Tick,
}

/// An action that the caller of the scheduler must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The request may call the endpoint now.
    Grant {
        /// The request.
        ticket: TicketId,
        /// Endpoint.
        endpoint: Name,
        /// IP address and port.
        address: String,
    },
    /// The request is refused; it did not run after this enqueue.
    Refuse {
        /// The request.
        ticket: TicketId,
        /// Reason for the refusal.
        reason: Reason,
        /// Delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The running request must release its slot.
    Preempt {
        /// The request.
        ticket: TicketId,
    },
}

/// Scheduling configuration of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// How requests are ordered and placed.
    pub policy: Policy,
    /// Slots that only tier 0 may use.
    pub reserved_slots: u32,
    /// Maximum number of waiting requests.
    pub queue_max: u32,
    /// At most one grant in this many goes to an aged request.
    pub ageing_share: u32,
    /// Maximum number of preemptions of a request.
    pub preempt_max: u32,
    /// Lower bound of the adaptive slot limit of an endpoint.
    pub slots_min: u32,
    /// Time between tokens above which an endpoint counts as overloaded, in microseconds.
    pub gap_target_us: u64,
    /// An endpoint slower than this many times the median is ejected.
    pub slow_factor: f32,
    /// Largest share of the endpoints that may be ejected at a time.
    pub eject_share_max: f64,
    /// Time between probes of an ejected endpoint, in milliseconds.
    pub probe_interval_ms: u64,
    /// Number of distinct endpoints that a content must have crashed to be refused.
    pub poison_endpoints_max: u32,
    /// Time for which evidence about a content is kept, in milliseconds.
    pub evidence_lifetime_ms: u64,
    /// Maximum number of contents for which evidence is kept.
    pub evidence_max: usize,
    /// Maximum number of prompt prefixes whose last endpoint is remembered.
    pub prefixes_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            policy: Policy::Tiers,
            reserved_slots: 0,
            queue_max: 1_000,
            ageing_share: 20,
            preempt_max: 3,
            slots_min: 1,
            gap_target_us: 52_000,
            slow_factor: 3.0,
            eject_share_max: 1.0 / 3.0,
            probe_interval_ms: 1_000,
            poison_endpoints_max: 2,
            evidence_lifetime_ms: 3_600_000,
            evidence_max: 1_024,
            prefixes_max: 4_096,
        }
    }
}

/// Whether a request waits or runs, and its key there.
#[derive(Clone, Copy, Debug)]
enum RequestState {
    Waiting(WaitKey),
    Running(RunKey),
}

/// In-flight count and service rate of an organisation.
#[derive(Debug, Default)]
struct Organisation {
    in_flight: u32,
    rate: Rate,
}

/// The scheduler of one shard.
#[derive(Debug)]
pub struct Scheduler {
    config: Config,
    random: ChaCha8Rng,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    endpoint_keys: HashMap<Name, EndpointKey>,
    organisations: SlotMap<OrganisationKey, Organisation>,
    organisation_keys: HashMap<Name, OrganisationKey>,
    classes: SlotMap<ClassKey, Class>,
    class_keys: HashMap<Name, ClassKey>,
    queue: Queue,
    running: SlotMap<RunKey, RunningRequest>,
    request_states: HashMap<TicketId, RequestState>,
    ended_attempts: HashMap<TicketId, EndedAttempt>,
    prefixes: Prefixes,
    gaps_us: Histogram,
    rate: Rate,
    evidence: Evidence,
    /// Contents lost with a connection, until a probe confirms or rules out a crash of the endpoint.
    unconfirmed_contents: HashSet<ContentHash>,
    counters: Counters,
    slot_usage: SlotUsage,
    grants_since_aged: u32,
    unusable_since_ms: Option<u64>,
    next_check_ms: u64,
}

impl Scheduler {
    /// Creates a scheduler without endpoints, with a fixed seed for random choices.
    pub fn new(config: Config) -> Self {
        Self::with_random(config, ChaCha8Rng::seed_from_u64(0))
    }

    /// Creates a scheduler without endpoints; the baseline policy uses `random` to choose endpoints.
    pub fn with_random(config: Config, random: ChaCha8Rng) -> Self {
        let evidence = Evidence::new(config.evidence_lifetime_ms, config.evidence_max);
        Self {
            config,
            random,
            endpoints: SlotMap::with_key(),
            endpoint_keys: HashMap::new(),
            organisations: SlotMap::with_key(),
            organisation_keys: HashMap::new(),
            classes: SlotMap::with_key(),
            class_keys: HashMap::new(),
            queue: Queue::default(),
            running: SlotMap::with_key(),
            request_states: HashMap::new(),
            ended_attempts: HashMap::new(),
            prefixes: Prefixes::default(),
            gaps_us: Histogram::default(),
            rate: Rate::default(),
            evidence,
            unconfirmed_contents: HashSet::new(),
            counters: Counters::default(),
            slot_usage: SlotUsage::default(),
            grants_since_aged: 0,
            unusable_since_ms: None,
            next_check_ms: 0,
        }
    }

    /// Replaces the configuration and keeps the state.
    ///
    /// Requests that already wait keep the order of the policy under which they were enqueued.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Returns the counters accumulated since the scheduler was created.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the current queue lengths and slot counts.
    pub fn gauges(&self, now_ms: u64) -> Gauges {
        let mut slots = 0;
        let mut ejected = 0;
        for endpoint in self.endpoints.values() {
            if endpoint.is_serving() {
                slots += endpoint.current_limit(now_ms);
            } else if endpoint.is_usable() {
                ejected += 1;
            }
        }
        Gauges {
            waiting: self.queue.lengths(),
            running: self.running.len(),
            slots,
            ejected,
        }
    }

    /// Returns whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.request_states.is_empty()
    }

    /// Returns the evidence about contents that crash endpoints, to be sent to other VMs.
    pub fn findings(&self, now_ms: u64) -> Vec<CrashFinding> {
        self.evidence.findings(now_ms)
    }

    /// Returns whether the content is refused because it crashes endpoints.
    pub fn is_refused(&self, content: &[u8; 32]) -> bool {
        self.evidence.crash_count(content) >= self.config.poison_endpoints_max as usize
    }

    /// Applies one input at `now_ms` and returns the effects to carry out.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Enqueue(request) => self.enqueue(now_ms, request, &mut effects),
            Input::Cancel(ticket) => self.cancel(now_ms, ticket),
            Input::Adopt { request, endpoint } => self.adopt(now_ms, request, endpoint),
            Input::FirstToken { ticket, elapsed_ms } => {
                self.observe_first_token(now_ms, ticket, elapsed_ms);
            }
            Input::Progress {
                ticket,
                tokens,
                gap_us,
            } => self.observe_progress(now_ms, ticket, tokens, gap_us),
            Input::Finish {
                ticket,
                end,
                tokens,
            } => self.finish(now_ms, ticket, end, tokens),
            Input::Endpoints(specs) => self.set_endpoints(specs),
            Input::MemberGone { incarnation } => self.cancel_member_requests(now_ms, incarnation),
            Input::Load {
                endpoint,
                running,
                waiting,
            } => self.observe_load(now_ms, &endpoint, running, waiting),
            Input::Probe {
                endpoint,
                is_alive,
                started_id,
            } => self.observe_probe(now_ms, &endpoint, is_alive, started_id, &mut effects),
            Input::Evidence(findings) => {
                self.evidence.merge(&findings, now_ms);
                self.refuse_contents(now_ms, &mut effects);
            }
            Input::Tick => self.tick(now_ms, &mut effects),
        }
        self.grant(now_ms, &mut effects);
        self.preempt(now_ms, &mut effects);
        effects
    }

    fn is_baseline(&self) -> bool {
        self.config.policy == Policy::Baseline
    }
}
