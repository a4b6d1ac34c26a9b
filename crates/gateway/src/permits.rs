//! Asks for permits to send to endpoints with a rate limit, and grants those that this VM is the allocator of.

use std::cell::RefCell;
use std::net::SocketAddr;

use waxwing_core::forwarding::EndpointKey;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::endpoints::limits::RateLimit;
use waxwing_core::forwarding::endpoints::notices::Incarnation;
use waxwing_core::forwarding::permits;
use waxwing_core::forwarding::permits::Allocator;
use waxwing_core::forwarding::permits::PermitRequest;
use waxwing_core::forwarding::permits::Permits;
use waxwing_core::forwarding::permits::Verdict;
use waxwing_core::hash::hash_name;
use waxwing_wire::advert;
use waxwing_wire::advert::Datagram;
use waxwing_wire::advert::limits::PermitQuery;
use waxwing_wire::advert::limits::PermitReply;

use crate::client::with_timeout;
use crate::gateway::Gateway;
use crate::metric;
use crate::replies::PendingReplies;

/// Time for the reply of an allocator, in milliseconds; a permit that arrives later is not used.
const REPLY_MS: u64 = 100;

/// Time after which an allocator that did not answer, or is none, is asked again, in milliseconds.
const RETRY_MS: u64 = 300;

/// Permits that this VM grants, and its queries to other allocators.
pub(crate) struct PermitService {
    permits: RefCell<Permits>,
    replies: PendingReplies<PermitReply>,
}

impl PermitService {
    pub(crate) fn new(started_at_ms: u64) -> Self {
        Self {
            permits: RefCell::new(Permits::new(started_at_ms)),
            replies: PendingReplies::new(),
        }
    }

    /// Passes a reply to the request that waits for it.
    pub(crate) fn resolve(&self, reply: PermitReply) {
        self.replies.resolve(reply.id, reply);
    }
}

fn count_permit(outcome: &'static str) {
    metrics::counter!(metric::PERMITS, "outcome" => outcome).increment(1);
}

impl Gateway {
    /// Obtains permission to send one request to an endpoint; returns whether it may be sent.
    ///
    /// An endpoint without a rate limit needs none. If permission is denied, requests of this level avoid the endpoint
    /// until the allocator may be asked again.
    pub(crate) async fn acquire_permit(&self, key: EndpointKey, level: UrgencyLevel) -> bool {
        let request = {
            let endpoints = self.endpoints.borrow();
            let Some(endpoint) = endpoints.get(key) else {
                return false;
            };
            if endpoint.limit() == RateLimit::Unlimited {
                return true;
            }
            PermitRequest {
                endpoint: endpoint.incarnation,
                vm: hash_name(self.vm.as_str()),
                level,
            }
        };
        let asked_at_ms = self.clock.now_ms();
        let verdict = match self.remote_allocator(request.endpoint) {
            None => Some(self.decide(request)),
            Some(address) => self.ask(address, request).await,
        };
        let now_ms = self.clock.now_ms();
        // Also holds for a VM that was suspended after the permit arrived.
        let is_late = now_ms - asked_at_ms > REPLY_MS;
        match verdict {
            Some(Verdict::Granted) if !is_late => {
                count_permit("granted");
                return true;
            }
            Some(Verdict::Wait { for_ms }) => {
                count_permit("denied");
                self.deny(key, level, for_ms);
            }
            Some(Verdict::Granted) | None => {
                count_permit("unanswered");
                // The allocator is not asked for more urgent requests either.
                self.deny(key, UrgencyLevel::default(), RETRY_MS);
            }
        }
        false
    }

    fn deny(&self, key: EndpointKey, level: UrgencyLevel, for_ms: u64) {
        let until_ms = self.clock.now_ms().saturating_add(for_ms);
        self.endpoints.borrow_mut().deny(key, level, until_ms);
    }

    /// Returns the address of the VM that grants the permits of an endpoint, or the trials of a part; `None` if this VM
    /// does.
    pub(crate) fn remote_allocator(&self, endpoint: Incarnation) -> Option<SocketAddr> {
        let members = self.peers.borrow().members(self.clock.now_ms());
        let local = self.is_ready().then_some(&self.vm);
        match permits::select_allocator(endpoint, &members, local) {
            Allocator::Local => None,
            Allocator::Remote(member) => Some(member.address),
        }
    }

    /// Asks another VM; returns `None` if it does not answer in time.
    async fn ask(&self, allocator: SocketAddr, request: PermitRequest) -> Option<Verdict> {
        let now_ms = self.clock.now_ms();
        let query = PermitQuery {
            id: self.draw(),
            request,
            notice: self
                .endpoints
                .borrow()
                .limit_notice(request.endpoint, now_ms),
        };
        let receiver = self.permits.replies.expect(query.id);
        self.send_datagram(&Datagram::PermitQuery(query), allocator)
            .await;
        let reply = with_timeout(REPLY_MS, receiver.recv_async()).await;
        let reply = reply?.ok()?;
        self.merge_limits(&[reply.notice], "allocator");
        Some(reply.verdict)
    }

    /// Replies to the query of another VM.
    pub(crate) async fn answer_permit(&self, query: PermitQuery, from: SocketAddr) {
        let PermitQuery {
            id,
            request,
            notice,
        } = query;
        self.merge_limits(&[notice], "permit request");
        let verdict = match self.remote_allocator(request.endpoint) {
            None => self.decide(request),
            // The VMs see different members for a moment.
            Some(_) => Verdict::Wait { for_ms: RETRY_MS },
        };
        let now_ms = self.clock.now_ms();
        let notice = self
            .endpoints
            .borrow()
            .limit_notice(request.endpoint, now_ms);
        let reply = PermitReply {
            id,
            verdict,
            notice,
        };
        self.send_datagram(&Datagram::PermitReply(reply), from)
            .await;
    }

    /// Grants or denies a permit as the endpoint's allocator.
    fn decide(&self, request: PermitRequest) -> Verdict {
        let now_ms = self.clock.now_ms();
        let endpoints = self.endpoints.borrow();
        let limit = endpoints.limit_notice(request.endpoint, now_ms).limit;
        let heard_fraction = self.peers.borrow().heard_fraction(now_ms);
        let mut permits = self.permits.permits.borrow_mut();
        let before = permits.rate_per_s(request.endpoint);
        let verdict = permits.ask(request, limit, heard_fraction, now_ms);
        let rate_per_s = permits.rate_per_s(request.endpoint);
        if rate_per_s != before {
            let endpoint = endpoints
                .find_incarnation(request.endpoint)
                .and_then(|key| endpoints.get(key));
            let id = endpoint.map_or("", |endpoint| endpoint.entry.id.as_str());
            log::info!(
                event = "permit_rate", endpoint = id, rate_per_s = rate_per_s, heard_fraction = heard_fraction;
                "this VM grants the permits of the endpoint"
            );
        }
        verdict
    }

    /// Removes the permits of endpoints that other VMs grant now.
    pub(crate) fn retain_permits(&self) {
        let is_local = |endpoint| self.remote_allocator(endpoint).is_none();
        let mut permits = self.permits.permits.borrow_mut();
        permits.retain(is_local, self.clock.now_ms());
    }

    pub(crate) async fn send_datagram(&self, datagram: &Datagram, address: SocketAddr) {
        let Some(socket) = self.peer_socket.get() else {
            return;
        };
        match advert::to_bytes(datagram) {
            // A lost datagram and one that cannot be sent have the same effect.
            Ok(bytes) => drop(socket.send_to(&bytes, address).await),
            Err(error) => log::error!(event = "datagram_not_encoded"; "{error}"),
        }
    }
}
