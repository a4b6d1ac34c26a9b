//! Revisions of a list, so that other VMs can request only the changes since a revision.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::Name;

/// Maximum number of removals that are kept; requests for earlier revisions get the full list.
const REMOVALS_MAX: usize = 1_024;

/// The changes of a list since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta<'a> {
    /// Revision of the last change.
    pub revision: u64,
    /// Whether `changed` is the full list, so that keys not in it do not exist.
    pub is_full: bool,
    /// Keys that were removed; they may have been added again.
    pub removed: Vec<&'a Name>,
    /// Keys that were added or changed.
    pub changed: Vec<&'a Name>,
}

/// Change history of a list within one incarnation of a process.
#[derive(Debug, Default)]
pub struct Revisions {
    newest: u64,
    changed: HashMap<Name, u64>,
    removals: VecDeque<(u64, Name)>,
    /// Removals up to this revision were evicted.
    evicted: u64,
}

impl Revisions {
    /// Returns the revision of the last change.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Records that a key was added or changed.
    pub fn note_change(&mut self, key: &Name) {
        self.newest += 1;
        self.changed.insert(key.clone(), self.newest);
    }

    /// Records that a key was removed.
    pub fn note_removal(&mut self, key: &Name) {
        self.newest += 1;
        self.changed.remove(key);
        self.removals.push_back((self.newest, key.clone()));
        if self.removals.len() > REMOVALS_MAX
            && let Some((revision, _)) = self.removals.pop_front()
        {
            self.evicted = revision;
        }
    }

    /// Returns the changes after a revision; the full list for `None` or a revision outside the kept history.
    pub fn delta_since(&self, since: Option<u64>) -> Delta<'_> {
        let since = since.filter(|since| *since >= self.evicted && *since <= self.newest);
        let after = since.unwrap_or(0);
        let mut removed = Vec::new();
        if since.is_some() {
            for (revision, key) in &self.removals {
                if *revision > after {
                    removed.push(key);
                }
            }
        }
        let mut changed = Vec::new();
        for (key, revision) in &self.changed {
            if *revision > after {
                changed.push(key);
            }
        }
        Delta {
            revision: self.newest,
            is_full: since.is_none(),
            removed,
            changed,
        }
    }
}
