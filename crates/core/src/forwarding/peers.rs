//! Membership of the VMs that serve callers, maintained from the adverts and summaries that they exchange.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::Name;
use crate::fleet::Member;
use crate::fleet::Summary;
use crate::fleet::summary::VmState;
use crate::fleet::summary::representative_order;
use crate::forwarding::endpoints::Demand;
use crate::forwarding::endpoints::limits::LimitNotice;
use crate::forwarding::endpoints::notices::Incarnation;
use crate::forwarding::lanes::ServiceDemand;
use crate::state::evidence::CrashFinding;

/// Interval between adverts, in milliseconds.
pub const ADVERT_INTERVAL_MS: u64 = 300;

/// Silence after which a VM counts as dead, in milliseconds; corresponds to four lost adverts in a row.
const PEER_TIMEOUT_MS: u64 = 1_300;

/// Silence after which a VM that is known through summaries counts as dead, in milliseconds.
///
/// If the representative of a data centre dies, its successor needs time to detect this and to send the next summary.
const REMOTE_PEER_TIMEOUT_MS: u64 = 2 * PEER_TIMEOUT_MS;

/// Number of advert rounds of which one includes the VMs that are not alive.
const DEAD_PEER_ROUNDS: u64 = 5;

/// Silence up to which dead VMs are still listed for callers if no VM is alive, in milliseconds.
const PARTITION_GRACE_MS: u64 = 3_000;

/// Silence after which a VM no longer shares the limits of endpoints, in milliseconds.
const LIMIT_SHARE_TIMEOUT_MS: u64 = 60_000;

/// Silence after which a VM no longer shares the repeat budget, in milliseconds.
///
/// A VM that is gone costs the others only its part of the slack, and a partition may last that long.
const REPEAT_SHARE_TIMEOUT_MS: u64 = 3_600_000;

/// Periodic message of a VM to the other VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct Advert {
    /// Name of the VM.
    pub vm: Name,
    /// Unix time of the start of its process, in milliseconds.
    pub incarnation: u64,
    /// Sequence number of the advert within the incarnation.
    pub sequence: u64,
    /// Address that callers connect to.
    pub front: SocketAddr,
    /// Address that adverts are sent to.
    pub peer: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Whether it takes new requests.
    pub is_ready: bool,
    /// Version of its configuration.
    pub configuration_version: u64,
    /// Load of the VM on endpoints, by endpoint id hash.
    pub demands: Vec<(u64, Demand)>,
    /// Demand of the VM's callers, by hash of the service name.
    pub service_demands: Vec<(u64, ServiceDemand)>,
    /// Request contents that crashed endpoints.
    pub findings: Vec<CrashFinding>,
    /// Endpoints that are known to be leaving.
    pub leaving: Vec<Incarnation>,
    /// Rate limits of endpoints, and limits that were lifted recently.
    pub limits: Vec<LimitNotice>,
}

/// Parts of the latest advert of a VM.
#[derive(Debug)]
struct LatestAdvert {
    /// Incarnation and sequence of the advert.
    order: (u64, u64),
    front: SocketAddr,
    data_centre: Name,
    is_ready: bool,
    /// Version of its configuration; 0 if it has none, or if the state came in a summary.
    configuration_version: u64,
}

#[derive(Debug)]
struct Peer {
    latest: Option<LatestAdvert>,
    address: SocketAddr,
    added_at_ms: u64,
    last_advert_ms: Option<u64>,
}

/// Identity of the local VM and the limit for direct adverts.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    /// Name of the VM.
    pub vm: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Number of VMs up to which each VM sends adverts to all others; with more, data centres exchange summaries.
    pub direct_vms_max: usize,
}

/// Change in the liveness of another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The VM is alive, for the first time or again.
    Seen(Name),
    /// The VM counts as dead.
    Lost(Name),
}

/// VMs in each other data centre that summaries are sent to: the representative, which relays them, and its successor.
const SUMMARY_RECIPIENTS: usize = 2;

/// Registry of the other VMs.
#[derive(Debug)]
pub struct Peers {
    config: PeersConfig,
    peers: HashMap<Name, Peer>,
    /// Whether all VMs that started together with this one, or before it, have been added.
    is_complete: bool,
}

