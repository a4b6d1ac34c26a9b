//! The scheduler thread and the access that request threads have to it.
//!
//! The thread holds the requests of this VM, the schedulers of the shards that this VM owns, and the requests of other
//! VMs that wait there. A request of this VM whose shard another member owns is enqueued there.

mod outbox;
mod shard;

use std::collections::HashMap;
use std::collections::HashSet;
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
use waxwing_core::coordination::membership::GONE_AFTER_MS;
use waxwing_core::coordination::scheduler::Ask;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::Effect;
use waxwing_core::coordination::scheduler::End;
use waxwing_core::coordination::scheduler::EndpointSpec;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::Scheduler;
use waxwing_core::state::evidence::Finding;
use waxwing_core::state::settings::Policy;
use waxwing_core::state::settings::Pool;
use waxwing_wire::peer::RemoteAsk;
use waxwing_wire::peer::Report;
use waxwing_wire::peer::ReportEvent;
use waxwing_wire::peer::Shard;
use waxwing_wire::peer::Verdict;

use crate::metric;
use crate::peer;
use crate::peer::Answer;
use crate::peer::CALL_TIMEOUT_MS;
use crate::peer::Call;
use crate::scheduling::outbox::Outbox;
use crate::shared::Shared;
use crate::shared::View;

pub(crate) use crate::scheduling::shard::is_scheduled_by;
pub(crate) use crate::scheduling::shard::to_owners;

/// Inputs that may wait for the scheduler thread.
const INPUTS_MAX: usize = 4_096;

/// Orders that may wait for a request thread; a request gets one grant and one preemption at a time.
const ORDERS_MAX: usize = 4;

/// Time between ticks of a scheduler, in milliseconds.
const TICK_MS: u64 = 10;

/// Time between publications of counters and gauges, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 1_000;

/// Pause before a request that its owner did not take is enqueued again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 20;

/// Time after which a request that no member takes is scheduled by its own VM, in milliseconds.
///
/// Members that disagree on the owner agree again within a heartbeat. A second owner overfills an endpoint at worst.
const UNPLACED_MAX_MS: u64 = 2_000;

/// Time after which a placement without a verdict was in the queue of its owner, in milliseconds.
const HELD_MS: u64 = 500;

/// Time for a verdict beyond the deadline of the request, in milliseconds.
const VERDICT_MARGIN_MS: u64 = 2_000;

/// Time for which a new owner of a shard grants nothing, in milliseconds.
///
/// The other VMs learn of the change within milliseconds and adopt their running requests meanwhile. Without the pause,
/// a new owner granted slots that were taken: 13 requests ran on an engine with 8 slots after a kill.
const TAKEOVER_PAUSE_MS: u64 = 100;

/// Time between searches for requests of processes that are no members, in milliseconds.
const ORPHANS_INTERVAL_MS: u64 = 1_000;

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

/// What another VM asks of the schedulers of this VM.
#[derive(Debug)]
pub(crate) enum Remote {
    /// A request wants a slot.
    Enqueue {
        shard: Shard,
        ask: Box<RemoteAsk>,
        skipped: Vec<Name>,
        answer: Sender<Verdict>,
    },
    /// A request that waits or runs is given up.
    Cancel { shard: Shard, ticket: TicketId },
    /// A request already runs.
    Adopt {
        shard: Shard,
        ask: Box<RemoteAsk>,
        endpoint: Name,
    },
    /// Observations of running requests.
    Report(Vec<Report>),
}

/// What an answer of another VM belongs to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Tag {
    /// An enqueue of a request, with the number of its placement.
    Enqueue { ticket: TicketId, placement: u64 },
    /// A message that frees a slot and must not be lost.
    Cancel {
        peer: Name,
        incarnation: u64,
        shard: Shard,
        ticket: TicketId,
    },
    /// An adoption of a running request.
    Adopt { ticket: TicketId, placement: u64 },
    /// The reports in flight to a process.
    Reports { peer: Name, incarnation: u64 },
}

/// A message to the scheduler thread.
#[derive(Debug)]
enum Message {
    Enqueue {
        pool: Name,
        ask: Box<Ask>,
        orders: Sender<Order>,
    },
    Input {
        pool: Name,
        input: Input,
    },
    Leave {
        ticket: TicketId,
    },
    Remote(Remote),
    Replied {
        tag: Tag,
        result: peer::Result<Answer>,
    },
    Preempted {
        ticket: TicketId,
    },
    Connected {
        incarnation: u64,
    },
    MemberGone {
        incarnation: u64,
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
        self.send(Message::Enqueue {
            pool: pool.clone(),
            ask: Box::new(ask),
            orders,
        });
        receiver
    }

    /// Ends the interest of a request in orders.
    pub fn leave(&self, _pool: &Name, ticket: TicketId) {
        self.send(Message::Leave { ticket });
    }

