//! The evidence thread: shares evidence of request contents that crash endpoints with the other VMs.
//!
//! The scheduler of a shard finds the evidence. The other VMs store it, so that a content stays refused when the shard
//! changes its owner and so that other data centres refuse it before they lose endpoints to it. Only crashes are sent: a
//! content that is cleared later keeps its crashes on the other VMs until they expire.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use waxwing_core::Name;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::state::evidence;
use waxwing_core::state::evidence::ContentHash;
use waxwing_core::state::evidence::CrashFinding;
use waxwing_wire::peer::Evidence;

use crate::peer::Call;
use crate::shared::Shared;

/// Interval at which the findings of the schedulers are polled, in milliseconds; they are published once a second.
const POLL_INTERVAL_MS: u64 = 500;

struct State {
    known: evidence::Evidence,
    /// Crashes already sent to the current peers.
    sent: HashSet<(ContentHash, Name)>,
    peers: HashSet<u64>,
}

/// Starts the evidence thread.
pub fn start(shared: Arc<Shared>) {
    thread::spawn(move || run(&shared));
}

fn run(shared: &Shared) {
    let config = Config::default();
    let mut state = State {
        known: evidence::Evidence::new(config.evidence_lifetime_ms, config.evidence_max),
        sent: HashSet::new(),
        peers: HashSet::new(),
    };
    let questions = shared.peers.evidence.receiver();
    let wait = Duration::from_millis(POLL_INTERVAL_MS);
    loop {
        if let Ok(question) = questions.recv_timeout(wait) {
            let findings: Vec<CrashFinding> = question.body.into_iter().map(new_finding).collect();
            state.known.merge(&findings, shared.now_ms());
            let _ = question.answer.try_send(());
        }
        state.exchange(shared);
    }
}

impl State {
    fn exchange(&mut self, shared: &Shared) {
        let now_ms = shared.now_ms();
        let view = shared.view();
        self.known.expire(now_ms);
        for pool in view.settings.pools.keys() {
            self.known
                .merge(&shared.scheduling.crash_findings(pool), now_ms);
        }
        if self.known.is_empty() {
            return;
        }
        let findings = self.known.findings(now_ms);
        let limits = view
            .settings
            .pools
            .values()
            .map(|pool| pool.poison_endpoints_max);
        let limit = limits.min().unwrap_or(1) as usize;
        let contents: HashSet<ContentHash> =
            findings.iter().map(|finding| finding.content).collect();
        let refused = contents
            .iter()
            .filter(|content| self.known.crash_count(content) >= limit);
        shared
            .refused_contents
            .store(refused.count(), Ordering::SeqCst);
        shared.scheduling.set_evidence(findings.clone());
        for pool in view.settings.pools.keys() {
            shared
                .scheduling
                .input(pool, Input::Evidence(findings.clone()));
        }
        let local_vm = &shared.config.vm.name;
        let peers = view
            .members
            .iter()
            .filter(|member| member.name != *local_vm);
        let incarnations: HashSet<u64> = peers.clone().map(|member| member.incarnation).collect();
        if !incarnations.is_subset(&self.peers) {
            // A new peer has received nothing yet; the others tolerate duplicates.
            self.sent.clear();
        }
        self.peers = incarnations;
        let unsent = self.take_unsent(&findings);
        if unsent.is_empty() {
            return;
        }
        for peer in peers {
            shared
                .peers
                .post(&peer.name, Call::Evidence(unsent.clone()));
        }
    }

    fn take_unsent(&mut self, findings: &[CrashFinding]) -> Vec<Evidence> {
        let mut unsent = Vec::new();
        for finding in findings {
            let Some(endpoint) = &finding.endpoint else {
                continue;
            };
            if !self.sent.insert((finding.content, endpoint.clone())) {
                continue;
            }
            unsent.push(Evidence {
                content_hash: finding.content,
                endpoint: endpoint.clone(),
                age_ms: finding.age_ms,
            });
        }
        unsent
    }
}

fn new_finding(evidence: Evidence) -> CrashFinding {
    CrashFinding {
        content: evidence.content_hash,
        endpoint: Some(evidence.endpoint),
        age_ms: evidence.age_ms,
    }
}
