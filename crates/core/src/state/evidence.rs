//! Evidence about contents that crash endpoints, mergeable between VMs.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::Name;

/// BLAKE3 hash of organisation, pool and canonical body.
pub type ContentHash = [u8; 32];

/// The hash of a request whose content is unknown; it is never blamed.
pub const UNKNOWN_CONTENT: ContentHash = [0; 32];

/// Endpoints kept for each content; a verdict needs only a few.
const LOSSES_MAX: usize = 8;

/// What one VM tells another about a content.
///
/// The clocks of VMs differ, so a finding carries its age instead of a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashFinding {
    /// The content.
    pub content: ContentHash,
    /// The endpoint that was lost, or `None` if the content finished and is cleared.
    pub endpoint: Option<Name>,
    /// Time since it happened, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Entry {
    losses: BTreeMap<Name, u64>,
    cleared_at_ms: Option<u64>,
}

impl Entry {
    fn newest_ms(&self) -> u64 {
        let newest = self.losses.values().copied().max();
        newest.max(self.cleared_at_ms).unwrap_or(0)
    }
}

/// The endpoints that were lost while they ran a content.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    entries: HashMap<ContentHash, Entry>,
    lifetime_ms: u64,
    entries_max: usize,
}

impl Evidence {
    /// Creates an empty set that holds at most `entries_max` contents for `lifetime_ms` each.
    pub fn new(lifetime_ms: u64, entries_max: usize) -> Self {
        Self {
            entries: HashMap::new(),
            lifetime_ms,
            entries_max,
        }
    }

    /// Records that `endpoint` was lost while it ran the content.
    pub fn record(&mut self, content: ContentHash, endpoint: &Name, now_ms: u64) {
        self.add(content, endpoint, now_ms, now_ms);
    }

    /// Clears a content that finished; losses up to now no longer count.
    pub fn clear(&mut self, content: ContentHash, now_ms: u64) {
        if let Some(entry) = self.entries.get_mut(&content) {
            entry.cleared_at_ms = entry.cleared_at_ms.max(Some(now_ms));
            entry.losses.retain(|_, at_ms| *at_ms > now_ms);
        }
    }

    /// Returns the number of distinct endpoints lost.
    pub fn crash_count(&self, content: &ContentHash) -> usize {
        self.entries
            .get(content)
            .map_or(0, |entry| entry.losses.len())
    }

    /// Returns whether the content was running when this endpoint was lost.
    pub fn has_crashed(&self, content: &ContentHash, endpoint: &Name) -> bool {
        self.entries
            .get(content)
            .is_some_and(|entry| entry.losses.contains_key(endpoint))
    }

    /// Returns the number of contents held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no content is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops what is older than the lifetime.
    pub fn expire(&mut self, now_ms: u64) {
        let lifetime_ms = self.lifetime_ms;
        self.entries.retain(|_, entry| {
            let is_fresh = |at_ms: u64| now_ms.saturating_sub(at_ms) < lifetime_ms;
            entry.losses.retain(|_, at_ms| is_fresh(*at_ms));
            entry.cleared_at_ms = entry.cleared_at_ms.filter(|at_ms| is_fresh(*at_ms));
            !entry.losses.is_empty() || entry.cleared_at_ms.is_some()
        });
    }

    /// Returns all findings, for other VMs.
    pub fn findings(&self, now_ms: u64) -> Vec<CrashFinding> {
        let mut findings = Vec::new();
        for (content, entry) in &self.entries {
            if let Some(at_ms) = entry.cleared_at_ms {
                findings.push(CrashFinding {
                    content: *content,
                    endpoint: None,
                    age_ms: now_ms.saturating_sub(at_ms),
                });
            }
            for (endpoint, at_ms) in &entry.losses {
                findings.push(CrashFinding {
                    content: *content,
                    endpoint: Some(endpoint.clone()),
                    age_ms: now_ms.saturating_sub(*at_ms),
                });
            }
        }
        findings
    }

    /// Merges the findings of another VM; order and repetition make no difference.
    pub fn merge(&mut self, findings: &[CrashFinding], now_ms: u64) {
        for finding in findings {
            if finding.age_ms >= self.lifetime_ms {
                continue;
            }
            let at_ms = now_ms.saturating_sub(finding.age_ms);
            match &finding.endpoint {
                Some(endpoint) => self.add(finding.content, endpoint, at_ms, now_ms),
                None => self.merge_clearance(finding.content, at_ms, now_ms),
            }
        }
    }

    fn merge_clearance(&mut self, content: ContentHash, at_ms: u64, now_ms: u64) {
        self.make_room(&content, now_ms);
        let entry = self.entries.entry(content).or_default();
        entry.cleared_at_ms = entry.cleared_at_ms.max(Some(at_ms));
        entry.losses.retain(|_, lost_at_ms| *lost_at_ms > at_ms);
    }

    fn add(&mut self, content: ContentHash, endpoint: &Name, at_ms: u64, now_ms: u64) {
        if content == UNKNOWN_CONTENT {
            return;
        }
        self.make_room(&content, now_ms);
        let entry = self.entries.entry(content).or_default();
        if entry.cleared_at_ms.is_some_and(|cleared| at_ms <= cleared) {
            return;
        }
        if entry.losses.len() >= LOSSES_MAX && !entry.losses.contains_key(endpoint) {
            return;
        }
        // The earliest time wins: a finding that travels to and fro would otherwise look younger each time.
        let known = entry.losses.entry(endpoint.clone()).or_insert(at_ms);
        *known = at_ms.min(*known);
    }

    fn make_room(&mut self, content: &ContentHash, now_ms: u64) {
        if self.entries.len() < self.entries_max || self.entries.contains_key(content) {
            return;
        }
        self.expire(now_ms);
        if self.entries.len() < self.entries_max {
            return;
        }
        // A content with several losses is the one worth remembering.
        let least = self
            .entries
            .iter()
            .min_by_key(|(content, entry)| (entry.losses.len(), entry.newest_ms(), **content))
            .map(|(content, _)| *content);
        if let Some(least) = least {
            self.entries.remove(&least);
        }
    }
}
