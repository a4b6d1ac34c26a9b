//! The settings thread, which owns the state.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use flume::Sender;
use waxwing_core::state::settings::change::Change;
use waxwing_core::state::settings::change::Digest;
use waxwing_core::state::settings::check;
use waxwing_core::state::settings::replay;
use waxwing_core::state::settings::replay::ActiveSubtree;
use waxwing_core::state::settings::replay::ChangeDecision;
use waxwing_core::state::settings::replay::Event;
use waxwing_core::state::settings::replay::Record as CoreRecord;
use waxwing_core::state::settings::replay::Rejection;
use waxwing_core::state::settings::replay::SettingsState;
use waxwing_core::state::settings::replay::Snapshot;
use waxwing_core::state::settings::replay::SnapshotError;
use waxwing_wire::platform::Page;
use waxwing_wire::platform::Record;
use waxwing_wire::settings_api::SettingsHistory;
use waxwing_wire::settings_api::SettingsTree;
use waxwing_wire::settings_record;
use waxwing_wire::settings_record::SettingsRecord;

use super::clock::LogClock;
use crate::metric;
use crate::shared::Shared;

/// Least time between two snapshots of this VM, in milliseconds, for one whose append was not confirmed.
const SNAPSHOT_PAUSE_MS: u64 = 10_000;

/// What the settings thread is told or asked.
#[derive(Debug)]
pub(super) enum Message {
    /// Records of the stream.
    Page {
        /// Answer of the log.
        page: Page,
    },
    /// The next records are no longer kept.
    Dropped {
        /// Oldest offset that is kept.
        first_offset: u64,
    },
    /// What the reader has to do next.
    Next {
        /// Where the answer goes.
        reply: Sender<Next>,
    },
    /// Check a change, and report its decision once it has been read back.
    Publish {
        /// The change.
        change: Change,
        /// Where the verdicts go.
        reply: Sender<Verdict>,
    },
    /// Return the state for a peer.
    Export {
        /// Where the answer goes.
        reply: Sender<Option<Snapshot>>,
    },
    /// Take over the state of a peer.
    Import {
        /// The state.
        snapshot: Snapshot,
        /// Where the answer goes.
        reply: Sender<Result<bool, SnapshotError>>,
    },
    /// Return the tree for operators.
    Tree {
        /// Where the answer goes.
        reply: Sender<SettingsTree>,
    },
    /// Return the history for operators.
    History {
        /// Where the answer goes.
        reply: Sender<SettingsHistory>,
    },
}

/// What the reader has to do next.
#[derive(Debug, Default)]
pub(super) struct Next {
    /// Offset to read from.
    pub(super) read_from: u64,
    /// Content of a snapshot to append.
    pub(super) snapshot: Option<String>,
}

/// What becomes of a published change.
#[derive(Debug)]
pub(super) enum Verdict {
    /// It may be accepted and has to be appended; another verdict follows when it has been read back.
    Append,
    /// It is in force.
    Accepted {
        /// Version of the subtree.
        version: u64,
    },
    /// This VM cannot tell, since records before a snapshot are missing; nothing was appended.
    NotReady,
    /// It is rejected.
    Rejected {
        /// Why.
        rejection: Rejection,
        /// The subtree in force.
        in_force: Option<Box<ActiveSubtree>>,
    },
}

/// The settings thread's state.
#[derive(Debug)]
pub(super) struct Owner {
    shared: Arc<Shared>,
    state: SettingsState,
    waiting: HashMap<Digest, Vec<Sender<Verdict>>>,
    clock: LogClock,
    is_caught_up: bool,
    retention_ms: u64,
    snapshot_at_ms: Option<u64>,
}

