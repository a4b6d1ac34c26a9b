//! Shares what is known of prompt parts that crash endpoints with other VMs, and allows trials of them.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;

use waxwing_core::forwarding::crashing_parts::CrashingParts;
use waxwing_core::forwarding::crashing_parts::PartKey;
use waxwing_core::forwarding::crashing_parts::PartState;
use waxwing_core::forwarding::crashing_parts::Scope;
use waxwing_core::forwarding::crashing_parts::Standing;
use waxwing_core::forwarding::crashing_parts::Transition;
use waxwing_core::forwarding::crashing_parts::Trials;
use waxwing_core::forwarding::endpoints::notices::Incarnation;
use waxwing_wire::advert;
use waxwing_wire::advert::Datagram;
use waxwing_wire::advert::crashes::CrashNotice;
use waxwing_wire::advert::crashes::TrialQuery;
use waxwing_wire::advert::crashes::TrialReply;

use crate::client::with_timeout;
use crate::gateway::Gateway;
use crate::metric;
use crate::replies::PendingReplies;

/// Time for the reply of the VM that allows trials, in milliseconds.
const REPLY_MS: u64 = 100;

/// Time for which each round of adverts repeats a finding, in milliseconds; some of the datagrams may be lost.
const NEWS_MS: u64 = 3_000;

/// Number of rounds of adverts of which one repeats all findings.
const ALL_ROUNDS: u64 = 10;

/// Most reports in one datagram.
const REPORTS_MAX: usize = 16;

/// Most reports that are written to the log service.
const SAVED_REPORTS_MAX: usize = 64;

/// Most clearances in one datagram, or written to the log service.
const CLEARANCES_MAX: usize = 64;

/// State of the findings that were written to the log service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SavedParts {
    /// Number of changes of what was known.
    revision: u64,
    /// How often the log service may have lost records before.
    losses: u64,
}

/// What this VM knows of prompt parts that crash endpoints.
pub(crate) struct PartService {
    parts: RefCell<CrashingParts>,
    trials: RefCell<Trials>,
    replies: PendingReplies<bool>,
    round: Cell<u64>,
    /// Number of changes of what is known.
    revision: Cell<u64>,
    /// What was written to the log service last.
    saved: Cell<SavedParts>,
    /// Whether a part has been refused, so that the log service may hold that.
    was_refused: Cell<bool>,
}

impl PartService {
    pub(crate) fn new() -> Self {
        Self {
            parts: RefCell::new(CrashingParts::new()),
            trials: RefCell::default(),
            replies: PendingReplies::new(),
            round: Cell::new(0),
            revision: Cell::new(0),
            saved: Cell::default(),
            was_refused: Cell::new(false),
        }
    }

    /// Passes a reply to the request that waits for it.
    pub(crate) fn resolve(&self, reply: TrialReply) {
        self.replies.resolve(reply.id, reply.is_allowed);
    }
}

impl Gateway {
    /// Returns what is known of the shared parts of a prompt.
    pub(crate) fn judge_parts(&self, scope: Scope, parts: &[PartKey]) -> Standing {
        let known = self.part_service.parts.borrow();
        known.judge(scope, parts, self.clock.now_ms())
    }

    /// Records the parts of a run that an endpoint had only begun to answer when it crashed, and tells other VMs.
    pub(crate) async fn record_part_crash(
        &self,
        endpoint: Incarnation,
        scope: Scope,
        parts: &[PartKey],
        at_ms: u64,
    ) {
        let now_ms = self.clock.now_ms();
        self.part_service
            .parts
            .borrow_mut()
            .record_crash(endpoint, scope, parts, at_ms, now_ms);
        self.part_service.trials.borrow_mut().end(parts);
        metrics::counter!(metric::PART_CRASHES, "source" => "local").increment(1);
        self.count_part_change();
        self.send_part_news(now_ms).await;
    }

    /// Records that an answer to a prompt went on, and tells other VMs if that clears one of its parts.
    pub(crate) async fn record_part_answer(&self, scope: Scope, parts: &[PartKey]) {
        let now_ms = self.clock.now_ms();
        let is_news = self
            .part_service
            .parts
            .borrow_mut()
            .record_answer(scope, parts, now_ms);
        if is_news {
            self.send_part_news(now_ms).await;
        }
    }