impl Peers {
    /// Creates an empty registry.
    pub fn new(config: PeersConfig) -> Self {
        Self {
            config,
            peers: HashMap::new(),
            is_complete: false,
        }
    }

    /// Records that all VMs that started together with this one, or before it, have been added.
    pub fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// Adds a discovered VM, so that adverts are sent to it.
    pub fn add(&mut self, vm: Name, address: SocketAddr, now_ms: u64) {
        let peer = self.peers.entry(vm).or_insert(Peer {
            latest: None,
            address,
            added_at_ms: now_ms,
            last_advert_ms: None,
        });
        if peer.last_advert_ms.is_none() {
            peer.address = address;
        }
    }

    /// Applies an advert; returns whether it was newer than the known one, and the resulting change.
    ///
    /// Adverts can arrive out of order; an outdated one is ignored.
    pub fn apply_advert(&mut self, advert: &Advert, now_ms: u64) -> (bool, Option<Change>) {
        self.add(advert.vm.clone(), advert.peer, now_ms);
        let was_alive = self.is_vm_alive(&advert.vm, now_ms);
        let Some(peer) = self.peers.get_mut(&advert.vm) else {
            return (false, None);
        };
        let order = (advert.incarnation, advert.sequence);
        if peer
            .latest
            .as_ref()
            .is_some_and(|latest| order <= latest.order)
        {
            return (false, None);
        }
        peer.address = advert.peer;
        peer.last_advert_ms = Some(now_ms);
        let change = (!was_alive).then(|| Change::Seen(advert.vm.clone()));
        peer.latest = Some(LatestAdvert {
            order,
            front: advert.front,
            data_centre: advert.data_centre.clone(),
            is_ready: advert.is_ready,
            configuration_version: advert.configuration_version,
        });
        (true, change)
    }

    /// Returns whether an incarnation of a VM is newer than the one of its latest advert.
    pub fn is_new_incarnation(&self, vm: &Name, incarnation: u64) -> bool {
        let latest = self.peers.get(vm).and_then(|peer| peer.latest.as_ref());
        latest.is_none_or(|latest| latest.order.0 < incarnation)
    }

    /// Returns the VMs that were alive at `before_ms` and count as dead at `now_ms`.
    pub fn lost_since(&self, before_ms: u64, now_ms: u64) -> Vec<Change> {
        let mut lost = Vec::new();
        for (vm, peer) in &self.peers {
            if self.is_alive(peer, before_ms)
                && !self.is_alive(peer, now_ms)
                && peer.last_advert_ms.is_some()
            {
                lost.push(Change::Lost(vm.clone()));
            }
        }
        lost
    }

    /// Applies the VM states in the summary of another data centre; returns the resulting changes.
    pub fn apply_summary(&mut self, summary: &Summary, now_ms: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        for state in &summary.vms {
            self.add(state.vm.clone(), state.peer, now_ms);
            let was_alive = self.is_vm_alive(&state.vm, now_ms);
            let Some(peer) = self.peers.get_mut(&state.vm) else {
                continue;
            };
            let order = (state.incarnation, state.sequence);
            let latest = peer.latest.as_ref();
            if latest.is_some_and(|latest| order <= latest.order) {
                continue;
            }
            peer.address = state.peer;
            peer.last_advert_ms = Some(now_ms.saturating_sub(state.age_ms));
            peer.latest = Some(LatestAdvert {
                order,
                front: state.front,
                data_centre: summary.data_centre.clone(),
                is_ready: state.is_ready,
                configuration_version: 0,
            });
            if !was_alive && self.is_vm_alive(&state.vm, now_ms) {
                changes.push(Change::Seen(state.vm.clone()));
            }
        }
        changes
    }

    /// Returns whether there are too many VMs for direct adverts, so that data centres exchange summaries.
    pub fn uses_summaries(&self) -> bool {
        self.peers.len() + 1 > self.config.direct_vms_max
    }