    /// Passes an input to the scheduler of a pool.
    pub fn input(&self, pool: &Name, input: Input) {
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

    /// Drops the requests of a process that is gone.
    pub(crate) fn member_gone(&self, incarnation: u64) {
        self.send(Message::MemberGone { incarnation });
    }

    /// Passes on what another VM asks.
    pub(crate) async fn remote(&self, remote: Remote) {
        self.put(Message::Remote(remote)).await;
    }

    /// Passes on the answer of another VM.
    pub(crate) async fn replied(&self, tag: Tag, result: peer::Result<Answer>) {
        self.put(Message::Replied { tag, result }).await;
    }

    /// Passes on the order of an owner to give a slot back.
    pub(crate) async fn preempted(&self, ticket: TicketId) {
        self.put(Message::Preempted { ticket }).await;
    }

    /// Notes that there is a new connection to a process.
    pub(crate) async fn connected(&self, incarnation: u64) {
        self.put(Message::Connected { incarnation }).await;
    }

    fn send(&self, message: Message) {
        // The thread ends only with the process, so a failed send has no reader to miss it.
        let _ = self.messages.send(message);
    }

    async fn put(&self, message: Message) {
        let _ = self.messages.send_async(message).await;
    }
}

/// Starts the scheduler thread.
pub fn start(shared: Arc<Shared>, inbox: Inbox) {
    thread::spawn(move || run(shared, &inbox));
}

/// The scheduler of a shard, and the requests that it knows.
struct Local {
    scheduler: Scheduler,
    tickets: HashSet<TicketId>,
    /// Requests that wait for the end of the pause after a takeover.
    paused: Vec<Ask>,
    paused_until_ms: u64,
}

/// Who schedules a request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Seat {
    /// Nobody yet; it is enqueued from `at_ms` on.
    Nobody { at_ms: u64 },
    /// This VM.
    Local,
    /// Another VM.
    Remote { name: Name, incarnation: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for a slot.
    Waiting,
    /// It runs on an endpoint.
    Running { endpoint: Name },
    /// It neither waits nor runs, between two attempts or at its end.
    Idle,
}

/// A request of this VM.
struct Own {
    orders: Sender<Order>,
    shard: Shard,
    ask: Ask,
    seat: Seat,
    phase: Phase,
    /// Number of the placement; answers to earlier ones are ignored.
    placement: u64,
    enqueued_ms: u64,
    placed_ms: u64,
    /// Since when no owner takes the request.
    unplaced_ms: Option<u64>,
    /// Whether it stays on this VM, since no member took it.
    is_settled: bool,
}

struct State {
    shared: Arc<Shared>,
    view: Arc<View>,
    locals: HashMap<Shard, Local>,
    own: HashMap<TicketId, Own>,
    /// Requests of other VMs that wait here.
    waiting: HashMap<TicketId, Sender<Verdict>>,
    outboxes: HashMap<Name, Outbox>,
    /// Who schedules each shard in the current view.
    seats: HashMap<Shard, Seat>,
    placements: u64,
    /// Processes that are no members but have requests here, and since when.
    orphans: HashMap<u64, u64>,
    next_orphans_ms: u64,
}

fn run(shared: Arc<Shared>, inbox: &Inbox) {
    let mut state = State {
        view: Arc::new(View::default()),
        shared,
        locals: HashMap::new(),
        own: HashMap::new(),
        waiting: HashMap::new(),
        outboxes: HashMap::new(),
        seats: HashMap::new(),
        placements: 0,
        orphans: HashMap::new(),
        next_orphans_ms: 0,
    };
    let mut next_tick_ms = 0;
    let mut next_publish_ms = 0;
    loop {
        let wait = Duration::from_millis(TICK_MS);
        let message = inbox.messages.recv_timeout(wait);
        state.refresh();
        match message {
            Ok(message) => state.handle(message),
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => return,
        }
        let now_ms = state.shared.now_ms();
        if now_ms >= next_tick_ms {
            next_tick_ms = now_ms + TICK_MS;
            state.tick(now_ms);
        }
        if now_ms >= next_publish_ms {
            next_publish_ms = now_ms + PUBLISH_INTERVAL_MS;
            state.publish(now_ms);
        }
    }
}

impl State {
    fn handle(&mut self, message: Message) {
        match message {
            Message::Enqueue { pool, ask, orders } => self.enqueue(&pool, *ask, orders),
            Message::Input { pool, input } => self.input(&pool, input),
            Message::Leave { ticket } => self.leave(ticket),
            Message::Remote(remote) => self.serve(remote),
            Message::Replied { tag, result } => self.take_reply(tag, result),
            Message::Preempted { ticket } => self.preempted(ticket),
            Message::Connected { incarnation } => self.adopt_again(incarnation),
            Message::MemberGone { incarnation } => self.member_gone(incarnation),
        }
    }

