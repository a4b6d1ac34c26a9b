//! Claims of idempotency keys: the claims thread and the handle by which request threads and the peer server reach it.

mod counters;
mod delivery;
mod fence;
mod range;
mod remote;
mod serve;
mod worker;

use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use flume::Sender;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::coordination::claim_owner::Input;
use waxwing_core::coordination::rendezvous;
use waxwing_core::state::claims::ClaimKey;
use waxwing_wire::claim::ClaimRequest;
use waxwing_wire::claim::ClaimVerdict;
use waxwing_wire::claim::Settlement;

use crate::shared::Member;
use crate::shared::Shared;
use crate::shared::View;

use self::delivery::Delivery;
use self::delivery::Notice;

pub(crate) use self::worker::may_use_memory;

/// Messages that may wait for the claims thread.
const MESSAGES_MAX: usize = 4_096;

/// Time for a message to enter the queue of the claims thread, in milliseconds.
const SEND_TIMEOUT_MS: u64 = 1_000;

/// Extra time for the owner's answer to arrive after a request's `wait_ms`, in milliseconds.
const ANSWER_GRACE_MS: u64 = 250;

/// Interval at which a planned stop checks for undelivered notices, in milliseconds.
const DELIVERY_POLL_MS: u64 = 20;

/// Retry delay that a refused request is given, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

#[derive(Debug)]
enum Message {
    Claim {
        request: Box<ClaimRequest>,
        reply: Sender<ClaimVerdict>,
    },
    GiveUp {
        key: ClaimKey,
        claimant: u64,
    },
    Settle(Box<Settlement>),
    /// An event from a thread that serves one range.
    Range {
        range: u8,
        /// Incremented each time the range is opened; events with an earlier value are dropped.
        epoch: u64,
        input: Box<Input>,
    },
    Retention {
        retention_ms: u64,
    },
    Stop {
        done: Sender<()>,
    },
}

/// Process that owns a key range.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// This process.
    Local,
    /// Another VM.
    Remote(Member),
}

/// Handle to the claims thread.
#[derive(Clone, Debug)]
pub struct ClaimsHandle {
    messages: Sender<Message>,
    /// Bit set of the ranges that the claims thread has open.
    open_ranges: Arc<AtomicU8>,
    /// Notices for the owners of ranges on other VMs.
    deliveries: Sender<Delivery>,
    /// Number of deliveries that are queued or in progress.
    undelivered: Arc<AtomicUsize>,
}

/// Receivers of what [`ClaimsHandle`] sends.
#[derive(Debug)]
pub struct Inbox {
    messages: Receiver<Message>,
    deliveries: Receiver<Delivery>,
}

impl ClaimsHandle {
    /// Creates a handle and the inbox of its threads.
    pub fn new() -> (Self, Inbox) {
        let (sender, receiver) = flume::bounded(MESSAGES_MAX);
        let (delivery_sender, deliveries) = flume::bounded(delivery::NOTICES_MAX);
        let claims = Self {
            messages: sender,
            open_ranges: Arc::default(),
            deliveries: delivery_sender,
            undelivered: Arc::default(),
        };
        let inbox = Inbox {
            messages: receiver,
            deliveries,
        };
        (claims, inbox)
    }

    /// Requests a claim from the owner of the key's range.
    ///
    /// Waits for the answer for at most the `wait_ms` of the request and a short grace period.
    pub fn claim(&self, shared: &Shared, request: &ClaimRequest) -> ClaimVerdict {
        let range = claim_key(&request.organisation, request.key).range();
        let verdict = match find_route(shared, range) {
            Route::Local => self.claim_and_wait(request),
            Route::Remote(member) => remote::claim(shared, &member, request),
        };
        counters::count_verdict(&verdict);
        verdict
    }

    /// Sends the outcome of a granted claim to the owner of the key's range.
    ///
    /// The log accepts an outcome from any process, so this process records it itself while it has the range open.
    pub fn settle(&self, shared: &Shared, settlement: Settlement) {
        let range = settlement.grant.range;
        match find_route(shared, range) {
            Route::Remote(_) if !self.is_open(range) => {
                self.deliver(Notice::Settle(settlement));
            }
            _ => self.settle_local(settlement),
        }
    }

    /// Requests a claim from this process, for a local request or a peer; the answer arrives on the returned channel.
    pub fn claim_local(&self, request: &ClaimRequest) -> Receiver<ClaimVerdict> {
        let (reply, receiver) = flume::bounded(1);
        let message = Message::Claim {
            request: Box::new(request.clone()),
            reply: reply.clone(),
        };
        if !self.send(message) {
            let message = "too many requests wait for a claim";
            // An earlier request with the key may have run; only the owner of the range could tell.
            let refusal = Refusal::may_have_run(Reason::QueueFull, RETRY_AFTER_MS, message);
            // This function holds the receiver, so the channel has room for the answer.
            let _ = reply.try_send(ClaimVerdict::Refused(refusal));
        }
        receiver
    }

