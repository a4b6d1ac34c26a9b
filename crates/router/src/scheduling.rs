//! The scheduler thread and the handle through which request threads use it.
//!
//! The thread keeps the requests of this VM, the schedulers of the shards that this VM owns, and the requests of other
//! VMs that wait in those schedulers. A request of this VM whose shard another member owns is enqueued at that member.

mod local_requests;
mod local_shards;
mod outbox;
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
use crate::scheduling::local_requests::LocalRequest;
use crate::scheduling::local_requests::Phase;
use crate::scheduling::local_requests::SchedulerLocation;
use crate::scheduling::local_requests::locate_scheduler;
use crate::scheduling::local_requests::unknown_pool_refusal;
use crate::scheduling::local_shards::LocalShard;
use crate::scheduling::outbox::Outbox;
use crate::shared::Shared;
use crate::shared::View;

pub(crate) use crate::scheduling::shard::is_scheduled_by;
pub(crate) use crate::scheduling::shard::pool_owners;

/// Capacity of the scheduler thread's message queue.
const INPUTS_MAX: usize = 4_096;

/// Capacity of a request's command queue; a request has at most one grant and one preemption outstanding.
const ORDERS_MAX: usize = 4;

/// Time between ticks of a scheduler, in milliseconds.
const TICK_MS: u64 = 10;

/// Time between publications of counters and gauges, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 1_000;

/// Time between checks for requests of processes that are not members, in milliseconds.
const ORPHANS_INTERVAL_MS: u64 = 1_000;

/// A command from the scheduler to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotCommand {
    /// Call this endpoint now.
    Grant {
        /// Endpoint.
        endpoint: Name,
        /// IP address and port.
        address: String,
    },
    /// Stop waiting: no slot will be granted.
    Refuse {
        /// Reason of the refusal.
        reason: Reason,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Release the slot.
    Preempt,
}

/// A request from another VM to the schedulers of this VM.
#[derive(Debug)]
pub(crate) enum PeerRequest {
    /// Queues a request for a slot.
    Enqueue {
        shard: Shard,
        request: Box<RemoteSlotRequest>,
        skipped: Vec<Name>,
        answer: Sender<Verdict>,
    },
    /// Cancels a waiting or running request.
    Cancel { shard: Shard, ticket: TicketId },
    /// Registers a request that already runs, so that its slot is counted.
    Adopt {
        shard: Shard,
        request: Box<RemoteSlotRequest>,
        endpoint: Name,
    },
    /// Observations of running requests.
    Report(Vec<Report>),
}

/// Identifies the call that a reply of another VM belongs to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ReplyTag {
    /// An enqueue, with the sequence number of the placement.
    Enqueue { ticket: TicketId, placement: u64 },
    /// A cancellation; it frees a slot, so it is repeated as a report if the call fails.
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
        commands: Sender<SlotCommand>,
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

/// Handle to the scheduler thread.
#[derive(Clone, Debug)]
pub struct SchedulerHandle {
    messages: Sender<Message>,
    lost_connections: (Sender<()>, Receiver<()>),
    findings: Arc<RwLock<HashMap<Name, Vec<CrashFinding>>>>,
    evidence: Arc<RwLock<Vec<CrashFinding>>>,
}

/// The receiving end of [`SchedulerHandle`], for the thread.
#[derive(Debug)]
pub struct Inbox {
    messages: Receiver<Message>,
}

impl SchedulerHandle {
    /// Creates a handle and the inbox of its thread.
    pub fn new() -> (Self, Inbox) {
        let (sender, receiver) = flume::bounded(INPUTS_MAX);
        let scheduling = Self {
            messages: sender,
            lost_connections: flume::bounded(1),
            findings: Arc::default(),
            evidence: Arc::default(),
        };
        (scheduling, Inbox { messages: receiver })
    }

    /// Requests a slot; commands for the request arrive on the returned channel.
    pub fn enqueue(&self, pool: &Name, request: SlotRequest) -> Receiver<SlotCommand> {
        let (commands, receiver) = flume::bounded(ORDERS_MAX);
        self.send(Message::Enqueue {
            pool: pool.clone(),
            request: Box::new(request),
            commands,
        });
        receiver
    }

    /// Cancels a request that waits or runs, and stops sending it commands.
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

    /// Waits until a connection to an endpoint is lost, so that a crash is detected before the next regular probe.
    pub fn wait_for_lost_connection(&self, timeout: Duration) {
        let _ = self.lost_connections.1.recv_timeout(timeout);
    }

    fn note_lost_connection(&self) {
        // The channel holds one notification; if it is full, the pending one covers this loss too.
        let _ = self.lost_connections.0.try_send(());
    }

    /// Returns the findings on contents that crash endpoints of a pool, at most a second old.
    ///
    /// Findings of other VMs are passed in as [`Input::Evidence`].
    pub fn crash_findings(&self, pool: &Name) -> Vec<CrashFinding> {
        let findings = self.findings.read();
        let findings = findings.unwrap_or_else(|poisoned| poisoned.into_inner());
        findings.get(pool).cloned().unwrap_or_default()
    }

