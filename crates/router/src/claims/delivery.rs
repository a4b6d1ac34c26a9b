//! Delivers settlements and give-ups to the VMs that own the key ranges, with retries until an expiry time.

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

/// Delivery threads; several, so that one unresponsive peer does not delay the notices to the others.
const THREADS: usize = 4;

/// Time after which an undelivered notice is dropped, in milliseconds.
///
/// An owner that stops sending heartbeats is replaced after 6 s, and its successor needs time to take the range over.
const DELIVERY_MAX_MS: u64 = 20_000;

/// Pause after a failed delivery, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// A notice to the owner of a range about the end of a claim.
#[derive(Clone, Debug)]
pub(super) enum Notice {
    /// A granted claim ended.
    Settle(Settlement),
    /// A request ended before its claim was decided and will not send its call.
    GiveUp(ClaimRequest),
}

/// A queued notice and the time after which it is dropped.
#[derive(Debug)]
pub(super) struct Delivery {
    notice: Notice,
    expires_at: Instant,
}

impl Delivery {
    pub(super) fn new(notice: Notice) -> Self {
        let expires_at = Instant::now() + Duration::from_millis(DELIVERY_MAX_MS);
        Self { notice, expires_at }
    }
}

/// Starts the delivery threads.
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
    let is_expired = Instant::now() >= delivery.expires_at;
    if is_expired || shared.claims.deliveries.try_send(delivery).is_err() {
        shared.claims.undelivered.fetch_sub(1, Ordering::SeqCst);
        counters::count_lost_settlement();
        log::warn!("a notice about the end of a claim did not reach the owner of its range");
    }
}

/// Sends a notice to the current owner of its range, and returns whether the owner accepted it.
fn try_once(shared: &Shared, notice: &Notice) -> bool {
    let range = notice.range();
    let member = match find_route(shared, range) {
        Route::Remote(member) if !shared.claims.is_open(range) => member,
        _ => return shared.claims.apply_local(notice),
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
