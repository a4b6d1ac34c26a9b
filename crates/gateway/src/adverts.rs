//! Sends and receives adverts between VMs and summaries between data centres, over UDP.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures::future::join;
use waxwing_core::Name;
use waxwing_core::fleet::Summary;
use waxwing_core::fleet::summary::VmState;
use waxwing_core::forwarding::peers::ADVERT_INTERVAL_MS;
use waxwing_core::forwarding::peers::Advert;
use waxwing_core::forwarding::peers::Change;
use waxwing_core::state::evidence::CrashFinding;
use waxwing_wire::advert;
use waxwing_wire::advert::Datagram;

use crate::error::Error;
use crate::error::Result;
use crate::gateway::Gateway;
use crate::metric;

/// Longest datagram, in bytes.
const DATAGRAM_MAX_BYTES: usize = 8_192;

/// Most crash findings in one datagram; the newest are sent.
const FINDINGS_MAX: usize = 8;

/// Most leaving endpoints in one datagram; a rollout drains fewer at a time.
const LEAVING_MAX: usize = 128;

/// Most rate limits in one datagram; the latest changes are sent.
const LIMITS_MAX: usize = 64;

/// Pause after a failed receive, in milliseconds.
const RECEIVE_PAUSE_MS: u64 = 50;

pub(crate) fn bind(address: SocketAddr) -> Result<Async<UdpSocket>> {
    let socket = UdpSocket::bind(address).and_then(Async::new);
    socket.map_err(|source| Error::Listen {
        duty: "adverts",
        address,
        source,
    })
}

pub(crate) async fn run(gateway: Rc<Gateway>, socket: Async<UdpSocket>) {
    let socket = Rc::new(socket);
    // Set once, since this runs once.
    let _ = gateway.peer_socket.set(Rc::clone(&socket));
    join(
        send(Rc::clone(&gateway), Rc::clone(&socket)),
        receive(gateway, socket),
    )
    .await;
}

async fn send(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    let mut checked_at_ms = gateway.clock.now_ms();
    let mut round = 0;
    loop {
        Timer::after(Duration::from_millis(ADVERT_INTERVAL_MS)).await;
        let now_ms = gateway.clock.now_ms();
        expire_peers(&gateway, checked_at_ms, now_ms);
        checked_at_ms = now_ms;
        round += 1;
        let recipients = gateway.peers.borrow().advert_recipients(round, now_ms);
        send_advert(&gateway, &socket, &recipients).await;
        let recipients = {
            let peers = gateway.peers.borrow();
            let is_representative = peers.uses_summaries() && peers.is_representative(now_ms);
            is_representative.then(|| peers.summary_recipients(now_ms))
        };
        gateway.send_part_round().await;
        let Some(recipients) = recipients else {
            continue;
        };
        let sequence = gateway.next_sequence();
        for part in build_summary(&gateway, sequence).split() {
            send_to(&socket, &Datagram::Summary(part), &recipients).await;
        }
    }
}

impl Gateway {
    /// Sends an advert to the VMs that were found, so that they reply with theirs before callers come.
    pub async fn announce(&self) {
        let recipients = self.peers.borrow().addresses();
        if let Some(socket) = self.peer_socket.get() {
            send_advert(self, socket, &recipients).await;
        }
        let mut check = self.start_check.get();
        check.record_announcement(self.clock.now_ms());
        self.start_check.set(check);
    }
}

async fn send_advert(gateway: &Gateway, socket: &Async<UdpSocket>, recipients: &[SocketAddr]) {
    if recipients.is_empty() {
        return;
    }
    let advert = build_advert(gateway, gateway.next_sequence());
    send_to(socket, &Datagram::Advert(advert), recipients).await;
}

async fn send_to(socket: &Async<UdpSocket>, datagram: &Datagram, recipients: &[SocketAddr]) {
    let bytes = match advert::to_bytes(datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(event = "advert_not_encoded"; "{error}");
            return;
        }
    };
    for address in recipients {
        let sent = socket.send_to(&bytes, *address).await;
        let outcome = if sent.is_ok() { "sent" } else { "send_failed" };
        metrics::counter!(metric::ADVERTS, "outcome" => outcome).increment(1);
    }
}

