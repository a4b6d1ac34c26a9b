//! The members thread: follows the VM list, sends heartbeats and publishes the live members.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use rand::Rng;
use waxwing_core::Name;
use waxwing_core::coordination::membership::Effect;
use waxwing_core::coordination::membership::Input;
use waxwing_core::coordination::membership::ListedVm;
use waxwing_core::coordination::membership::LivePeer;
use waxwing_core::coordination::membership::Membership;
use waxwing_core::coordination::membership::PeerState;
use waxwing_wire::peer::Digest;
use waxwing_wire::platform::VmList;
use waxwing_wire::platform::VmRole;
use waxwing_wire::platform::VmState;

use crate::peer;
use crate::peer::Answer;
use crate::peer::Target;
use crate::scheduling;
use crate::shared::Member;
use crate::shared::Shared;
use crate::transport::log_client::new_session;

/// Events that may wait for the thread.
const EVENTS_MAX: usize = 4_096;

/// Time between heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;

/// Interval at which changed settings are polled for, in milliseconds.
const SETTINGS_POLL_MS: u64 = 200;

/// Shortest time between reads of the VM list, in milliseconds.
const LIST_MIN_MS: u64 = 1_000;

/// Longest time between reads of the VM list, in milliseconds.
const LIST_MAX_MS: u64 = 60_000;

/// Bytes per second that reads of the VM list may take; a longer list is read less often.
const LIST_BYTES_PER_S: u64 = 4_096;

/// Timeout of a read of the VM list, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 2_000;

/// Time after which an endpoint that a peer marked as leaving expires, in milliseconds; each heartbeat renews it.
const PEER_LEAVING_TTL_MS: u64 = 10_000;

#[derive(Debug)]
enum Event {
    Connected {
        name: Name,
        incarnation: u64,
    },
    ConnectFailed {
        name: Name,
    },
    Exchanged {
        name: Name,
        result: peer::Result<Answer>,
    },
    DigestReceived(Digest),
    List(VmList),
    Announce,
}

/// Handle of the members thread.
#[derive(Clone, Debug)]
pub struct Members {
    events: Sender<Event>,
}

/// Receiving end of [`Members`], for its thread.
#[derive(Debug)]
pub struct Inbox {
    events: Receiver<Event>,
}

impl Members {
    /// Creates the handle and the inbox of its thread.
    pub fn new() -> (Self, Inbox) {
        let (sender, receiver) = flume::bounded(EVENTS_MAX);
        (Self { events: sender }, Inbox { events: receiver })
    }

    /// Sends the state of this VM to its peers at once.
    pub fn announce(&self) {
        // A full channel is drained within milliseconds, and the next heartbeat carries the state too.
        let _ = self.events.try_send(Event::Announce);
    }

    /// Returns the state of this VM.
    pub(crate) fn digest(&self, shared: &Shared) -> Digest {
        let view = shared.view();
        let mut leaving = view.listed_leaving.clone();
        for pool in view.settings.pools.values() {
            for endpoint in &pool.endpoints {
                if endpoint.leaving {
                    leaving.insert(endpoint.name.clone());
                }
            }
        }
        Digest {
            name: shared.config.vm.name.clone(),
            incarnation: shared.incarnation,
            is_draining: shared.is_draining.load(Ordering::SeqCst),
            settings_version: view.settings_version,
            load: shared.in_progress.load(Ordering::SeqCst) as u32,
            leaving: leaving.into_iter().collect(),
        }
    }

    /// Records that a new connection to a peer completed its handshake.
    pub(crate) async fn connected(&self, name: &Name, incarnation: u64) {
        let name = name.clone();
        self.send(Event::Connected { name, incarnation }).await;
    }

    /// Records that a new connection to a peer failed.
    pub(crate) async fn connect_failed(&self, name: &Name) {
        self.send(Event::ConnectFailed { name: name.clone() }).await;
    }

    /// Records the response to a heartbeat.
    pub(crate) async fn exchanged(&self, name: &Name, result: peer::Result<Answer>) {
        let name = name.clone();
        self.send(Event::Exchanged { name, result }).await;
    }

    /// Records the heartbeat of a peer.
    pub(crate) async fn digest_received(&self, digest: Digest) {
        self.send(Event::DigestReceived(digest)).await;
    }

    async fn send(&self, event: Event) {
        // The thread ends only with the process.
        let _ = self.events.send_async(event).await;
    }
}

/// Starts the members thread, and the thread that reads the VM list if there is one.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn start(shared: Arc<Shared>, inbox: Inbox) -> std::io::Result<()> {
    if !shared.config.platform.vm_list_address.is_empty() {
        let shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("vm-list".to_owned())
            .spawn(move || follow_list(&shared))?;
    }
    thread::Builder::new()
        .name("members".to_owned())
        .spawn(move || run(shared, &inbox))?;
    Ok(())
}

