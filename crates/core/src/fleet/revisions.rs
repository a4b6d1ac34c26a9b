//! Numbers the changes of a list, so that others can be told only what changed since they last asked.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::Name;

/// Removals that are remembered; who asks for older ones gets the whole list.
const REMOVALS_MAX: usize = 1_024;

/// What changed in a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta<'a> {
    /// Number of the last change.
    pub revision: u64,
    /// Whether the change list is the whole list and what it lacks does not exist.
    pub is_full: bool,
    /// Keys that were removed; apply these first, since a key may have come back.
    pub removed: Vec<&'a Name>,
    /// Keys that were added or changed.
    pub changed: Vec<&'a Name>,
}

/// The changes of a list within one incarnation of a process.
#[derive(Debug, Default)]
pub struct Revisions {
    newest: u64,
    changed: HashMap<Name, u64>,
    removals: VecDeque<(u64, Name)>,
    /// Removals up to this revision are forgotten.
    forgotten: u64,
}

impl Revisions {
    /// Returns the number of the last change.
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
            self.forgotten = revision;
        }
    }

    /// Returns what changed after a revision; `None` asks for the whole list.
    pub fn delta_since(&self, since: Option<u64>) -> Delta<'_> {
        let since = since.filter(|since| *since >= self.forgotten && *since <= self.newest);
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
