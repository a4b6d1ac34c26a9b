//! Tells crashes of endpoints from connections that ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use waxwing_core::Name;
use waxwing_core::forwarding::EndpointKey;
use waxwing_core::forwarding::endpoints::notices::Incarnation;
use waxwing_core::state::evidence::ContentHash;

use crate::client::Connection;
use crate::exchange::Exchange;
use crate::exchange::send::Framing;
use crate::exchange::send::RunGuard;
use crate::gateway::Gateway;

/// Time for a connection to an endpoint that may have crashed, in milliseconds.
const PROBE_MS: u64 = 250;

/// Delay before an endpoint that broke a connection is probed with a new one, in milliseconds.
const CRASH_CHECK_MS: u64 = 100;

/// Pause between the two probes of an endpoint whose answer ended with its connection, in milliseconds.
///
/// An endpoint that ends may close a connection a little earlier than the socket that it listens on.
const SECOND_PROBE_MS: u64 = 30;

/// Returns whether nobody listens at an address; `false` if that is not certain.
async fn is_refused(gateway: &Gateway, address: SocketAddr) -> bool {
    match Connection::open(gateway.executor.requests(), address, PROBE_MS).await {
        Ok(_) => false,
        Err(error) => error.is_refused(),
    }
}

/// Returns whether nobody listens at an address, now or a moment later.
async fn is_gone(gateway: &Gateway, address: SocketAddr) -> bool {
    if is_refused(gateway, address).await {
        return true;
    }
    Timer::after(Duration::from_millis(SECOND_PROBE_MS)).await;
    is_refused(gateway, address).await
}

impl Exchange {
    /// Returns whether an answer that ended may have been broken off.
    ///
    /// The end of a connection can follow a reset that a write has received, so an answer that ends with its connection
    /// is complete only if the request had been written to its end. Otherwise its endpoint may have ended.
    pub(crate) async fn is_cut(&self, run: &RunGuard) -> bool {
        if run.framing != Some(Framing::Connection) {
            return false;
        }
        if !run.is_request_written() {
            let endpoint = run.endpoint_id.as_str();
            log::info!(
                event = "answer_before_request", request = self.trace.request_id(), endpoint = endpoint;
                "the connection ended with the answer before the request was written"
            );
            return true;
        }
        self.is_usable(run) && is_gone(&self.gateway, run.address).await
    }

    /// Returns whether the endpoint of a run is not about to leave.
    fn is_usable(&self, run: &RunGuard) -> bool {
        let endpoints = self.gateway.endpoints.borrow();
        let endpoint = endpoints.get(run.endpoint);
        endpoint.is_some_and(|endpoint| endpoint.is_usable())
    }

    /// Checks whether an endpoint that broke a connection has crashed, and if so records the content, and the parts of a
    /// prompt that it had only begun to answer, as suspects.
    pub(super) fn check_for_crash(&mut self, run: &RunGuard) {
        let lost_at_ms = self.gateway.clock.now_ms();
        let is_suspect = !run.is_established(lost_at_ms) && self.is_usable(run);
        let checked = is_suspect.then(|| self.begin_crash_check());
        let crash = Crash {
            gateway: Rc::clone(&self.gateway),
            endpoint: run.endpoint,
            endpoint_id: run.endpoint_id.clone(),
            content: self.content,
        };
        let (scope, parts) = self.part_gate.subject();
        let address = run.address;
        let executor = self.gateway.executor.requests();
        let check = async move {
            let gateway = &crash.gateway;
            if checked.is_some() && !parts.is_empty() && is_gone(gateway, address).await {
                if let Some(incarnation) = crash.incarnation() {
                    gateway
                        .record_part_crash(incarnation, scope, &parts, lost_at_ms)
                        .await;
                }
                drop(checked);
                crash.record();
                return;
            }
            drop(checked);
            Timer::after(Duration::from_millis(CRASH_CHECK_MS)).await;
            let probe = Connection::open(gateway.executor.requests(), address, PROBE_MS).await;
            if probe.is_err() {
                crash.record();
            }
        };
        executor.spawn(check).detach();
    }
}

/// An endpoint that may have crashed while it ran a request.
struct Crash {
    gateway: Rc<Gateway>,
    endpoint: EndpointKey,
    endpoint_id: Name,
    content: ContentHash,
}

impl Crash {
    fn incarnation(&self) -> Option<Incarnation> {
        let endpoints = self.gateway.endpoints.borrow();
        let endpoint = endpoints.get(self.endpoint)?;
        Some(endpoint.incarnation)
    }

    /// Records the content as a suspect, and avoids the endpoint.
    fn record(&self) {
        let gateway = &self.gateway;
        let now_ms = gateway.clock.now_ms();
        let endpoint_id = self.endpoint_id.as_str();
        let born_ms = {
            let mut endpoints = gateway.endpoints.borrow_mut();
            endpoints.suspect(self.endpoint, now_ms);
            endpoints
                .get(self.endpoint)
                .and_then(|endpoint| endpoint.entry.born_ms)
        };
        gateway.drop_idle(self.endpoint);
        log::warn!(event = "endpoint_crashed", endpoint = endpoint_id; "refuses connections after a reset");
        let incarnation = Name::from(format!("{endpoint_id}@{}", born_ms.unwrap_or(0)));
        gateway
            .evidence
            .borrow_mut()
            .record(self.content, &incarnation, now_ms);
    }
}
