//! What endpoints say of themselves in answers: that they leave, and that they want no requests for a time.
//!
//! Kept apart from the list, since an entry may lapse and come back while the endpoint lives on.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::forwarding::endpoints::Entry;
use crate::hash::hash_name;
use crate::hash::mix;

/// Incarnations that are remembered; a fleet has fewer that leave or turn requests away at a time.
const INCARNATIONS_MAX: usize = 4_096;

/// Hash of an endpoint's id and the time of its start, the same on all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

impl From<&Entry> for Incarnation {
    fn from(entry: &Entry) -> Self {
        Self(mix(
            hash_name(entry.id.as_str()) ^ mix(entry.born_ms.unwrap_or(0))
        ))
    }
}

/// Notices of endpoints, by incarnation; a restarted endpoint has given none.
#[derive(Debug, Default)]
pub struct Notices {
    leaving: HashSet<Incarnation>,
    paused_until_ms: HashMap<Incarnation, u64>,
}

impl Notices {
    /// Records that an incarnation leaves; returns whether that is news.
    ///
    /// Leaving is final: an entry that still says otherwise may be older than the notice.
    pub fn add_leaving(&mut self, incarnation: Incarnation) -> bool {
        if self.leaving.len() >= INCARNATIONS_MAX {
            self.leaving.clear();
        }
        self.leaving.insert(incarnation)
    }

    /// Records that an incarnation wants no request until a time; an earlier end does not replace a later one.
    pub fn pause(&mut self, incarnation: Incarnation, until_ms: u64, now_ms: u64) {
        if self.paused_until_ms.len() >= INCARNATIONS_MAX {
            self.paused_until_ms.retain(|_, until| *until > now_ms);
        }
        let until = self.paused_until_ms.entry(incarnation).or_default();
        *until = until_ms.max(*until);
    }

    /// Returns whether an incarnation leaves.
    pub fn is_leaving(&self, incarnation: Incarnation) -> bool {
        self.leaving.contains(&incarnation)
    }

    /// Returns the time until which an incarnation wants no request; 0 if it has not said so.
    pub fn paused_until_ms(&self, incarnation: Incarnation) -> u64 {
        let until = self.paused_until_ms.get(&incarnation);
        until.copied().unwrap_or(0)
    }
}