    /// Gives up a claim in this process: the request will not send its call, even if the claim is granted.
    pub fn give_up_local(&self, request: &ClaimRequest) {
        let key = claim_key(&request.organisation, request.key);
        let claimant = request.claimant;
        self.send(Message::GiveUp { key, claimant });
    }

    /// Records the outcome of a granted claim in this process.
    pub fn settle_local(&self, settlement: Settlement) {
        counters::count_settlement(&settlement.result);
        self.send(Message::Settle(Box::new(settlement)));
    }

    /// Releases all ranges of this process and waits until the log has confirmed it.
    ///
    /// Pending notices to other VMs are delivered first. Each of the two steps takes at most `wait_ms`. Returns whether
    /// the ranges were handed over.
    pub fn release(&self, wait_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        while self.undelivered.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(DELIVERY_POLL_MS));
        }
        let (done, receiver) = flume::bounded(1);
        self.send(Message::Stop { done });
        receiver
            .recv_timeout(Duration::from_millis(wait_ms))
            .is_ok()
    }

    /// Queues a notice for the owner of its range, without waiting.
    fn deliver(&self, notice: Notice) {
        self.undelivered.fetch_add(1, Ordering::SeqCst);
        let delivery = Delivery::new(notice);
        if self.deliveries.try_send(delivery).is_err() {
            self.undelivered.fetch_sub(1, Ordering::SeqCst);
            counters::count_lost_settlement();
            log::warn!("the delivery queue is full; dropped a notice about the end of a claim");
        }
    }

    /// Applies a notice if this process has its range open, and returns whether it did.
    fn apply_local(&self, notice: &Notice) -> bool {
        if !self.is_open(notice.range()) {
            return false;
        }
        match notice {
            Notice::Settle(settlement) => self.settle_local(settlement.clone()),
            Notice::GiveUp(request) => self.give_up_local(request),
        }
        true
    }

    fn claim_and_wait(&self, request: &ClaimRequest) -> ClaimVerdict {
        let wait = Duration::from_millis(request.wait_ms + ANSWER_GRACE_MS);
        let answer = self.claim_local(request).recv_timeout(wait);
        answer.unwrap_or_else(|_| {
            self.give_up_local(request);
            let message = "the claim was not confirmed in time";
            // An earlier request with the key may have run; only the owner of the range could tell.
            let refusal = Refusal::may_have_run(Reason::LogUnavailable, RETRY_AFTER_MS, message);
            ClaimVerdict::Refused(refusal)
        })
    }

    fn is_open(&self, range: u8) -> bool {
        self.open_ranges.load(Ordering::Relaxed) & range_bit(range) != 0
    }

    fn send(&self, message: Message) -> bool {
        let timeout = Duration::from_millis(SEND_TIMEOUT_MS);
        let is_sent = self.messages.send_timeout(message, timeout).is_ok();
        if !is_sent {
            counters::count_dropped_message();
        }
        is_sent
    }
}

/// Starts the claims thread.
pub fn start(shared: Arc<Shared>, inbox: Inbox) {
    delivery::start(&shared, &inbox.deliveries);
    serve::start(&shared);
    thread::spawn(move || worker::run(&shared, &inbox.messages));
}

/// Returns the process that owns a range according to this VM's membership view; only the log is authoritative.
pub fn find_route(shared: &Shared, range: u8) -> Route {
    let view = shared.view();
    let preferred = preferred_owner(&view, &shared.config.vm.name, range);
    let other = view.members.iter().find(|member| member.name == preferred);
    match other {
        Some(member) if member.name != shared.config.vm.name => Route::Remote(member.clone()),
        _ => Route::Local,
    }
}

/// Returns the first reachable VM in rendezvous order that is not draining, or `local_vm` if there is none.
///
/// A killed VM refuses connections seconds before its heartbeat times out. Taking its ranges over at once is safe, since
/// the log decides who owns a range.
fn preferred_owner(view: &View, local_vm: &Name, range: u8) -> Name {
    let is_candidate = |member: &&Member| !member.is_draining && member.is_reachable;
    let candidates = view.members.iter().filter(is_candidate);
    let names = candidates.map(|member| &member.name);
    let order = rendezvous::rank_candidates(&waxwing_wire::claim_record::stream_name(range), names);
    order
        .first()
        .map_or_else(|| local_vm.clone(), |name| (*name).clone())
}

fn range_bit(range: u8) -> u8 {
    1_u8.checked_shl(range.into()).unwrap_or(0)
}

fn claim_key(organisation: &str, key: uuid::Uuid) -> ClaimKey {
    ClaimKey {
        organisation: organisation.into(),
        key,
    }
}
