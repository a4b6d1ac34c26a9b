//! Adverts between VMs over UDP.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures::future::join;
use waxwing_core::forwarding::peers::ADVERT_INTERVAL_MS;
use waxwing_core::forwarding::peers::Advert;
use waxwing_core::forwarding::peers::Change;
use waxwing_wire::advert;

use crate::error::Error;
use crate::error::Result;
use crate::gateway::Gateway;
use crate::metric;

/// Longest datagram, in bytes.
const DATAGRAM_MAX_BYTES: usize = 8_192;

/// Findings in one advert; newer ones come first in later rounds.
const FINDINGS_MAX: usize = 8;

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
    join(
        send(Rc::clone(&gateway), Rc::clone(&socket)),
        receive(gateway, socket),
    )
    .await;
}

async fn send(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    let mut sequence = 0;
    let mut checked_at_ms = gateway.clock.now_ms();
    loop {
        Timer::after(Duration::from_millis(ADVERT_INTERVAL_MS)).await;
        let now_ms = gateway.clock.now_ms();
        note_lost(&gateway, checked_at_ms, now_ms);
        checked_at_ms = now_ms;
        sequence += 1;
        let recipients = gateway.peers.borrow().to_recipients(sequence, now_ms);
        if recipients.is_empty() {
            continue;
        }
        let bytes = match advert::to_bytes(&to_advert(&gateway, sequence)) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(event = "advert_not_encoded"; "{error}");
                continue;
            }
        };
        for address in recipients {
            let sent = socket.send_to(&bytes, address).await;
            let outcome = if sent.is_ok() { "sent" } else { "send_failed" };
            metrics::counter!(metric::ADVERTS, "outcome" => outcome).increment(1);
        }
    }
}

fn to_advert(gateway: &Gateway, sequence: u64) -> Advert {
    let mut findings = gateway
        .evidence
        .borrow()
        .to_findings(gateway.clock.now_ms());
    findings.sort_by_key(|finding| finding.age_ms);
    findings.truncate(FINDINGS_MAX);
    Advert {
        vm: gateway.vm.clone(),
        incarnation: gateway.incarnation,
        sequence,
        front: gateway.settings.listen.front,
        peer: gateway.settings.listen.peers,
        data_centre: gateway.data_centre.clone(),
        is_ready: gateway.is_ready(),
        configuration_version: gateway.to_configuration_version(),
        demands: gateway.endpoints.borrow().to_own_demands(),
        asked: gateway
            .reading_demand
            .borrow()
            .to_own(gateway.clock.now_ms()),
        findings,
    }
}

fn note_lost(gateway: &Gateway, before_ms: u64, now_ms: u64) {
    let lost = gateway.peers.borrow().to_lost(before_ms, now_ms);
    for change in lost {
        if let Change::Lost(vm) = change {
            log::warn!(event = "peer_lost", peer = vm.as_str(); "no advert for too long");
            gateway.endpoints.borrow_mut().drop_peer(&vm);
            gateway.reading_demand.borrow_mut().drop_peer(&vm);
        }
    }
    let alive = gateway.peers.borrow().to_alive_count(now_ms);
    metrics::gauge!(metric::PEERS).set(alive as f64);
}

async fn receive(gateway: Rc<Gateway>, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!(event = "advert_not_received"; "{error}");
                Timer::after(Duration::from_millis(RECEIVE_PAUSE_MS)).await;
                continue;
            }
        };
        let outcome = match advert::from_bytes(&buffer[..length]) {
            Ok(advert) => hear(&gateway, advert),
            Err(error) => {
                log::warn!(event = "advert_undecodable"; "{error}");
                "undecodable"
            }
        };
        metrics::counter!(metric::ADVERTS, "outcome" => outcome).increment(1);
    }
}

fn hear(gateway: &Gateway, advert: Advert) -> &'static str {
    if advert.vm == gateway.vm {
        return "old";
    }
    let now_ms = gateway.clock.now_ms();
    let (is_news, change) = gateway.peers.borrow_mut().hear(&advert, now_ms);
    if let Some(Change::Seen(peer)) = change {
        log::info!(event = "peer_seen", peer = peer.as_str(); "hears adverts");
    }
    if !is_news {
        return "old";
    }
    let vm = advert.vm;
    gateway
        .reading_demand
        .borrow_mut()
        .set_peer(vm.clone(), advert.asked);
    gateway
        .endpoints
        .borrow_mut()
        .set_peer_demand(vm, advert.demands);
    gateway
        .evidence
        .borrow_mut()
        .merge(&advert.findings, now_ms);
    "news"
}
