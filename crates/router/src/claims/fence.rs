//! Raises fencing tokens at endpoints.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use waxwing_wire::claim_record::stream_name;
use waxwing_wire::platform::Order;
use waxwing_wire::platform::OrderKind;

use crate::shared::Shared;
use crate::transport::log_client::new_session;

use super::counters;

/// Time for an endpoint's answer to an order, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 2_000;

/// Pause between rounds over the endpoints that have not confirmed, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// Raises the fencing token of a range at every endpoint that checks fencing, then calls `confirm`.
///
/// Retries until all have confirmed or `is_cancelled` is set.
pub(super) fn start(
    shared: Arc<Shared>,
    range: u8,
    fence: u64,
    is_cancelled: Arc<AtomicBool>,
    confirm: impl FnOnce() + Send + 'static,
) {
    thread::spawn(move || {
        let mut confirmed = BTreeSet::new();
        while !is_cancelled.load(Ordering::Relaxed) {
            if raise_all(&shared, range, fence, &mut confirmed) {
                return confirm();
            }
            thread::sleep(Duration::from_millis(RETRY_PAUSE_MS));
        }
    });
}

/// Sends one round of orders and returns whether all endpoints of the current settings have confirmed.
fn raise_all(shared: &Shared, range: u8, fence: u64, confirmed: &mut BTreeSet<String>) -> bool {
    let view = shared.view();
    let mut is_complete = true;
    for pool in view.settings.pools.values() {
        for endpoint in &pool.endpoints {
            if !endpoint.checks_fencing || confirmed.contains(&endpoint.address) {
                continue;
            }
            if raise(&endpoint.address, range, fence) {
                confirmed.insert(endpoint.address.clone());
            } else {
                is_complete = false;
            }
        }
    }
    is_complete
}

fn raise(address: &str, range: u8, fence: u64) -> bool {
    let order = Order {
        kind: OrderKind::RaiseFence,
        fence,
        scope: stream_name(range),
    };
    let body = serde_json::to_vec(&order).unwrap_or_default();
    let url = format!("http://{address}/orders");
    let request = new_session(ANSWER_TIMEOUT_MS)
        .post(url)
        .header("Content-Type", "application/json")
        .bytes(body);
    let result = match request.send() {
        Ok(response) if response.is_success() => "confirmed",
        Ok(_) => "rejected",
        Err(_) => "failed",
    };
    counters::count_fence_order(result);
    result == "confirmed"
}
