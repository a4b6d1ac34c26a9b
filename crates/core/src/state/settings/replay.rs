//! Replay of the settings stream, which gives every reader the same tree.

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

/// Entries of the history that are kept.
pub const HISTORY_MAX: usize = 200;

/// Length of the texts that are held while a snapshot is awaited, in bytes.
///
/// The budget of a daemon for all control data is 32 MB. When the bound is reached, the oldest change is dropped, and
/// only a later snapshot can bridge the gap.
pub const PENDING_MAX_BYTES: usize = 8 * 1_024 * 1_024;

/// Findings of one rejected change that the history keeps.
pub const FINDINGS_MAX: usize = 100;

/// A record of the settings stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A change of one subtree.
    Change(Change),
    /// The whole tree at a position of the stream.
    Snapshot(Snapshot),
    /// A record that does not decode; it changes nothing.
    Undecodable,
}

/// A subtree in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveSubtree {
    /// Version: offset of the accepted record + 1.
    pub version: u64,
    /// Time of the append by the log's clock, in milliseconds since the epoch.
    pub time_ms: u64,
    /// The accepted change.
    pub change: Change,
}

/// What a record did.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A change was accepted or rejected.
    Decided(ChangeDecision),
    /// A snapshot replaced the state.
    Installed {
        /// Offset of the snapshot.
        offset: u64,
    },
    /// A snapshot was not usable.
    SnapshotRejected {
        /// Offset of the snapshot.
        offset: u64,
        /// Why.
        error: SnapshotError,
    },
    /// A record was skipped.
    Undecodable {
        /// Offset of the record.
        offset: u64,
    },
}

/// State of the settings after a prefix of the stream.
#[derive(Clone, Debug)]
pub struct SettingsState {
    roots: Vec<VerifyingKey>,
    subtrees: BTreeMap<Subtree, ActiveSubtree>,
    settings: Settings,
    /// Offset of the first record that the tree does not reflect.
    position: u64,
    gap: Option<Gap>,
    history: VecDeque<ChangeDecision>,
    snapshot_time_ms: Option<u64>,
    undecodable_count: u64,
}

/// Records that were read after some were missed; they count once a snapshot bridges the gap.
#[derive(Clone, Debug)]
struct Gap {
    /// Oldest offset from which no record was missed.
    floor: u64,
    read_from: u64,
    pending: VecDeque<Pending>,
    pending_bytes: usize,
}

#[derive(Clone, Debug)]
struct Pending {
    offset: u64,
    time_ms: u64,
    change: Change,
}

impl SettingsState {
    /// Creates the state before the first record; `roots` may change the deployment subtree.
    pub fn new(roots: Vec<VerifyingKey>) -> Self {
        Self {
            roots,
            subtrees: BTreeMap::new(),
            settings: Settings::default(),
            position: 0,
            gap: None,
            history: VecDeque::new(),
            snapshot_time_ms: None,
            undecodable_count: 0,
        }
    }

    /// Returns the tree in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the subtrees in force.
    pub fn subtrees(&self) -> &BTreeMap<Subtree, ActiveSubtree> {
        &self.subtrees
    }

    /// Returns the version of the tree: the highest version of a subtree, 0 while there is none.
    pub fn version(&self) -> u64 {
        let versions = self.subtrees.values().map(|in_force| in_force.version);
        versions.max().unwrap_or(0)
    }

