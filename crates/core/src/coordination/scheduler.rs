//! The scheduler of one shard: who gets which slot of which endpoint, and when.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::Name;
use crate::Reason;
use crate::TicketId;

/// What the scheduler needs to know about a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
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
    /// Time of the scheduler's clock at which the answer must be whole, in milliseconds.
    pub deadline_at_ms: u64,
    /// Latency target of the class, in milliseconds.
    pub target_ms: u64,
    /// Wait after which the request counts as aged, in milliseconds.
    pub ageing_ms: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether it may be cancelled and resumed later.
    pub preemptible: bool,
    /// Expected answer length in tokens, until it has been learned.
    pub expected_tokens: u32,
    /// Tokens that the caller already has, from earlier attempts.
    pub generated_tokens: u32,
    /// Most requests of the class, running and waiting.
    pub class_in_flight_max: u32,
    /// Most requests of the organisation, running and waiting.
    pub organisation_in_flight_max: u32,
    /// Hash of the prompt's beginning, for prefix caches.
    pub prefix_hash: u64,
    /// Hash of organisation, pool and body, for blame after crashes.
    pub content_hash: [u8; 32],
    /// Data centre of the VM that took the request.
    pub data_centre: Name,
    /// Endpoints that must not be used, since earlier attempts failed there.
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
    /// Most requests that it may run at once.
    pub slots_max: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// The answer was whole.
    Done,
    /// The endpoint was never reached; it certainly ran nothing.
    NotSent,
    /// The endpoint answered with an error.
    Failed,
    /// The connection broke or went silent.
    Lost,
    /// The caller or the deadline ended the attempt.
    Cancelled,
    /// The scheduler asked for the slot back.
    Preempted,
}

/// An input of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request wants a slot.
    Enqueue(Box<Ask>),
    /// A request that waits or runs is given up.
    Cancel(TicketId),
    /// A request already runs, under a grant of an earlier owner of the shard.
    Adopt {
        /// The request.
        ask: Box<Ask>,
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
        end: End,
        /// Tokens of this attempt.
        tokens: u32,
    },
    /// The endpoints of the shard, all of them.
    Endpoints(Vec<EndpointSpec>),
    /// A process is gone, and with it all its requests.
    MemberGone {
        /// Its incarnation.
        incarnation: u64,
    },
    /// A load report of an endpoint, late by nature.
    Load {
        /// Endpoint.
        endpoint: Name,
        /// Requests running there.
        running: u32,
        /// Requests waiting there.
        waiting: u32,
    },
    /// The state of an endpoint's probe.
    Probe {
        /// Endpoint.
        endpoint: Name,
        /// Whether it answered.
        is_alive: bool,
        /// Identity of the endpoint process; another value means that it restarted.
        started_id: u64,
    },
    /// Time has passed.
    Tick,
}

/// An effect that the scheduler asks for.
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
    /// The request is refused; it was not run under this enqueue.
    Refuse {
        /// The request.
        ticket: TicketId,
        /// Why.
        reason: Reason,
        /// When to come back, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// The running request must give its slot back.
    Preempt {
        /// The request.
        ticket: TicketId,
    },
}

/// Bounds and choices of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Slots that only tier 0 may use.
    pub reserved_slots: u32,
    /// Requests that may wait.
    pub queue_max: u32,
}

/// The scheduler of one shard.
#[derive(Debug)]
pub struct Scheduler {
    config: Config,
    endpoints: Vec<EndpointSpec>,
    queue: VecDeque<Ask>,
    running: HashMap<TicketId, Name>,
}

impl Scheduler {
    /// Creates a scheduler without endpoints.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            endpoints: Vec::new(),
            queue: VecDeque::new(),
            running: HashMap::new(),
        }
    }

    /// Applies one input at `now_ms` and returns what has to be done.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Enqueue(ask) => {
                if self.queue.len() >= self.config.queue_max as usize {
                    effects.push(Effect::Refuse {
                        ticket: ask.ticket,
                        reason: Reason::QueueFull,
                        retry_after_ms: 1_000,
                    });
                } else {
                    self.queue.push_back(*ask);
                }
            }
            Input::Cancel(ticket) => {
                self.queue.retain(|ask| ask.ticket != ticket);
                self.running.remove(&ticket);
            }
            Input::Adopt { ask, endpoint } => {
                self.running.insert(ask.ticket, endpoint);
            }
            Input::Finish { ticket, .. } => {
                self.running.remove(&ticket);
            }
            Input::Endpoints(endpoints) => self.endpoints = endpoints,
            Input::MemberGone { incarnation } => {
                self.queue
                    .retain(|ask| ask.ticket.incarnation != incarnation);
                self.running
                    .retain(|ticket, _| ticket.incarnation != incarnation);
            }
            Input::FirstToken { .. }
            | Input::Progress { .. }
            | Input::Load { .. }
            | Input::Probe { .. }
            | Input::Tick => {}
        }
        self.grant(now_ms, &mut effects);
        effects
    }

    fn grant(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        while let Some(ask) = self.queue.pop_front() {
            if ask.deadline_at_ms <= now_ms {
                effects.push(Effect::Refuse {
                    ticket: ask.ticket,
                    reason: Reason::DeadlinePassed,
                    retry_after_ms: 0,
                });
                continue;
            }
            let Some(endpoint) = self.to_free_endpoint(&ask) else {
                self.queue.push_front(ask);
                return;
            };
            self.running.insert(ask.ticket, endpoint.name.clone());
            effects.push(Effect::Grant {
                ticket: ask.ticket,
                endpoint: endpoint.name,
                address: endpoint.address,
            });
        }
    }

    fn to_free_endpoint(&self, ask: &Ask) -> Option<EndpointSpec> {
        let mut best: Option<(usize, &EndpointSpec)> = None;
        for endpoint in &self.endpoints {
            if endpoint.leaving || ask.excluded.contains(&endpoint.name) {
                continue;
            }
            let load = self
                .running
                .values()
                .filter(|name| **name == endpoint.name)
                .count();
            if load >= endpoint.slots_max as usize {
                continue;
            }
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, endpoint));
            }
        }
        best.map(|(_, endpoint)| endpoint.clone())
    }
}