fn follow_list(shared: &Shared) {
    loop {
        let mut pause_ms = LIST_MIN_MS;
        match read_list(&shared.config.platform.vm_list_address) {
            Ok((list, bytes)) => {
                let fair_ms = bytes as u64 * 1_000 / LIST_BYTES_PER_S;
                pause_ms = fair_ms.clamp(LIST_MIN_MS, LIST_MAX_MS);
                let _ = shared.members.events.send(Event::List(list));
            }
            // The last list that was read stays in effect.
            Err(error) => log::warn!("the VM list cannot be read: {error}"),
        }
        let jittered_ms = rand::rng().random_range(pause_ms * 3 / 4..=pause_ms);
        thread::sleep(Duration::from_millis(jittered_ms));
    }
}

fn read_list(address: &str) -> Result<(VmList, usize), Box<dyn std::error::Error>> {
    let session = new_session(LIST_TIMEOUT_MS);
    let response = session
        .get(format!("http://{address}/vms"))
        .send()?
        .error_for_status()?;
    let bytes = response.bytes()?;
    Ok((serde_json::from_slice(&bytes)?, bytes.len()))
}

struct State {
    shared: Arc<Shared>,
    membership: Membership,
    targets: Vec<Target>,
    /// Peers with a heartbeat in flight.
    in_flight: BTreeSet<Name>,
    listed_leaving: BTreeSet<Name>,
    /// Endpoints that peers mark as leaving, with the time of the last such heartbeat.
    peer_leaving: BTreeMap<Name, u64>,
    announced_leaving: Vec<Name>,
    announced_version: u64,
}

fn run(shared: Arc<Shared>, inbox: &Inbox) {
    let mut state = State {
        membership: Membership::new(shared.config.vm.name.clone()),
        targets: Vec::new(),
        in_flight: BTreeSet::new(),
        listed_leaving: BTreeSet::new(),
        peer_leaving: BTreeMap::new(),
        announced_leaving: Vec::new(),
        announced_version: 0,
        shared,
    };
    let mut next_ms: u64 = 0;
    loop {
        let now_ms = state.shared.now_ms();
        let wait_ms = next_ms.saturating_sub(now_ms).min(SETTINGS_POLL_MS);
        match inbox.events.recv_timeout(Duration::from_millis(wait_ms)) {
            Ok(event) => state.handle_event(event),
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => return,
        }
        let now_ms = state.shared.now_ms();
        let is_heartbeat_due = now_ms >= next_ms;
        if is_heartbeat_due {
            next_ms = now_ms + HEARTBEAT_MS;
            state.step(Input::Tick);
            state.send_heartbeats();
        }
        state.publish(now_ms, is_heartbeat_due);
        state.choose_targets();
        state.announce_changes();
    }
}