    /// Returns the addresses that adverts are sent to.
    ///
    /// These are the VMs that are alive, or only those of this data centre if summaries are used. One round of
    /// `DEAD_PEER_ROUNDS` includes the VMs that are not alive.
    pub fn advert_recipients(&self, round: u64, now_ms: u64) -> Vec<SocketAddr> {
        let uses_summaries = self.uses_summaries();
        let mut recipients = Vec::new();
        for peer in self.peers.values() {
            let is_due = match self.is_alive(peer, now_ms) {
                true => !uses_summaries || self.is_local_peer(peer),
                false => round.is_multiple_of(DEAD_PEER_ROUNDS),
            };
            if is_due {
                recipients.push(peer.address);
            }
        }
        recipients
    }

    /// Returns the addresses of all other VMs, alive or not.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
    }

    /// Returns the other living VMs of this data centre, with their addresses.
    pub fn local_peers(&self, now_ms: u64) -> Vec<(&Name, SocketAddr)> {
        let mut local_peers = Vec::new();
        for (vm, peer) in &self.peers {
            if self.is_alive(peer, now_ms) && self.is_local_peer(peer) {
                local_peers.push((vm, peer.address));
            }
        }
        local_peers
    }

    /// Returns whether this VM represents its data centre: sends its summaries, and relays those of others within it.
    pub fn is_representative(&self, now_ms: u64) -> bool {
        let local_peers = self.local_peers(now_ms);
        let vms = local_peers.into_iter().map(|(vm, _)| vm);
        representative_order(vms.chain([&self.config.vm])).first() == Some(&&self.config.vm)
    }

    /// Returns the addresses that the summaries of this data centre are sent to.
    ///
    /// These are, in each other data centre, the representative, which relays them, and its successor.
    pub fn summary_recipients(&self, now_ms: u64) -> Vec<SocketAddr> {
        let mut by_data_centre: HashMap<&Name, Vec<&Name>> = HashMap::new();
        for (vm, peer) in &self.peers {
            let Some(latest) = peer.latest.as_ref().filter(|_| self.is_alive(peer, now_ms)) else {
                continue;
            };
            if latest.data_centre != self.config.data_centre {
                by_data_centre
                    .entry(&latest.data_centre)
                    .or_default()
                    .push(vm);
            }
        }
        let mut addresses = Vec::new();
        for vms in by_data_centre.into_values() {
            for vm in representative_order(vms)
                .into_iter()
                .take(SUMMARY_RECIPIENTS)
            {
                addresses.extend(self.peers.get(vm).map(|peer| peer.address));
            }
        }
        addresses
    }

    /// Returns the states of the other living VMs of this data centre, for a summary.
    pub fn local_peer_states(&self, now_ms: u64) -> Vec<VmState> {
        let mut states = Vec::new();
        for (vm, peer) in &self.peers {
            let is_local = self.is_alive(peer, now_ms) && self.is_local_peer(peer);
            let Some(latest) = peer.latest.as_ref().filter(|_| is_local) else {
                continue;
            };
            states.push(VmState {
                vm: vm.clone(),
                incarnation: latest.order.0,
                sequence: latest.order.1,
                front: latest.front,
                peer: peer.address,
                is_ready: latest.is_ready,
                age_ms: now_ms.saturating_sub(peer.last_advert_ms.unwrap_or(0)),
            });
        }
        states
    }

    /// Returns the caller addresses of the VMs that are ready, those in `data_centre` first.
    ///
    /// If no VM is alive, this VM is more likely partitioned than alone, so recently dead VMs are included.
    pub fn front_addresses(&self, data_centre: &Name, now_ms: u64) -> Vec<SocketAddr> {
        let is_partitioned = !self.peers.values().any(|peer| self.is_alive(peer, now_ms));
        let mut fronts = Vec::new();
        for peer in self.peers.values() {
            let Some(latest) = peer.latest.as_ref().filter(|latest| latest.is_ready) else {
                continue;
            };
            let silence_ms = now_ms.saturating_sub(peer.last_advert_ms.unwrap_or(0));
            if self.is_alive(peer, now_ms) || (is_partitioned && silence_ms < PARTITION_GRACE_MS) {
                fronts.push((latest.data_centre != *data_centre, latest.front));
            }
        }
        fronts.sort_unstable();
        fronts.into_iter().map(|(_, front)| front).collect()
    }

    /// Returns whether all known VMs were heard at least once.
    pub fn is_all_heard(&self) -> bool {
        self.peers
            .values()
            .all(|peer| peer.last_advert_ms.is_some())
    }

    /// Returns the newest version of a configuration that a VM which is alive and ready advertises, and that VM.
    pub fn newest_configuration(&self, now_ms: u64) -> Option<(u64, Member)> {
        let mut newest: Option<(&Name, &Peer, &LatestAdvert)> = None;
        for (vm, peer) in &self.peers {
            let Some(latest) = peer.latest.as_ref().filter(|latest| latest.is_ready) else {
                continue;
            };
            let is_newer = newest.is_none_or(|(_, _, known)| {
                latest.configuration_version > known.configuration_version
            });
            if is_newer && self.is_alive(peer, now_ms) {
                newest = Some((vm, peer, latest));
            }
        }
        let (vm, peer, latest) = newest?;
        let member = Member {
            vm: vm.clone(),
            data_centre: latest.data_centre.clone(),
            address: peer.address,
        };
        Some((latest.configuration_version, member))
    }

    /// Returns the VMs that are alive and ready, which therefore know the configuration and the endpoints.
    pub fn members(&self, now_ms: u64) -> Vec<Member> {
        let mut members = Vec::new();
        for (vm, peer) in &self.peers {
            let Some(latest) = peer.latest.as_ref().filter(|latest| latest.is_ready) else {
                continue;
            };
            if !self.is_alive(peer, now_ms) {
                continue;
            }
            members.push(Member {
                vm: vm.clone(),
                data_centre: latest.data_centre.clone(),
                address: peer.address,
            });
        }
        members
    }

    /// Returns the number of VMs that share the repeat budget, including this one; `None` while some may be unknown.
    pub fn budget_vm_count(&self, now_ms: u64) -> Option<usize> {
        if !self.is_complete {
            return None;
        }
        let mut count = 1;
        for peer in self.peers.values() {
            let known_at_ms = peer.last_advert_ms.unwrap_or(peer.added_at_ms);
            if now_ms.saturating_sub(known_at_ms) < REPEAT_SHARE_TIMEOUT_MS {
                count += 1;
            }
        }
        Some(count)
    }

    /// Returns the fraction of the VMs that this VM hears, including itself.
    ///
    /// VMs that stopped as planned do not count, and lost ones count for a while: they may be alive on another side of
    /// a partition.
    pub fn heard_fraction(&self, now_ms: u64) -> f64 {
        let mut heard = 1.0;
        let mut known = 1.0;
        for peer in self.peers.values() {
            if self.is_alive(peer, now_ms) {
                heard += 1.0;
                known += 1.0;
                continue;
            }
            let was_ready = peer.latest.as_ref().is_some_and(|latest| latest.is_ready);
            let silence_ms = now_ms.saturating_sub(peer.last_advert_ms.unwrap_or(0));
            if was_ready && silence_ms < LIMIT_SHARE_TIMEOUT_MS {
                known += 1.0;
            }
        }
        heard / known
    }

    /// Returns the number of other VMs that are alive.
    pub fn alive_count(&self, now_ms: u64) -> usize {
        self.peers
            .values()
            .filter(|peer| self.is_alive(peer, now_ms))
            .count()
    }

    fn is_vm_alive(&self, vm: &Name, now_ms: u64) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| self.is_alive(peer, now_ms))
    }

    fn is_alive(&self, peer: &Peer, now_ms: u64) -> bool {
        // Also holds for a VM whose latest advert came directly, before the number of VMs required summaries.
        let is_remote = self.uses_summaries() && !self.is_local_peer(peer);
        let timeout_ms = if is_remote {
            REMOTE_PEER_TIMEOUT_MS
        } else {
            PEER_TIMEOUT_MS
        };
        let last_advert_ms = peer.last_advert_ms;
        last_advert_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < timeout_ms)
    }

    fn is_local_peer(&self, peer: &Peer) -> bool {
        let latest = peer.latest.as_ref();
        latest.is_some_and(|latest| latest.data_centre == self.config.data_centre)
    }
}
