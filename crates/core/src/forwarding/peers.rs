//! The VMs that serve callers, as each tells the others.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::Name;
use crate::fleet::Member;
use crate::fleet::Summary;
use crate::fleet::summary::VmState;
use crate::fleet::summary::representative_order;
use crate::forwarding::endpoints::Demand;
use crate::forwarding::endpoints::notices::Incarnation;
use crate::forwarding::lanes::ServiceDemand;
use crate::state::evidence::CrashFinding;

/// Pause between adverts, in milliseconds.
pub const ADVERT_INTERVAL_MS: u64 = 300;

/// Silence after which a VM counts as dead: four lost adverts in a row, in milliseconds.
const SILENCE_MS: u64 = 1_300;

/// The same for a VM that is heard through summaries: time for another VM of its data centre to notice that the one which
/// wrote them is gone, and to write the next one, in milliseconds.
const REMOTE_SILENCE_MS: u64 = 2 * SILENCE_MS;

/// Rounds of adverts of which one goes to VMs that are silent.
const SILENT_ROUNDS: u64 = 5;

/// Time for which VMs that fell silent are still named if no VM is heard at all, in milliseconds.
const ISOLATED_MS: u64 = 3_000;

/// Time after which a silent VM no longer shares the repeat budget, in milliseconds.
const FORGOTTEN_MS: u64 = 60_000;

/// What a VM tells the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Advert {
    /// Name of the VM.
    pub vm: Name,
    /// Unix time of the start of its process, in milliseconds.
    pub incarnation: u64,
    /// Number of the advert within the incarnation.
    pub sequence: u64,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for adverts.
    pub peer: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Whether it takes new requests.
    pub is_ready: bool,
    /// Version of its configuration.
    pub configuration_version: u64,
    /// Load that it puts on endpoints, by the hashes of their ids.
    pub demands: Vec<(u64, Demand)>,
    /// What its callers ask for, by the hashes of the services' names.
    pub service_demands: Vec<(u64, ServiceDemand)>,
    /// Contents that crashed endpoints.
    pub findings: Vec<CrashFinding>,
    /// Endpoints that said that they leave.
    pub leaving: Vec<Incarnation>,
}

/// What later answers need of the newest advert of a VM.
#[derive(Debug)]
struct Known {
    /// Incarnation and sequence of the advert.
    order: (u64, u64),
    front: SocketAddr,
    data_centre: Name,
    is_ready: bool,
}

#[derive(Debug)]
struct Peer {
    known: Option<Known>,
    address: SocketAddr,
    heard_at_ms: Option<u64>,
}

/// Where a VM stands, and up to how many VMs tell each other directly.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    /// Name of the VM.
    pub vm: Name,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Number of VMs up to which each sends adverts to each; beyond, data centres tell each other by summaries.
    pub direct_vms_max: usize,
}

/// Changes among the other VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A VM was heard for the first time or again.
    Seen(Name),
    /// A VM fell silent.
    Lost(Name),
}

/// VMs of each other data centre that get its summaries: the one that passes them on, and the one that does if it is gone.
const SUMMARY_RECIPIENTS: usize = 2;

/// The other VMs.
#[derive(Debug)]
pub struct Peers {
    scope: PeersConfig,
    peers: HashMap<Name, Peer>,
}

impl Peers {
    /// Creates an empty list for the VM that `scope` describes.
    pub fn new(scope: PeersConfig) -> Self {
        Self {
            scope,
            peers: HashMap::new(),
        }
    }

    /// Adds a VM that was found, so that it gets adverts.
    pub fn add(&mut self, vm: Name, address: SocketAddr) {
        let peer = self.peers.entry(vm).or_insert(Peer {
            known: None,
            address,
            heard_at_ms: None,
        });
        if peer.heard_at_ms.is_none() {
            peer.address = address;
        }
    }

