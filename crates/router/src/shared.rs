//! State that the threads of a daemon share, and the handles of the threads.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use flume::Receiver;
use flume::Sender;
use waxwing_core::Name;
use waxwing_core::TicketId;
use waxwing_core::state::settings::Settings;

use crate::budget;
use crate::budget::Budgets;
use crate::claims;
use crate::claims::ClaimsHandle;
use crate::config::Config;
use crate::jobs::Jobs;
use crate::members;
use crate::members::Members;
use crate::peer;
use crate::peer::Peers;
use crate::request::trace::Traces;
use crate::scheduling;
use crate::scheduling::SchedulerHandle;
use crate::settings_sync::SettingsHandle;

/// Handles of the threads that are started with the shared state.
#[derive(Debug)]
pub struct Handles {
    /// Scheduler thread.
    pub scheduling: SchedulerHandle,
    /// Peer thread.
    pub peers: Peers,
    /// Members thread.
    pub members: Members,
    /// Claims thread.
    pub claims: ClaimsHandle,
}

/// Receiving ends of [`Handles`], for the threads.
#[derive(Debug)]
pub struct Inboxes {
    /// Scheduler thread.
    pub scheduling: scheduling::Inbox,
    /// Peer thread.
    pub peers: peer::Inbox,
    /// Members thread.
    pub members: members::Inbox,
    /// Claims thread.
    pub claims: claims::Inbox,
}

impl Handles {
    /// Creates the handles and the inboxes of all threads.
    pub fn new() -> (Self, Inboxes) {
        let (scheduling, scheduling_inbox) = SchedulerHandle::new();
        let (peers, peers_inbox) = Peers::new();
        let (members, members_inbox) = Members::new();
        let (claims, claims_inbox) = ClaimsHandle::new();
        let handles = Self {
            scheduling,
            peers,
            members,
            claims,
        };
        let inboxes = Inboxes {
            scheduling: scheduling_inbox,
            peers: peers_inbox,
            members: members_inbox,
            claims: claims_inbox,
        };
        (handles, inboxes)
    }
}

/// State that the threads of the daemon share.
#[derive(Debug)]
pub struct Shared {
    /// Settings of this VM.
    pub config: Config,
    /// Random identity of this process.
    pub incarnation: u64,
    /// Handle of the scheduler thread.
    pub scheduling: SchedulerHandle,
    /// Traces of recent requests.
    pub traces: Traces,
    /// Handle for calls to the other entry VMs.
    pub peers: Peers,
    /// Handle of the members thread.
    pub members: Members,
    /// Jobs.
    pub jobs: Jobs,
    budgets: Mutex<budget::Inner>,
    /// Handle of the settings thread.
    pub settings_sync: SettingsHandle,
    /// Handle of the claims thread.
    pub claims: ClaimsHandle,
    /// Requests in progress.
    pub in_progress: AtomicUsize,
    /// Number of contents that are refused because they crashed too many endpoints.
    pub refused_contents: AtomicUsize,
    /// Open connections of callers.
    pub connections: AtomicUsize,
    /// Whether a planned stop has begun.
    pub is_draining: AtomicBool,
    /// Whether new requests are refused, which follows draining after the lifetime of the entry addresses.
    pub is_stopping: AtomicBool,
    draining: Latch,
    stopping: Latch,
    view: RwLock<Arc<View>>,
    sequence: AtomicU64,
    started: Instant,
}

/// A consistent snapshot of the settings in force and of the live VMs.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Version of the settings; 0 while there are none.
    pub settings_version: u64,
    /// Settings in force.
    pub settings: Settings,
    /// Version in force of each subtree: `deployment` and `teams.T`.
    pub subtree_versions: BTreeMap<String, u64>,
    /// Live entry VMs, this one included.
    pub members: Vec<Member>,
    /// Endpoints that the VM list or a peer marks as leaving.
    pub leaving: BTreeSet<Name>,
    /// Endpoints that the VM list of this VM marks as leaving.
    pub listed_leaving: BTreeSet<Name>,
}

