//! Deterministic replay of the settings stream: every reader arrives at the same tree.

mod history;
mod snapshot;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use ed25519_dalek::VerifyingKey;

pub use history::ChangeDecision;
pub use history::Rejection;
pub use snapshot::Snapshot;
pub use snapshot::SnapshotError;
pub use snapshot::is_due as is_snapshot_due;

use super::Settings;
use super::change::Change;
use super::change::Digest;
use super::change::Subtree;
use super::check;
use crate::finding::Finding;
use crate::finding::Findings;

/// Number of decisions kept in the history.
pub const HISTORY_MAX: usize = 200;

/// Total size of the texts buffered while a gap waits for a snapshot, in bytes.
///
/// A daemon's budget for all control data is 32 MB. Beyond the limit the oldest change is dropped, and only a later
/// snapshot can close the gap.
pub const PENDING_MAX_BYTES: usize = 8 * 1_024 * 1_024;

/// Most findings kept in the history per rejected change.
pub const FINDINGS_MAX: usize = 100;

/// A record of the settings stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A change of one subtree.
    Change(Change),
    /// The whole tree at a position of the stream.
    Snapshot(Snapshot),
    /// A record that cannot be decoded; it has no effect.
    Undecodable,
}

/// The version of a subtree that is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveSubtree {
    /// Version, which is the offset of the accepted record + 1.
    pub version: u64,
    /// Time of the append by the log's clock, in milliseconds since the epoch.
    pub time_ms: u64,
    /// The accepted change.
    pub change: Change,
}

/// Effect of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A change was accepted or rejected.
    Decided(ChangeDecision),
    /// A snapshot replaced the tree.
    Installed {
        /// Offset of the snapshot.
        offset: u64,
    },
    /// A snapshot was rejected.
    SnapshotRejected {
        /// Offset of the snapshot.
        offset: u64,
        /// Reason of the rejection.
        error: SnapshotError,
    },
    /// An undecodable record was skipped.
    Undecodable {
        /// Offset of the record.
        offset: u64,
    },
}

/// State of the settings after replay of a prefix of the stream.
#[derive(Clone, Debug)]
pub struct SettingsState {
    root_keys: Vec<VerifyingKey>,
    subtrees: BTreeMap<Subtree, ActiveSubtree>,
    settings: Settings,
    /// Offset of the first record that the tree does not reflect.
    position: u64,
    gap: Option<Gap>,
    history: VecDeque<ChangeDecision>,
    snapshot_time_ms: Option<u64>,
    undecodable_count: u64,
}

/// A gap of missed records; changes read after it are buffered until a snapshot closes it.
#[derive(Clone, Debug)]
struct Gap {
    /// Offset from which on no record is missing.
    complete_from: u64,
    read_offset: u64,
    pending: VecDeque<PendingChange>,
    pending_bytes: usize,
}

#[derive(Clone, Debug)]
struct PendingChange {
    offset: u64,
    time_ms: u64,
    change: Change,
}

impl SettingsState {
    /// Creates the state before the first record; a key of `root_keys` must sign changes of the deployment subtree.
    pub fn new(root_keys: Vec<VerifyingKey>) -> Self {
        Self {
            root_keys,
            subtrees: BTreeMap::new(),
            settings: Settings::default(),
            position: 0,
            gap: None,
            history: VecDeque::new(),
            snapshot_time_ms: None,
            undecodable_count: 0,
        }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the subtrees in force.
    pub fn subtrees(&self) -> &BTreeMap<Subtree, ActiveSubtree> {
        &self.subtrees
    }

    /// Returns the version of the tree, which is the highest version of a subtree, or 0 if there is none.
    pub fn version(&self) -> u64 {
        let versions = self.subtrees.values().map(|in_force| in_force.version);
        versions.max().unwrap_or(0)
    }

    /// Returns the version of a subtree, or 0 if it does not exist.
    pub fn subtree_version(&self, subtree: &Subtree) -> u64 {
        self.subtrees
            .get(subtree)
            .map_or(0, |in_force| in_force.version)
    }

    /// Returns the offset of the first record that the tree does not reflect.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the offset of the next record to read.
    pub fn read_offset(&self) -> u64 {
        self.gap
            .as_ref()
            .map_or(self.position, |gap| gap.read_offset)
    }

    /// Returns whether the tree reflects every record before [`SettingsState::read_offset`].
    pub fn is_complete(&self) -> bool {
        self.gap.is_none()
    }

    /// Returns the latest decisions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &ChangeDecision> {
        self.history.iter()
    }

    /// Returns the number of undecodable records so far.
    pub fn undecodable_count(&self) -> u64 {
        self.undecodable_count
    }

