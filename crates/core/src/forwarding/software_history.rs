//! Which versions of the endpoints' software have served lately.
//!
//! Where only one has served for as long as a stream can last, the stream began there. A VM that reads the log service
//! record by record sees each version; one that reads lists or asks another VM sees only what is there at the time, and
//! is therefore told what the other VM has seen in between.

use std::collections::HashMap;

use crate::Name;
use crate::forwarding::stream_origins::SoftwareKey;

/// Reports of an endpoint between two complete lists within which no version can come and go unseen.
///
/// The entry of an endpoint that falls silent stays for three of its reports; the third one is left for the call.
const LIST_GAP_REPORTS: u64 = 2;

/// A version of which an endpoint was listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedSoftware {
    /// Service of the endpoint.
    pub service: Name,
    /// The version.
    pub software: SoftwareKey,
    /// Time since an endpoint of it was listed last, in milliseconds.
    pub age_ms: u64,
}

/// What a VM tells others about the versions that it has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoftwareNews {
    /// Time for which no version can be missing, in milliseconds.
    pub complete_ms: u64,
    /// The versions that were listed in that time.
    pub versions: Vec<ListedSoftware>,
}

/// How a list of endpoints became complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// All records since it was complete before were read.
    Records,
    /// A new list, or the list of a VM that does not tell which versions it has seen.
    List,
    /// The list of a VM that tells it.
    Told(SoftwareNews),
}

/// The software versions that have served lately, by service.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// Longest time between two complete lists in which no version can come and go unseen, in milliseconds.
    list_gap_max_ms: u64,
    /// Last time at which an endpoint of a version was listed, by service.
    listed_at_ms: HashMap<Name, HashMap<SoftwareKey, u64>>,
    /// Versions of the endpoints that were added or removed since the list was complete last.
    changed: Vec<(Name, SoftwareKey)>,
    /// Time from which on no version can be missing; `None` before the first list.
    complete_since_ms: Option<u64>,
    /// Time as of which the list of endpoints was complete last.
    confirmed_at_ms: u64,
}

impl SoftwareHistory {
    /// Creates an empty history of endpoints that renew their entries every `report_ms`.
    pub fn new(report_ms: u64) -> Self {
        Self {
            list_gap_max_ms: LIST_GAP_REPORTS * report_ms,
            ..Self::default()
        }
    }

    /// Returns the time by which the last listing of a version may be older than its end, in milliseconds.
    pub fn list_gap_max_ms(&self) -> u64 {
        self.list_gap_max_ms
    }

    /// Records that an endpoint of a version was listed at a time.
    pub fn record(&mut self, service: &Name, software: SoftwareKey, at_ms: u64) {
        let versions = match self.listed_at_ms.get_mut(service) {
            Some(versions) => versions,
            None => self.listed_at_ms.entry(service.clone()).or_default(),
        };
        let known_ms = versions.entry(software).or_default();
        *known_ms = at_ms.max(*known_ms);
    }

    /// Records that an endpoint of a version was added to the list or removed from it.
    ///
    /// It was listed at some time between the last two confirmations, the coming one included.
    pub fn record_change(&mut self, service: &Name, software: SoftwareKey) {
        self.record(service, software, self.confirmed_at_ms);
        let is_recorded =
            |(known, version): &(Name, SoftwareKey)| known == service && *version == software;
        if !self.changed.iter().any(is_recorded) {
            self.changed.push((service.clone(), software));
        }
    }

    /// Records that the list of endpoints was complete as of a time.
    ///
    /// Returns the time since it was complete before, in milliseconds, if a version can have come and gone unseen.
    pub fn confirm(&mut self, as_of_ms: u64, source: &ListSource, now_ms: u64) -> Option<u64> {
        for (service, software) in std::mem::take(&mut self.changed) {
            self.record(&service, software, as_of_ms);
        }
        let told_since_ms = self.merge(source, now_ms);
        let gap_ms = as_of_ms.saturating_sub(self.confirmed_at_ms);
        let is_gapless = *source == ListSource::Records
            || gap_ms <= self.list_gap_max_ms
            || told_since_ms.is_some_and(|since_ms| since_ms <= self.confirmed_at_ms);
        let own_since_ms = self.complete_since_ms.filter(|_| is_gapless);
        let is_interrupted = self.complete_since_ms.is_some() && !is_gapless;
        let known_ms = [own_since_ms, told_since_ms].into_iter().flatten().min();
        self.complete_since_ms = known_ms.or(Some(as_of_ms));
        self.confirmed_at_ms = as_of_ms.max(self.confirmed_at_ms);
        is_interrupted.then_some(gap_ms)
    }

    /// Records the versions that another VM tells of; returns the time from which on it knows all.
    fn merge(&mut self, source: &ListSource, now_ms: u64) -> Option<u64> {
        let ListSource::Told(news) = source else {
            return None;
        };
        for listed in &news.versions {
            let at_ms = now_ms.saturating_sub(listed.age_ms);
            self.record(&listed.service, listed.software, at_ms);
        }
        Some(now_ms.saturating_sub(news.complete_ms))
    }

    /// Returns what other VMs have to know about the versions that this one has seen; `None` before the first list.
    pub fn news(&self, now_ms: u64) -> Option<SoftwareNews> {
        let since_ms = self.complete_since_ms?;
        let mut versions = Vec::new();
        for (service, listed_at_ms) in &self.listed_at_ms {
            for (software, at_ms) in listed_at_ms {
                if *at_ms < since_ms {
                    continue;
                }
                versions.push(ListedSoftware {
                    service: service.clone(),
                    software: *software,
                    age_ms: now_ms.saturating_sub(*at_ms),
                });
            }
        }
        Some(SoftwareNews {
            complete_ms: now_ms.saturating_sub(since_ms),
            versions,
        })
    }

    /// Records that all versions since a time have been recorded, also those of before the first list.
    pub fn extend(&mut self, since_ms: u64, now_ms: u64) {
        let known_ms = self.complete_since_ms.unwrap_or(since_ms);
        self.complete_since_ms = Some(known_ms.min(since_ms));
        self.confirmed_at_ms = now_ms.max(self.confirmed_at_ms);
    }

    /// Forgets the versions of which no endpoint was listed since a time.
    pub fn expire(&mut self, since_ms: u64) {
        for versions in self.listed_at_ms.values_mut() {
            versions.retain(|_, at_ms| *at_ms >= since_ms);
        }
        self.listed_at_ms.retain(|_, versions| !versions.is_empty());
        self.complete_since_ms = self
            .complete_since_ms
            .map(|known_ms| known_ms.max(since_ms));
    }

    /// Returns whether no version that served since a time can be missing.
    pub fn is_complete_since(&self, since_ms: u64) -> bool {
        self.complete_since_ms
            .is_some_and(|known_ms| known_ms <= since_ms)
    }

    /// Returns the versions of a service of which an endpoint was listed since a time.
    pub fn versions_since(&self, service: &Name, since_ms: u64) -> Vec<SoftwareKey> {
        let versions = self.listed_at_ms.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, at_ms)| **at_ms >= since_ms);
        recent.map(|(software, _)| *software).collect()
    }

    /// Returns whether endpoints of several versions of one service were listed since a time.
    pub fn is_mixed_since(&self, since_ms: u64) -> bool {
        self.listed_at_ms.values().any(|versions| {
            let recent = versions.values().filter(|at_ms| **at_ms >= since_ms);
            recent.count() > 1
        })
    }
}