    /// Takes over a new view of settings and members.
    fn refresh(&mut self) {
        let view = self.shared.view();
        if Arc::ptr_eq(&view, &self.view) {
            return;
        }
        let old = std::mem::replace(&mut self.view, view);
        let has_new_settings = old.settings_version != self.view.settings_version;
        if has_new_settings {
            let pools = &self.view.settings.pools;
            self.locals
                .retain(|shard, _| pools.contains_key(&shard.pool));
            self.own
                .retain(|_, own| pools.contains_key(&own.shard.pool));
        }
        if has_new_settings || old.leaving != self.view.leaving {
            let shards: Vec<Shard> = self.locals.keys().cloned().collect();
            for shard in shards {
                self.set_endpoints(&shard);
            }
        }
        if has_new_settings || !has_same_owners(&old, &self.view) {
            self.reseat();
        }
    }

    /// Publishes counters, gauges and crash evidence of the schedulers on this VM.
    fn publish(&self, now_ms: u64) {
        let mut findings: HashMap<&Name, Vec<Finding>> = HashMap::new();
        for (shard, local) in &self.locals {
            metric::publish_scheduler(shard, &local.scheduler, now_ms);
            let found = local.scheduler.to_findings(now_ms);
            findings.entry(&shard.pool).or_default().extend(found);
        }
        for (pool, findings) in findings {
            self.shared.scheduling.set_findings(pool, findings);
        }
    }

    fn set_endpoints(&mut self, shard: &Shard) {
        let Some(pool) = self.view.settings.pools.get(&shard.pool) else {
            return;
        };
        if let Some(local) = self.locals.get_mut(shard) {
            local.scheduler.set_config(to_config(pool));
        }
        let mut specs = to_endpoints(pool);
        specs.retain(|spec| {
            let data_centre = shard.data_centre.as_ref();
            data_centre.is_none_or(|name| *name == spec.data_centre)
        });
        for spec in &mut specs {
            spec.leaving |= self.view.leaving.contains(&spec.name);
        }
        self.step(shard, Input::Endpoints(specs));
    }

    /// Moves requests whose shard has another owner now.
    fn reseat(&mut self) {
        let old_seats = std::mem::take(&mut self.seats);
        let now_ms = self.shared.now_ms();
        for (shard, local) in &mut self.locals {
            let seat = to_seat(&self.shared, &self.view, shard);
            let was_remote = matches!(old_seats.get(shard), Some(Seat::Remote { .. }));
            if was_remote && seat == Seat::Local {
                local.paused_until_ms = now_ms + TAKEOVER_PAUSE_MS;
            }
            self.seats.insert(shard.clone(), seat);
        }
        let mut moved = Vec::new();
        for (ticket, own) in &self.own {
            let Some(pool) = self.view.settings.pools.get(&own.shard.pool) else {
                continue;
            };
            if own.phase == Phase::Idle {
                continue;
            }
            let data_centre = &self.shared.config.vm.data_centre;
            let shard = shard::to_shard(&own.shard.pool, pool, data_centre);
            let seat = self
                .seats
                .entry(shard.clone())
                .or_insert_with(|| to_seat(&self.shared, &self.view, &shard));
            if shard != own.shard || (own.seat != *seat && !own.is_settled) {
                moved.push((*ticket, shard));
            }
        }
        self.release_waiting();
        self.move_requests(moved);
    }

    /// Moves requests to the present owners of their shards.
    fn move_requests(&mut self, moved: Vec<(TicketId, Shard)>) {
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for (ticket, shard) in moved {
            let Some(own) = self.own.get(&ticket) else {
                continue;
            };
            metrics::counter!(metric::MOVED).increment(1);
            match own.phase.clone() {
                Phase::Waiting => waiting.push((ticket, shard)),
                Phase::Running { endpoint } => running.push((ticket, shard, endpoint)),
                Phase::Idle => {}
            }
        }
        // In the order of their arrival.
        waiting.sort_by_key(|(ticket, _)| *ticket);
        // A running request that leaves first would free a slot for a waiting one at the old owner.
        for (ticket, _) in &waiting {
            self.withdraw(*ticket);
        }
        for (ticket, _, _) in &running {
            self.withdraw(*ticket);
        }
        // The new owner has to count what runs before it grants a slot.
        for (ticket, shard, endpoint) in running {
            self.set_shard(ticket, shard);
            self.adopt(ticket, endpoint);
        }
        for (ticket, shard) in waiting {
            self.set_shard(ticket, shard);
            self.place(ticket);
        }
    }

    fn set_shard(&mut self, ticket: TicketId, shard: Shard) {
        if let Some(own) = self.own.get_mut(&ticket) {
            own.shard = shard;
        }
    }

    /// Sends requests of other VMs that wait at a shard of another owner back to their VMs.
    fn release_waiting(&mut self) {
        let mut released = Vec::new();
        for (shard, local) in &self.locals {
            if to_seat(&self.shared, &self.view, shard) == Seat::Local {
                continue;
            }
            for ticket in &local.tickets {
                if self.waiting.contains_key(ticket) {
                    released.push((shard.clone(), *ticket));
                }
            }
        }
        for (shard, ticket) in released {
            if let Some(answer) = self.waiting.remove(&ticket) {
                let _ = answer.try_send(Verdict::NotOwner);
            }
            self.step(&shard, Input::Cancel(ticket));
        }
    }