    /// Returns the time of the newest snapshot, or of the first change while there is no snapshot.
    ///
    /// The time is in milliseconds since the epoch by the log's clock; it is `None` while there is neither.
    pub fn snapshot_time_ms(&self) -> Option<u64> {
        self.snapshot_time_ms
    }

    /// Returns the version under which a change was accepted, if it is in force or still in the history.
    pub fn find_accepted(&self, digest: &Digest) -> Option<u64> {
        let mut in_force = self.subtrees.values();
        if let Some(found) = in_force.find(|found| found.change.digest() == *digest) {
            return Some(found.version);
        }
        let mut entries = self.history.iter();
        let found = entries.find(|entry| entry.digest == *digest && entry.rejection.is_none());
        found.map(|entry| entry.version)
    }

    /// Applies the record at `offset`, which was appended at `time_ms` by the log's clock.
    ///
    /// A record before [`SettingsState::read_offset`] is ignored. A larger offset opens a gap.
    pub fn apply(&mut self, offset: u64, time_ms: u64, record: Record) -> Vec<Event> {
        if offset < self.read_offset() {
            return Vec::new();
        }
        self.skip_to(offset);
        match self.gap.take() {
            None => {
                self.position = offset + 1;
                self.apply_in_order(offset, time_ms, record)
            }
            Some(gap) => self.apply_in_gap(gap, offset, time_ms, record),
        }
    }

    /// Skips the records before `first_offset`, which the log no longer retains.
    ///
    /// The tree stays in force and doesn't change until a snapshot that reflects all missed records closes the gap.
    pub fn skip_to(&mut self, first_offset: u64) {
        if first_offset <= self.read_offset() {
            return;
        }
        self.gap = Some(Gap {
            complete_from: first_offset,
            read_offset: first_offset,
            pending: VecDeque::new(),
            pending_bytes: 0,
        });
    }

    /// Checks whether a change would be accepted now.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the rejection.
    pub fn check(&self, change: &Change) -> Result<(), Rejection> {
        self.evaluate(change).map(|_| ())
    }

    /// Exports the tree for another process or the log; `None` before the first deployment subtree.
    pub fn export(&self) -> Option<Snapshot> {
        if !self.subtrees.contains_key(&Subtree::Deployment) {
            return None;
        }
        Some(Snapshot {
            next_offset: self.position,
            subtrees: self.subtrees.clone(),
        })
    }

    /// Imports the tree of another process and returns whether it was newer.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot is invalid or has an older version of a subtree in force; the state is unchanged then.
    pub fn import(&mut self, snapshot: Snapshot) -> Result<bool, SnapshotError> {
        if snapshot.next_offset <= self.position {
            return Ok(false);
        }
        self.install(snapshot)?;
        match self.gap.take() {
            Some(gap) if gap.complete_from > self.position => self.gap = Some(gap),
            Some(gap) => {
                self.close_gap(gap);
            }
            None => (),
        }
        Ok(true)
    }

    fn apply_in_gap(
        &mut self,
        mut gap: Gap,
        offset: u64,
        time_ms: u64,
        record: Record,
    ) -> Vec<Event> {
        gap.read_offset = offset + 1;
        let mut events = Vec::new();
        match record {
            Record::Change(change) => gap.push(PendingChange {
                offset,
                time_ms,
                change,
            }),
            Record::Snapshot(snapshot) => {
                let is_usable = (gap.complete_from..=offset).contains(&snapshot.next_offset);
                match is_usable.then(|| self.install(snapshot)) {
                    Some(Ok(())) => {
                        self.snapshot_time_ms = Some(time_ms);
                        events.push(Event::Installed { offset });
                        events.extend(self.close_gap(gap));
                        return events;
                    }
                    Some(Err(error)) => events.push(Event::SnapshotRejected { offset, error }),
                    None => (),
                }
            }
            Record::Undecodable => events.push(self.skip_undecodable(offset)),
        }
        self.gap = Some(gap);
        events
    }

    /// Closes a gap after a snapshot was installed and applies the buffered changes.
    fn close_gap(&mut self, gap: Gap) -> Vec<Event> {
        let mut events = Vec::new();
        for pending_change in gap.pending {
            if pending_change.offset < self.position {
                continue;
            }
            let entry = self.decide_change(
                pending_change.offset,
                pending_change.time_ms,
                pending_change.change,
            );
            events.push(Event::Decided(entry));
        }
        self.position = self.position.max(gap.read_offset);
        events
    }

    fn skip_undecodable(&mut self, offset: u64) -> Event {
        self.undecodable_count += 1;
        Event::Undecodable { offset }
    }