    /// Returns the version of a subtree, 0 if it does not exist.
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
        self.gap.as_ref().map_or(self.position, |gap| gap.read_from)
    }

    /// Returns whether the tree reflects every record before [`SettingsState::read_offset`].
    pub fn is_complete(&self) -> bool {
        self.gap.is_none()
    }

    /// Returns the latest decisions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &ChangeDecision> {
        self.history.iter()
    }

    /// Returns the number of records that did not decode.
    pub fn undecodable_count(&self) -> u64 {
        self.undecodable_count
    }

    /// Returns the time of the newest snapshot, or of the first change while there is none.
    ///
    /// In milliseconds since the epoch by the log's clock; `None` while nothing needs a snapshot.
    pub fn snapshot_time_ms(&self) -> Option<u64> {
        self.snapshot_time_ms
    }

    /// Returns the version under which a change was accepted, as far as the history reaches.
    pub fn find_accepted(&self, digest: &Digest) -> Option<u64> {
        let mut in_force = self.subtrees.values();
        if let Some(found) = in_force.find(|found| found.change.digest() == *digest) {
            return Some(found.version);
        }
        let mut entries = self.history.iter();
        let found = entries.find(|entry| entry.digest == *digest && entry.rejection.is_none());
        found.map(|entry| entry.version)
    }

    /// Applies the record at `offset`, which the log received at `time_ms`.
    ///
    /// A record before [`SettingsState::read_offset`] is ignored. An offset beyond it means that records were missed.
    pub fn apply(&mut self, offset: u64, time_ms: u64, record: Record) -> Vec<Event> {
        if offset < self.read_offset() {
            return Vec::new();
        }
        self.skip_to(offset);
        match self.gap.take() {
            None => {
                self.position = offset + 1;
                self.decide(offset, time_ms, record)
            }
            Some(gap) => self.bridge(gap, offset, time_ms, record),
        }
    }

    /// Notes that the records before `first_offset` are no longer kept.
    ///
    /// The tree stays in force. It changes again when a snapshot has been read that no missed record follows.
    pub fn skip_to(&mut self, first_offset: u64) {
        if first_offset <= self.read_offset() {
            return;
        }
        self.gap = Some(Gap {
            floor: first_offset,
            read_from: first_offset,
            pending: VecDeque::new(),
            pending_bytes: 0,
        });
    }

    /// Returns why a change would be rejected now.
    ///
    /// # Errors
    ///
    /// Fails with the reason.
    pub fn check(&self, change: &Change) -> Result<(), Rejection> {
        self.evaluate(change).map(|_| ())
    }

    /// Returns the state for another process or the log; `None` while there is none.
    pub fn export(&self) -> Option<Snapshot> {
        if !self.subtrees.contains_key(&Subtree::Deployment) {
            return None;
        }
        Some(Snapshot {
            next_offset: self.position,
            subtrees: self.subtrees.clone(),
        })
    }

    /// Takes over the state of another process and returns whether it was newer.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot is invalid or older than a subtree in force; the state is unchanged.
    pub fn import(&mut self, snapshot: Snapshot) -> Result<bool, SnapshotError> {
        if snapshot.next_offset <= self.position {
            return Ok(false);
        }
        self.install(snapshot)?;
        match self.gap.take() {
            Some(gap) if gap.floor > self.position => self.gap = Some(gap),
            Some(gap) => {
                self.close(gap);
            }
            None => (),
        }
        Ok(true)
    }

    fn bridge(&mut self, mut gap: Gap, offset: u64, time_ms: u64, record: Record) -> Vec<Event> {
        gap.read_from = offset + 1;
        let mut events = Vec::new();
        match record {
            Record::Change(change) => gap.push(Pending {
                offset,
                time_ms,
                change,
            }),
            Record::Snapshot(snapshot) => {
                let is_usable = (gap.floor..=offset).contains(&snapshot.next_offset);
                match is_usable.then(|| self.install(snapshot)) {
                    Some(Ok(())) => {
                        self.snapshot_time_ms = Some(time_ms);
                        events.push(Event::Installed { offset });
                        events.extend(self.close(gap));
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

    /// Applies what was held and ends the gap.
    fn close(&mut self, gap: Gap) -> Vec<Event> {
        let mut events = Vec::new();
        for held in gap.pending {
            if held.offset < self.position {
                continue;
            }
            let entry = self.decide_change(held.offset, held.time_ms, held.change);
            events.push(Event::Decided(entry));
        }
        self.position = self.position.max(gap.read_from);
        events
    }

    fn skip_undecodable(&mut self, offset: u64) -> Event {
        self.undecodable_count += 1;
        Event::Undecodable { offset }
    }

    fn decide(&mut self, offset: u64, time_ms: u64, record: Record) -> Vec<Event> {
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

    /// Returns the tree that the change leads to.
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
                let is_signed = self.roots.iter().any(|root| change.is_signed_by(root));
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
    fn push(&mut self, held: Pending) {
        self.pending_bytes += held.change.text.len();
        self.pending.push_back(held);
        while self.pending_bytes > PENDING_MAX_BYTES
            && let Some(dropped) = self.pending.pop_front()
        {
            self.pending_bytes -= dropped.change.text.len();
            self.floor = dropped.offset + 1;
        }
    }
}

/// Checks a deployment text and the texts of all teams against it.
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
