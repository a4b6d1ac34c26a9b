//! What the threads of a daemon share.

use std::sync::Arc;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use waxwing_core::Name;
use waxwing_core::TicketId;
use waxwing_core::state::settings::Settings;

use crate::claims::Claims;
use crate::config::Config;
use crate::scheduling::Scheduling;

/// State that all threads of the daemon reach.
#[derive(Debug)]
pub struct Shared {
    /// Settings of this VM.
    pub config: Config,
    /// Random identity of this process.
    pub incarnation: u64,
    /// Access to the scheduler of each pool.
    pub scheduling: Scheduling,
    /// Access to the owners of key ranges.
    pub claims: Claims,
    /// Requests in progress.
    pub in_progress: AtomicUsize,
    /// Whether a planned stop has begun.
    pub is_draining: AtomicBool,
    view: RwLock<Arc<View>>,
    sequence: AtomicU64,
    started: Instant,
}

/// A consistent picture of the settings in force and of the live VMs.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Version of the settings; 0 while there are none.
    pub settings_version: u64,
    /// Settings in force.
    pub settings: Settings,
    /// Live entry VMs, this one included.
    pub members: Vec<Member>,
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
    /// Whether it accepts new callers.
    pub is_draining: bool,
}

impl Shared {
    /// Creates the shared state of a process.
    pub fn new(config: Config, scheduling: Scheduling, claims: Claims) -> Self {
        let own = Member {
            name: config.vm.name.clone(),
            data_centre: config.vm.data_centre.clone(),
            caller_address: config.vm.caller_address.clone(),
            peer_address: config.vm.peer_address.clone(),
            is_draining: false,
        };
        let view = View {
            members: vec![own],
            ..View::default()
        };
        Self {
            config,
            incarnation: rand::random(),
            scheduling,
            claims,
            in_progress: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            view: RwLock::new(Arc::new(view)),
            sequence: AtomicU64::new(0),
            started: Instant::now(),
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        let guard = self
            .view
            .read()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        Arc::clone(&guard)
    }

    /// Replaces the view by what `change` makes of it.
    pub fn update_view(&self, change: impl FnOnce(&mut View)) {
        let mut guard = self
            .view
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut view = (**guard).clone();
        change(&mut view);
        *guard = Arc::new(view);
    }

    /// Returns a new identity for a request.
    pub fn to_ticket(&self) -> TicketId {
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

/// Returns the wall-clock time in milliseconds since the epoch.
pub fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
