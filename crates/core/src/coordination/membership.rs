//! Which entry VMs exist, which of them are alive, and to which of them heartbeats go.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::Name;
use crate::coordination::rendezvous;

/// Silence after which a peer is suspect, in milliseconds.
pub const SUSPECT_AFTER_MS: u64 = 3_000;

/// Silence after which a peer is gone, in milliseconds.
pub const GONE_AFTER_MS: u64 = 6_000;

/// Time for which a peer that left the list but still answers is kept, in milliseconds.
///
/// The list lags, so a peer that answers may be about to be listed again.
pub const UNLISTED_KEEP_MS: u64 = 30_000;

/// Most peers that all receive heartbeats.
pub const FULL_MESH_MAX: usize = 9;

/// Peers chosen for heartbeats when there are more than [`FULL_MESH_MAX`].
pub const CHOSEN: usize = 8;

/// Replaced incarnations that are remembered for each peer.
const REPLACED_MAX: usize = 16;

/// A VM that the list names.
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
    /// Whether the list marks it as leaving.
    pub is_leaving: bool,
}

/// What a peer says about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerState {
    /// Whether a planned stop has begun.
    pub is_draining: bool,
    /// Requests in progress.
    pub load: u32,
    /// Version of the settings in force there.
    pub settings_version: u64,
}

/// An input of [`Membership`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The VM list answered; the own VM may be in it. A list that cannot be reached is no input.
    List(Vec<ListedVm>),
    /// The peer answered a call or a greeting.
    Answered {
        /// Name of the peer.
        name: Name,
        /// Identity of the process that answered.
        incarnation: u64,
    },
    /// The peer sent or answered its state.
    State {
        /// Name of the peer.
        name: Name,
        /// Identity of the process that sent it.
        incarnation: u64,
        /// The state.
        state: PeerState,
    },
    /// A new connection to the peer failed.
    ConnectFailed {
        /// Name of the peer.
        name: Name,
    },
    /// Time has passed.
    Tick,
}

/// An effect that [`Membership`] asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A process is gone, and with it all its requests.
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
    /// Identity of the process; 0 while it has not been heard of.
    pub incarnation: u64,
    /// State as last heard.
    pub state: PeerState,
    /// Whether it answered since the last failed connection.
    pub is_reachable: bool,
}

/// Whether a peer is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    /// It has not answered yet.
    New,
    /// It answers.
    Live,
    /// New connections fail and it has been silent for [`SUSPECT_AFTER_MS`].
    Suspect,
    /// New connections fail and it has been silent for [`GONE_AFTER_MS`].
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
    has_failed: bool,
    unlisted_since_ms: Option<u64>,
    is_target: bool,
}

/// What one VM knows of the others.
#[derive(Debug)]
pub struct Membership {
    own: Name,
    peers: BTreeMap<Name, Peer>,
}

impl Membership {
    /// Creates the membership of a VM that knows no peers.
    pub fn new(own: Name) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
        }
    }

    /// Applies one input at `now_ms` and returns what has to be done.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::List(listed_vms) => self.list(now_ms, listed_vms),
            Input::Answered { name, incarnation } => {
                self.answer(now_ms, &name, incarnation, &mut effects);
            }
            Input::State {
                name,
                incarnation,
                state,
            } => self.set_state(now_ms, &name, incarnation, state, &mut effects),
            Input::ConnectFailed { name } => {
                if let Some(peer) = self.peers.get_mut(&name) {
                    peer.has_failed = true;
                }
            }
            Input::Tick => {}
        }
        self.expire(now_ms, &mut effects);
        effects
    }

    /// Returns the peers that count as members, suspects included.
    pub fn members(&self) -> Vec<LivePeer> {
        let is_full_mesh = self.peers.len() <= FULL_MESH_MAX;
        let mut members = Vec::new();
        for peer in self.peers.values() {
            // A peer without heartbeats is a member on the word of the list, until a connection to it fails.
            let is_on_word = peer.liveness == Liveness::New
                && !is_full_mesh
                && !peer.is_target
                && !peer.has_failed;
            let is_member = matches!(peer.liveness, Liveness::Live | Liveness::Suspect);
            if !is_member && !is_on_word {
                continue;
            }
            let mut state = peer.state;
            state.is_draining |= peer.vm.is_leaving;
            members.push(LivePeer {
                vm: peer.vm.clone(),
                incarnation: peer.incarnation,
                state,
                is_reachable: !peer.has_failed,
            });
        }
        members
    }

    /// Chooses the peers that receive heartbeats: all, or some and the owners in use.
    pub fn choose_heartbeat_targets(&mut self, in_use: &BTreeSet<Name>) -> Vec<ListedVm> {
        let order = rendezvous::rank_candidates(self.own.as_str(), self.peers.keys());
        let count = match order.len() <= FULL_MESH_MAX {
            true => order.len(),
            false => CHOSEN,
        };
        let chosen: BTreeSet<Name> = order.into_iter().take(count).cloned().collect();
        let mut targets = Vec::new();
        for (name, peer) in &mut self.peers {
            peer.is_target = chosen.contains(name) || in_use.contains(name);
            if peer.is_target {
                targets.push(peer.vm.clone());
            }
        }
        targets
    }

    fn list(&mut self, now_ms: u64, listed_vms: Vec<ListedVm>) {
        let mut listed = BTreeSet::new();
        for vm in listed_vms {
            if vm.name == self.own {
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

    fn answer(&mut self, now_ms: u64, name: &Name, incarnation: u64, effects: &mut Vec<Effect>) {
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
        peer.has_failed = false;
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
        // A peer that receives no heartbeats is known by those that it sends. A target has to answer: that it can
        // send does not show that it can be reached.
        if !peer.is_target {
            self.answer(now_ms, name, incarnation, effects);
        }
        if let Some(peer) = self.peers.get_mut(name)
            && peer.incarnation == incarnation
        {
            peer.state = state;
        }
    }

    fn expire(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        self.peers.retain(|name, peer| {
            let was_counted = matches!(peer.liveness, Liveness::Live | Liveness::Suspect);
            peer.age(now_ms);
            let is_dropped = peer.unlisted_since_ms.is_some_and(|since_ms| {
                peer.liveness != Liveness::Live || now_ms >= since_ms + UNLISTED_KEEP_MS
            });
            if was_counted && (is_dropped || peer.liveness == Liveness::Gone) {
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
            has_failed: false,
            unlisted_since_ms: None,
            is_target: false,
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

    fn age(&mut self, now_ms: u64) {
        let silent_ms = now_ms.saturating_sub(self.answered_ms);
        // Silence alone may be the fault of one connection; a target is replaced by a new one first.
        let has_evidence = self.has_failed || !self.is_target;
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