    /// Takes in an advert; returns whether it is news, and the change that it makes.
    ///
    /// Adverts may overtake each other; one that is older than what is known is ignored.
    pub fn apply_advert(&mut self, advert: &Advert, now_ms: u64) -> (bool, Option<Change>) {
        self.add(advert.vm.clone(), advert.peer);
        let was_alive = self.is_heard(&advert.vm, now_ms);
        let Some(peer) = self.peers.get_mut(&advert.vm) else {
            return (false, None);
        };
        let order = (advert.incarnation, advert.sequence);
        if peer
            .known
            .as_ref()
            .is_some_and(|known| order <= known.order)
        {
            return (false, None);
        }
        peer.address = advert.peer;
        peer.heard_at_ms = Some(now_ms);
        let change = (!was_alive).then(|| Change::Seen(advert.vm.clone()));
        peer.known = Some(Known {
            order,
            front: advert.front,
            data_centre: advert.data_centre.clone(),
            is_ready: advert.is_ready,
        });
        (true, change)
    }

    /// Returns the VMs that fell silent since `before_ms`.
    pub fn lost_since(&self, before_ms: u64, now_ms: u64) -> Vec<Change> {
        let mut lost = Vec::new();
        for (vm, peer) in &self.peers {
            if self.is_alive(peer, before_ms)
                && !self.is_alive(peer, now_ms)
                && peer.heard_at_ms.is_some()
            {
                lost.push(Change::Lost(vm.clone()));
            }
        }
        lost
    }

    /// Takes in what a summary says of VMs of another data centre; returns the changes that it makes.
    pub fn apply_summary(&mut self, summary: &Summary, now_ms: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        for state in &summary.vms {
            self.add(state.vm.clone(), state.peer);
            let was_alive = self.is_heard(&state.vm, now_ms);
            let Some(peer) = self.peers.get_mut(&state.vm) else {
                continue;
            };
            let order = (state.incarnation, state.sequence);
            let known = peer.known.as_ref();
            if known.is_some_and(|known| order <= known.order) {
                continue;
            }
            peer.address = state.peer;
            peer.heard_at_ms = Some(now_ms.saturating_sub(state.age_ms));
            peer.known = Some(Known {
                order,
                front: state.front,
                data_centre: summary.data_centre.clone(),
                is_ready: state.is_ready,
            });
            if !was_alive && self.is_heard(&state.vm, now_ms) {
                changes.push(Change::Seen(state.vm.clone()));
            }
        }
        changes
    }

    /// Returns whether so many VMs are known that data centres tell each other by summaries.
    pub fn uses_summaries(&self) -> bool {
        self.peers.len() + 1 > self.scope.direct_vms_max
    }

    /// Returns the addresses that get adverts: all VMs, or those of the own data centre if there are many; silent ones
    /// in one round of `SILENT_ROUNDS`.
    pub fn advert_recipients(&self, round: u64, now_ms: u64) -> Vec<SocketAddr> {
        let uses_summaries = self.uses_summaries();
        let mut recipients = Vec::new();
        for peer in self.peers.values() {
            let is_due = match self.is_alive(peer, now_ms) {
                true => !uses_summaries || self.is_local(peer),
                false => round.is_multiple_of(SILENT_ROUNDS),
            };
            if is_due {
                recipients.push(peer.address);
            }
        }
        recipients
    }

    /// Returns the other VMs of the own data centre that are heard, with their addresses.
    pub fn local_peers(&self, now_ms: u64) -> Vec<(&Name, SocketAddr)> {
        let mut neighbours = Vec::new();
        for (vm, peer) in &self.peers {
            if self.is_alive(peer, now_ms) && self.is_local(peer) {
                neighbours.push((vm, peer.address));
            }
        }
        neighbours
    }

    /// Returns whether this VM writes the summary of its data centre.
    pub fn is_representative(&self, now_ms: u64) -> bool {
        let neighbours = self.local_peers(now_ms);
        let vms = neighbours.into_iter().map(|(vm, _)| vm);
        representative_order(vms.chain([&self.scope.vm])).first() == Some(&&self.scope.vm)
    }

