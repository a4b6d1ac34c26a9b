//! Delivers the ends of claims to the VMs that own their ranges, and tries again within a bound.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use waxwing_wire::claim::ClaimRequest;
use waxwing_wire::claim::Settlement;

use crate::peer::CALL_TIMEOUT_MS;
use crate::peer::Call;
use crate::shared::Shared;

use super::Route;
use super::claim_key;
use super::counters;
use super::find_route;

/// Notices that may wait for delivery.
pub(super) const NOTICES_MAX: usize = 1_024;

/// Threads that deliver, so that one silent peer does not hold up the notices for the others.
const THREADS: usize = 4;

/// Time after which an undelivered notice is dropped, in milliseconds.
///
/// A silent owner is replaced after 6 s, and its successor needs some time to take the range over.
const DELIVERY_MAX_MS: u64 = 20_000;

/// Pause after a failed delivery, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// What the owner of a range has to learn about a claim.
#[derive(Clone, Debug)]
pub(super) enum Notice {
    /// A granted claim ended.
    Settle(Settlement),
    /// A request ended without an answer to its wish and will not send its call.
    GiveUp(ClaimRequest),
}

/// A notice and the time after which it is dropped.
#[derive(Debug)]
pub(super) struct Delivery {
    notice: Notice,
    until: Instant,
}

impl Delivery {
    pub(super) fn new(notice: Notice) -> Self {
        let until = Instant::now() + Duration::from_millis(DELIVERY_MAX_MS);
        Self { notice, until }
    }
}

/// Starts the threads that deliver.
pub(super) fn start(shared: &Arc<Shared>, deliveries: &Receiver<Delivery>) {
    for _ in 0..THREADS {
        let shared = Arc::clone(shared);
        let deliveries = deliveries.clone();
        thread::spawn(move || {
            for delivery in &deliveries {
                attempt(&shared, delivery);
            }
        });
    }
}

fn attempt(shared: &Shared, delivery: Delivery) {
    if try_once(shared, &delivery.notice) {
        shared.claims.undelivered.fetch_sub(1, Ordering::SeqCst);
        return;
    }
    counters::count_delivery_retry();
    thread::sleep(Duration::from_millis(RETRY_PAUSE_MS));
    let is_expired = Instant::now() >= delivery.until;
    if is_expired || shared.claims.deliveries.try_send(delivery).is_err() {
        shared.claims.undelivered.fetch_sub(1, Ordering::SeqCst);
        counters::count_lost_settlement();
        log::warn!("the end of a claim did not reach the owner of its range");
    }
}

/// Passes a notice to the process that owns the range now, and returns whether that process took it.
fn try_once(shared: &Shared, notice: &Notice) -> bool {
    let range = notice.range();
    let member = match find_route(shared, range) {
        Route::Remote(member) if !shared.claims.is_in_use(range) => member,
        _ => return shared.claims.take_here(notice),
    };
    let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
    let result = shared.peers.call(&member.name, notice.to_call(), timeout);
    result.is_ok()
}

impl Notice {
    pub(super) fn range(&self) -> u8 {
        match self {
            Self::Settle(settlement) => settlement.grant.range,
            Self::GiveUp(request) => claim_key(&request.organisation, request.key).range(),
        }
    }

    fn to_call(&self) -> Call {
        match self {
            Self::Settle(settlement) => Call::Settle(settlement.clone()),
            Self::GiveUp(request) => Call::Claim(ClaimRequest {
                wait_ms: 0,
                ..request.clone()
            }),
        }
    }
}
