//! Membership of entry VMs: discovery, failure detection and the choice of heartbeat targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::Name;
use crate::coordination::rendezvous;

/// Silence after which a peer is suspect, in milliseconds.
pub const SUSPECT_AFTER_MS: u64 = 3_000;

/// Silence after which a peer is gone, in milliseconds.
pub const GONE_AFTER_MS: u64 = 6_000;

/// Time for which a peer that is no longer in the VM list but still answers is kept, in milliseconds.
///
/// The list can be stale, so such a peer may be listed again soon.
pub const UNLISTED_GRACE_MS: u64 = 30_000;

/// Maximum number of peers that all receive heartbeats.
pub const FULL_MESH_MAX: usize = 9;

/// Number of peers chosen for heartbeats when there are more than [`FULL_MESH_MAX`].
pub const PARTIAL_MESH_PEERS: usize = 8;

/// Maximum number of replaced incarnations remembered for each peer.
const REPLACED_MAX: usize = 16;

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// Name.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Address for callers.
    pub caller_address: String,
    /// Address for other entry VMs.
    pub peer_address: String,
    /// Whether the VM list marks it as leaving.
    pub is_leaving: bool,
}

/// State that a peer reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerState {
    /// Whether a planned stop has begun.
    pub is_draining: bool,
    /// Number of requests in progress.
    pub load: u32,
    /// Version of the settings in force on the peer.
    pub settings_version: u64,
}

/// An input of [`Membership`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The VM list was fetched; it may contain the local VM. A failed fetch is no input.
    List(Vec<ListedVm>),
    /// The peer answered a call or a handshake.
    Answered {
        /// Name of the peer.
        name: Name,
        /// Identity of the process that answered.
        incarnation: u64,
    },
    /// The peer sent its state, in a heartbeat or in an answer.
    State {
        /// Name of the peer.
        name: Name,
        /// Identity of the process that sent it.
        incarnation: u64,
        /// State of the peer.
        state: PeerState,
    },
    /// An attempt to connect to the peer failed.
    ConnectFailed {
        /// Name of the peer.
        name: Name,
    },
    /// Periodic timer.
    Tick,
}

/// An effect that [`Membership`] asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A process is gone, together with all of its requests.
    Gone {
        /// Name of the VM.
        name: Name,
        /// Identity of the process.
        incarnation: u64,
    },
}

/// A live or suspect peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LivePeer {
    /// Name and addresses.
    pub vm: ListedVm,
    /// Identity of the process; 0 until the peer has answered or sent its state.
    pub incarnation: u64,
    /// Last state that the peer reported.
    pub state: PeerState,
    /// Whether the peer has answered since the last failed attempt to connect.
    pub is_reachable: bool,
}

/// Liveness of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    /// The peer has not answered yet.
    New,
    /// The peer answers.
    Live,
    /// The peer has been silent for [`SUSPECT_AFTER_MS`]; for a heartbeat target, connecting has failed too.
    Suspect,
    /// The peer has been silent for [`GONE_AFTER_MS`]; for a heartbeat target, connecting has failed too.
    Gone,
}

#[derive(Debug)]
struct Peer {
    vm: ListedVm,
    liveness: Liveness,
    incarnation: u64,
    replaced: VecDeque<u64>,
    state: PeerState,
    answered_ms: u64,
    has_connect_failed: bool,
    unlisted_since_ms: Option<u64>,
    is_heartbeat_target: bool,
}

/// Membership as seen by one VM.
#[derive(Debug)]
pub struct Membership {
    local: Name,
    peers: BTreeMap<Name, Peer>,
}

impl Membership {
    /// Creates the membership of the VM `local` without any peers.
    pub fn new(local: Name) -> Self {
        Self {
            local,
            peers: BTreeMap::new(),
        }
    }