/// A live entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Address for callers.
    pub caller_address: String,
    /// Address for other entry VMs.
    pub peer_address: String,
    /// Whether a planned stop has begun.
    pub is_draining: bool,
    /// Random identity of its process; 0 until its first heartbeat or handshake.
    pub incarnation: u64,
    /// Whether the last new connection to it succeeded.
    pub is_reachable: bool,
    /// Requests in progress there, from its last heartbeat.
    pub load: u32,
    /// Version of its settings, from its last heartbeat.
    pub settings_version: u64,
}

impl Member {
    /// Returns whether the member may schedule a shard: it is not draining and not known to lack settings.
    ///
    /// A VM without settings has no pools, so it would lose adoptions of running requests.
    pub fn is_eligible(&self) -> bool {
        let is_incarnation_known = self.incarnation != 0;
        !self.is_draining && (self.settings_version > 0 || !is_incarnation_known)
    }
}

/// A one-time event that any number of threads and tasks may wait for.
#[derive(Debug)]
struct Latch {
    sender: Mutex<Option<Sender<()>>>,
    receiver: Receiver<()>,
}

impl Latch {
    fn new() -> Self {
        let (sender, receiver) = flume::bounded(1);
        Self {
            sender: Mutex::new(Some(sender)),
            receiver,
        }
    }

    /// Dropping the only sender wakes every receiver.
    fn open(&self) {
        let mut guard = self
            .sender
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        guard.take();
    }
}

impl Shared {
    /// Creates the shared state of a process.
    pub fn new(config: Config, handles: Handles) -> Self {
        let incarnation = rand::random();
        let local = Member {
            name: config.vm.name.clone(),
            data_centre: config.vm.data_centre.clone(),
            caller_address: config.vm.caller_address.clone(),
            peer_address: config.vm.peer_address.clone(),
            is_draining: false,
            incarnation,
            is_reachable: true,
            load: 0,
            settings_version: 0,
        };
        let view = View {
            members: vec![local],
            ..View::default()
        };
        Self {
            config,
            incarnation,
            scheduling: handles.scheduling,
            traces: Traces::default(),
            peers: handles.peers,
            members: handles.members,
            jobs: Jobs::new(),
            budgets: Mutex::default(),
            settings_sync: SettingsHandle::new(),
            claims: handles.claims,
            in_progress: AtomicUsize::new(0),
            refused_contents: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            draining: Latch::new(),
            stopping: Latch::new(),
            view: RwLock::new(Arc::new(view)),
            sequence: AtomicU64::new(0),
            started: Instant::now(),
        }
    }

    /// Begins a planned stop; later calls have no effect.
    pub fn drain(&self) {
        if self.is_draining.swap(true, Ordering::SeqCst) {
            return;
        }
        self.members.announce();
        self.draining.open();
    }

    /// Refuses new requests from now on.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
        self.stopping.open();
    }

    /// Waits until a planned stop has begun.
    pub fn wait_for_draining(&self) {
        // The latch never sends; the receive fails when it opens.
        let _ = self.draining.receiver.recv();
    }

    /// Resolves when new requests are refused.
    pub async fn wait_for_stopping(&self) {
        let _ = self.stopping.receiver.recv_async().await;
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        let guard = self
            .view
            .read()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        Arc::clone(&guard)
    }

    /// Replaces the view with a copy that `change` has modified.
    pub fn update_view(&self, change: impl FnOnce(&mut View)) {
        let mut guard = self
            .view
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut view = (**guard).clone();
        change(&mut view);
        *guard = Arc::new(view);
    }

    /// Locks the budgets of repeated attempts.
    pub fn lock_budgets(&self) -> Budgets<'_> {
        let inner = self
            .budgets
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        Budgets::new(inner, self.now_ms())
    }

    /// Returns a new identity for a request.
    pub fn new_ticket(&self) -> TicketId {
        TicketId {
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Returns the monotonic time of this process in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