    fn tick(&mut self, now_ms: u64) {
        let shards: Vec<Shard> = self.locals.keys().cloned().collect();
        for shard in shards {
            self.end_pause(&shard, now_ms);
            let is_busy = |local: &Local| !local.tickets.is_empty();
            if self.locals.get(&shard).is_some_and(is_busy)
                || self.choose_seat(&shard) == Seat::Local
            {
                self.step(&shard, Input::Tick);
            }
        }
        let mut unplaced = Vec::new();
        for (ticket, own) in &self.own {
            if let Seat::Nobody { at_ms } = own.seat
                && own.phase == Phase::Waiting
                && at_ms <= now_ms
            {
                unplaced.push(*ticket);
            }
        }
        for ticket in unplaced {
            self.place(ticket);
        }
        self.flush(now_ms);
        if now_ms >= self.next_orphans_ms {
            self.next_orphans_ms = now_ms + ORPHANS_INTERVAL_MS;
            self.drop_orphans(now_ms);
        }
    }

    fn enqueue(&mut self, pool_name: &Name, ask: Ask, orders: Sender<Order>) {
        let ticket = ask.ticket;
        if self.own.contains_key(&ticket) {
            self.withdraw(ticket);
        }
        // Without the pool, the dropped sender tells the request that there is none.
        let Some(pool) = self.view.settings.pools.get(pool_name) else {
            return;
        };
        let now_ms = self.shared.now_ms();
        let own = Own {
            orders,
            shard: shard::to_shard(pool_name, pool, &self.shared.config.vm.data_centre),
            ask,
            seat: Seat::Nobody { at_ms: now_ms },
            phase: Phase::Waiting,
            placement: 0,
            enqueued_ms: now_ms,
            placed_ms: now_ms,
            unplaced_ms: None,
            is_settled: false,
        };
        self.own.insert(ticket, own);
        self.place(ticket);
    }

    /// Enqueues a request at the owner of its shard.
    fn place(&mut self, ticket: TicketId) {
        let now_ms = self.shared.now_ms();
        let Some(shard) = self.own.get(&ticket).map(|own| own.shard.clone()) else {
            return;
        };
        let seat = self.choose_seat(&shard);
        let Some(own) = self.own.get_mut(&ticket) else {
            return;
        };
        self.placements += 1;
        own.placement = self.placements;
        own.placed_ms = now_ms;
        own.phase = Phase::Waiting;
        let waited_ms = own.unplaced_ms.map_or(0, |since_ms| now_ms - since_ms);
        own.is_settled = waited_ms >= UNPLACED_MAX_MS;
        own.seat = match own.is_settled {
            true => Seat::Local,
            false => seat,
        };
        match &own.seat {
            Seat::Remote { name, incarnation } => {
                let skipped = to_skipped(&self.view);
                let call = peer::to_enqueue(&shard, &own.ask, now_ms, skipped);
                let left_ms = own.ask.deadline_at_ms.saturating_sub(now_ms);
                let timeout = Duration::from_millis(left_ms + VERDICT_MARGIN_MS);
                let tag = Tag::Enqueue {
                    ticket,
                    placement: own.placement,
                };
                if let Err(error) =
                    self.shared
                        .peers
                        .schedule(name, *incarnation, call, timeout, tag)
                {
                    log::warn!("request {ticket:?} is enqueued again: {error}");
                    own.seat = Seat::Nobody {
                        at_ms: now_ms + RETRY_PAUSE_MS,
                    };
                }
            }
            Seat::Local | Seat::Nobody { .. } => {
                let ask = Box::new(own.ask.clone());
                self.step_ticket(&shard, ticket, Input::Enqueue(ask));
            }
        }
    }

    /// Makes the owner of the shard count a request that already runs.
    fn adopt(&mut self, ticket: TicketId, endpoint: Name) {
        let now_ms = self.shared.now_ms();
        let Some(shard) = self.own.get(&ticket).map(|own| own.shard.clone()) else {
            return;
        };
        let seat = self.choose_seat(&shard);
        let Some(own) = self.own.get_mut(&ticket) else {
            return;
        };
        self.placements += 1;
        own.placement = self.placements;
        own.seat = seat;
        match &own.seat {
            Seat::Remote { name, incarnation } => {
                let call = Call::Adopt {
                    shard,
                    ask: Box::new(RemoteAsk::from_ask(&own.ask, now_ms)),
                    endpoint,
                };
                let tag = Tag::Adopt {
                    ticket,
                    placement: own.placement,
                };
                let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
                if let Err(error) =
                    self.shared
                        .peers
                        .schedule(name, *incarnation, call, timeout, tag)
                {
                    log::warn!("request {ticket:?} is not adopted: {error}");
                }
            }
            Seat::Local | Seat::Nobody { .. } => {
                let ask = Box::new(own.ask.clone());
                self.step_ticket(&shard, ticket, Input::Adopt { ask, endpoint });
            }
        }
    }