impl State {
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Connected { name, incarnation } => {
                self.in_flight.remove(&name);
                self.step(Input::Answered {
                    name: name.clone(),
                    incarnation,
                });
                self.exchange(&name);
            }
            Event::ConnectFailed { name } => self.step(Input::ConnectFailed { name }),
            Event::Exchanged { name, result } => {
                self.in_flight.remove(&name);
                if let Ok(Answer::Digest(digest)) = result {
                    let incarnation = digest.incarnation;
                    self.step(Input::Answered { name, incarnation });
                    self.apply_digest(digest);
                }
            }
            Event::DigestReceived(digest) => self.apply_digest(digest),
            Event::List(list) => self.apply_list(list),
            Event::Announce => self.announce(),
        }
    }

    fn step(&mut self, input: Input) {
        let now_ms = self.shared.now_ms();
        for effect in self.membership.step(now_ms, input) {
            let Effect::Gone { name, incarnation } = effect;
            log::warn!("member {name} with incarnation {incarnation} is gone");
            self.shared.scheduling.notify_member_gone(incarnation);
        }
    }

    fn apply_digest(&mut self, digest: Digest) {
        let now_ms = self.shared.now_ms();
        for endpoint in &digest.leaving {
            self.peer_leaving.insert(endpoint.clone(), now_ms);
        }
        let state = PeerState {
            is_draining: digest.is_draining,
            load: digest.load,
            settings_version: digest.settings_version,
        };
        self.step(Input::State {
            name: digest.name,
            incarnation: digest.incarnation,
            state,
        });
    }

    fn apply_list(&mut self, list: VmList) {
        let mut entry_vms = Vec::new();
        self.listed_leaving.clear();
        for vm in list.vms {
            let is_leaving = vm.state == VmState::Leaving;
            match vm.role {
                VmRole::Entry => entry_vms.push(ListedVm {
                    name: vm.name.into(),
                    data_centre: vm.data_centre.into(),
                    caller_address: vm.address,
                    peer_address: vm.peer_address,
                    is_leaving,
                }),
                VmRole::Endpoint if is_leaving => {
                    self.listed_leaving.insert(vm.name.into());
                }
                VmRole::Endpoint => {}
            }
        }
        self.step(Input::List(entry_vms));
    }

    /// Sends a heartbeat to each peer that has none in flight.
    fn send_heartbeats(&mut self) {
        let names: Vec<Name> = self.targets.iter().map(|it| it.name.clone()).collect();
        for name in names {
            if !self.in_flight.contains(&name) {
                self.exchange(&name);
            }
        }
    }

    /// Sends the state of this VM to each peer, even if a heartbeat is in flight.
    fn announce(&mut self) {
        let names: Vec<Name> = self.targets.iter().map(|it| it.name.clone()).collect();
        for name in names {
            self.exchange(&name);
        }
    }

    fn exchange(&mut self, name: &Name) {
        let digest = self.shared.members.digest(&self.shared);
        if self.shared.peers.exchange(name, digest).is_ok() {
            self.in_flight.insert(name.clone());
        }
    }

    fn choose_targets(&mut self) {
        let view = self.shared.view();
        let owners = scheduling::pool_owners(&view, &self.shared.config.vm);
        let in_use: BTreeSet<Name> = owners.into_values().collect();
        let mut targets = Vec::new();
        for vm in self.membership.choose_heartbeat_targets(&in_use) {
            targets.push(Target {
                name: vm.name,
                address: vm.peer_address,
            });
        }
        if targets != self.targets && self.shared.peers.set_targets(targets.clone()) {
            self.in_flight
                .retain(|name| targets.iter().any(|target| target.name == *name));
            self.targets = targets;
        }
    }

    /// Updates the view. A change of loads alone waits for the next heartbeat, since each update copies the settings.
    fn publish(&mut self, now_ms: u64, is_heartbeat_due: bool) {
        self.peer_leaving
            .retain(|_, received_ms| *received_ms + PEER_LEAVING_TTL_MS > now_ms);
        let mut leaving = self.listed_leaving.clone();
        leaving.extend(self.peer_leaving.keys().cloned());
        let mut members = vec![self.local_member()];
        for peer in self.membership.members() {
            members.push(new_member(peer));
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let view = self.shared.view();
        let has_same_members = match is_heartbeat_due {
            true => view.members == members,
            false => is_equal_without_load(&view.members, &members),
        };
        if has_same_members && view.leaving == leaving && view.listed_leaving == self.listed_leaving
        {
            return;
        }
        let listed_leaving = self.listed_leaving.clone();
        self.shared.update_view(|view| {
            view.members = members;
            view.leaving = leaving;
            view.listed_leaving = listed_leaving;
        });
    }

    /// Sends heartbeats at once when the leaving endpoints or the settings version of this VM change.
    ///
    /// If this VM becomes the owner of a shard, all peers then move their requests to it at the same time.
    fn announce_changes(&mut self) {
        let digest = self.shared.members.digest(&self.shared);
        if digest.leaving == self.announced_leaving
            && digest.settings_version == self.announced_version
        {
            return;
        }
        self.announced_leaving = digest.leaving;
        self.announced_version = digest.settings_version;
        self.announce();
    }

    fn local_member(&self) -> Member {
        let shared = &self.shared;
        let vm = &shared.config.vm;
        Member {
            name: vm.name.clone(),
            data_centre: vm.data_centre.clone(),
            caller_address: vm.caller_address.clone(),
            peer_address: vm.peer_address.clone(),
            is_draining: shared.is_draining.load(Ordering::SeqCst),
            incarnation: shared.incarnation,
            is_reachable: true,
            // Readers take the local load from `Shared::in_progress`.
            load: 0,
            settings_version: shared.view().settings_version,
        }
    }
}

fn is_equal_without_load(old: &[Member], new: &[Member]) -> bool {
    let is_equal = |(old, new): (&Member, &Member)| {
        let load = old.load;
        *old == Member {
            load,
            ..new.clone()
        }
    };
    old.len() == new.len() && old.iter().zip(new).all(is_equal)
}

fn new_member(peer: LivePeer) -> Member {
    let vm = peer.vm;
    Member {
        name: vm.name,
        data_centre: vm.data_centre,
        caller_address: vm.caller_address,
        peer_address: vm.peer_address,
        is_draining: peer.state.is_draining,
        incarnation: peer.incarnation,
        is_reachable: peer.is_reachable,
        load: peer.state.load,
        settings_version: peer.state.settings_version,
    }
}
