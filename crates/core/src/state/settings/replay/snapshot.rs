//! Snapshots of the settings tree, in the stream and between processes.

use std::collections::BTreeMap;

use thiserror::Error;

use super::ActiveSubtree;
use super::SettingsState;
use super::check_tree;
use crate::Name;
use crate::coordination::rendezvous;
use crate::finding::Findings;
use crate::state::settings::change::Subtree;

/// Key of the rendezvous hash that selects the VM that appends snapshots.
const RENDEZVOUS_KEY: &str = "settings-snapshot";

/// A snapshot is replaced once it is older than the retention divided by this.
///
/// The log then retains several snapshots at any time, so that a delayed one does no harm.
const RETENTION_DIVISOR: u64 = 4;

/// Returns whether `vm` has to append a snapshot, given the live VMs and the age of the newest snapshot.
///
/// A retention of 0 means that the log does not report it; no snapshot is due then.
pub fn is_due<'a>(
    vm: &Name,
    members: impl IntoIterator<Item = &'a Name>,
    age_ms: u64,
    retention_ms: u64,
) -> bool {
    let is_old = retention_ms > 0 && age_ms > retention_ms / RETENTION_DIVISOR;
    is_old && rendezvous::rank_candidates(RENDEZVOUS_KEY, members).first() == Some(&vm)
}

/// The whole tree at a position of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset of the first record that the tree does not reflect.
    pub next_offset: u64,
    /// Subtrees in force at this position.
    pub subtrees: BTreeMap<Subtree, ActiveSubtree>,
}

/// Reason why a snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The snapshot has no deployment subtree.
    #[error("the snapshot has no deployment subtree")]
    NoDeployment,
    /// The deployment subtree is not signed by a root key of this VM.
    #[error(
        "the deployment subtree is not signed by a root key of this VM; \
         keep the old root key in the VM's file until the deployment subtree has been published again"
    )]
    BadSignature,
    /// A subtree's version is inconsistent with the snapshot's position.
    #[error("{subtree} has version {version}, which does not fit the position of the snapshot")]
    ImpossibleVersion {
        /// Subtree concerned.
        subtree: Subtree,
        /// Version in the snapshot.
        version: u64,
    },
    /// The snapshot has an older version of a subtree than the one in force.
    #[error("{subtree} has version {version}, but version {in_force} is in force")]
    Older {
        /// Subtree concerned.
        subtree: Subtree,
        /// Version in the snapshot, or 0 if it is absent there.
        version: u64,
        /// Version in force.
        in_force: u64,
    },
    /// The snapshot differs from the replayed tree.
    #[error("{subtree} differs from what the records before the snapshot lead to")]
    Differs {
        /// Subtree concerned.
        subtree: Subtree,
    },
    /// A text in the snapshot has findings.
    #[error("a text of the snapshot has findings: {0}")]
    Invalid(Findings),
}

impl SettingsState {
    /// Replaces the tree with a valid snapshot that has no older version of a subtree.
    pub(super) fn install(&mut self, snapshot: Snapshot) -> Result<(), SnapshotError> {
        check_versions(&snapshot)?;
        for (subtree, in_force) in &self.subtrees {
            let found = snapshot.subtrees.get(subtree);
            let version = found.map_or(0, |found| found.version);
            if version < in_force.version {
                return Err(SnapshotError::Older {
                    subtree: subtree.clone(),
                    version,
                    in_force: in_force.version,
                });
            }
        }
        self.settings = self.verify_snapshot(&snapshot)?;
        self.position = snapshot.next_offset;
        self.subtrees = snapshot.subtrees;
        let times = self.subtrees.values().map(|in_force| in_force.time_ms);
        if let Some(first_ms) = times.min() {
            self.snapshot_time_ms.get_or_insert(first_ms);
        }
        Ok(())
    }

    /// Compares a snapshot with the replayed tree, except for subtrees that changed after the snapshot's position.
    pub(super) fn compare(&self, offset: u64, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        check_versions(snapshot)?;
        for (subtree, found) in &snapshot.subtrees {
            if snapshot.next_offset > offset {
                return Err(SnapshotError::ImpossibleVersion {
                    subtree: subtree.clone(),
                    version: found.version,
                });
            }
            if found.version > self.subtree_version(subtree) {
                return Err(SnapshotError::Differs {
                    subtree: subtree.clone(),
                });
            }
        }
        for (subtree, in_force) in &self.subtrees {
            let is_covered = in_force.version <= snapshot.next_offset;
            if is_covered && snapshot.subtrees.get(subtree) != Some(in_force) {
                return Err(SnapshotError::Differs {
                    subtree: subtree.clone(),
                });
            }
        }
        Ok(())
    }

    fn verify_snapshot(&self, snapshot: &Snapshot) -> Result<super::Settings, SnapshotError> {
        let Some(deployment) = snapshot.subtrees.get(&Subtree::Deployment) else {
            return Err(SnapshotError::NoDeployment);
        };
        let change = &deployment.change;
        if !self.root_keys.iter().any(|key| change.is_signed_by(key)) {
            return Err(SnapshotError::BadSignature);
        }
        let teams = snapshot.subtrees.iter().filter_map(|(subtree, in_force)| {
            let Subtree::Team(team) = subtree else {
                return None;
            };
            Some((team, in_force.change.text.as_str()))
        });
        check_tree("deployment", &change.text, teams).map_err(SnapshotError::Invalid)
    }
}

fn check_versions(snapshot: &Snapshot) -> Result<(), SnapshotError> {
    for (subtree, in_force) in &snapshot.subtrees {
        let version = in_force.version;
        if in_force.change.subtree != *subtree || !(1..=snapshot.next_offset).contains(&version) {
            return Err(SnapshotError::ImpossibleVersion {
                subtree: subtree.clone(),
                version,
            });
        }
    }
    Ok(())
}