    /// Adopts running requests again at a process to which there is a new connection.
    ///
    /// The process may have declared this VM gone while the connection was broken.
    fn adopt_again(&mut self, incarnation: u64) {
        let mut running = Vec::new();
        for (ticket, own) in &self.own {
            if let Seat::Remote {
                incarnation: at, ..
            } = &own.seat
                && let Phase::Running { endpoint } = &own.phase
                && *at == incarnation
            {
                running.push((*ticket, endpoint.clone()));
            }
        }
        for (ticket, endpoint) in running {
            self.adopt(ticket, endpoint);
        }
    }

    /// Ends the wait or run of a request where it is seated.
    fn withdraw(&mut self, ticket: TicketId) {
        let Some(own) = self.own.get(&ticket) else {
            return;
        };
        let shard = own.shard.clone();
        match own.seat.clone() {
            Seat::Local => self.step(&shard, Input::Cancel(ticket)),
            Seat::Remote { name, incarnation } if own.phase != Phase::Idle => {
                self.cancel(name, incarnation, shard, ticket);
            }
            Seat::Remote { .. } | Seat::Nobody { .. } => {}
        }
    }

    fn cancel(&mut self, name: Name, incarnation: u64, shard: Shard, ticket: TicketId) {
        let call = Call::Cancel {
            shard: shard.clone(),
            ticket,
        };
        let tag = Tag::Cancel {
            peer: name.clone(),
            incarnation,
            shard: shard.clone(),
            ticket,
        };
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        if self
            .shared
            .peers
            .schedule(&name, incarnation, call, timeout, tag)
            .is_err()
        {
            self.push_cancel(&name, incarnation, shard, ticket);
        }
    }

    fn push_cancel(&mut self, name: &Name, incarnation: u64, shard: Shard, ticket: TicketId) {
        let event = ReportEvent::Finish {
            end: End::Cancelled,
            tokens: 0,
        };
        let report = Report {
            shard,
            ticket,
            event,
        };
        self.push(name, incarnation, report);
    }

    fn leave(&mut self, ticket: TicketId) {
        self.withdraw(ticket);
        self.own.remove(&ticket);
    }

    fn input(&mut self, pool: &Name, input: Input) {
        let event = match &input {
            Input::FirstToken { ticket, elapsed_ms } => {
                let elapsed_ms = *elapsed_ms;
                Some((*ticket, ReportEvent::FirstToken { elapsed_ms }))
            }
            Input::Progress {
                ticket,
                tokens,
                gap_us,
            } => {
                let (tokens, gap_us) = (*tokens, *gap_us);
                Some((*ticket, ReportEvent::Progress { tokens, gap_us }))
            }
            Input::Finish {
                ticket,
                end,
                tokens,
            } => {
                let (end, tokens) = (*end, *tokens);
                Some((*ticket, ReportEvent::Finish { end, tokens }))
            }
            Input::Cancel(ticket) => return self.withdraw(*ticket),
            _ => None,
        };
        match event {
            Some((ticket, event)) => self.observe(ticket, event, input),
            None => self.step_pool(pool, &input),
        }
    }

    /// Passes an observation of a request of this VM to the scheduler that granted it.
    fn observe(&mut self, ticket: TicketId, event: ReportEvent, input: Input) {
        let Some(own) = self.own.get_mut(&ticket) else {
            return;
        };
        if let ReportEvent::Finish { .. } = event {
            own.phase = Phase::Idle;
        }
        let shard = own.shard.clone();
        match own.seat.clone() {
            Seat::Local => self.step(&shard, input),
            Seat::Remote { name, incarnation } => {
                let report = Report {
                    shard,
                    ticket,
                    event,
                };
                self.push(&name, incarnation, report);
            }
            Seat::Nobody { .. } => {}
        }
    }

    fn push(&mut self, name: &Name, incarnation: u64, report: Report) {
        let is_end = matches!(report.event, ReportEvent::Finish { .. });
        let outbox = self
            .outboxes
            .entry(name.clone())
            .or_insert_with(|| Outbox::new(incarnation));
        if outbox.incarnation != incarnation {
            // The process that the older reports concern is gone, or the report comes too late for it.
            if !self
                .view
                .members
                .iter()
                .any(|member| member.incarnation == incarnation)
            {
                return;
            }
            *outbox = Outbox::new(incarnation);
        }
        if !outbox.push(report) {
            metrics::counter!(metric::PEER_FAILURES, "reason" => "report_dropped").increment(1);
        }
        // The end of a request frees a slot for one that waits; the other reports may wait for the next tick.
        if is_end {
            self.flush(self.shared.now_ms());
        }
    }