    /// Merges the findings of another VM.
    pub(crate) fn merge_part_notice(&self, notice: &CrashNotice) {
        let now_ms = self.clock.now_ms();
        let mut known = self.part_service.parts.borrow_mut();
        let is_news = known.merge(&notice.reports, &notice.clearances, now_ms);
        drop(known);
        if is_news {
            let mut trials = self.part_service.trials.borrow_mut();
            for report in &notice.reports {
                trials.end(&report.parts);
            }
            drop(trials);
            metrics::counter!(metric::PART_CRASHES, "source" => "peer").increment(1);
            self.count_part_change();
        }
    }

    /// Returns what is known of parts that crash endpoints if it has changed since it was written, or may have been lost.
    ///
    /// Only one VM, the same for all, writes it, and only once a part has been refused.
    pub fn unsaved_parts(&self) -> Option<(SavedParts, Vec<u8>)> {
        let service = &self.part_service;
        let state = SavedParts {
            revision: service.revision.get(),
            losses: self.log_losses(),
        };
        if state == service.saved.get() {
            return None;
        }
        let known = service.parts.borrow();
        if known.has_refused() {
            service.was_refused.set(true);
        }
        if !service.was_refused.get() || self.remote_allocator(Incarnation(0)).is_some() {
            return None;
        }
        let (mut reports, mut clearances) = known.findings(0, self.clock.now_ms());
        // The newest are kept.
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(SAVED_REPORTS_MAX);
        clearances.sort_by_key(|clearance| clearance.age_ms);
        clearances.truncate(CLEARANCES_MAX);
        let notice = CrashNotice {
            reports,
            clearances,
        };
        match advert::to_bytes(&Datagram::CrashNotice(notice)) {
            Ok(bytes) => Some((state, bytes)),
            Err(error) => {
                log::error!(event = "parts_not_encoded"; "{error}");
                None
            }
        }
    }

    /// Records that findings have been written in the state that [`unsaved_parts`](Self::unsaved_parts) returned.
    pub fn mark_parts_saved(&self, state: SavedParts) {
        self.part_service.saved.set(state);
    }

    /// Merges what was written `age_ms` ago.
    pub fn restore_parts(&self, findings: &[u8], age_ms: u64) {
        let mut notice = match advert::from_bytes(findings) {
            Ok(Datagram::CrashNotice(notice)) => notice,
            Ok(_) => return log::warn!(event = "parts_undecodable"; "another datagram"),
            Err(error) => return log::warn!(event = "parts_undecodable"; "{error}"),
        };
        for report in &mut notice.reports {
            report.age_ms = report.age_ms.saturating_add(age_ms);
        }
        for clearance in &mut notice.clearances {
            clearance.age_ms = clearance.age_ms.saturating_add(age_ms);
        }
        self.merge_part_notice(&notice);
    }

    /// Sends what was learned now to the VMs that get adverts and summaries.
    async fn send_part_news(&self, now_ms: u64) {
        let recipients = self.notice_recipients(now_ms);
        self.send_part_notices(now_ms, now_ms, &recipients).await;
    }

    /// Sends the findings that are due in a round of adverts.
    pub(crate) async fn send_part_round(&self) {
        let now_ms = self.clock.now_ms();
        let round = self.part_service.round.get() + 1;
        self.part_service.round.set(round);
        let since_ms = match round.is_multiple_of(ALL_ROUNDS) {
            true => 0,
            false => now_ms.saturating_sub(NEWS_MS),
        };
        let recipients = self.notice_recipients(now_ms);
        self.send_part_notices(since_ms, now_ms, &recipients).await;
    }

    /// Sends all findings to a VM that has just started.
    pub(crate) async fn send_all_parts(&self, recipient: SocketAddr) {
        let now_ms = self.clock.now_ms();
        self.send_part_notices(0, now_ms, &[recipient]).await;
    }

