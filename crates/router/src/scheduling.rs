//! The scheduler thread and the access that request threads have to it.
//!
//! The thread holds the requests of this VM, the schedulers of the shards that this VM owns, and the requests of other
//! VMs that wait there. A request of this VM whose shard another member owns is enqueued there.

mod local;
mod outbox;
mod own;
mod report;
mod serve;
mod shard;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::TicketId;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::EndpointSpec;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::SlotRequest;
use waxwing_core::state::evidence::CrashFinding;
use waxwing_core::state::settings::Pool;
use waxwing_wire::peer::RemoteSlotRequest;
use waxwing_wire::peer::Report;
use waxwing_wire::peer::Shard;
use waxwing_wire::peer::Verdict;

use crate::peer;
use crate::peer::Answer;
use crate::scheduling::local::Local;
use crate::scheduling::outbox::Outbox;
use crate::scheduling::own::Own;
use crate::scheduling::own::Phase;
use crate::scheduling::own::Seat;
use crate::scheduling::own::locate_scheduler;
use crate::scheduling::own::unknown_pool_refusal;
use crate::shared::Shared;
use crate::shared::View;

pub(crate) use crate::scheduling::shard::is_scheduled_by;
pub(crate) use crate::scheduling::shard::pool_owners;

/// Inputs that may wait for the scheduler thread.
const INPUTS_MAX: usize = 4_096;

/// Orders that may wait for a request thread; a request gets one grant and one preemption at a time.
const ORDERS_MAX: usize = 4;

/// Time between ticks of a scheduler, in milliseconds.
const TICK_MS: u64 = 10;

/// Time between publications of counters and gauges, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 1_000;

/// Time between searches for requests of processes that are no members, in milliseconds.
const ORPHANS_INTERVAL_MS: u64 = 1_000;

/// What the scheduler tells a request.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotCommand {
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
pub(crate) enum PeerRequest {
    /// A request wants a slot.
    Enqueue {
        shard: Shard,
        request: Box<RemoteSlotRequest>,
        skipped: Vec<Name>,
        answer: Sender<Verdict>,
    },
    /// A request that waits or runs is given up.
    Cancel { shard: Shard, ticket: TicketId },
    /// A request already runs.
    Adopt {
        shard: Shard,
        request: Box<RemoteSlotRequest>,
        endpoint: Name,
    },
    /// Observations of running requests.
    Report(Vec<Report>),
}