    fn flush(&mut self, now_ms: u64) {
        let members = &self.view.members;
        self.outboxes.retain(|_, outbox| {
            let is_known = |incarnation| members.iter().any(|it| it.incarnation == incarnation);
            is_known(outbox.incarnation)
        });
        for (name, outbox) in &mut self.outboxes {
            let Some(reports) = outbox.take_batch(now_ms) else {
                continue;
            };
            let tag = Tag::Reports {
                peer: name.clone(),
                incarnation: outbox.incarnation,
            };
            let call = Call::Report(reports);
            let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
            if self
                .shared
                .peers
                .schedule(name, outbox.incarnation, call, timeout, tag)
                .is_err()
            {
                outbox.retry(now_ms);
            }
        }
    }

    fn take_reply(&mut self, tag: Tag, result: peer::Result<Answer>) {
        match tag {
            Tag::Enqueue { ticket, placement } => self.take_verdict(ticket, placement, result),
            Tag::Cancel {
                peer,
                incarnation,
                shard,
                ticket,
            } => {
                if result.is_err() {
                    self.push_cancel(&peer, incarnation, shard, ticket);
                }
            }
            Tag::Adopt { ticket, placement } => {
                if let Err(error) = result {
                    // A new connection adopts it again.
                    log::info!(
                        "request {ticket:?} is not adopted at placement {placement}: {error}"
                    );
                }
            }
            Tag::Reports { peer, incarnation } => {
                let now_ms = self.shared.now_ms();
                let Some(outbox) = self.outboxes.get_mut(&peer) else {
                    return;
                };
                if outbox.incarnation != incarnation {
                    return;
                }
                match result {
                    Ok(_) => outbox.confirm(),
                    Err(_) => outbox.retry(now_ms),
                }
                self.flush(now_ms);
            }
        }
    }

    fn take_verdict(&mut self, ticket: TicketId, placement: u64, result: peer::Result<Answer>) {
        let now_ms = self.shared.now_ms();
        // An answer to an earlier placement needs no action: the placement was withdrawn when it was replaced.
        let Some(own) = self.own.get_mut(&ticket) else {
            return;
        };
        if own.placement != placement {
            return;
        }
        let outcome = match result {
            Ok(Answer::Verdict(Verdict::Grant { endpoint, address })) => {
                if self.view.leaving.contains(&endpoint) {
                    // The owner does not know yet that the endpoint leaves.
                    self.withdraw(ticket);
                    if let Some(own) = self.own.get_mut(&ticket) {
                        own.ask.excluded.push(endpoint);
                    }
                    self.place(ticket);
                    "leaving"
                } else {
                    let waited_ms = now_ms - own.enqueued_ms;
                    metrics::histogram!(metric::GRANT, "owner" => "remote")
                        .record(waited_ms as f64 / 1_000.0);
                    own.unplaced_ms = None;
                    own.phase = Phase::Running {
                        endpoint: endpoint.clone(),
                    };
                    let _ = own.orders.try_send(Order::Grant { endpoint, address });
                    "granted"
                }
            }
            Ok(Answer::Verdict(Verdict::Refuse {
                reason,
                retry_after_ms,
            })) => {
                own.phase = Phase::Idle;
                let _ = own.orders.try_send(Order::Refuse {
                    reason,
                    retry_after_ms,
                });
                "refused"
            }
            Ok(_) | Err(_) => {
                if now_ms >= own.placed_ms + HELD_MS {
                    own.unplaced_ms = Some(now_ms);
                }
                own.unplaced_ms.get_or_insert(now_ms);
                own.seat = Seat::Nobody {
                    at_ms: now_ms + RETRY_PAUSE_MS,
                };
                if result.is_ok() {
                    "not_owner"
                } else {
                    "failed"
                }
            }
        };
        metrics::counter!(metric::REMOTE_ENQUEUES, "outcome" => outcome).increment(1);
    }

    fn preempted(&mut self, ticket: TicketId) {
        if let Some(own) = self.own.get(&ticket)
            && matches!(own.phase, Phase::Running { .. })
        {
            let _ = own.orders.try_send(Order::Preempt);
        }
    }

    fn serve(&mut self, remote: Remote) {
        let now_ms = self.shared.now_ms();
        match remote {
            Remote::Enqueue {
                shard,
                ask,
                skipped,
                answer,
            } => {
                if !self.is_owner(&shard, &skipped) {
                    let _ = answer.try_send(Verdict::NotOwner);
                    return;
                }
                let ask = ask.to_ask(now_ms);
                let ticket = ask.ticket;
                // The VM enqueues again when it lost the answer to an earlier enqueue.
                if self.has_ticket(&shard, ticket) {
                    self.step(&shard, Input::Cancel(ticket));
                }
                self.waiting.insert(ticket, answer);
                self.step_ticket(&shard, ticket, Input::Enqueue(Box::new(ask)));
            }
            Remote::Cancel { shard, ticket } => {
                self.waiting.remove(&ticket);
                self.step(&shard, Input::Cancel(ticket));
            }
            Remote::Adopt {
                shard,
                ask,
                endpoint,
            } => {
                let ask = Box::new(ask.to_ask(now_ms));
                let ticket = ask.ticket;
                if !self.has_ticket(&shard, ticket) {
                    self.step_ticket(&shard, ticket, Input::Adopt { ask, endpoint });
                }
            }
            Remote::Report(reports) => {
                for report in reports {
                    self.serve_report(report);
                }
            }
        }
    }

