//! Claims and outcomes that have not yet been read back from the log.

use std::collections::BTreeMap;

use crate::state::claims::Claim;
use crate::state::claims::ClaimEntry;
use crate::state::claims::ClaimId;
use crate::state::claims::ClaimKey;
use crate::state::claims::ClaimTable;
use crate::state::claims::Outcome;
use crate::state::claims::Record;

/// Buffer of unconfirmed changes, in order within each key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Pending {
    keys: BTreeMap<ClaimKey, Vec<PendingChange>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingChange {
    change: Change,
    is_appended: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Change {
    Claim { fence: u64, claim: Claim },
    Outcome { id: ClaimId, result: Outcome },
}

impl Pending {
    pub(super) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the number of keys with unconfirmed changes.
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn push_claim(&mut self, fence: u64, claim: Claim) {
        let key = claim.key.clone();
        self.push(key, Change::Claim { fence, claim });
    }

    pub(super) fn push_outcome(&mut self, key: ClaimKey, id: ClaimId, result: Outcome) {
        self.push(key, Change::Outcome { id, result });
    }

    fn push(&mut self, key: ClaimKey, change: Change) {
        let item = PendingChange {
            change,
            is_appended: false,
        };
        self.keys.entry(key).or_default().push(item);
    }

    /// Returns the latest claim of a key as it will be once all pending changes are in the log.
    pub(super) fn overlay(
        &self,
        key: &ClaimKey,
        logged: Option<&ClaimEntry>,
    ) -> Option<ClaimEntry> {
        let mut entry = logged.cloned();
        for item in self.keys.get(key).into_iter().flatten() {
            match &item.change {
                Change::Claim { fence, claim } => entry = Some(new_entry(*fence, claim)),
                Change::Outcome { id, result } => {
                    if let Some(entry) = &mut entry
                        && entry.id == *id
                        && entry.outcome.is_none()
                    {
                        entry.outcome = Some(result.clone());
                    }
                }
            }
        }
        entry
    }

    /// Removes the changes that the log holds and those that it can no longer accept.
    pub(super) fn confirm(&mut self, table: &ClaimTable) {
        self.keys.retain(|key, items| {
            items.retain(|item| !item.change.is_obsolete(key, table));
            // Drops outcomes whose claim can no longer reach the log.
            let mut claimed = table.get(key).map(|entry| entry.id);
            items.retain(|item| match &item.change {
                Change::Claim { fence, claim } => {
                    claimed = Some(ClaimId {
                        fence: *fence,
                        attempt: claim.attempt,
                    });
                    true
                }
                Change::Outcome { id, .. } => claimed == Some(*id),
            });
            !items.is_empty()
        });
    }

    /// Marks the changes of a record that was read back but had no effect to be appended again.
    pub(super) fn retry_rejected(&mut self, record: &Record) {
        match record {
            Record::Claims { fence, claims } => {
                for claim in claims {
                    self.retry(&claim.key, |change| {
                        matches!(change, Change::Claim { fence: f, claim: c } if f == fence && c == claim)
                    });
                }
            }
            Record::Outcome { key, claim, .. } => {
                self.retry(
                    key,
                    |change| matches!(change, Change::Outcome { id, .. } if id == claim),
                );
            }
            Record::Own { .. } | Record::Active { .. } | Record::Release { .. } => {}
        }
    }

    fn retry(&mut self, key: &ClaimKey, matches_record: impl Fn(&Change) -> bool) {
        for item in self.keys.get_mut(key).into_iter().flatten() {
            if matches_record(&item.change) {
                item.is_appended = false;
            }
        }
    }

    /// Marks all changes to be appended again.
    pub(super) fn retry_all(&mut self) {
        for item in self.keys.values_mut().flatten() {
            item.is_appended = false;
        }
    }

    /// Returns records with at most `changes_max` changes to append and marks these changes as appended.
    pub(super) fn take_records(&mut self, changes_max: usize) -> Vec<Record> {
        let mut records = Vec::new();
        let mut remaining = changes_max;
        let rounds = self.keys.values().map(Vec::len).max().unwrap_or(0);
        // One round per position preserves the order within each key and batches the claims of many keys.
        for round in 0..rounds {
            let mut claims: BTreeMap<u64, Vec<Claim>> = BTreeMap::new();
            let mut outcomes = Vec::new();
            for (key, items) in &mut self.keys {
                let Some(item) = items.get_mut(round) else {
                    continue;
                };
                if item.is_appended || remaining == 0 {
                    continue;
                }
                item.is_appended = true;
                remaining -= 1;
                match &item.change {
                    Change::Claim { fence, claim } => {
                        claims.entry(*fence).or_default().push(claim.clone());
                    }
                    Change::Outcome { id, result } => outcomes.push(Record::Outcome {
                        key: key.clone(),
                        claim: *id,
                        result: result.clone(),
                    }),
                }
            }
            for (fence, claims) in claims {
                records.push(Record::Claims { fence, claims });
            }
            records.append(&mut outcomes);
        }
        records
    }
}

impl Change {
    fn is_obsolete(&self, key: &ClaimKey, table: &ClaimTable) -> bool {
        let entry = table.get(key);
        match self {
            Self::Claim { fence, claim } => {
                let is_logged = entry.is_some_and(|entry| {
                    entry.id.fence == *fence && entry.id.attempt >= claim.attempt
                });
                is_logged || *fence != table.fence() || table.is_released()
            }
            Self::Outcome { id, .. } => entry.is_some_and(|entry| {
                let is_superseded = entry.id.fence == id.fence && entry.id.attempt > id.attempt;
                is_superseded || (entry.id == *id && entry.outcome.is_some())
            }),
        }
    }
}

fn new_entry(fence: u64, claim: &Claim) -> ClaimEntry {
    ClaimEntry {
        id: ClaimId {
            fence,
            attempt: claim.attempt,
        },
        claimant: claim.claimant,
        body_hash: claim.body_hash,
        outcome: None,
    }
}