fn recent_findings(gateway: &Gateway) -> Vec<CrashFinding> {
    let now_ms = gateway.clock.now_ms();
    let mut findings = gateway.evidence.borrow().findings(now_ms);
    findings.sort_by_key(|finding| finding.age_ms);
    findings.truncate(FINDINGS_MAX);
    findings
}

fn build_advert(gateway: &Gateway, sequence: u64) -> Advert {
    let now_ms = gateway.clock.now_ms();
    Advert {
        vm: gateway.vm.clone(),
        incarnation: gateway.incarnation,
        sequence,
        front: gateway.settings.listen.front,
        peer: gateway.settings.listen.peers,
        data_centre: gateway.data_centre.clone(),
        is_ready: gateway.is_ready(),
        configuration_version: gateway.configuration_version(),
        demands: gateway.endpoints.borrow().local_demands(),
        service_demands: gateway.demand_tracker.borrow().local_demands(now_ms),
        findings: recent_findings(gateway),
        leaving: gateway.endpoints.borrow().leaving_endpoints(LEAVING_MAX),
        limits: gateway.endpoints.borrow().limit_notices(LIMITS_MAX, now_ms),
    }
}

/// Builds the summary of this data centre for the others.
fn build_summary(gateway: &Gateway, sequence: u64) -> Summary {
    let now_ms = gateway.clock.now_ms();
    let peers = gateway.peers.borrow();
    let mut vms = peers.local_peer_states(now_ms);
    vms.push(VmState {
        vm: gateway.vm.clone(),
        incarnation: gateway.incarnation,
        sequence,
        front: gateway.settings.listen.front,
        peer: gateway.settings.listen.peers,
        is_ready: gateway.is_ready(),
        age_ms: 0,
    });
    let names: Vec<&Name> = vms.iter().map(|state| &state.vm).collect();
    Summary {
        data_centre: gateway.data_centre.clone(),
        vm: gateway.vm.clone(),
        incarnation: gateway.incarnation,
        sequence,
        part: 0,
        parts: 1,
        is_remote: true,
        demands: gateway
            .endpoints
            .borrow()
            .combined_demands(names.iter().copied()),
        service_demands: gateway
            .demand_tracker
            .borrow()
            .combined_demands(names, now_ms),
        findings: recent_findings(gateway),
        leaving: gateway.endpoints.borrow().leaving_endpoints(LEAVING_MAX),
        limits: gateway.endpoints.borrow().limit_notices(LIMITS_MAX, now_ms),
        vms,
    }
}

fn expire_peers(gateway: &Gateway, before_ms: u64, now_ms: u64) {
    let lost = gateway.peers.borrow().lost_since(before_ms, now_ms);
    for change in lost {
        if let Change::Lost(vm) = change {
            log::warn!(event = "peer_lost", peer = vm.as_str(); "no advert for too long");
            gateway.drop_peer_load(&vm);
        }
    }
    for source in gateway.summaries.borrow_mut().expire(now_ms) {
        log::warn!(event = "summary_lost", source = source.as_str(); "no summary for too long");
        gateway.drop_peer_load(&source);
    }
    let alive = gateway.peers.borrow().alive_count(now_ms);
    metrics::gauge!(metric::PEERS).set(alive as f64);
}