    fn serve_report(&mut self, report: Report) {
        let ticket = report.ticket;
        let input = match report.event {
            ReportEvent::FirstToken { elapsed_ms } => Input::FirstToken { ticket, elapsed_ms },
            ReportEvent::Progress { tokens, gap_us } => Input::Progress {
                ticket,
                tokens,
                gap_us,
            },
            ReportEvent::Finish {
                end: End::Cancelled,
                ..
            } if self.waiting.remove(&ticket).is_some() => Input::Cancel(ticket),
            ReportEvent::Finish { end, tokens } => Input::Finish {
                ticket,
                end,
                tokens,
            },
        };
        self.step(&report.shard, input);
    }

    fn member_gone(&mut self, incarnation: u64) {
        self.waiting
            .retain(|ticket, _| ticket.incarnation != incarnation);
        let shards: Vec<Shard> = self.locals.keys().cloned().collect();
        for shard in shards {
            if let Some(local) = self.locals.get_mut(&shard) {
                local
                    .tickets
                    .retain(|ticket| ticket.incarnation != incarnation);
                local
                    .paused
                    .retain(|ask| ask.ticket.incarnation != incarnation);
            }
            self.step(&shard, Input::MemberGone { incarnation });
        }
    }

    /// Drops the requests of processes that have not been members for as long as it takes to be gone.
    ///
    /// A VM may use this owner before the VM list names it here, and end before that too.
    fn drop_orphans(&mut self, now_ms: u64) {
        let mut known: HashSet<u64> = HashSet::from([self.shared.incarnation]);
        known.extend(self.view.members.iter().map(|member| member.incarnation));
        let mut foreign = HashSet::new();
        for local in self.locals.values() {
            for ticket in &local.tickets {
                if !known.contains(&ticket.incarnation) {
                    foreign.insert(ticket.incarnation);
                }
            }
        }
        self.orphans
            .retain(|incarnation, _| foreign.contains(incarnation));
        for incarnation in foreign {
            let since_ms = *self.orphans.entry(incarnation).or_insert(now_ms);
            if now_ms >= since_ms + GONE_AFTER_MS {
                self.member_gone(incarnation);
            }
        }
    }

    fn choose_seat(&mut self, shard: &Shard) -> Seat {
        let (shared, view) = (&self.shared, &self.view);
        self.seats
            .entry(shard.clone())
            .or_insert_with(|| to_seat(shared, view, shard))
            .clone()
    }

    fn is_owner(&self, shard: &Shard, skipped: &[Name]) -> bool {
        let own = &self.shared.config.vm.name;
        let Some(pool) = self.view.settings.pools.get(&shard.pool) else {
            return false;
        };
        if pool.policy == Policy::Baseline {
            return true;
        }
        let owner = shard::to_owner(&self.view, shard, skipped);
        owner.is_some_and(|owner| owner.name == *own)
    }

    fn has_ticket(&self, shard: &Shard, ticket: TicketId) -> bool {
        let local = self.locals.get(shard);
        local.is_some_and(|local| local.tickets.contains(&ticket))
    }

    /// Passes an input that brings a request to the scheduler of a shard, which it creates if there is none.
    fn step_ticket(&mut self, shard: &Shard, ticket: TicketId, input: Input) {
        if !self.locals.contains_key(shard) {
            let Some(pool) = self.view.settings.pools.get(&shard.pool) else {
                return;
            };
            let is_alone = self.shared.config.platform.vm_list_address.is_empty();
            let pause_ms = if is_alone || pool.policy == Policy::Baseline {
                0
            } else {
                TAKEOVER_PAUSE_MS
            };
            let local = Local {
                scheduler: Scheduler::with_random(to_config(pool), ChaCha8Rng::from_os_rng()),
                tickets: HashSet::new(),
                paused: Vec::new(),
                paused_until_ms: self.shared.now_ms() + pause_ms,
            };
            self.locals.insert(shard.clone(), local);
            self.set_endpoints(shard);
        }
        let now_ms = self.shared.now_ms();
        if let Some(local) = self.locals.get_mut(shard) {
            local.tickets.insert(ticket);
        }
        match (self.locals.get_mut(shard), input) {
            (Some(local), Input::Enqueue(ask)) if now_ms < local.paused_until_ms => {
                local.paused.push(*ask);
            }
            (_, input) => self.step(shard, input),
        }
    }

