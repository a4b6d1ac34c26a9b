//! The scheduler thread and the access that request threads have to it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::TicketId;
use waxwing_core::coordination::scheduler::Ask;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::Effect;
use waxwing_core::coordination::scheduler::End;
use waxwing_core::coordination::scheduler::EndpointSpec;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::Scheduler;
use waxwing_core::state::evidence::Finding;
use waxwing_core::state::settings::Pool;

use crate::metric;
use crate::shared::Shared;

/// Inputs that may wait for the scheduler thread.
const INPUTS_MAX: usize = 4_096;

/// Orders that may wait for a request thread; a request gets one grant and one preemption at a time.
const ORDERS_MAX: usize = 4;

/// Time between ticks of a scheduler, in milliseconds.
const TICK_MS: u64 = 10;

/// Time after which a caller may come back when the pool of its class does not exist, in milliseconds.
const NO_POOL_RETRY_AFTER_MS: u64 = 1_000;

/// Time between publications of counters and gauges, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 1_000;

/// What the scheduler tells a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Call this endpoint now.
    Grant {
        /// Endpoint.
        endpoint: Name,
        /// IP address and port.
        address: String,
    },
    /// Give up.
    Refuse {
        /// Why.
        reason: Reason,
        /// When to come back, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Give the slot back.
    Preempt,
}

/// An input for the scheduler of one pool.
#[derive(Debug)]
enum Message {
    Input {
        pool: Name,
        input: Input,
    },
    Register {
        ticket: TicketId,
        orders: Sender<Order>,
    },
    Unregister {
        ticket: TicketId,
    },
}

/// Access to the scheduler thread.
#[derive(Clone, Debug)]
pub struct Scheduling {
    messages: Sender<Message>,
    losses: (Sender<()>, Receiver<()>),
    findings: Arc<RwLock<HashMap<Name, Vec<Finding>>>>,
}

/// The other end of [`Scheduling`], for the thread.
#[derive(Debug)]
pub struct Inbox {
    messages: Receiver<Message>,
}

impl Scheduling {
    /// Creates the access and the inbox of its thread.
    pub fn new() -> (Self, Inbox) {
        let (sender, receiver) = flume::bounded(INPUTS_MAX);
        let scheduling = Self {
            messages: sender,
            losses: flume::bounded(1),
            findings: Arc::default(),
        };
        (scheduling, Inbox { messages: receiver })
    }

    /// Asks for a slot; the orders for the request arrive on the returned channel.
    pub fn enqueue(&self, pool: &Name, ask: Ask) -> Receiver<Order> {
        let (orders, receiver) = flume::bounded(ORDERS_MAX);
        let ticket = ask.ticket;
        self.send(Message::Register { ticket, orders });
        self.input(pool, Input::Enqueue(Box::new(ask)));
        receiver
    }

    /// Ends the interest of a request in orders.
    pub fn leave(&self, pool: &Name, ticket: TicketId) {
        self.input(pool, Input::Cancel(ticket));
        self.send(Message::Unregister { ticket });
    }

    /// Passes an input to the scheduler of a pool.
    pub fn input(&self, pool: &Name, input: Input) {
        if let Input::Finish { end: End::Lost, .. } = input {
            // A notice that already waits covers this loss too.
            let _ = self.losses.0.try_send(());
        }
        self.send(Message::Input {
            pool: pool.clone(),
            input,
        });
    }

    /// Waits until a connection to an endpoint is lost, so that a crash is found before the next regular probe.
    pub fn wait_for_loss(&self, timeout: Duration) {
        let _ = self.losses.1.recv_timeout(timeout);
    }

    /// Returns the evidence about contents that crash endpoints of a pool, at most a second old.
    ///
    /// Evidence of other VMs goes in as [`Input::Evidence`].
    pub fn to_findings(&self, pool: &Name) -> Vec<Finding> {
        let findings = self.findings.read();
        let findings = findings.unwrap_or_else(|poisoned| poisoned.into_inner());
        findings.get(pool).cloned().unwrap_or_default()
    }

    fn set_findings(&self, pool: &Name, findings: Vec<Finding>) {
        let all = self.findings.write();
        let mut all = all.unwrap_or_else(|poisoned| poisoned.into_inner());
        all.insert(pool.clone(), findings);
    }

    fn send(&self, message: Message) {
        // The thread ends only with the process, so a failed send has no reader to miss it.
        let _ = self.messages.send(message);
    }
}

/// Starts the scheduler thread.
pub fn start(shared: Arc<Shared>, inbox: Inbox) {
    thread::spawn(move || run(&shared, &inbox));
}

