//! The settings thread, which owns the settings state.

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

/// Minimum time between two snapshots of this VM, in milliseconds; it limits retries of an unconfirmed append.
const SNAPSHOT_PAUSE_MS: u64 = 10_000;

/// Message to the settings thread.
#[derive(Debug)]
pub(super) enum Message {
    /// Records of the stream.
    Page {
        /// Answer of the log.
        page: Page,
    },
    /// The log has dropped the next records.
    Dropped {
        /// Oldest offset that the log still has.
        first_offset: u64,
    },
    /// Return the reader's next task.
    NextTask {
        /// Channel for the answer.
        reply: Sender<ReaderTask>,
    },
    /// Check a change, and report the decision once it has been read back.
    Publish {
        /// The change.
        change: Change,
        /// Channel for the replies.
        reply: Sender<PublishReply>,
    },
    /// Return the state for a peer.
    Export {
        /// Channel for the answer.
        reply: Sender<Option<Snapshot>>,
    },
    /// Adopt the state of a peer if it is newer.
    Import {
        /// The state.
        snapshot: Snapshot,
        /// Channel for the answer.
        reply: Sender<Result<bool, SnapshotError>>,
    },
    /// Return the tree for operators.
    Tree {
        /// Channel for the answer.
        reply: Sender<SettingsTree>,
    },
    /// Return the history for operators.
    History {
        /// Channel for the answer.
        reply: Sender<SettingsHistory>,
    },
}

/// The reader's next task.
#[derive(Debug, Default)]
pub(super) struct ReaderTask {
    /// Offset to read from.
    pub(super) read_from: u64,
    /// Content of a snapshot to append.
    pub(super) snapshot: Option<String>,
}

/// Reply to a published change.
#[derive(Debug)]
pub(super) enum PublishReply {
    /// The change passed the check and must be appended; a second reply follows once it has been read back.
    Append,
    /// The change is active.
    Accepted {
        /// Version of the subtree.
        version: u64,
    },
    /// This VM cannot check changes, since it lacks records before the next snapshot; nothing was appended.
    NotReady,
    /// The change is rejected.
    Rejected {
        /// Reason of the rejection.
        rejection: Rejection,
        /// The active subtree.
        active: Option<Box<ActiveSubtree>>,
    },
}

/// The settings thread's state.
#[derive(Debug)]
pub(super) struct Owner {
    shared: Arc<Shared>,
    state: SettingsState,
    waiting: HashMap<Digest, Vec<Sender<PublishReply>>>,
    clock: LogClock,
    is_caught_up: bool,
    retention_ms: u64,
    last_snapshot_ms: Option<u64>,
}

impl Owner {
    /// Creates the initial state, before any record.
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
            last_snapshot_ms: None,
        }
    }

    /// Handles one message; failed replies are ignored, since the sender no longer waits.
    pub(super) fn handle(&mut self, message: Message) {
        match message {
            Message::Page { page } => self.apply_page(&page),
            Message::Dropped { first_offset } => self.skip_to(first_offset),
            Message::NextTask { reply } => {
                let _ = reply.send(self.next_task());
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
            self.clock.observe(record.time_ms, self.shared.now_ms());
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
            Event::Decided(decision) => {
                self.settle(decision);
                log_outcome(decision)
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

    /// Sends the decision to the callers that published the change.
    fn settle(&mut self, decision: &ChangeDecision) {
        for reply in self.waiting.remove(&decision.digest).unwrap_or_default() {
            let _ = reply.send(self.publish_reply(decision));
        }
    }

    fn publish_reply(&self, decision: &ChangeDecision) -> PublishReply {
        let Some(rejection) = &decision.rejection else {
            return PublishReply::Accepted {
                version: decision.version,
            };
        };
        // A repeat of an accepted change is rejected as stale, but the change itself is active.
        if let Some(version) = self.state.find_accepted(&decision.digest) {
            return PublishReply::Accepted { version };
        }
        let active = self.state.subtrees().get(&decision.subtree).cloned();
        PublishReply::Rejected {
            rejection: rejection.clone(),
            active: active.map(Box::new),
        }
    }

    fn publish(&mut self, change: &Change, reply: Sender<PublishReply>) {
        self.waiting.retain(|_, replies| {
            replies.retain(|reply| !reply.is_disconnected());
            !replies.is_empty()
        });
        let digest = change.digest();
        if let Some(version) = self.state.find_accepted(&digest) {
            let _ = reply.send(PublishReply::Accepted { version });
            return;
        }
        if !self.state.is_complete() {
            let _ = reply.send(PublishReply::NotReady);
            return;
        }
        if let Err(rejection) = self.state.check(change) {
            let active = self.state.subtrees().get(&change.subtree).cloned();
            let publish_reply = PublishReply::Rejected {
                rejection,
                active: active.map(Box::new),
            };
            let _ = reply.send(publish_reply);
            return;
        }
        // Registered before the append, since the record may be read back before the append is confirmed.
        let _ = reply.send(PublishReply::Append);
        self.waiting.entry(digest).or_default().push(reply);
    }

    fn update_view(&self) {
        let subtrees = self.state.subtrees().iter();
        let versions = subtrees.map(|(subtree, active)| (subtree.to_string(), active.version));
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
        for (subtree, active) in self.state.subtrees() {
            tree.subtrees.insert(subtree.to_string(), active.into());
        }
        tree
    }

    fn next_task(&mut self) -> ReaderTask {
        ReaderTask {
            read_from: self.state.read_offset(),
            snapshot: self.take_due_snapshot(),
        }
    }

    /// Returns the snapshot that this VM has to append now, if one is due.
    fn take_due_snapshot(&mut self) -> Option<String> {
        let now_ms = self.shared.now_ms();
        let snapshot_time_ms = self.state.snapshot_time_ms()?;
        let age_ms = self.clock.age_ms(snapshot_time_ms, now_ms);
        let view = self.shared.view();
        let members = view.members.iter().map(|member| &member.name);
        let vm = &self.shared.config.vm.name;
        let is_due = replay::is_snapshot_due(vm, members, age_ms, self.retention_ms);
        let is_paused = self
            .last_snapshot_ms
            .is_some_and(|at_ms| now_ms < at_ms + SNAPSHOT_PAUSE_MS);
        if !is_due || is_paused || !self.is_caught_up || !self.state.is_complete() {
            return None;
        }
        let record = SettingsRecord::Snapshot((&self.state.export()?).into());
        self.last_snapshot_ms = Some(now_ms);
        let data = record.encode();
        data.inspect_err(|error| log::error!("no snapshot of the settings: {error}"))
            .ok()
    }
}

fn log_outcome(decision: &ChangeDecision) -> &'static str {
    let Some(rejection) = &decision.rejection else {
        log::info!(version = decision.version; "{} changed by {}", decision.subtree, decision.author);
        return "accepted";
    };
    log::warn!(
        "change of {} by {} at offset {} rejected: {rejection}",
        decision.subtree,
        decision.author,
        decision.version - 1
    );
    rejection.as_str()
}