    /// Processes an input at `now_ms` and returns the resulting effects.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::List(listed_vms) => self.apply_list(now_ms, listed_vms),
            Input::Answered { name, incarnation } => {
                self.record_answer(now_ms, &name, incarnation, &mut effects);
            }
            Input::State {
                name,
                incarnation,
                state,
            } => self.set_state(now_ms, &name, incarnation, state, &mut effects),
            Input::ConnectFailed { name } => {
                if let Some(peer) = self.peers.get_mut(&name) {
                    peer.has_connect_failed = true;
                }
            }
            Input::Tick => {}
        }
        self.expire(now_ms, &mut effects);
        effects
    }

    /// Returns the members, including suspect ones.
    pub fn members(&self) -> Vec<LivePeer> {
        let is_full_mesh = self.peers.len() <= FULL_MESH_MAX;
        let mut members = Vec::new();
        for peer in self.peers.values() {
            // A listed peer that gets no heartbeats is assumed to be alive until an attempt to connect to it fails.
            let is_assumed_alive = peer.liveness == Liveness::New
                && !is_full_mesh
                && !peer.is_heartbeat_target
                && !peer.has_connect_failed;
            let is_member = matches!(peer.liveness, Liveness::Live | Liveness::Suspect);
            if !is_member && !is_assumed_alive {
                continue;
            }
            let mut state = peer.state;
            state.is_draining |= peer.vm.is_leaving;
            members.push(LivePeer {
                vm: peer.vm.clone(),
                incarnation: peer.incarnation,
                state,
                is_reachable: !peer.has_connect_failed,
            });
        }
        members
    }

    /// Chooses the peers that receive heartbeats: all of them in a small deployment, otherwise a subset and all of
    /// `in_use`.
    pub fn choose_heartbeat_targets(&mut self, in_use: &BTreeSet<Name>) -> Vec<ListedVm> {
        let order = rendezvous::rank_candidates(self.local.as_str(), self.peers.keys());
        let count = match order.len() <= FULL_MESH_MAX {
            true => order.len(),
            false => PARTIAL_MESH_PEERS,
        };
        let chosen: BTreeSet<Name> = order.into_iter().take(count).cloned().collect();
        let mut targets = Vec::new();
        for (name, peer) in &mut self.peers {
            peer.is_heartbeat_target = chosen.contains(name) || in_use.contains(name);
            if peer.is_heartbeat_target {
                targets.push(peer.vm.clone());
            }
        }
        targets
    }

    fn apply_list(&mut self, now_ms: u64, listed_vms: Vec<ListedVm>) {
        let mut listed = BTreeSet::new();
        for vm in listed_vms {
            if vm.name == self.local {
                continue;
            }
            listed.insert(vm.name.clone());
            match self.peers.get_mut(&vm.name) {
                Some(peer) => {
                    peer.vm = vm;
                    peer.unlisted_since_ms = None;
                }
                None => {
                    self.peers.insert(vm.name.clone(), Peer::new(vm));
                }
            }
        }
        for (name, peer) in &mut self.peers {
            if !listed.contains(name) && peer.unlisted_since_ms.is_none() {
                peer.unlisted_since_ms = Some(now_ms);
            }
        }
    }

    fn record_answer(
        &mut self,
        now_ms: u64,
        name: &Name,
        incarnation: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if peer.replaced.contains(&incarnation) {
            return;
        }
        if peer.incarnation != incarnation {
            peer.replace(incarnation, effects);
        }
        peer.liveness = Liveness::Live;
        peer.answered_ms = now_ms;
        peer.has_connect_failed = false;
    }

    fn set_state(
        &mut self,
        now_ms: u64,
        name: &Name,
        incarnation: u64,
        state: PeerState,
        effects: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.peers.get(name) else {
            return;
        };
        if peer.replaced.contains(&incarnation) {
            return;
        }
        // A peer that gets no heartbeats is tracked by the heartbeats that it sends. A heartbeat target has to answer,
        // since a message from it does not show that it can be reached.
        if !peer.is_heartbeat_target {
            self.record_answer(now_ms, name, incarnation, effects);
        }
        if let Some(peer) = self.peers.get_mut(name)
            && peer.incarnation == incarnation
        {
            peer.state = state;
        }
    }

    fn expire(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        self.peers.retain(|name, peer| {
            let was_member = matches!(peer.liveness, Liveness::Live | Liveness::Suspect);
            peer.update_liveness(now_ms);
            let is_dropped = peer.unlisted_since_ms.is_some_and(|since_ms| {
                peer.liveness != Liveness::Live || now_ms >= since_ms + UNLISTED_GRACE_MS
            });
            if was_member && (is_dropped || peer.liveness == Liveness::Gone) {
                effects.push(Effect::Gone {
                    name: name.clone(),
                    incarnation: peer.incarnation,
                });
            }
            !is_dropped
        });
    }
}

impl Peer {
    fn new(vm: ListedVm) -> Self {
        Self {
            vm,
            liveness: Liveness::New,
            incarnation: 0,
            replaced: VecDeque::new(),
            state: PeerState::default(),
            answered_ms: 0,
            has_connect_failed: false,
            unlisted_since_ms: None,
            is_heartbeat_target: false,
        }
    }

    fn replace(&mut self, incarnation: u64, effects: &mut Vec<Effect>) {
        if self.incarnation != 0 {
            if self.replaced.len() >= REPLACED_MAX {
                self.replaced.pop_front();
            }
            self.replaced.push_back(self.incarnation);
        }
        if matches!(self.liveness, Liveness::Live | Liveness::Suspect) {
            effects.push(Effect::Gone {
                name: self.vm.name.clone(),
                incarnation: self.incarnation,
            });
        }
        self.incarnation = incarnation;
        self.state = PeerState::default();
    }

    fn update_liveness(&mut self, now_ms: u64) {
        let silent_ms = now_ms.saturating_sub(self.answered_ms);
        // Silence alone may be caused by one broken connection, so a new connection to a heartbeat target has to fail
        // too.
        let has_evidence = self.has_connect_failed || !self.is_heartbeat_target;
        if !has_evidence {
            return;
        }
        if self.liveness == Liveness::Live && silent_ms >= SUSPECT_AFTER_MS {
            self.liveness = Liveness::Suspect;
        }
        if self.liveness == Liveness::Suspect && silent_ms >= GONE_AFTER_MS {
            self.liveness = Liveness::Gone;
        }
    }
}
