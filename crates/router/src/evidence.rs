//! The evidence thread: spreads what is known about contents that crash endpoints.
//!
//! The scheduler of a shard finds the evidence. Other VMs keep it, so that a content stays refused when the shard gets
//! another owner, and so that each data centre does not lose endpoints of its own first. Only losses are spread; a
//! content that is cleared later keeps its loss on the other VMs until it expires.

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

/// Time between looks at the findings of the schedulers, in milliseconds; these publish them once a second.
const LOOK_INTERVAL_MS: u64 = 500;

struct State {
    known: evidence::Evidence,
    /// Losses that the present peers have been told.
    told: HashSet<(ContentHash, Name)>,
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
        told: HashSet::new(),
        peers: HashSet::new(),
    };
    let questions = shared.peers.evidence.receiver();
    let wait = Duration::from_millis(LOOK_INTERVAL_MS);
    loop {
        if let Ok(question) = questions.recv_timeout(wait) {
            let findings: Vec<CrashFinding> = question.body.into_iter().map(new_finding).collect();
            state.known.merge(&findings, shared.now_ms());
            let _ = question.answer.try_send(());
        }
        state.look(shared);
    }
}

impl State {
    fn look(&mut self, shared: &Shared) {
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
        let own = &shared.config.vm.name;
        let peers = view.members.iter().filter(|member| member.name != *own);
        let incarnations: HashSet<u64> = peers.clone().map(|member| member.incarnation).collect();
        if !incarnations.is_subset(&self.peers) {
            // A new peer knows nothing yet; repetition does no harm to the others.
            self.told.clear();
        }
        self.peers = incarnations;
        let news = self.take_news(&findings);
        if news.is_empty() {
            return;
        }
        for peer in peers {
            shared.peers.post(&peer.name, Call::Evidence(news.clone()));
        }
    }

    fn take_news(&mut self, findings: &[CrashFinding]) -> Vec<Evidence> {
        let mut news = Vec::new();
        for finding in findings {
            let Some(endpoint) = &finding.endpoint else {
                continue;
            };
            if !self.told.insert((finding.content, endpoint.clone())) {
                continue;
            }
            news.push(Evidence {
                content_hash: finding.content,
                endpoint: endpoint.clone(),
                age_ms: finding.age_ms,
            });
        }
        news
    }
}

fn new_finding(evidence: Evidence) -> CrashFinding {
    CrashFinding {
        content: evidence.content_hash,
        endpoint: Some(evidence.endpoint),
        age_ms: evidence.age_ms,
    }
}
