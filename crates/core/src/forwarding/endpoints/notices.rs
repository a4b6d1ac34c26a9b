//! Notices that endpoints attach to responses: that they are leaving, and that they request a pause.
//!
//! Stored separately from the registry, because an entry can expire and be renewed while the endpoint stays alive.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::forwarding::endpoints::Entry;
use crate::hash::hash_name;
use crate::hash::mix;

/// Capacity for incarnations; fewer leave or pause at the same time in a fleet.
const INCARNATIONS_MAX: usize = 4_096;

/// Hash of an endpoint's id and start time, the same on all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

impl From<&Entry> for Incarnation {
    fn from(entry: &Entry) -> Self {
        Self(mix(
            hash_name(entry.id.as_str()) ^ mix(entry.born_ms.unwrap_or(0))
        ))
    }
}

/// Notices by incarnation; a restarted endpoint starts without any.
#[derive(Debug, Default)]
pub struct Notices {
    leaving: HashSet<Incarnation>,
    paused_until_ms: HashMap<Incarnation, u64>,
}

impl Notices {
    /// Records that an incarnation is leaving; returns whether this was not known.
    ///
    /// Leaving is final: an entry that is not draining may be older than the notice.
    pub fn add_leaving(&mut self, incarnation: Incarnation) -> bool {
        if self.leaving.len() >= INCARNATIONS_MAX {
            self.leaving.clear();
        }
        self.leaving.insert(incarnation)
    }

    /// Records that an incarnation requested a pause until `until_ms`; a pause is never shortened.
    pub fn pause(&mut self, incarnation: Incarnation, until_ms: u64, now_ms: u64) {
        if self.paused_until_ms.len() >= INCARNATIONS_MAX {
            self.paused_until_ms.retain(|_, until| *until > now_ms);
        }
        let until = self.paused_until_ms.entry(incarnation).or_default();
        *until = until_ms.max(*until);
    }

    /// Returns whether an incarnation is leaving.
    pub fn is_leaving(&self, incarnation: Incarnation) -> bool {
        self.leaving.contains(&incarnation)
    }

    /// Returns the end of the pause that an incarnation requested; 0 if it requested none.
    pub fn paused_until_ms(&self, incarnation: Incarnation) -> u64 {
        let until = self.paused_until_ms.get(&incarnation);
        until.copied().unwrap_or(0)
    }
}