    /// Returns the addresses in other data centres that get the summaries of this one: in each the VM that speaks for it,
    /// and the next one, which takes over if that VM is gone.
    pub fn summary_recipients(&self, now_ms: u64) -> Vec<SocketAddr> {
        let mut by_data_centre: HashMap<&Name, Vec<&Name>> = HashMap::new();
        for (vm, peer) in &self.peers {
            let Some(known) = peer.known.as_ref().filter(|_| self.is_alive(peer, now_ms)) else {
                continue;
            };
            if known.data_centre != self.scope.data_centre {
                by_data_centre
                    .entry(&known.data_centre)
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

    /// Returns what a summary says of the other VMs of the own data centre.
    pub fn local_peer_states(&self, now_ms: u64) -> Vec<VmState> {
        let mut states = Vec::new();
        for (vm, peer) in &self.peers {
            let is_local = self.is_alive(peer, now_ms) && self.is_local(peer);
            let Some(known) = peer.known.as_ref().filter(|_| is_local) else {
                continue;
            };
            states.push(VmState {
                vm: vm.clone(),
                incarnation: known.order.0,
                sequence: known.order.1,
                front: known.front,
                peer: peer.address,
                is_ready: known.is_ready,
                age_ms: now_ms.saturating_sub(peer.heard_at_ms.unwrap_or(0)),
            });
        }
        states
    }

    /// Returns the addresses of the VMs that take callers, those in `data_centre` first.
    ///
    /// If no VM is heard at all, this VM is more likely cut off than alone, so the ones known before are named.
    pub fn front_addresses(&self, data_centre: &Name, now_ms: u64) -> Vec<SocketAddr> {
        let is_isolated = !self.peers.values().any(|peer| self.is_alive(peer, now_ms));
        let mut fronts = Vec::new();
        for peer in self.peers.values() {
            let Some(known) = peer.known.as_ref().filter(|known| known.is_ready) else {
                continue;
            };
            let silence_ms = now_ms.saturating_sub(peer.heard_at_ms.unwrap_or(0));
            if self.is_alive(peer, now_ms) || (is_isolated && silence_ms < ISOLATED_MS) {
                fronts.push((known.data_centre != *data_centre, known.front));
            }
        }
        fronts.sort_unstable();
        fronts.into_iter().map(|(_, front)| front).collect()
    }

    /// Returns the VMs that are heard and take callers, so that they know the configuration and the endpoints.
    pub fn members(&self, now_ms: u64) -> Vec<Member> {
        let mut members = Vec::new();
        for (vm, peer) in &self.peers {
            let Some(known) = peer.known.as_ref().filter(|known| known.is_ready) else {
                continue;
            };
            if !self.is_alive(peer, now_ms) {
                continue;
            }
            members.push(Member {
                vm: vm.clone(),
                data_centre: known.data_centre.clone(),
                address: peer.address,
            });
        }
        members
    }

    /// Returns the number of VMs that share budgets, this one included.
    pub fn budget_vm_count(&self, now_ms: u64) -> usize {
        let mut count = 1;
        for peer in self.peers.values() {
            let heard = peer.heard_at_ms;
            if heard.is_none_or(|at_ms| now_ms.saturating_sub(at_ms) < FORGOTTEN_MS) {
                count += 1;
            }
        }
        count
    }

    /// Returns the number of VMs that are heard.
    pub fn alive_count(&self, now_ms: u64) -> usize {
        self.peers
            .values()
            .filter(|peer| self.is_alive(peer, now_ms))
            .count()
    }

    fn is_heard(&self, vm: &Name, now_ms: u64) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| self.is_alive(peer, now_ms))
    }

    fn is_alive(&self, peer: &Peer, now_ms: u64) -> bool {
        // A VM that was heard directly before there were many is heard through summaries from then on.
        let is_summarised = self.uses_summaries() && !self.is_local(peer);
        let silence_max_ms = if is_summarised {
            REMOTE_SILENCE_MS
        } else {
            SILENCE_MS
        };
        let heard = peer.heard_at_ms;
        heard.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < silence_max_ms)
    }

    fn is_local(&self, peer: &Peer) -> bool {
        let known = peer.known.as_ref();
        known.is_some_and(|known| known.data_centre == self.scope.data_centre)
    }
}