impl Owner {
    /// Creates the state before the first record.
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let keys = &shared.config.operators.root_public_keys;
        let roots = keys.iter().filter_map(|key| check::parse_public_key(key));
        Self {
            state: SettingsState::new(roots.collect()),
            shared,
            waiting: HashMap::new(),
            clock: LogClock::default(),
            is_caught_up: false,
            retention_ms: 0,
            snapshot_at_ms: None,
        }
    }

    /// Handles one message; an asker that is gone needs no answer.
    pub(super) fn handle(&mut self, message: Message) {
        match message {
            Message::Page { page } => self.apply_page(&page),
            Message::Dropped { first_offset } => self.skip_to(first_offset),
            Message::Next { reply } => {
                let _ = reply.send(self.next());
            }
            Message::Publish { change, reply } => self.publish(&change, reply),
            Message::Export { reply } => {
                let _ = reply.send(self.state.export());
            }
            Message::Import { snapshot, reply } => {
                let imported = self.state.import(snapshot);
                self.update_view();
                let _ = reply.send(imported);
            }
            Message::Tree { reply } => {
                let _ = reply.send(self.settings_tree());
            }
            Message::History { reply } => {
                let entries = self.state.history().map(Into::into).collect();
                let _ = reply.send(SettingsHistory { entries });
            }
        }
    }

    fn apply_page(&mut self, page: &Page) {
        self.retention_ms = page.retention_ms;
        self.skip_to(page.first_offset);
        if page.next_offset < self.state.read_offset() {
            log::error!(
                "the settings stream ends at offset {}, but offset {} was read; the settings stay in force",
                page.next_offset,
                self.state.read_offset()
            );
        }
        for record in &page.records {
            self.apply_record(record);
        }
        self.is_caught_up = self.state.read_offset() >= page.next_offset;
        self.update_view();
    }

    fn skip_to(&mut self, first_offset: u64) {
        if first_offset <= self.state.read_offset() {
            return;
        }
        log::warn!(
            "settings records before offset {first_offset} are no longer kept and were not read; \
             the settings in force stay until a snapshot has been read"
        );
        self.state.skip_to(first_offset);
    }

    fn apply_record(&mut self, record: &Record) {
        if self.is_caught_up {
            self.clock.note(record.time_ms, self.shared.now_ms());
        }
        let decoded = settings_record::decode(record).unwrap_or_else(|error| {
            log::error!("settings record skipped: {error}");
            CoreRecord::Undecodable
        });
        for event in self.state.apply(record.offset, record.time_ms, decoded) {
            self.report(&event);
        }
    }

    fn report(&mut self, event: &Event) {
        let outcome = match event {
            Event::Decided(entry) => {
                self.settle(entry);
                log_outcome(entry)
            }
            Event::Installed { offset } => {
                log::info!("settings taken from the snapshot at offset {offset}");
                "installed"
            }
            Event::SnapshotRejected { offset, error } => {
                log::error!("snapshot at offset {offset} not used: {error}");
                "snapshot_rejected"
            }
            Event::Undecodable { .. } => "undecodable",
        };
        metrics::counter!(metric::SETTINGS_RECORDS, "outcome" => outcome).increment(1);
    }

    /// Tells those who published the change what became of it.
    fn settle(&mut self, entry: &ChangeDecision) {
        for reply in self.waiting.remove(&entry.digest).unwrap_or_default() {
            let _ = reply.send(self.verdict(entry));
        }
    }

    fn verdict(&self, entry: &ChangeDecision) -> Verdict {
        let Some(rejection) = &entry.rejection else {
            return Verdict::Accepted {
                version: entry.version,
            };
        };
        // A repeat of an accepted change is rejected as stale, but the change itself is in force.
        if let Some(version) = self.state.find_accepted(&entry.digest) {
            return Verdict::Accepted { version };
        }
        let in_force = self.state.subtrees().get(&entry.subtree).cloned();
        Verdict::Rejected {
            rejection: rejection.clone(),
            in_force: in_force.map(Box::new),
        }
    }

    fn publish(&mut self, change: &Change, reply: Sender<Verdict>) {
        self.waiting.retain(|_, replies| {
            replies.retain(|reply| !reply.is_disconnected());
            !replies.is_empty()
        });
        let digest = change.digest();
        if let Some(version) = self.state.find_accepted(&digest) {
            let _ = reply.send(Verdict::Accepted { version });
            return;
        }
        if !self.state.is_complete() {
            let _ = reply.send(Verdict::NotReady);
            return;
        }
        if let Err(rejection) = self.state.check(change) {
            let in_force = self.state.subtrees().get(&change.subtree).cloned();
            let verdict = Verdict::Rejected {
                rejection,
                in_force: in_force.map(Box::new),
            };
            let _ = reply.send(verdict);
            return;
        }
        // Waiting starts before the append, since the record may be read back before the append is confirmed.
        let _ = reply.send(Verdict::Append);
        self.waiting.entry(digest).or_default().push(reply);
    }

    fn update_view(&self) {
        let subtrees = self.state.subtrees().iter();
        let versions = subtrees.map(|(subtree, in_force)| (subtree.to_string(), in_force.version));
        let versions: BTreeMap<String, u64> = versions.collect();
        if versions == self.shared.view().subtree_versions {
            return;
        }
        let version = self.state.version();
        let settings = self.state.settings().clone();
        self.shared.update_view(|view| {
            view.settings_version = version;
            view.settings = settings;
            view.subtree_versions = versions;
        });
        metrics::gauge!(metric::SETTINGS_VERSION).set(version as f64);
        log::info!(version = version; "settings in force");
    }

    fn settings_tree(&self) -> SettingsTree {
        let mut tree = SettingsTree {
            version: self.state.version(),
            is_complete: self.state.is_complete(),
            undecodable: self.state.undecodable_count(),
            ..SettingsTree::default()
        };
        for (subtree, in_force) in self.state.subtrees() {
            tree.subtrees.insert(subtree.to_string(), in_force.into());
        }
        tree
    }

    fn next(&mut self) -> Next {
        Next {
            read_from: self.state.read_offset(),
            snapshot: self.take_due_snapshot(),
        }
    }

    /// Returns the snapshot that this VM has to append now.
    fn take_due_snapshot(&mut self) -> Option<String> {
        let now_ms = self.shared.now_ms();
        let snapshot_time_ms = self.state.snapshot_time_ms()?;
        let age_ms = self.clock.age_ms(snapshot_time_ms, now_ms);
        let view = self.shared.view();
        let members = view.members.iter().map(|member| &member.name);
        let vm = &self.shared.config.vm.name;
        let is_due = replay::is_snapshot_due(vm, members, age_ms, self.retention_ms);
        let is_paused = self
            .snapshot_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + SNAPSHOT_PAUSE_MS);
        if !is_due || is_paused || !self.is_caught_up || !self.state.is_complete() {
            return None;
        }
        let record = SettingsRecord::Snapshot((&self.state.export()?).into());
        self.snapshot_at_ms = Some(now_ms);
        let data = record.encode();
        data.inspect_err(|error| log::error!("no snapshot of the settings: {error}"))
            .ok()
    }
}

fn log_outcome(entry: &ChangeDecision) -> &'static str {
    let Some(rejection) = &entry.rejection else {
        log::info!(version = entry.version; "{} changed by {}", entry.subtree, entry.author);
        return "accepted";
    };
    log::warn!(
        "change of {} by {} at offset {} rejected: {rejection}",
        entry.subtree,
        entry.author,
        entry.version - 1
    );
    rejection.as_str()
}