async fn receive(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(event = "advert_not_received"; "{error}");
                Timer::after(Duration::from_millis(RECEIVE_PAUSE_MS)).await;
                continue;
            }
        };
        let outcome = match advert::from_bytes(&buffer[..length]) {
            Ok(Datagram::Advert(advert)) => {
                let address = advert.peer;
                let is_recipient = !gateway.peers.borrow().uses_summaries()
                    || advert.data_centre == gateway.data_centre;
                let (outcome, is_first) = apply_advert(&gateway, advert);
                if is_first && is_recipient {
                    // A VM that has just started knows no limits of endpoints, parts of prompts and streams yet.
                    send_advert(&gateway, &socket, &[address]).await;
                    gateway.send_all_parts(address).await;
                    gateway.send_all_streams(address).await;
                }
                outcome
            }
            Ok(Datagram::Summary(summary)) => {
                relay_summary(&gateway, &socket, &summary).await;
                apply_summary(&gateway, summary)
            }
            Ok(Datagram::PermitQuery(query)) => {
                gateway.answer_permit(query, from).await;
                continue;
            }
            Ok(Datagram::CrashNotice(notice)) => {
                gateway.merge_part_notice(&notice);
                continue;
            }
            Ok(Datagram::StreamNotice(notice)) => {
                gateway.merge_streams(notice).await;
                continue;
            }
            Ok(Datagram::TrialQuery(query)) => {
                gateway.answer_trial(query, from).await;
                continue;
            }
            Ok(Datagram::TrialReply(reply)) => {
                gateway.part_service.resolve(reply);
                continue;
            }
            Ok(Datagram::PermitReply(reply)) => {
                gateway.permits.resolve(reply);
                continue;
            }
            Err(error) => {
                log::warn!(event = "advert_undecodable"; "{error}");
                "undecodable"
            }
        };
        metrics::counter!(metric::ADVERTS, "outcome" => outcome).increment(1);
    }
}

/// Forwards a summary from another data centre to the VMs of this one, if this VM is their representative.
async fn relay_summary(gateway: &Gateway, socket: &Async<UdpSocket>, summary: &Summary) {
    if !summary.is_remote || summary.data_centre == gateway.data_centre {
        return;
    }
    let now_ms = gateway.clock.now_ms();
    let recipients: Vec<SocketAddr> = {
        let peers = gateway.peers.borrow();
        if !peers.is_representative(now_ms) {
            return;
        }
        let local_peers = peers.local_peers(now_ms);
        local_peers
            .into_iter()
            .map(|(_, address)| address)
            .collect()
    };
    let relayed = Summary {
        is_remote: false,
        ..summary.clone()
    };
    send_to(socket, &Datagram::Summary(relayed), &recipients).await;
}

fn log_seen_peers(changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        if let Change::Seen(peer) = change {
            log::info!(event = "peer_seen", peer = peer.as_str(); "VM is alive");
        }
    }
}

/// Applies an advert; returns the outcome for the metrics, and whether it is the first one of its incarnation.
fn apply_advert(gateway: &Gateway, advert: Advert) -> (&'static str, bool) {
    if advert.vm == gateway.vm {
        return ("old", false);
    }
    let now_ms = gateway.clock.now_ms();
    let is_first = gateway
        .peers
        .borrow()
        .is_new_incarnation(&advert.vm, advert.incarnation);
    let (is_newer, change) = gateway.peers.borrow_mut().apply_advert(&advert, now_ms);
    log_seen_peers(change);
    if !is_newer {
        return ("old", false);
    }
    gateway
        .evidence
        .borrow_mut()
        .merge(&advert.findings, now_ms);
    gateway.merge_leaving(&advert.leaving, &advert.vm);
    gateway.merge_limits(&advert.limits, advert.vm.as_str());
    // A fresh summary already includes this VM's load.
    let is_covered = gateway
        .summaries
        .borrow()
        .has_fresh(&advert.data_centre, now_ms);
    if !is_covered {
        gateway.set_peer_load(advert.vm, advert.demands, advert.service_demands);
    }
    ("news", is_first)
}

fn apply_summary(gateway: &Gateway, summary: Summary) -> &'static str {
    let now_ms = gateway.clock.now_ms();
    let is_local = summary.data_centre == gateway.data_centre;
    if is_local || !gateway.summaries.borrow_mut().insert(&summary, now_ms) {
        return "old";
    }
    let changes = gateway.peers.borrow_mut().apply_summary(&summary, now_ms);
    log_seen_peers(changes);
    for state in &summary.vms {
        gateway.drop_peer_load(&state.vm);
    }
    gateway
        .evidence
        .borrow_mut()
        .merge(&summary.findings, now_ms);
    gateway.merge_leaving(&summary.leaving, &summary.vm);
    gateway.merge_limits(&summary.limits, summary.vm.as_str());
    gateway.set_peer_load(summary.source(), summary.demands, summary.service_demands);
    "news"
}