    /// Passes on the requests that waited for the end of the pause after a takeover.
    fn end_pause(&mut self, shard: &Shard, now_ms: u64) {
        let Some(local) = self.locals.get_mut(shard) else {
            return;
        };
        if now_ms < local.paused_until_ms || local.paused.is_empty() {
            return;
        }
        for ask in std::mem::take(&mut local.paused) {
            self.step(shard, Input::Enqueue(Box::new(ask)));
        }
    }

    /// Passes an input that concerns no request to the schedulers of a pool.
    fn step_pool(&mut self, pool: &Name, input: &Input) {
        let mut shards = Vec::new();
        for shard in self.locals.keys() {
            if shard.pool == *pool {
                shards.push(shard.clone());
            }
        }
        for shard in shards {
            self.step(&shard, input.clone());
        }
    }

    fn step(&mut self, shard: &Shard, input: Input) {
        let now_ms = self.shared.now_ms();
        let Some(local) = self.locals.get_mut(shard) else {
            return;
        };
        if let Input::Cancel(ticket) | Input::Finish { ticket, .. } = &input {
            local.tickets.remove(ticket);
            local.paused.retain(|ask| ask.ticket != *ticket);
        }
        if let Input::Finish { end: End::Lost, .. } = input {
            // A notice that already waits covers this loss too.
            let _ = self.shared.scheduling.losses.0.try_send(());
        }
        for effect in local.scheduler.step(now_ms, input) {
            self.apply(shard, effect);
        }
    }

    fn apply(&mut self, shard: &Shard, effect: Effect) {
        match effect {
            Effect::Grant {
                ticket,
                endpoint,
                address,
            } => self.grant(shard, ticket, endpoint, address),
            Effect::Refuse {
                ticket,
                reason,
                retry_after_ms,
            } => {
                if let Some(local) = self.locals.get_mut(shard) {
                    local.tickets.remove(&ticket);
                }
                let verdict = Verdict::Refuse {
                    reason,
                    retry_after_ms,
                };
                if let Some(answer) = self.waiting.remove(&ticket) {
                    let _ = answer.try_send(verdict);
                } else if let Some(own) = self.own.get_mut(&ticket)
                    && own.seat == Seat::Local
                {
                    own.phase = Phase::Idle;
                    let _ = own.orders.try_send(Order::Refuse {
                        reason,
                        retry_after_ms,
                    });
                }
            }
            Effect::Preempt { ticket } => match self.own.get(&ticket) {
                Some(own) if own.seat == Seat::Local => {
                    let _ = own.orders.try_send(Order::Preempt);
                }
                Some(_) => {}
                None => self.shared.peers.preempt(shard, ticket),
            },
        }
    }

    fn grant(&mut self, shard: &Shard, ticket: TicketId, endpoint: Name, address: String) {
        let is_taken = if let Some(answer) = self.waiting.remove(&ticket) {
            answer
                .try_send(Verdict::Grant { endpoint, address })
                .is_ok()
        } else if let Some(own) = self.own.get_mut(&ticket)
            && own.seat == Seat::Local
        {
            let waited_ms = self.shared.now_ms() - own.enqueued_ms;
            metrics::histogram!(metric::GRANT, "owner" => "local")
                .record(waited_ms as f64 / 1_000.0);
            own.unplaced_ms = None;
            own.phase = Phase::Running {
                endpoint: endpoint.clone(),
            };
            let order = Order::Grant { endpoint, address };
            own.orders.try_send(order).is_ok()
        } else {
            false
        };
        if !is_taken {
            log::debug!("request {ticket:?} has left before its grant");
            self.step(shard, Input::Cancel(ticket));
        }
    }
}

/// Returns who schedules a shard.
fn to_seat(shared: &Shared, view: &View, shard: &Shard) -> Seat {
    let policy = view.settings.pools.get(&shard.pool).map(|pool| pool.policy);
    if policy == Some(Policy::Baseline) {
        return Seat::Local;
    }
    match shard::to_owner(view, shard, &[]) {
        Some(owner) if owner.name != shared.config.vm.name => Seat::Remote {
            name: owner.name.clone(),
            incarnation: owner.incarnation,
        },
        Some(_) | None => Seat::Local,
    }
}

/// Returns the members that this VM cannot reach.
fn to_skipped(view: &View) -> Vec<Name> {
    let unreachable = view.members.iter().filter(|member| !member.is_reachable);
    unreachable.map(|member| member.name.clone()).collect()
}

/// Returns whether nothing changed that decides on owners.
fn has_same_owners(old: &View, new: &View) -> bool {
    if old.members.len() != new.members.len() {
        return false;
    }
    old.members.iter().zip(&new.members).all(|(old, new)| {
        old.name == new.name
            && old.incarnation == new.incarnation
            && old.data_centre == new.data_centre
            && old.is_eligible() == new.is_eligible()
            && old.is_reachable == new.is_reachable
    })
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