    /// Returns the VMs that get adverts, and those that get summaries and pass them on.
    fn notice_recipients(&self, now_ms: u64) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        // Round 1 leaves out the VMs that are not alive.
        let mut recipients = peers.advert_recipients(1, now_ms);
        if peers.uses_summaries() {
            recipients.extend(peers.summary_recipients(now_ms));
        }
        recipients
    }

    async fn send_part_notices(&self, since_ms: u64, now_ms: u64, recipients: &[SocketAddr]) {
        let (reports, clearances) = self.part_service.parts.borrow().findings(since_ms, now_ms);
        let mut reports = reports.chunks(REPORTS_MAX);
        let mut clearances = clearances.chunks(CLEARANCES_MAX);
        loop {
            let notice = CrashNotice {
                reports: reports.next().unwrap_or_default().to_vec(),
                clearances: clearances.next().unwrap_or_default().to_vec(),
            };
            if notice == CrashNotice::default() {
                return;
            }
            let datagram = Datagram::CrashNotice(notice);
            for recipient in recipients {
                self.send_datagram(&datagram, *recipient).await;
            }
        }
    }

    /// Obtains permission to send one request with a suspected part; no other VM gets one for `hold_ms`.
    pub(crate) async fn acquire_trial(&self, part: PartKey, hold_ms: u64) -> bool {
        let is_allowed = match self.remote_allocator(Incarnation(part.0)) {
            None => {
                let now_ms = self.clock.now_ms();
                let mut trials = self.part_service.trials.borrow_mut();
                trials.ask(part, hold_ms, now_ms)
            }
            Some(address) => self.ask_trial(part, hold_ms, address).await,
        };
        let outcome = if is_allowed { "allowed" } else { "denied" };
        metrics::counter!(metric::PART_TRIALS, "outcome" => outcome).increment(1);
        is_allowed
    }

    async fn ask_trial(&self, part: PartKey, hold_ms: u64, allocator: SocketAddr) -> bool {
        let query = TrialQuery {
            id: self.draw(),
            part,
            hold_ms,
        };
        let receiver = self.part_service.replies.expect(query.id);
        self.send_datagram(&Datagram::TrialQuery(query), allocator)
            .await;
        // Without a reply the request stays where it is.
        let reply = with_timeout(REPLY_MS, receiver.recv_async()).await;
        matches!(reply, Some(Ok(true)))
    }

    /// Replies to the query of another VM.
    pub(crate) async fn answer_trial(&self, query: TrialQuery, from: SocketAddr) {
        // The VMs see different members for a moment.
        let is_allocator = self.remote_allocator(Incarnation(query.part.0)).is_none();
        let now_ms = self.clock.now_ms();
        let is_allowed = is_allocator && {
            let mut trials = self.part_service.trials.borrow_mut();
            trials.ask(query.part, query.hold_ms, now_ms)
        };
        let reply = TrialReply {
            id: query.id,
            is_allowed,
        };
        self.send_datagram(&Datagram::TrialReply(reply), from).await;
    }

    /// Drops what has expired, and logs the parts whose state has changed; once a tick, since it looks at all reports.
    pub(crate) fn update_parts(&self) {
        let now_ms = self.clock.now_ms();
        let transitions = self.part_service.parts.borrow_mut().update(now_ms);
        if !transitions.is_empty() {
            self.count_part_change();
        }
        for transition in transitions {
            self.log_part(&transition);
        }
    }

    fn count_part_change(&self) {
        let revision = &self.part_service.revision;
        revision.set(revision.get() + 1);
    }

    fn log_part(&self, transition: &Transition) {
        let state = match (transition.state, transition.is_cleared) {
            (Some(PartState::Suspect), _) => "suspect",
            (Some(PartState::Refused), _) => "refused",
            (None, true) => "cleared",
            (None, false) => "expired",
        };
        let mut companions = String::new();
        for part in &transition.companions {
            companions.push_str(&format!("{:016x} ", part.0));
        }
        let mut crashed = String::new();
        let endpoints = self.endpoints.borrow();
        for incarnation in &transition.endpoints {
            let key = endpoints.find_incarnation(*incarnation);
            match key.and_then(|key| endpoints.get(key)) {
                Some(endpoint) => crashed.push_str(endpoint.entry.id.as_str()),
                None => crashed.push_str(&format!("{:016x}", incarnation.0)),
            }
            crashed.push(' ');
        }
        log::warn!(
            event = "prompt_part", state = state, part = format!("{:016x}", transition.part.0),
            organisation = format!("{:016x}", transition.scope.organisation),
            crashed = crashed.trim_end(), companions = companions.trim_end();
            "endpoints crashed when they began to answer prompts with this part"
        );
        metrics::counter!(metric::PART_CHANGES, "state" => state).increment(1);
    }
}
