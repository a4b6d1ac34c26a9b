//! The claims thread and the access that request threads and the peer server have to it.

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

/// Time beyond the wait of a request in which the owner's own answer may still arrive, in milliseconds.
const ANSWER_GRACE_MS: u64 = 250;

/// Time between looks at the undelivered ends of claims during a planned stop, in milliseconds.
const DELIVERY_POLL_MS: u64 = 20;

/// Time after which a refused request may come back, in milliseconds.
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
        /// Number of the use of the range; events of an earlier use are dropped.
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

/// Process that decides about a key range.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// This process.
    Local,
    /// Another VM.
    Remote(Member),
}

/// Access to the claims thread.
#[derive(Clone, Debug)]
pub struct ClaimsHandle {
    messages: Sender<Message>,
    /// One bit for each range that the claims thread has in use.
    in_use: Arc<AtomicU8>,
    /// Ends of claims that other VMs have to learn.
    deliveries: Sender<Delivery>,
    /// Number of deliveries that have not ended.
    undelivered: Arc<AtomicUsize>,
}

/// The other end of [`ClaimsHandle`], for the thread.
#[derive(Debug)]
pub struct Inbox {
    messages: Receiver<Message>,
    deliveries: Receiver<Delivery>,
}

impl ClaimsHandle {
    /// Creates the access and the inbox of its thread.
    pub fn new() -> (Self, Inbox) {
        let (sender, receiver) = flume::bounded(MESSAGES_MAX);
        let (delivery_sender, deliveries) = flume::bounded(delivery::NOTICES_MAX);
        let claims = Self {
            messages: sender,
            in_use: Arc::default(),
            deliveries: delivery_sender,
            undelivered: Arc::default(),
        };
        let inbox = Inbox {
            messages: receiver,
            deliveries,
        };
        (claims, inbox)
    }

    /// Asks the owner of the key's range for a claim and waits for its answer, at most `wait_ms` and a short grace.
    pub fn claim(&self, shared: &Shared, request: &ClaimRequest) -> ClaimVerdict {
        let range = claim_key(&request.organisation, request.key).range();
        let verdict = match find_route(shared, range) {
            Route::Local => self.claim_and_wait(request),
            Route::Remote(member) => remote::claim(shared, &member, request),
        };
        counters::count_verdict(&verdict);
        verdict
    }

    /// Tells the owner of the key's range what became of a granted claim.
    ///
    /// An outcome is valid whoever writes it, so this process writes it itself while it has the range in use.
    pub fn settle(&self, shared: &Shared, settlement: Settlement) {
        let range = settlement.grant.range;
        match find_route(shared, range) {
            Route::Remote(_) if !self.is_in_use(range) => {
                self.deliver(Notice::Settle(settlement));
            }
            _ => self.settle_here(settlement),
        }
    }

    /// Asks this process for a claim; the answer arrives on the returned channel, also for the peer server.
    pub fn claim_here(&self, request: &ClaimRequest) -> Receiver<ClaimVerdict> {
        let (reply, receiver) = flume::bounded(1);
        let message = Message::Claim {
            request: Box::new(request.clone()),
            reply: reply.clone(),
        };
        if !self.send(message) {
            let message = "too many requests wait for a claim";
            // An earlier request with the key may have run; only the owner of the range could tell.
            let refusal = Refusal::may_have_run(Reason::QueueFull, RETRY_AFTER_MS, message);
            // The receiver is held by this function, so that the channel takes the answer.
            let _ = reply.try_send(ClaimVerdict::Refused(refusal));
        }
        receiver
    }

    /// Tells this process that a request will not send its call, whatever the answer to its wish.
    pub fn give_up_here(&self, request: &ClaimRequest) {
        let key = claim_key(&request.organisation, request.key);
        let claimant = request.claimant;
        self.send(Message::GiveUp { key, claimant });
    }

    /// Tells this process what became of a granted claim.
    pub fn settle_here(&self, settlement: Settlement) {
        counters::count_settlement(&settlement.result);
        self.send(Message::Settle(Box::new(settlement)));
    }

    /// Releases all ranges of this process and waits until the log has confirmed it, at most `wait_ms`.
    ///
    /// Ends of claims that other VMs have to learn are delivered first, in the same time. Returns whether everything was
    /// handed over.
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

    /// Passes the end of a claim on to the owner of its range, without waiting.
    fn deliver(&self, notice: Notice) {
        self.undelivered.fetch_add(1, Ordering::SeqCst);
        let delivery = Delivery::new(notice);
        if self.deliveries.try_send(delivery).is_err() {
            self.undelivered.fetch_sub(1, Ordering::SeqCst);
            counters::count_lost_settlement();
            log::warn!("too many ends of claims wait for the owners of their ranges");
        }
    }

    /// Takes the end of a claim if this process has the range in use, and returns whether it did.
    fn take_here(&self, notice: &Notice) -> bool {
        if !self.is_in_use(notice.range()) {
            return false;
        }
        match notice {
            Notice::Settle(settlement) => self.settle_here(settlement.clone()),
            Notice::GiveUp(request) => self.give_up_here(request),
        }
        true
    }

    fn claim_and_wait(&self, request: &ClaimRequest) -> ClaimVerdict {
        let wait = Duration::from_millis(request.wait_ms + ANSWER_GRACE_MS);
        let answer = self.claim_here(request).recv_timeout(wait);
        answer.unwrap_or_else(|_| {
            self.give_up_here(request);
            let message = "the claim was not confirmed in time";
            // An earlier request with the key may have run; only the owner of the range could tell.
            let refusal = Refusal::may_have_run(Reason::LogUnavailable, RETRY_AFTER_MS, message);
            ClaimVerdict::Refused(refusal)
        })
    }

    fn is_in_use(&self, range: u8) -> bool {
        self.in_use.load(Ordering::Relaxed) & range_bit(range) != 0
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

/// Returns which process decides about a range, as far as this VM knows; only the log makes it exact.
pub fn find_route(shared: &Shared, range: u8) -> Route {
    let view = shared.view();
    let preferred = preferred_owner(&view, &shared.config.vm.name, range);
    let other = view.members.iter().find(|member| member.name == preferred);
    match other {
        Some(member) if member.name != shared.config.vm.name => Route::Remote(member.clone()),
        _ => Route::Local,
    }
}

/// Returns the first VM in rendezvous order that is not draining and can be reached, or `own` if there is none.
///
/// A killed VM refuses connections seconds before it counts as gone. The log decides about the owner, so an early
/// takeover is safe.
fn preferred_owner(view: &View, own: &Name, range: u8) -> Name {
    let is_candidate = |member: &&Member| !member.is_draining && member.is_reachable;
    let candidates = view.members.iter().filter(is_candidate);
    let names = candidates.map(|member| &member.name);
    let order = rendezvous::rank_candidates(&waxwing_wire::claim_record::stream_name(range), names);
    order
        .first()
        .map_or_else(|| own.clone(), |name| (*name).clone())
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
