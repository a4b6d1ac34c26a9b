//! Evidence of request contents that crash endpoints, mergeable between VMs.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::Name;

/// BLAKE3 hash of a request's organisation, pool and canonical body.
pub type ContentHash = [u8; 32];

/// Placeholder for a request whose content is unknown; crashes are never recorded against it.
pub const UNKNOWN_CONTENT: ContentHash = [0; 32];

/// Most crashed endpoints stored per content; a refusal of the content needs only a few, 2 by default.
const CRASHES_PER_CONTENT_MAX: usize = 8;

/// A crash attributed to a content, or the clearance of a content, as VMs exchange it.
///
/// It carries its age instead of a timestamp because the clocks of VMs differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashFinding {
    /// Hash of the content.
    pub content: ContentHash,
    /// Endpoint that crashed, or `None` if a request with the content finished, which clears it.
    pub endpoint: Option<Name>,
    /// Time since the event, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Entry {
    crashes: BTreeMap<Name, u64>,
    cleared_at_ms: Option<u64>,
}

impl Entry {
    fn newest_ms(&self) -> u64 {
        let newest = self.crashes.values().copied().max();
        newest.max(self.cleared_at_ms).unwrap_or(0)
    }
}

/// Endpoints that crashed while they ran a content, by content.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    entries: HashMap<ContentHash, Entry>,
    lifetime_ms: u64,
    entries_max: usize,
}

impl Evidence {
    /// Creates an empty set that holds at most `entries_max` contents and drops crashes older than `lifetime_ms`.
    pub fn new(lifetime_ms: u64, entries_max: usize) -> Self {
        Self {
            entries: HashMap::new(),
            lifetime_ms,
            entries_max,
        }
    }

    /// Records that `endpoint` crashed while it ran the content.
    pub fn record(&mut self, content: ContentHash, endpoint: &Name, now_ms: u64) {
        self.add(content, endpoint, now_ms, now_ms);
    }

    /// Clears a content after a request with it finished; crashes up to `now_ms` no longer count.
    pub fn clear(&mut self, content: ContentHash, now_ms: u64) {
        if let Some(entry) = self.entries.get_mut(&content) {
            entry.cleared_at_ms = entry.cleared_at_ms.max(Some(now_ms));
            entry.crashes.retain(|_, at_ms| *at_ms > now_ms);
        }
    }

    /// Returns the number of distinct endpoints that crashed while they ran the content.
    pub fn crash_count(&self, content: &ContentHash) -> usize {
        self.entries
            .get(content)
            .map_or(0, |entry| entry.crashes.len())
    }

    /// Returns whether this endpoint crashed while it ran the content.
    pub fn has_crashed(&self, content: &ContentHash, endpoint: &Name) -> bool {
        self.entries
            .get(content)
            .is_some_and(|entry| entry.crashes.contains_key(endpoint))
    }

    /// Returns the number of contents in the set.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops crashes and clearances older than the lifetime.
    pub fn expire(&mut self, now_ms: u64) {
        let lifetime_ms = self.lifetime_ms;
        self.entries.retain(|_, entry| {
            let is_fresh = |at_ms: u64| now_ms.saturating_sub(at_ms) < lifetime_ms;
            entry.crashes.retain(|_, at_ms| is_fresh(*at_ms));
            entry.cleared_at_ms = entry.cleared_at_ms.filter(|at_ms| is_fresh(*at_ms));
            !entry.crashes.is_empty() || entry.cleared_at_ms.is_some()
        });
    }

    /// Returns all findings, to be sent to other VMs.
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
            for (endpoint, at_ms) in &entry.crashes {
                findings.push(CrashFinding {
                    content: *content,
                    endpoint: Some(endpoint.clone()),
                    age_ms: now_ms.saturating_sub(*at_ms),
                });
            }
        }
        findings
    }

    /// Merges the findings of another VM; merging is idempotent and independent of order.
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
        entry
            .crashes
            .retain(|_, crashed_at_ms| *crashed_at_ms > at_ms);
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
        if entry.crashes.len() >= CRASHES_PER_CONTENT_MAX && !entry.crashes.contains_key(endpoint) {
            return;
        }
        // Keep the earliest time. A finding looks younger by the transit time after each exchange, so that two VMs
        // would otherwise keep refreshing it and it would never expire.
        let known = entry.crashes.entry(endpoint.clone()).or_insert(at_ms);
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
        // Evict the content with the fewest crashes.
        let least = self
            .entries
            .iter()
            .min_by_key(|(content, entry)| (entry.crashes.len(), entry.newest_ms(), **content))
            .map(|(content, _)| *content);
        if let Some(least) = least {
            self.entries.remove(&least);
        }
    }
}
