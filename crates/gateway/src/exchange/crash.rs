//! Tells crashes of endpoints from connections that ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use waxwing_core::Name;

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
    match Connection::open(gateway.executor, address, PROBE_MS).await {
        Ok(_) => false,
        Err(error) => error.is_refused(),
    }
}

impl Exchange {
    /// Returns whether an answer that ended may have been broken off by the end of its endpoint.
    pub(crate) async fn is_cut(&self, run: &RunGuard) -> bool {
        if run.framing != Some(Framing::Connection) || !self.is_usable(run) {
            return false;
        }
        if is_refused(&self.gateway, run.address).await {
            return true;
        }
        Timer::after(Duration::from_millis(SECOND_PROBE_MS)).await;
        is_refused(&self.gateway, run.address).await
    }

    /// Returns whether the endpoint of a run is not about to leave.
    fn is_usable(&self, run: &RunGuard) -> bool {
        let endpoints = self.gateway.endpoints.borrow();
        let endpoint = endpoints.get(run.endpoint);
        endpoint.is_some_and(|endpoint| endpoint.is_usable())
    }

    /// Checks whether an endpoint that broke a connection has crashed, and if so records the content as a suspect.
    pub(super) fn check_for_crash(&self, run: &RunGuard) {
        let gateway = Rc::clone(&self.gateway);
        let (key, address) = (run.endpoint, run.address);
        let endpoint_id = run.endpoint_id.clone();
        let content = self.content;
        let executor = gateway.executor;
        let check = async move {
            Timer::after(Duration::from_millis(CRASH_CHECK_MS)).await;
            if Connection::open(executor, address, PROBE_MS).await.is_ok() {
                return;
            }
            let now_ms = gateway.clock.now_ms();
            let born_ms = {
                let mut endpoints = gateway.endpoints.borrow_mut();
                endpoints.suspect(key, now_ms);
                endpoints
                    .get(key)
                    .and_then(|endpoint| endpoint.entry.born_ms)
            };
            gateway.drop_idle(key);
            log::warn!(event = "endpoint_crashed", endpoint = endpoint_id.as_str(); "refuses connections after a reset");
            let incarnation = format!("{}@{}", endpoint_id.as_str(), born_ms.unwrap_or(0));
            let incarnation = Name::from(incarnation);
            gateway
                .evidence
                .borrow_mut()
                .record(content, &incarnation, now_ms);
        };
        executor.spawn(check).detach();
    }
}