    fn apply_in_order(&mut self, offset: u64, time_ms: u64, record: Record) -> Vec<Event> {
        match record {
            Record::Change(change) => {
                vec![Event::Decided(self.decide_change(offset, time_ms, change))]
            }
            Record::Snapshot(snapshot) => match self.compare(offset, &snapshot) {
                Ok(()) => {
                    self.snapshot_time_ms = Some(time_ms);
                    Vec::new()
                }
                Err(error) => vec![Event::SnapshotRejected { offset, error }],
            },
            Record::Undecodable => vec![self.skip_undecodable(offset)],
        }
    }

    fn decide_change(&mut self, offset: u64, time_ms: u64, change: Change) -> ChangeDecision {
        let version = offset + 1;
        let evaluated = self.evaluate(&change);
        let mut entry = ChangeDecision {
            version,
            time_ms,
            subtree: change.subtree.clone(),
            author: change.author.clone(),
            base_version: change.base_version,
            digest: change.digest(),
            rejection: None,
        };
        match evaluated {
            Ok(settings) => {
                self.settings = settings;
                self.snapshot_time_ms.get_or_insert(time_ms);
                let subtree = change.subtree.clone();
                let in_force = ActiveSubtree {
                    version,
                    time_ms,
                    change,
                };
                self.subtrees.insert(subtree, in_force);
            }
            Err(rejection) => entry.rejection = Some(rejection),
        }
        self.history.push_back(entry.clone());
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
        entry
    }

    /// Returns the settings that would result from the change.
    fn evaluate(&self, change: &Change) -> Result<Settings, Rejection> {
        self.check_access(change)?;
        let in_force = self.subtree_version(&change.subtree);
        if change.base_version < in_force {
            return Err(Rejection::StaleBase { in_force });
        }
        if change.base_version > in_force {
            return Err(Rejection::UnknownBase { in_force });
        }
        self.evaluate_text(&change.subtree, &change.text)
            .map_err(|findings| {
                let mut findings = findings.into_vec();
                findings.truncate(FINDINGS_MAX);
                Rejection::Invalid(Findings::new(findings))
            })
    }

    fn check_access(&self, change: &Change) -> Result<(), Rejection> {
        let team = match &change.subtree {
            Subtree::Deployment => {
                let is_signed = self.root_keys.iter().any(|key| change.is_signed_by(key));
                return is_signed.then_some(()).ok_or(Rejection::BadSignature);
            }
            Subtree::Team(team) => team,
        };
        let Some(operator) = self.settings.operators.get(&change.author) else {
            return Err(Rejection::UnknownOperator);
        };
        let key = check::parse_public_key(&operator.public_key);
        if !key.is_some_and(|key| change.is_signed_by(&key)) {
            return Err(Rejection::BadSignature);
        }
        if !operator.teams.contains(team) {
            return Err(Rejection::NotAllowed);
        }
        Ok(())
    }

    fn evaluate_text(&self, subtree: &Subtree, text: &str) -> Result<Settings, Findings> {
        let file = subtree.to_string();
        if let Subtree::Team(team) = subtree {
            let checked = check::check_team(&file, text, &self.settings)?;
            let mut settings = self.settings.clone();
            settings.teams.insert(team.clone(), checked);
            return Ok(settings);
        }
        let texts = self.subtrees.iter().filter_map(|(subtree, in_force)| {
            let Subtree::Team(team) = subtree else {
                return None;
            };
            Some((team, in_force.change.text.as_str()))
        });
        check_tree(&file, text, texts)
    }
}

impl Gap {
    fn push(&mut self, pending_change: PendingChange) {
        self.pending_bytes += pending_change.change.text.len();
        self.pending.push_back(pending_change);
        while self.pending_bytes > PENDING_MAX_BYTES
            && let Some(dropped) = self.pending.pop_front()
        {
            self.pending_bytes -= dropped.change.text.len();
            self.complete_from = dropped.offset + 1;
        }
    }
}

/// Checks a deployment text, and the texts of all teams against it.
fn check_tree<'a>(
    file: &str,
    deployment: &str,
    teams: impl Iterator<Item = (&'a crate::Name, &'a str)>,
) -> Result<Settings, Findings> {
    let mut settings = check::check_deployment(file, deployment)?;
    let mut findings: Vec<Finding> = Vec::new();
    for (team, text) in teams {
        let file = Subtree::Team(team.clone()).to_string();
        match check::check_team(&file, text, &settings) {
            Ok(checked) => {
                settings.teams.insert(team.clone(), checked);
            }
            Err(found) => findings.extend(found.into_vec()),
        }
    }
    if findings.is_empty() {
        return Ok(settings);
    }
    Err(Findings::new(findings))
}