    /// Sets the crash findings of all VMs, which the scheduler of a shard receives when it is created.
    pub(crate) fn set_evidence(&self, findings: Vec<CrashFinding>) {
        let evidence = self.evidence.write();
        *evidence.unwrap_or_else(|poisoned| poisoned.into_inner()) = findings;
    }

    fn crash_evidence(&self) -> Vec<CrashFinding> {
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

    /// Reports that a process has left, so that its requests are dropped.
    pub(crate) fn notify_member_gone(&self, incarnation: u64) {
        self.send(Message::MemberGone { incarnation });
    }

    /// Forwards a request of another VM to the thread.
    pub(crate) async fn submit_peer_request(&self, request: PeerRequest) {
        self.send_async(Message::PeerRequest(request)).await;
    }

    /// Forwards the reply of another VM to the thread.
    pub(crate) async fn deliver_reply(&self, tag: ReplyTag, result: peer::Result<Answer>) {
        self.send_async(Message::Replied { tag, result }).await;
    }

    /// Reports that the owner of the shard has preempted a request.
    pub(crate) async fn notify_preempted(&self, ticket: TicketId) {
        self.send_async(Message::Preempted { ticket }).await;
    }

    /// Reports a new connection to a process.
    pub(crate) async fn notify_connected(&self, incarnation: u64) {
        self.send_async(Message::Connected { incarnation }).await;
    }

    fn send(&self, message: Message) {
        // The thread runs until the process exits, so a failed send can be ignored.
        let _ = self.messages.send(message);
    }

    async fn send_async(&self, message: Message) {
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
    local_shards: HashMap<Shard, LocalShard>,
    local_requests: HashMap<TicketId, LocalRequest>,
    /// Requests of other VMs that wait in the schedulers of this VM.
    waiting: HashMap<TicketId, Sender<Verdict>>,
    outboxes: HashMap<Name, Outbox>,
    /// Scheduler of each shard in the current view.
    locations: HashMap<Shard, SchedulerLocation>,
    placements: u64,
    /// Processes that are not members but have requests here, with the time at which each was first found.
    orphans: HashMap<u64, u64>,
    next_orphans_ms: u64,
}

fn run(shared: Arc<Shared>, inbox: &Inbox) {
    let mut state = State {
        view: Arc::new(View::default()),
        shared,
        local_shards: HashMap::new(),
        local_requests: HashMap::new(),
        waiting: HashMap::new(),
        outboxes: HashMap::new(),
        locations: HashMap::new(),
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
                commands,
            } => self.enqueue(&pool, *request, commands),
            Message::Input { pool, input } => self.input(&pool, input),
            Message::Leave { ticket } => self.leave(ticket),
            Message::PeerRequest(request) => self.serve(request),
            Message::Replied { tag, result } => self.handle_reply(tag, result),
            Message::Preempted { ticket } => self.preempted(ticket),
            Message::Connected { incarnation } => self.adopt_again(incarnation),
            Message::MemberGone { incarnation } => self.member_gone(incarnation),
        }
    }

    /// Applies a new view of settings and members.
    fn refresh(&mut self) {
        let view = self.shared.view();
        if Arc::ptr_eq(&view, &self.view) {
            return;
        }
        let old = std::mem::replace(&mut self.view, view);
        let has_new_settings = old.settings_version != self.view.settings_version;
        if has_new_settings {
            let pools = &self.view.settings.pools;
            self.local_shards
                .retain(|shard, _| pools.contains_key(&shard.pool));
            self.local_requests.retain(|_, local_request| {
                let is_kept = pools.contains_key(&local_request.shard.pool);
                if !is_kept && local_request.phase == Phase::Waiting {
                    let _ = local_request.commands.try_send(unknown_pool_refusal());
                }
                is_kept
            });
        }
        if has_new_settings || old.leaving != self.view.leaving {
            let shards: Vec<Shard> = self.local_shards.keys().cloned().collect();
            for shard in shards {
                self.set_endpoints(&shard);
            }
        }
        if has_new_settings || !has_same_owners(&old, &self.view) {
            self.reassign_requests();
        }
    }

    fn tick(&mut self, now_ms: u64) {
        let shards: Vec<Shard> = self.local_shards.keys().cloned().collect();
        for shard in shards {
            self.end_pause(&shard, now_ms);
            let is_busy = |local: &LocalShard| !local.tickets.is_empty();
            if self.local_shards.get(&shard).is_some_and(is_busy)
                || self.scheduler_location(&shard) == SchedulerLocation::Local
            {
                self.step(&shard, Input::Tick);
            }
        }
        let mut unplaced = Vec::new();
        for (ticket, local_request) in &self.local_requests {
            if let SchedulerLocation::Unassigned { at_ms } = local_request.location
                && local_request.phase == Phase::Waiting
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

    fn scheduler_location(&mut self, shard: &Shard) -> SchedulerLocation {
        let (shared, view) = (&self.shared, &self.view);
        self.locations
            .entry(shard.clone())
            .or_insert_with(|| locate_scheduler(shared, view, shard))
            .clone()
    }
}

/// Returns whether the two views give every shard the same owner.
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