/// What an answer of another VM belongs to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ReplyTag {
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
        request: Box<SlotRequest>,
        orders: Sender<SlotCommand>,
    },
    Input {
        pool: Name,
        input: Input,
    },
    Leave {
        ticket: TicketId,
    },
    PeerRequest(PeerRequest),
    Replied {
        tag: ReplyTag,
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
pub struct SchedulerHandle {
    messages: Sender<Message>,
    losses: (Sender<()>, Receiver<()>),
    findings: Arc<RwLock<HashMap<Name, Vec<CrashFinding>>>>,
    evidence: Arc<RwLock<Vec<CrashFinding>>>,
}

/// The other end of [`SchedulerHandle`], for the thread.
#[derive(Debug)]
pub struct Inbox {
    messages: Receiver<Message>,
}

impl SchedulerHandle {
    /// Creates the access and the inbox of its thread.
    pub fn new() -> (Self, Inbox) {
        let (sender, receiver) = flume::bounded(INPUTS_MAX);
        let scheduling = Self {
            messages: sender,
            losses: flume::bounded(1),
            findings: Arc::default(),
            evidence: Arc::default(),
        };
        (scheduling, Inbox { messages: receiver })
    }

    /// Asks for a slot; the orders for the request arrive on the returned channel.
    pub fn enqueue(&self, pool: &Name, request: SlotRequest) -> Receiver<SlotCommand> {
        let (orders, receiver) = flume::bounded(ORDERS_MAX);
        self.send(Message::Enqueue {
            pool: pool.clone(),
            request: Box::new(request),
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
    pub fn wait_for_lost_connection(&self, timeout: Duration) {
        let _ = self.losses.1.recv_timeout(timeout);
    }

    fn note_loss(&self) {
        // A notice that already waits covers this loss too.
        let _ = self.losses.0.try_send(());
    }

    /// Returns the evidence about contents that crash endpoints of a pool, at most a second old.
    ///
    /// Evidence of other VMs goes in as [`Input::Evidence`].
    pub fn crash_findings(&self, pool: &Name) -> Vec<CrashFinding> {
        let findings = self.findings.read();
        let findings = findings.unwrap_or_else(|poisoned| poisoned.into_inner());
        findings.get(pool).cloned().unwrap_or_default()
    }

    /// Sets the evidence of all VMs, which the scheduler of a shard receives when it is created.
    pub(crate) fn set_evidence(&self, findings: Vec<CrashFinding>) {
        let evidence = self.evidence.write();
        *evidence.unwrap_or_else(|poisoned| poisoned.into_inner()) = findings;
    }

    fn evidence(&self) -> Vec<CrashFinding> {
        let evidence = self.evidence.read();
        evidence
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    fn set_findings(&self, pool: &Name, findings: Vec<CrashFinding>) {
        let all = self.findings.write();
        let mut all = all.unwrap_or_else(|poisoned| poisoned.into_inner());
        all.insert(pool.clone(), findings);
    }

    /// Drops the requests of a process that is gone.
    pub(crate) fn notify_member_gone(&self, incarnation: u64) {
        self.send(Message::MemberGone { incarnation });
    }

    /// Passes on what another VM asks.
    pub(crate) async fn submit_peer_request(&self, request: PeerRequest) {
        self.put(Message::PeerRequest(request)).await;
    }

    /// Passes on the answer of another VM.
    pub(crate) async fn deliver_reply(&self, tag: ReplyTag, result: peer::Result<Answer>) {
        self.put(Message::Replied { tag, result }).await;
    }

    /// Passes on the order of an owner to give a slot back.
    pub(crate) async fn notify_preempted(&self, ticket: TicketId) {
        self.put(Message::Preempted { ticket }).await;
    }

    /// Notes that there is a new connection to a process.
    pub(crate) async fn notify_connected(&self, incarnation: u64) {
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
            Message::Enqueue {
                pool,
                request,
                orders,
            } => self.enqueue(&pool, *request, orders),
            Message::Input { pool, input } => self.input(&pool, input),
            Message::Leave { ticket } => self.leave(ticket),
            Message::PeerRequest(request) => self.serve(request),
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
            self.own.retain(|_, own| {
                let is_kept = pools.contains_key(&own.shard.pool);
                if !is_kept && own.phase == Phase::Waiting {
                    let _ = own.orders.try_send(unknown_pool_refusal());
                }
                is_kept
            });
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

    fn choose_seat(&mut self, shard: &Shard) -> Seat {
        let (shared, view) = (&self.shared, &self.view);
        self.seats
            .entry(shard.clone())
            .or_insert_with(|| locate_scheduler(shared, view, shard))
            .clone()
    }
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

fn scheduler_config(pool: &Pool) -> Config {
    let slots_min = pool
        .endpoints
        .iter()
        .map(|endpoint| endpoint.slots_min)
        .min();
    Config {
        policy: pool.policy,
        reserved_slots: pool.reserved_slots,
        queue_max: pool.queue_max,
        preempt_max: pool.preempt_max,
        slots_min: slots_min.unwrap_or(1),
        slow_factor: pool.slow_factor as f32,
        eject_share_max: pool.eject_share_max,
        probe_interval_ms: pool.probe_interval_ms,
        poison_endpoints_max: pool.poison_endpoints_max,
        ..Config::default()
    }
}

fn endpoint_specs(pool: &Pool) -> Vec<EndpointSpec> {
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
