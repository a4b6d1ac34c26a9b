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

/// Longest time after which a change of the settings is noticed, in milliseconds.
const WAKE_MS: u64 = 200;

/// Shortest time between reads of the VM list, in milliseconds.
const LIST_MIN_MS: u64 = 1_000;

/// Longest time between reads of the VM list, in milliseconds.
const LIST_MAX_MS: u64 = 60_000;

/// Bytes per second that reads of the VM list may take; a longer list is read less often.
const LIST_BYTES_PER_S: u64 = 4_096;

/// Time for the answer of the VM list, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 2_000;

/// Time for which the word of a peer that an endpoint leaves is kept, in milliseconds; each heartbeat renews it.
const HEARD_KEEP_MS: u64 = 10_000;

/// Something that the thread learns.
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
    Heard(Digest),
    List(VmList),
    Announce,
}

/// Access to the members thread.
#[derive(Clone, Debug)]
pub struct Members {
    events: Sender<Event>,
}

/// The other end of [`Members`], for the thread.
#[derive(Debug)]
pub struct Inbox {
    events: Receiver<Event>,
}

impl Members {
    /// Creates the access and the inbox of its thread.
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

    /// Notes that a new connection to a peer was greeted.
    pub(crate) async fn connected(&self, name: &Name, incarnation: u64) {
        let name = name.clone();
        self.put(Event::Connected { name, incarnation }).await;
    }

    /// Notes that a new connection to a peer failed.
    pub(crate) async fn connect_failed(&self, name: &Name) {
        self.put(Event::ConnectFailed { name: name.clone() }).await;
    }

    /// Notes the answer to a heartbeat.
    pub(crate) async fn exchanged(&self, name: &Name, result: peer::Result<Answer>) {
        let name = name.clone();
        self.put(Event::Exchanged { name, result }).await;
    }

    /// Notes the heartbeat of a peer.
    pub(crate) async fn heard(&self, digest: Digest) {
        self.put(Event::Heard(digest)).await;
    }

    async fn put(&self, event: Event) {
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
            // What is known stays in force.
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
    /// Peers whose answer to a heartbeat is outstanding.
    awaited: BTreeSet<Name>,
    listed_leaving: BTreeSet<Name>,
    /// Endpoints that peers call leaving, and when they last did.
    heard_leaving: BTreeMap<Name, u64>,
    announced_leaving: Vec<Name>,
    announced_version: u64,
}

fn run(shared: Arc<Shared>, inbox: &Inbox) {
    let mut state = State {
        membership: Membership::new(shared.config.vm.name.clone()),
        targets: Vec::new(),
        awaited: BTreeSet::new(),
        listed_leaving: BTreeSet::new(),
        heard_leaving: BTreeMap::new(),
        announced_leaving: Vec::new(),
        announced_version: 0,
        shared,
    };
    let mut next_ms: u64 = 0;
    loop {
        let now_ms = state.shared.now_ms();
        let wait_ms = next_ms.saturating_sub(now_ms).min(WAKE_MS);
        match inbox.events.recv_timeout(Duration::from_millis(wait_ms)) {
            Ok(event) => state.learn(event),
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => return,
        }
        let now_ms = state.shared.now_ms();
        let is_beat = now_ms >= next_ms;
        if is_beat {
            next_ms = now_ms + HEARTBEAT_MS;
            state.step(Input::Tick);
            state.beat();
        }
        state.publish(now_ms, is_beat);
        state.choose_targets();
        state.announce_changes();
    }
}

impl State {
    fn learn(&mut self, event: Event) {
        match event {
            Event::Connected { name, incarnation } => {
                self.awaited.remove(&name);
                self.step(Input::Answered {
                    name: name.clone(),
                    incarnation,
                });
                self.exchange(&name);
            }
            Event::ConnectFailed { name } => self.step(Input::ConnectFailed { name }),
            Event::Exchanged { name, result } => {
                self.awaited.remove(&name);
                if let Ok(Answer::Digest(digest)) = result {
                    let incarnation = digest.incarnation;
                    self.step(Input::Answered { name, incarnation });
                    self.hear(digest);
                }
            }
            Event::Heard(digest) => self.hear(digest),
            Event::List(list) => self.list(list),
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

    fn hear(&mut self, digest: Digest) {
        let now_ms = self.shared.now_ms();
        for endpoint in &digest.leaving {
            self.heard_leaving.insert(endpoint.clone(), now_ms);
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

    fn list(&mut self, list: VmList) {
        let mut candidates = Vec::new();
        self.listed_leaving.clear();
        for vm in list.vms {
            let is_leaving = vm.state == VmState::Leaving;
            match vm.role {
                VmRole::Entry => candidates.push(ListedVm {
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
        self.step(Input::List(candidates));
    }

    /// Sends a heartbeat to each peer that answered the last one.
    fn beat(&mut self) {
        let names: Vec<Name> = self.targets.iter().map(|it| it.name.clone()).collect();
        for name in names {
            if !self.awaited.contains(&name) {
                self.exchange(&name);
            }
        }
    }

    /// Sends the state of this VM to each peer, whether or not the last heartbeat was answered.
    fn announce(&mut self) {
        let names: Vec<Name> = self.targets.iter().map(|it| it.name.clone()).collect();
        for name in names {
            self.exchange(&name);
        }
    }

    fn exchange(&mut self, name: &Name) {
        let digest = self.shared.members.digest(&self.shared);
        if self.shared.peers.exchange(name, digest).is_ok() {
            self.awaited.insert(name.clone());
        }
    }

    fn choose_targets(&mut self) {
        let view = self.shared.view();
        let owners = scheduling::pool_owners(&view, &self.shared.config.vm);
        let in_use: BTreeSet<Name> = owners.into_values().collect();
        let mut targets = Vec::new();
        for candidate in self.membership.choose_heartbeat_targets(&in_use) {
            targets.push(Target {
                name: candidate.name,
                address: candidate.peer_address,
            });
        }
        if targets != self.targets && self.shared.peers.set_targets(targets.clone()) {
            self.awaited
                .retain(|name| targets.iter().any(|target| target.name == *name));
            self.targets = targets;
        }
    }

    /// Updates the view; one in which only loads differ waits for the next beat, since an update copies the settings.
    fn publish(&mut self, now_ms: u64, is_beat: bool) {
        self.heard_leaving
            .retain(|_, heard_ms| *heard_ms + HEARD_KEEP_MS > now_ms);
        let mut leaving = self.listed_leaving.clone();
        leaving.extend(self.heard_leaving.keys().cloned());
        let mut members = vec![self.local_member()];
        for peer in self.membership.members() {
            members.push(new_member(peer));
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let view = self.shared.view();
        let has_same_members = match is_beat {
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

    /// Tells the peers at once when an endpoint leaves or this VM has other settings.
    ///
    /// The peers then move the requests of a shard that this VM now owns at the same time.
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
            // Readers take the own load from its source.
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
    let candidate = peer.vm;
    Member {
        name: candidate.name,
        data_centre: candidate.data_centre,
        caller_address: candidate.caller_address,
        peer_address: candidate.peer_address,
        is_draining: peer.state.is_draining,
        incarnation: peer.incarnation,
        is_reachable: peer.is_reachable,
        load: peer.state.load,
        settings_version: peer.state.settings_version,
    }
}