struct State {
    settings_version: u64,
    schedulers: HashMap<Name, Scheduler>,
    requests: HashMap<TicketId, Sender<Order>>,
}

fn run(shared: &Shared, inbox: &Inbox) {
    let mut state = State {
        settings_version: 0,
        schedulers: HashMap::new(),
        requests: HashMap::new(),
    };
    let mut next_tick_ms = 0;
    let mut next_publish_ms = 0;
    loop {
        let wait = Duration::from_millis(TICK_MS);
        let message = inbox.messages.recv_timeout(wait);
        state.refresh(shared);
        match message {
            Ok(Message::Input { pool, input }) => state.step(shared.now_ms(), &pool, input),
            Ok(Message::Register { ticket, orders }) => {
                state.requests.insert(ticket, orders);
            }
            Ok(Message::Unregister { ticket }) => {
                state.requests.remove(&ticket);
            }
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => return,
        }
        let now_ms = shared.now_ms();
        if now_ms >= next_tick_ms {
            next_tick_ms = now_ms + TICK_MS;
            state.tick(now_ms);
        }
        if now_ms >= next_publish_ms {
            next_publish_ms = now_ms + PUBLISH_INTERVAL_MS;
            for (pool, scheduler) in &state.schedulers {
                metric::publish_scheduler(pool, scheduler, now_ms);
                let findings = scheduler.to_findings(now_ms);
                shared.scheduling.set_findings(pool, findings);
            }
        }
    }
}

impl State {
    fn refresh(&mut self, shared: &Shared) {
        let view = shared.view();
        if view.settings_version == self.settings_version {
            return;
        }
        self.settings_version = view.settings_version;
        let now_ms = shared.now_ms();
        let known: Vec<Name> = self.schedulers.keys().cloned().collect();
        for pool in known {
            if !view.settings.pools.contains_key(&pool) {
                // Its waiting requests are refused and its running ones finish before the scheduler goes.
                self.step(now_ms, &pool, Input::Endpoints(Vec::new()));
            }
        }
        self.schedulers.retain(|pool, scheduler| {
            view.settings.pools.contains_key(pool) || !scheduler.is_idle()
        });
        for (name, pool) in &view.settings.pools {
            match self.schedulers.get_mut(name) {
                Some(scheduler) => scheduler.set_config(to_config(pool)),
                None => {
                    let random = ChaCha8Rng::from_os_rng();
                    let scheduler = Scheduler::with_random(to_config(pool), random);
                    self.schedulers.insert(name.clone(), scheduler);
                }
            }
            self.step(shared.now_ms(), name, Input::Endpoints(to_endpoints(pool)));
        }
    }

    fn tick(&mut self, now_ms: u64) {
        let pools: Vec<Name> = self.schedulers.keys().cloned().collect();
        for pool in pools {
            self.step(now_ms, &pool, Input::Tick);
        }
    }

    fn step(&mut self, now_ms: u64, pool: &Name, input: Input) {
        let Some(scheduler) = self.schedulers.get_mut(pool) else {
            if let Input::Enqueue(ask) = input {
                self.apply(Effect::Refuse {
                    ticket: ask.ticket,
                    reason: Reason::NoEndpoint,
                    retry_after_ms: NO_POOL_RETRY_AFTER_MS,
                });
            }
            return;
        };
        for effect in scheduler.step(now_ms, input) {
            self.apply(effect);
        }
    }

    fn apply(&mut self, effect: Effect) {
        let (ticket, order) = match effect {
            Effect::Grant {
                ticket,
                endpoint,
                address,
            } => (ticket, Order::Grant { endpoint, address }),
            Effect::Refuse {
                ticket,
                reason,
                retry_after_ms,
            } => (
                ticket,
                Order::Refuse {
                    reason,
                    retry_after_ms,
                },
            ),
            Effect::Preempt { ticket } => (ticket, Order::Preempt),
        };
        let Some(orders) = self.requests.get(&ticket) else {
            return;
        };
        if orders.try_send(order).is_err() {
            log::debug!("request {ticket:?} has left before its order");
        }
    }
}

fn to_config(pool: &Pool) -> Config {
    Config {
        policy: pool.policy,
        reserved_slots: pool.reserved_slots,
        queue_max: pool.queue_max,
        ..Config::default()
    }
}

fn to_endpoints(pool: &Pool) -> Vec<EndpointSpec> {
    let mut specs = Vec::new();
    for endpoint in &pool.endpoints {
        specs.push(EndpointSpec {
            name: endpoint.name.clone(),
            address: endpoint.address.clone(),
            data_centre: endpoint.data_centre.clone(),
            slots_max: endpoint.slots_max,
            leaving: endpoint.leaving,
        });
    }
    specs
}
